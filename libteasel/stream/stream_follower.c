#include <stdio.h>

#include "base/events.h"
#include "stream/stream_internal.h"

enum {
    POLL_WAIT_MS = 1000,
    BACKOFF_MIN_MS = 50,
    BACKOFF_MAX_MS = 1000,
    BACKOFF_MAX_DOUBLINGS = 5,
    /* Delay after an empty response that came without waiting. */
    EMPTY_READ_DELAY_MS = 20,
};

static void start_read(stream_t *stream);

static void
on_retry(loop_timer_t *timer)
{
    stream_t *stream = timer->data;

    if (stream->needs_snapshot) {
        stream_loader_start(stream);
        return;
    }
    start_read(stream);
}

static void
back_off(stream_t *stream)
{
    uint64_t delay = BACKOFF_MIN_MS;

    delay <<= MIN(stream->failures, BACKOFF_MAX_DOUBLINGS);
    delay = MIN(delay, BACKOFF_MAX_MS);
    delay = delay / 2 + (uint64_t)g_random_int_range(0, (int)delay / 2 + 1);
    stream->failures++;
    loop_timer_start(&stream->retry, delay);
}

static void
on_unavailable(stream_t *stream, const char *detail)
{
    stream->reachable = false;
    if (!stream->unavailable_logged) {
        stream->unavailable_logged = true;
        event_log(EVENT_LOG_LOST,
                  "stream=%s next=%" G_GUINT64_FORMAT " detail=\"%s\"",
                  stream->name, (guint64)stream->next,
                  detail != NULL ? detail : "");
    }
    back_off(stream);
}

static void
on_available(stream_t *stream)
{
    stream->reachable = true;
    if (stream->unavailable_logged) {
        stream->unavailable_logged = false;
        event_log(EVENT_LOG_BACK, "stream=%s next=%" G_GUINT64_FORMAT,
                  stream->name, (guint64)stream->next);
    }
}

/* Duplicate records are passed on. A reader that starts from a snapshot has
   not seen the earlier copies, so only the handler, which has the state, can
   ignore a duplicate in the same way in all readers. */
static void
apply_record(stream_t *stream, const plog_record_t *raw)
{
    Teasel__LogRecord *record =
        teasel__log_record__unpack(NULL, raw->length, raw->data);

    stream->next = raw->offset + 1;
    if (record == NULL || record->id.len != STREAM_ID_SIZE) {
        event_log(EVENT_RECORD_MALFORMED,
                  "stream=%s offset=%" G_GUINT64_FORMAT " length=%zu",
                  stream->name, (guint64)raw->offset, raw->length);
    }
    else {
        stream->opts.handler->apply(record, raw->offset, stream->opts.data);
        stream_append_on_record(stream, &record->id, raw->offset);
    }
    if (record != NULL) {
        teasel__log_record__free_unpacked(record, NULL);
    }
}

/* Skips records that were applied before, and stops at a gap: no record after
   it may be applied. */
static void
apply_records(stream_t *stream, const plog_read_t *result)
{
    for (size_t i = 0; i < result->count; i++) {
        if (result->records[i].offset > stream->next) {
            return;
        }
        if (result->records[i].offset == stream->next) {
            apply_record(stream, &result->records[i]);
        }
    }
}

static void
on_trimmed(stream_t *stream)
{
    if (stream->opts.handler->load_snapshot == NULL) {
        stream->next = stream->first;
        start_read(stream);
        return;
    }
    stream->needs_snapshot = true;
    stream_loader_start(stream);
}

static void
on_end_reached(stream_t *stream)
{
    stream->sync_time = stream->read_started;
    if (stream->caught_up) {
        return;
    }
    stream->caught_up = true;
    if (stream->opts.handler->caught_up != NULL) {
        stream->opts.handler->caught_up(stream->opts.data);
    }
}

static void
on_log_behind(stream_t *stream, const plog_read_t *result)
{
    if (!stream->behind_logged) {
        stream->behind_logged = true;
        event_log(EVENT_LOG_BEHIND,
                  "stream=%s next=%" G_GUINT64_FORMAT
                  " log_next=%" G_GUINT64_FORMAT,
                  stream->name, (guint64)stream->next, (guint64)result->next);
    }
    back_off(stream);
}

static void
on_read(const plog_read_t *result, void *data)
{
    stream_t *stream = data;
    uint64_t before = stream->next;
    int64_t waited_ms = timespec_diff_ms(
        clock_get_monotonic(stream->opts.clock), stream->read_started);

    stream->read = NULL;
    if (!result->ok) {
        on_unavailable(stream, result->detail);
        return;
    }
    on_available(stream);
    stream->first = result->first;
    if (result->trimmed && result->first > stream->next) {
        on_trimmed(stream);
        return;
    }
    if (result->next < stream->next) {
        on_log_behind(stream, result);
        return;
    }
    stream->behind_logged = false;
    apply_records(stream, result);
    if (stream->next >= result->next) {
        on_end_reached(stream);
    }
    stream->failures = 0;
    if (stream->next == before && waited_ms < EMPTY_READ_DELAY_MS) {
        loop_timer_start(&stream->retry, EMPTY_READ_DELAY_MS);
        return;
    }
    start_read(stream);
}

static void
start_read(stream_t *stream)
{
    uint64_t wait_ms = stream->caught_up ? POLL_WAIT_MS : 0;

    stream->read_started = clock_get_monotonic(stream->opts.clock);
    stream->read =
        stream->opts.log->vtbl->read(stream->opts.log, stream->name,
                                     stream->next, wait_ms, on_read, stream);
}

void
stream_follower_on_loaded(stream_t *stream, bool ok, const char *detail)
{
    if (!ok) {
        on_unavailable(stream, detail);
        return;
    }
    on_available(stream);
    if (stream->first > stream->next) {
        if (!stream->gap_logged) {
            stream->gap_logged = true;
            event_log(EVENT_STREAM_GAP,
                      "stream=%s next=%" G_GUINT64_FORMAT
                      " first=%" G_GUINT64_FORMAT,
                      stream->name, (guint64)stream->next,
                      (guint64)stream->first);
        }
        back_off(stream);
        return;
    }
    stream->gap_logged = false;
    stream->needs_snapshot = false;
    stream->failures = 0;
    start_read(stream);
}

void
stream_follower_wake(stream_t *stream)
{
    if (loop_timer_is_active(&stream->retry)) {
        stream->failures = 0;
        loop_timer_start(&stream->retry, 0);
    }
}

void
stream_follower_init(stream_t *stream)
{
    loop_timer_init(&stream->retry, stream->opts.loop, on_retry, stream);
    loop_timer_start(&stream->retry, 0);
}

void
stream_follower_clear(stream_t *stream)
{
    loop_timer_stop(&stream->retry);
    if (stream->read != NULL) {
        stream->opts.log->vtbl->cancel(stream->opts.log, stream->read);
        stream->read = NULL;
    }
}
