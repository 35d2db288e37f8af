#include "scheduler/write_limit.h"

#include <glib.h>

enum {
    MIN_BYTES = 16 * 1024,
    /* The slowest link carries it in 0.26 s. */
    INITIAL_BYTES = 64 * 1024,
    MAX_BYTES = 1024 * 1024,
    /* The store itself may take up to 240 ms. */
    GROW_BELOW_MS = 250,
    SHRINK_ABOVE_MS = 450,
    SLOWEST_BYTES_PER_MS = 250, /* 2 Mbit/s */
};

void
write_limit_init(write_limit_t *limit)
{
    limit->bytes = INITIAL_BYTES;
}

void
write_limit_note_written(write_limit_t *limit, size_t bytes, int64_t took_ms)
{
    /* A small write says little of the link. */
    if (bytes < limit->bytes / 2) {
        return;
    }
    if (took_ms < GROW_BELOW_MS) {
        limit->bytes = MIN(MAX_BYTES, limit->bytes * 2);
    }
    else if (took_ms > SHRINK_ABOVE_MS) {
        limit->bytes = MAX(MIN_BYTES, limit->bytes / 2);
    }
}

void
write_limit_note_timeout(write_limit_t *limit, size_t bytes)
{
    if (bytes >= limit->bytes / 2) {
        limit->bytes = MAX(MIN_BYTES, limit->bytes / 2);
    }
}

int64_t
write_limit_get_transfer_ms(size_t bytes)
{
    return (int64_t)(bytes / SLOWEST_BYTES_PER_MS);
}
