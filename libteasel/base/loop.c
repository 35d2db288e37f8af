#include "base/loop.h"

#include <errno.h>
#include <signal.h>
#include <string.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include "base/error.h"
#include "base/events.h"

/* h2o keeps one list of timers per distinct delay and visits every list in
   each iteration, so delays are rounded up to bound the number of lists. */
typedef struct delay_class {
    h2o_timeout_t timeout;
    uint64_t ms;
} delay_class_t;

struct loop {
    h2o_loop_t *h2o;
    GHashTable *delays; /* ms -> delay_class_t */
    bool stopped;
    h2o_socket_t *signal_socket;
    loop_signal_cb signal_cb;
    void *signal_data;
};

loop_t *
loop_new(void)
{
    loop_t *loop = g_new0(loop_t, 1);

    loop->h2o = h2o_evloop_create();
    loop->delays = g_hash_table_new(g_int64_hash, g_int64_equal);
    return loop;
}

void
loop_free(loop_t *loop)
{
    GHashTableIter iter;
    gpointer value;

    if (loop == NULL) {
        return;
    }
    if (loop->signal_socket != NULL) {
        h2o_socket_close(loop->signal_socket);
    }
    g_hash_table_iter_init(&iter, loop->delays);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        delay_class_t *delay = value;

        h2o_linklist_unlink(&delay->timeout._entries);
        h2o_linklist_init_anchor(&delay->timeout._entries);
        h2o_timeout_dispose(loop->h2o, &delay->timeout);
        g_free(delay);
    }
    g_hash_table_destroy(loop->delays);
    /* h2o 2.2 frees closed sockets in the next iteration of the loop. */
    h2o_evloop_run(loop->h2o, 0);
    g_free(loop);
}

void
loop_run(loop_t *loop)
{
    loop->stopped = false;
    events_use_loop(loop);
    while (!loop->stopped) {
        h2o_evloop_run(loop->h2o, INT32_MAX);
    }
    events_use_loop(NULL);
}

void
loop_stop(loop_t *loop)
{
    loop->stopped = true;
}

void
loop_run_once(loop_t *loop, int max_wait_ms)
{
    h2o_evloop_run(loop->h2o, max_wait_ms);
}

h2o_loop_t *
loop_get_h2o(loop_t *loop)
{
    return loop->h2o;
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

static uint64_t
round_delay(uint64_t ms)
{
    uint64_t step = 1;

    while (ms / step >= 20) {
        step *= 2;
    }
    return (ms + step - 1) / step * step;
}

static h2o_timeout_t *
get_delay_class(loop_t *loop, uint64_t ms)
{
    delay_class_t *delay = g_hash_table_lookup(loop->delays, &ms);

    if (delay == NULL) {
        delay = g_new0(delay_class_t, 1);
        delay->ms = ms;
        h2o_timeout_init(loop->h2o, &delay->timeout, ms);
        g_hash_table_insert(loop->delays, &delay->ms, delay);
    }
    return &delay->timeout;
}

static void
on_timeout(h2o_timeout_entry_t *entry)
{
    loop_timer_t *timer = H2O_STRUCT_FROM_MEMBER(loop_timer_t, entry, entry);

    timer->cb(timer);
}

void
loop_timer_init(loop_timer_t *timer, loop_t *loop, loop_timer_cb cb,
                void *data)
{
    memset(timer, 0, sizeof(*timer));
    timer->loop = loop;
    timer->cb = cb;
    timer->data = data;
    timer->entry.cb = on_timeout;
}

void
loop_timer_start(loop_timer_t *timer, uint64_t ms)
{
    h2o_timeout_t *timeout = get_delay_class(timer->loop, round_delay(ms));

    loop_timer_stop(timer);
    h2o_timeout_link(timer->loop->h2o, timeout, &timer->entry);
}

void
loop_timer_stop(loop_timer_t *timer)
{
    if (h2o_timeout_is_linked(&timer->entry)) {
        h2o_timeout_unlink(&timer->entry);
    }
}

bool
loop_timer_is_active(const loop_timer_t *timer)
{
    return h2o_linklist_is_linked((h2o_linklist_t *)&timer->entry._link);
}
