#include <string.h>
#include <sys/random.h>

#include "stream/stream_internal.h"

/**
 * struct pending_append - an appended record that has not been read back
 * @stream: NULL after the outcome was reported or the stream was freed
 * @responded: the log has reported its result; the struct is freed when this
 *     is set and @stream is NULL
 */
typedef struct pending_append {
    list_t link;
    stream_t *stream;
    uint8_t id[STREAM_ID_SIZE];
    uint64_t offset; /* 0 if not known */
    bool responded;
    loop_timer_t timer;
    stream_append_cb cb;
    void *cb_data;
} pending_append_t;

void
stream_fill_record(stream_t *stream, Teasel__LogRecord *record,
                   uint8_t id[STREAM_ID_SIZE])
{
    if (getrandom(id, STREAM_ID_SIZE, 0) != STREAM_ID_SIZE) {
        g_error("getrandom() did not return %d bytes for a record id",
                STREAM_ID_SIZE);
    }
    record->id.data = id;
    record->id.len = STREAM_ID_SIZE;
    record->writer = stream->writer;
    record->wall_ms = timespec_to_ms(clock_get_wall(stream->opts.clock));
}

static void
free_if_done(pending_append_t *append)
{
    if (append->responded && append->stream == NULL) {
        g_free(append);
    }
}

static void
detach(pending_append_t *append)
{
    loop_timer_stop(&append->timer);
    list_remove(&append->link);
    append->stream = NULL;
}

static void
complete(pending_append_t *append, stream_outcome_t outcome, uint64_t offset,
         const char *detail)
{
    stream_append_cb cb = append->cb;
    void *cb_data = append->cb_data;

    detach(append);
    free_if_done(append);
    cb(outcome, offset, detail, cb_data);
}

static void
on_timeout(loop_timer_t *timer)
{
    complete(timer->data, STREAM_UNKNOWN, 0,
             "the record was not read back before the timeout");
}

static void
on_append_result(plog_outcome_t outcome, uint64_t offset, const char *detail,
                 void *data)
{
    pending_append_t *append = data;
    stream_t *stream = append->stream;

    append->responded = true;
    if (stream == NULL) {
        free_if_done(append);
        return;
    }
    if (outcome == PLOG_REFUSED) {
        complete(append, STREAM_REFUSED, 0, detail);
        return;
    }
    if (outcome == PLOG_ACCEPTED) {
        append->offset = offset;
        stream_follower_wake(stream);
        if (offset <= stream->loaded_through) {
            complete(append, STREAM_APPLIED, offset, NULL);
        }
    }
}

void
stream_append(stream_t *stream, Teasel__LogRecord *record, uint64_t timeout_ms,
              stream_append_cb cb, void *cb_data)
{
    pending_append_t *append = g_new0(pending_append_t, 1);
    g_autofree uint8_t *packed = NULL;
    size_t length;

    append->stream = stream;
    append->cb = cb;
    append->cb_data = cb_data;
    stream_fill_record(stream, record, append->id);
    length = teasel__log_record__get_packed_size(record);
    packed = g_malloc(length);
    teasel__log_record__pack(record, packed);
    list_append(&stream->appends, &append->link);
    loop_timer_init(&append->timer, stream->opts.loop, on_timeout, append);
    loop_timer_start(&append->timer, timeout_ms);
    stream->opts.log->vtbl->append(stream->opts.log, stream->name, packed,
                                   length, on_append_result, append);
}

void
stream_append_on_record(stream_t *stream, const ProtobufCBinaryData *id,
                        uint64_t offset)
{
    LIST_FOREACH (append, &stream->appends, pending_append_t, link) {
        if (memcmp(append->id, id->data, STREAM_ID_SIZE) == 0) {
            complete(append, STREAM_APPLIED, offset, NULL);
            return;
        }
    }
}

void
stream_append_on_snapshot(stream_t *stream)
{
    LIST_FOREACH_SAFE (append, &stream->appends, pending_append_t, link) {
        if (append->offset != 0 && append->offset <= stream->loaded_through) {
            complete(append, STREAM_APPLIED, append->offset, NULL);
        }
    }
}

void
stream_append_clear(stream_t *stream)
{
    LIST_FOREACH_SAFE (append, &stream->appends, pending_append_t, link) {
        detach(append);
        free_if_done(append);
    }
}
