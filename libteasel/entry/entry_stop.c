#include "base/events.h"
#include "entry/entry_internal.h"

enum {
    STOP_POLL_INTERVAL_MS = 10,
    CLOSE_GRACE_MS = 500,
};

static bool
is_idle(const entry_t *entry)
{
    return http_server_get_pending(entry->http) == 0 &&
           http_server_get_connections(entry->http) == 0 &&
           key_guard_get_pending(entry->key_guard) == 0 &&
           job_handler_get_pending(entry->jobs) == 0;
}

static bool
has_timed_out(const entry_t *entry)
{
    struct timespec now = clock_get_monotonic(entry->clock);

    return timespec_diff_ms(now, entry->leave_started) >=
           entry->settings->stop_timeout_ms;
}

/* Idle connections are closed CLOSE_GRACE_MS after the listener, so that a
   connection accepted just before can still deliver its request. */
static void
drain(entry_t *entry)
{
    if (entry->stage == ENTRY_LEAVING) {
        entry->stage = ENTRY_DRAINING;
        http_server_close_listener(entry->http);
        entry->drain_started = clock_get_monotonic(entry->clock);
        return;
    }
    if (!entry->connections_closed &&
        timespec_diff_ms(clock_get_monotonic(entry->clock),
                         entry->drain_started) >= CLOSE_GRACE_MS) {
        entry->connections_closed = true;
        http_server_shutdown(entry->http);
    }
}

static void
on_stop_timer(loop_timer_t *timer)
{
    entry_t *entry = timer->data;

    drain(entry);
    if (is_idle(entry)) {
        loop_stop(entry->loop);
        return;
    }
    if (has_timed_out(entry)) {
        event_log(EVENT_STOP_INCOMPLETE,
                  "requests=%zu connections=%zu keys=%zu",
                  http_server_get_pending(entry->http),
                  http_server_get_connections(entry->http),
                  key_guard_get_pending(entry->key_guard));
        loop_stop(entry->loop);
        return;
    }
    loop_timer_start(timer, STOP_POLL_INTERVAL_MS);
}

void
entry_stop_init(entry_t *entry)
{
    loop_timer_init(&entry->stop_timer, entry->loop, on_stop_timer, entry);
}

void
entry_leave(entry_t *entry, const char *reason)
{
    if (entry->stage != ENTRY_SERVING) {
        return;
    }
    event_log(EVENT_PROCESS_LEAVING, "id=%s reason=%s",
              entry->settings->entry_id, reason);
    entry->stage = ENTRY_LEAVING;
    entry->leave_started = clock_get_monotonic(entry->clock);
    http_server_announce_shutdown(entry->http);
    directory_unlist_self(entry->directory);
    announcer_announce(entry->announcer);
    peer_server_send_entries(entry->peer_server);
    loop_timer_start(&entry->stop_timer,
                     (uint64_t)entry->settings->leave_delay_ms);
}
