#include "stream/stream.h"

#include "stream/stream_internal.h"

stream_t *
stream_new(const stream_opts_t *opts)
{
    stream_t *stream = g_new0(stream_t, 1);

    stream->opts = *opts;
    stream->name = g_strdup(opts->name);
    stream->snapshot_name = g_strdup_printf("%s.snapshots", opts->name);
    stream->writer = g_strdup(opts->writer != NULL ? opts->writer : "");
    stream->next = 1;
    stream->needs_snapshot = opts->handler->load_snapshot != NULL;
    list_init(&stream->appends);
    list_init(&stream->snapshot_writes);
    stream_follower_init(stream);
    return stream;
}

void
stream_free(stream_t *stream)
{
    if (stream == NULL) {
        return;
    }
    stream_follower_clear(stream);
    stream_loader_clear(stream);
    stream_append_clear(stream);
    stream_snapshot_clear(stream);
    g_free(stream->name);
    g_free(stream->snapshot_name);
    g_free(stream->writer);
    g_free(stream);
}

uint64_t
stream_get_next_offset(const stream_t *stream)
{
    return stream->next;
}

uint64_t
stream_get_first_offset(const stream_t *stream)
{
    return stream->first;
}

uint64_t
stream_get_snapshot_offset(const stream_t *stream)
{
    return stream->snapshot_offset;
}

bool
stream_is_caught_up(const stream_t *stream)
{
    return stream->caught_up;
}

bool
stream_is_reachable(const stream_t *stream)
{
    return stream->reachable;
}

struct timespec
stream_get_sync_time(const stream_t *stream)
{
    return stream->sync_time;
}
