#ifndef TEASEL_SCHEDULER_WRITE_LIMIT_H
#define TEASEL_SCHEDULER_WRITE_LIMIT_H

#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct write_limit - limit of the size of a write, which follows what the
 * link to the store has carried
 * @bytes: size at which a write ends
 */
typedef struct write_limit {
    size_t bytes;
} write_limit_t;

void write_limit_init(write_limit_t *limit);

/**
 * write_limit_note_written() - adapt the limit to a write that was answered
 * @took_ms: from its only attempt to the answer
 */
void write_limit_note_written(write_limit_t *limit, size_t bytes,
                              int64_t took_ms);

/**
 * write_limit_note_timeout() - adapt the limit to a write without an answer
 */
void write_limit_note_timeout(write_limit_t *limit, size_t bytes);

/**
 * write_limit_get_transfer_ms() - return how long the slowest link that a
 * scheduler may have takes for a write
 */
int64_t write_limit_get_transfer_ms(size_t bytes);

#ifdef __cplusplus
}
#endif

#endif
