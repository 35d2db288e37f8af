#ifndef TEASEL_REQUEST_IDEM_H
#define TEASEL_REQUEST_IDEM_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "wire/teasel.pb-c.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * typedef idem_t - state of idempotency keys, built from stream "keys"
 */
typedef struct idem idem_t;

typedef enum idem_state {
    IDEM_CLAIMED, /* the request is running, or its entry failed */
    IDEM_DONE,    /* the result is recorded */
} idem_state_t;

/**
 * struct idem_key - a claimed idempotency key
 * @name: internal key, made of the service and the idempotency key
 * @claim_id: id of the claim record that holds the key
 * @request_hash: hash of the request that claimed the key
 * @offset: offset of the claim record
 * @result: record of the result for IDEM_DONE, otherwise NULL; status 0 means
 *     that the outcome is unknown, a status without a body may mean that the
 *     body was too large to record
 */
typedef struct idem_key {
    char *name;
    idem_state_t state;
    GBytes *claim_id;
    uint64_t request_hash;
    uint64_t offset;
    Teasel__LogRecord *result;
} idem_key_t;

idem_t *idem_new(void);
void idem_free(idem_t *idem);

/**
 * idem_apply() - apply one record of stream "keys"
 *
 * The first claim of a key holds it. Only a result for that claim is accepted;
 * the result "not run" frees the key. Repeated records have no effect.
 *
 * Return: true if the state of a key changed.
 */
bool idem_apply(idem_t *idem, const Teasel__LogRecord *record,
                uint64_t offset);

/**
 * idem_find() - find a claimed key
 *
 * Return: NULL if the key is free; the pointer is valid until the next change.
 */
const idem_key_t *idem_find(const idem_t *idem, const char *service,
                            const char *key);

/**
 * idem_is_claimed_by() - check whether a claim record holds the key
 */
bool idem_is_claimed_by(const idem_key_t *key, const uint8_t *claim_id,
                        size_t length);

/**
 * idem_remove_before() - remove the claims that the log no longer retains
 * @first: oldest offset of the stream that the log retains
 */
void idem_remove_before(idem_t *idem, uint64_t first);

size_t idem_count(const idem_t *idem);

#ifdef __cplusplus
}
#endif

#endif
