#include <string.h>
#include <xxhash.h>

#include "base/events.h"
#include "stream/stream_internal.h"

enum {
    /* 1 GiB in chunks of 256 KiB; a larger count is treated as corrupt. */
    MAX_CHUNKS = 4096,
    SNAPSHOT_VERSION = 1,
};

/**
 * struct stored_snapshot - chunks of one snapshot
 */
typedef struct stored_snapshot {
    uint64_t covers_through;
    uint64_t checksum;
    uint32_t count;
    uint32_t present;
    GBytes **chunks;
} stored_snapshot_t;

static void
free_stored(gpointer data)
{
    stored_snapshot_t *stored = data;

    for (uint32_t i = 0; i < stored->count; i++) {
        if (stored->chunks[i] != NULL) {
            g_bytes_unref(stored->chunks[i]);
        }
    }
    g_free(stored->chunks);
    g_free(stored);
}

static stored_snapshot_t *
get_stored(stream_loader_t *loader, const Teasel__SnapshotChunk *chunk)
{
    GBytes *id = g_bytes_new(chunk->snapshot_id.data, chunk->snapshot_id.len);
    stored_snapshot_t *stored = g_hash_table_lookup(loader->snapshots, id);

    if (stored != NULL) {
        g_bytes_unref(id);
        return stored;
    }
    stored = g_new0(stored_snapshot_t, 1);
    stored->covers_through = chunk->covers_through;
    stored->checksum = chunk->checksum;
    stored->count = chunk->count;
    stored->chunks = g_new0(GBytes *, chunk->count);
    g_hash_table_insert(loader->snapshots, id, stored);
    return stored;
}

static void
store_chunk(stream_t *stream, const Teasel__SnapshotChunk *chunk)
{
    stored_snapshot_t *stored;

    if (chunk->version != SNAPSHOT_VERSION || chunk->count > MAX_CHUNKS ||
        chunk->index >= chunk->count) {
        event_log(EVENT_SNAPSHOT_BAD,
                  "stream=%s covers=%" G_GUINT64_FORMAT
                  " chunk=%u count=%u version=%u",
                  stream->name, (guint64)chunk->covers_through, chunk->index,
                  chunk->count, chunk->version);
        return;
    }
    if (chunk->covers_through < stream->next) {
        return;
    }
    stored = get_stored(&stream->loader, chunk);
    if (chunk->count != stored->count ||
        stored->chunks[chunk->index] != NULL) {
        return;
    }
    stored->chunks[chunk->index] =
        g_bytes_new(chunk->data.data, chunk->data.len);
    stored->present++;
}

static bool
is_newer_and_complete(const stored_snapshot_t *a, const stored_snapshot_t *b)
{
    return a->present == a->count &&
           (b == NULL || a->covers_through > b->covers_through);
}

/* Returns the complete snapshot that covers the highest offset, or NULL. */
static stored_snapshot_t *
find_newest(const stream_loader_t *loader, GBytes **id)
{
    stored_snapshot_t *newest = NULL;
    GHashTableIter iter;
    gpointer key;
    gpointer value;

    g_hash_table_iter_init(&iter, loader->snapshots);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        if (is_newer_and_complete(value, newest)) {
            newest = value;
            *id = key;
        }
    }
    return newest;
}

static bool
load_stored(stream_t *stream, const stored_snapshot_t *stored)
{
    g_autoptr(GByteArray) data = g_byte_array_new();

    for (uint32_t i = 0; i < stored->count; i++) {
        gsize size;
        const uint8_t *bytes = g_bytes_get_data(stored->chunks[i], &size);

        g_byte_array_append(data, bytes, (guint)size);
    }
    if (XXH64(data->data, data->len, 0) != stored->checksum) {
        return false;
    }
    if (!stream->opts.handler->load_snapshot(data->data, data->len,
                                             stored->covers_through,
                                             stream->opts.data)) {
        return false;
    }
    stream->next = stored->covers_through + 1;
    stream->loaded_through = stored->covers_through;
    stream->snapshot_offset =
        MAX(stream->snapshot_offset, stored->covers_through);
    event_log(EVENT_SNAPSHOT_LOADED,
              "stream=%s covers=%" G_GUINT64_FORMAT " bytes=%u", stream->name,
              (guint64)stored->covers_through, data->len);
    stream_append_on_snapshot(stream);
    return true;
}

static void
load_newest(stream_t *stream)
{
    GBytes *id = NULL;
    stored_snapshot_t *newest;

    while ((newest = find_newest(&stream->loader, &id)) != NULL) {
        if (load_stored(stream, newest)) {
            return;
        }
        event_log(EVENT_SNAPSHOT_BAD, "stream=%s covers=%" G_GUINT64_FORMAT,
                  stream->name, (guint64)newest->covers_through);
        g_hash_table_remove(stream->loader.snapshots, id);
    }
}

static void
store_records(stream_t *stream, const plog_read_t *result)
{
    for (size_t i = 0; i < result->count; i++) {
        const plog_record_t *raw = &result->records[i];
        Teasel__LogRecord *record =
            teasel__log_record__unpack(NULL, raw->length, raw->data);

        stream->loader.next = raw->offset + 1;
        if (record == NULL) {
            continue;
        }
        if (record->body_case == TEASEL__LOG_RECORD__BODY_SNAPSHOT_CHUNK) {
            store_chunk(stream, record->snapshot_chunk);
        }
        teasel__log_record__free_unpacked(record, NULL);
    }
}

static void read_snapshots(stream_t *stream);

static void
on_read(const plog_read_t *result, void *data)
{
    stream_t *stream = data;
    stream_loader_t *loader = &stream->loader;

    loader->read = NULL;
    if (!result->ok) {
        stream_loader_clear(stream);
        stream_follower_on_loaded(stream, false, result->detail);
        return;
    }
    if (result->trimmed && result->first > loader->next) {
        loader->next = result->first;
        read_snapshots(stream);
        return;
    }
    store_records(stream, result);
    if (result->count > 0 && loader->next < result->next) {
        read_snapshots(stream);
        return;
    }
    load_newest(stream);
    stream_loader_clear(stream);
    stream_follower_on_loaded(stream, true, NULL);
}

static void
read_snapshots(stream_t *stream)
{
    plog_t *log = stream->opts.log;

    stream->loader.read = log->vtbl->read(
        log, stream->snapshot_name, stream->loader.next, 0, on_read, stream);
}

void
stream_loader_start(stream_t *stream)
{
    stream_loader_clear(stream);
    stream->loader.next = 1;
    stream->loader.snapshots =
        g_hash_table_new_full(g_bytes_hash, g_bytes_equal,
                              (GDestroyNotify)g_bytes_unref, free_stored);
    read_snapshots(stream);
}

void
stream_loader_clear(stream_t *stream)
{
    stream_loader_t *loader = &stream->loader;

    if (loader->read != NULL) {
        stream->opts.log->vtbl->cancel(stream->opts.log, loader->read);
        loader->read = NULL;
    }
    if (loader->snapshots != NULL) {
        g_hash_table_destroy(loader->snapshots);
        loader->snapshots = NULL;
    }
}
