#include "base/loop.h"

#include <errno.h>
#include <signal.h>
#include <string.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include "base/error.h"
#include "base/events.h"

enum {
    /* The wait for events doesn't count the suspension of the machine, so that
       it has to be short for timers to run out soon after. */
    MAX_WAIT_MS = 1000,
};

struct loop {
    h2o_loop_t *h2o;
    const clock_source_t *clock;
    GSequence *timers; /* loop_timer_t, by the time at which they run out */
    uint64_t started;  /* number of timers that were started */
    bool stopped;
    h2o_socket_t *signal_socket;
    loop_signal_cb signal_cb;
    void *signal_data;
};

loop_t *
loop_new_on(const clock_source_t *clock)
{
    loop_t *loop = g_new0(loop_t, 1);

    loop->h2o = h2o_evloop_create();
    loop->clock = clock;
    loop->timers = g_sequence_new(NULL);
    return loop;
}

loop_t *
loop_new(void)
{
    return loop_new_on(clock_system());
}

static void
forget_place(gpointer timer, gpointer data)
{
    ((loop_timer_t *)timer)->place = NULL;
}

void
loop_free(loop_t *loop)
{
    if (loop == NULL) {
        return;
    }
    if (loop->signal_socket != NULL) {
        h2o_socket_close(loop->signal_socket);
    }
    /* h2o 2.2 frees closed sockets in the next iteration of the loop. */
    h2o_evloop_run(loop->h2o, 0);
    g_sequence_foreach(loop->timers, forget_place, NULL);
    g_sequence_free(loop->timers);
    g_free(loop);
}

static int64_t
get_now_us(const loop_t *loop)
{
    return timespec_to_us(clock_get_monotonic(loop->clock));
}

static loop_timer_t *
get_first_timer(loop_t *loop)
{
    GSequenceIter *first = g_sequence_get_begin_iter(loop->timers);

    return g_sequence_iter_is_end(first) ? NULL : g_sequence_get(first);
}

static int
get_wait_ms(loop_t *loop, int max_wait_ms)
{
    const loop_timer_t *first = get_first_timer(loop);
    int64_t left_us;

    if (first == NULL) {
        return max_wait_ms;
    }
    left_us = first->due_us - get_now_us(loop);
    return (int)CLAMP((left_us + 999) / 1000, 0, max_wait_ms);
}

/* Timers that are started meanwhile wait for the next iteration, so that
   sockets get their turn. */
static void
run_timers(loop_t *loop)
{
    uint64_t started = loop->started;
    int64_t now_us = get_now_us(loop);
    loop_timer_t *first = get_first_timer(loop);

    while (first != NULL && first->due_us <= now_us &&
           first->number <= started) {
        loop_timer_stop(first);
        first->cb(first);
        first = get_first_timer(loop);
    }
    /* As after timeouts of h2o: its next wait frees closed sockets, also those
       with a write that is not reported yet. */
    h2o_timeout__do_post_callback(loop->h2o);
}

void
loop_run_once(loop_t *loop, int max_wait_ms)
{
    h2o_evloop_run(loop->h2o, get_wait_ms(loop, max_wait_ms));
    run_timers(loop);
}

void
loop_run(loop_t *loop)
{
    loop->stopped = false;
    events_use_loop(loop);
    while (!loop->stopped) {
        loop_run_once(loop, MAX_WAIT_MS);
    }
    events_use_loop(NULL);
}

void
loop_stop(loop_t *loop)
{
    loop->stopped = true;
}

h2o_loop_t *
loop_get_h2o(loop_t *loop)
{
    return loop->h2o;
}

int64_t
loop_get_now_ms(const loop_t *loop)
{
    return get_now_us(loop) / 1000;
}

uint64_t
loop_get_h2o_limit_ms(const loop_t *loop)
{
    return h2o_now(loop->h2o) / 2;
}

static void
on_signal_readable(h2o_socket_t *sock, const char *err)
{
    loop_t *loop = sock->data;
    struct signalfd_siginfo info;

    while (read(h2o_socket_get_fd(sock), &info, sizeof(info)) ==
           (ssize_t)sizeof(info)) {
        loop->signal_cb((int)info.ssi_signo, loop->signal_data);
    }
}

bool
loop_on_signals(loop_t *loop, loop_signal_cb cb, void *data, GError **error)
{
    sigset_t set;
    int fd;

    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    sigaddset(&set, SIGHUP);
    signal(SIGPIPE, SIG_IGN);
    if (sigprocmask(SIG_BLOCK, &set, NULL) != 0) {
        g_set_error(error, TEASEL_ERROR, ERROR_INTERNAL, "sigprocmask: %s",
                    g_strerror(errno));
        return false;
    }
    fd = signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
    if (fd < 0) {
        g_set_error(error, TEASEL_ERROR, ERROR_INTERNAL, "signalfd: %s",
                    g_strerror(errno));
        return false;
    }
    loop->signal_cb = cb;
    loop->signal_data = data;
    loop->signal_socket =
        h2o_evloop_socket_create(loop->h2o, fd, H2O_SOCKET_FLAG_DONT_READ);
    loop->signal_socket->data = loop;
    h2o_socket_read_start(loop->signal_socket, on_signal_readable);
    return true;
}

void
loop_timer_init(loop_timer_t *timer, loop_t *loop, loop_timer_cb cb,
                void *data)
{
    memset(timer, 0, sizeof(*timer));
    timer->loop = loop;
    timer->cb = cb;
    timer->data = data;
}

static gint
compare_timers(gconstpointer a, gconstpointer b, gpointer data)
{
    const loop_timer_t *left = a;
    const loop_timer_t *right = b;

    if (left->due_us != right->due_us) {
        return left->due_us < right->due_us ? -1 : 1;
    }
    return left->number < right->number ? -1 : left->number > right->number;
}

void
loop_timer_start(loop_timer_t *timer, uint64_t ms)
{
    loop_t *loop = timer->loop;

    loop_timer_stop(timer);
    timer->due_us = get_now_us(loop) + (int64_t)ms * 1000;
    timer->number = ++loop->started;
    timer->place =
        g_sequence_insert_sorted(loop->timers, timer, compare_timers, NULL);
}

void
loop_timer_stop(loop_timer_t *timer)
{
    if (timer->place != NULL) {
        g_sequence_remove(timer->place);
        timer->place = NULL;
    }
}

bool
loop_timer_is_active(const loop_timer_t *timer)
{
    return timer->place != NULL;
}
