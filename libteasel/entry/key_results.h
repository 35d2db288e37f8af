#ifndef TEASEL_ENTRY_KEY_RESULTS_H
#define TEASEL_ENTRY_KEY_RESULTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/loop.h"
#include "entry/forwarder.h"
#include "stream/stream.h"

#ifdef __cplusplus
extern "C" {
#endif

enum {
    KEY_CLAIM_ID_SIZE = 16,
    /* Larger answers are not recorded, to keep the log records small, and
       so cannot be replayed. */
    KEY_RESULT_MAX_BODY = 64 * 1024,
};

typedef struct key_results key_results_t;

/**
 * key_results_new() - create a writer of results to stream "keys"
 *
 * An append that is refused or not read back is retried until it succeeds.
 */
key_results_t *key_results_new(loop_t *loop, stream_t *stream);
void key_results_free(key_results_t *results);

/**
 * key_results_write() - record the result of the request that holds a claim
 * @result: an unknown outcome, or an answer with a body larger than
 *     KEY_RESULT_MAX_BODY, is recorded with status 0; NULL or ATTEMPT_NOT_RUN
 *     releases the key
 *
 * Copies its arguments.
 */
void key_results_write(key_results_t *results, const char *service,
                       const char *key,
                       const uint8_t claim_id[KEY_CLAIM_ID_SIZE],
                       const forward_result_t *result);

/**
 * key_results_get_pending() - return the number of results that are not on
 * the log yet
 */
size_t key_results_get_pending(const key_results_t *results);

#ifdef __cplusplus
}
#endif

#endif
