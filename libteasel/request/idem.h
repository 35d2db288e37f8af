#ifndef TEASEL_REQUEST_IDEM_H
#define TEASEL_REQUEST_IDEM_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "wire/teasel.pb-c.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct idem idem_t;

typedef enum idem_state {
    IDEM_CLAIMED, /* its request runs, or its entry died */
    IDEM_DONE,    /* the result is known */
} idem_state_t;

/**
 * struct idem_key - a claimed idempotency key
 * @claim_id: id of the record that won
 * @result: set if done; status 0 means that the outcome is unknown, status
 *     without a body may mean that the body was too large
 */
typedef struct idem_key {
    char *name; /* internal: service and key */
    idem_state_t state;
    GBytes *claim_id;
    uint64_t request_hash;
    uint64_t offset;
    Teasel__LogRecord *result;
} idem_key_t;

idem_t *idem_new(void);
void idem_free(idem_t *idem);

/**
 * idem_apply() - fold one record of stream "keys"
 *
 * The first claim of a key wins. A result counts only for the claim that won;
 * "not run" frees the key. Repeated records have no effect.
 *
 * Return: true if the state of a key changed.
 */
bool idem_apply(idem_t *idem, const Teasel__LogRecord *record,
                uint64_t offset);

/**
 * idem_find() - the key, or NULL if it is free; valid until the next change
 */
const idem_key_t *idem_find(const idem_t *idem, const char *service,
                            const char *key);

/**
 * idem_is_claimed_by() - whether a record holds the key
 */
bool idem_is_claimed_by(const idem_key_t *key, const uint8_t *claim_id,
                        size_t length);

/**
 * idem_remove_before() - drop what the log no longer keeps
 * @first: oldest offset of the stream that is kept
 */
void idem_remove_before(idem_t *idem, uint64_t first);

size_t idem_count(const idem_t *idem);

#ifdef __cplusplus
}
#endif

#endif
