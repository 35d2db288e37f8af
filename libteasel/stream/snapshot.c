#include <string.h>
#include <xxhash.h>

#include "base/events.h"
#include "stream/stream_internal.h"

enum {
    CHUNK_SIZE = 256 * 1024,
    SNAPSHOT_VERSION = 1,
};

/**
 * struct snapshot_write - a snapshot that is being appended to the log
 * @stream: NULL after the stream has been freed
 */
typedef struct snapshot_write {
    list_t link;
    stream_t *stream;
    GByteArray *data;
    uint8_t id[STREAM_ID_SIZE];
    uint64_t covers_through;
    uint64_t checksum;
    uint32_t index;
    uint32_t count;
    stream_append_cb cb;
    void *cb_data;
} snapshot_write_t;

static void append_chunk(snapshot_write_t *write);

static void
free_write(snapshot_write_t *write)
{
    list_remove(&write->link);
    g_byte_array_unref(write->data);
    g_free(write);
}

static void
finish_write(snapshot_write_t *write, stream_outcome_t outcome,
             const char *detail)
{
    stream_append_cb cb = write->cb;
    void *cb_data = write->cb_data;
    uint64_t covers = write->covers_through;

    free_write(write);
    if (cb != NULL) {
        cb(outcome, covers, detail, cb_data);
    }
}

static void
on_chunk_appended(plog_outcome_t outcome, uint64_t offset, const char *detail,
                  void *data)
{
    snapshot_write_t *write = data;
    stream_t *stream = write->stream;

    if (stream == NULL) {
        free_write(write);
        return;
    }
    if (outcome != PLOG_ACCEPTED) {
        finish_write(write,
                     outcome == PLOG_REFUSED ? STREAM_REFUSED : STREAM_UNKNOWN,
                     detail);
        return;
    }
    write->index++;
    if (write->index < write->count) {
        append_chunk(write);
        return;
    }
    stream->snapshot_offset =
        MAX(stream->snapshot_offset, write->covers_through);
    event_log(EVENT_SNAPSHOT_WRITTEN,
              "stream=%s covers=%" G_GUINT64_FORMAT " bytes=%u", stream->name,
              (guint64)write->covers_through, write->data->len);
    finish_write(write, STREAM_APPLIED, NULL);
}

static void
append_chunk(snapshot_write_t *write)
{
    stream_t *stream = write->stream;
    plog_t *log = stream->opts.log;
    Teasel__LogRecord record = TEASEL__LOG_RECORD__INIT;
    Teasel__SnapshotChunk chunk = TEASEL__SNAPSHOT_CHUNK__INIT;
    uint8_t record_id[STREAM_ID_SIZE];
    size_t from = (size_t)write->index * CHUNK_SIZE;
    g_autofree uint8_t *packed = NULL;
    size_t length;

    chunk.snapshot_id.data = write->id;
    chunk.snapshot_id.len = STREAM_ID_SIZE;
    chunk.covers_through = write->covers_through;
    chunk.index = write->index;
    chunk.count = write->count;
    chunk.checksum = write->checksum;
    chunk.version = SNAPSHOT_VERSION;
    chunk.data.data = write->data->data + from;
    chunk.data.len = MIN(write->data->len - from, (size_t)CHUNK_SIZE);
    record.body_case = TEASEL__LOG_RECORD__BODY_SNAPSHOT_CHUNK;
    record.snapshot_chunk = &chunk;
    stream_fill_record(stream, &record, record_id);
    length = teasel__log_record__get_packed_size(&record);
    packed = g_malloc(length);
    teasel__log_record__pack(&record, packed);
    log->vtbl->append(log, stream->snapshot_name, packed, length,
                      on_chunk_appended, write);
}

void
stream_write_snapshot(stream_t *stream, const uint8_t *snapshot, size_t length,
                      stream_append_cb cb, void *cb_data)
{
    snapshot_write_t *write = g_new0(snapshot_write_t, 1);
    Teasel__LogRecord record = TEASEL__LOG_RECORD__INIT;

    write->stream = stream;
    write->cb = cb;
    write->cb_data = cb_data;
    write->covers_through = stream->next - 1;
    write->data = g_byte_array_new();
    g_byte_array_append(write->data, snapshot, (guint)length);
    write->checksum = XXH64(write->data->data, write->data->len, 0);
    write->count = MAX(1, (write->data->len + CHUNK_SIZE - 1) / CHUNK_SIZE);
    stream_fill_record(stream, &record, write->id);
    list_append(&stream->snapshot_writes, &write->link);
    append_chunk(write);
}

void
stream_snapshot_clear(stream_t *stream)
{
    LIST_FOREACH_SAFE (write, &stream->snapshot_writes, snapshot_write_t,
                       link) {
        list_remove(&write->link);
        write->stream = NULL;
    }
}
