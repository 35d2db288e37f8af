#include "base/log_sink.h"

#include <glib.h>
#include <poll.h>
#include <string.h>
#include <unistd.h>

enum {
    /* A pipe that poll() reports as writable takes this many bytes without
       blocking. */
    MAX_WRITE_SIZE = 4096,
};

struct log_sink {
    int fd;
    char *buffer;
    size_t size;
    size_t start;
    size_t used;
    uint64_t dropped;
};

log_sink_t *
log_sink_new(int fd, size_t size)
{
    log_sink_t *sink = g_new0(log_sink_t, 1);

    sink->fd = fd;
    sink->size = size;
    sink->buffer = g_malloc(size);
    return sink;
}

void
log_sink_free(log_sink_t *sink)
{
    if (sink != NULL) {
        g_free(sink->buffer);
        g_free(sink);
    }
}

static void
append_to_buffer(log_sink_t *sink, const char *line, size_t length)
{
    size_t at = (sink->start + sink->used) % sink->size;
    size_t first = MIN(length, sink->size - at);

    memcpy(sink->buffer + at, line, first);
    memcpy(sink->buffer, line + first, length - first);
    sink->used += length;
}

bool
log_sink_add(log_sink_t *sink, const char *line, size_t length, bool important)
{
    size_t limit = important ? sink->size : sink->size / 4 * 3;

    if (sink->used + length > limit) {
        sink->dropped++;
        return false;
    }
    append_to_buffer(sink, line, length);
    return true;
}

static bool
is_writable(int fd)
{
    struct pollfd request = {.fd = fd, .events = POLLOUT};

    return poll(&request, 1, 0) == 1 && (request.revents & POLLOUT) != 0;
}

bool
log_sink_flush(log_sink_t *sink)
{
    while (sink->used > 0 && is_writable(sink->fd)) {
        size_t contiguous = MIN(sink->used, sink->size - sink->start);
        ssize_t written = write(sink->fd, sink->buffer + sink->start,
                                MIN(contiguous, MAX_WRITE_SIZE));

        if (written <= 0) {
            break;
        }
        sink->start = (sink->start + (size_t)written) % sink->size;
        sink->used -= (size_t)written;
    }
    return sink->used == 0;
}

uint64_t
log_sink_take_dropped(log_sink_t *sink)
{
    uint64_t dropped = sink->dropped;

    if (sink->used > sink->size / 2) {
        return 0;
    }
    sink->dropped = 0;
    return dropped;
}

size_t
log_sink_get_pending(const log_sink_t *sink)
{
    return sink->used;
}
