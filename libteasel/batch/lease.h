#ifndef TEASEL_BATCH_LEASE_H
#define TEASEL_BATCH_LEASE_H

#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"

#ifdef __cplusplus
extern "C" {
#endif

enum {
    /* Heartbeats that a renewal may answer. At one heartbeat per second this
       is more than the longest lease. */
    LEASE_HEARTBEATS = 32
};

typedef struct lease_heartbeat {
    uint64_t sequence;
    struct timespec sent;
} lease_heartbeat_t;

/**
 * struct lease - an agent's permission to run batch tasks
 * @epoch: newest epoch that was seen, 0 before the first
 * @granted_epoch: epoch that granted the lease, 0 if none did
 * @end: no task may run at or after this time
 */
typedef struct lease {
    const clock_source_t *clock;
    uint64_t epoch;
    uint64_t granted_epoch;
    struct timespec end;
    lease_heartbeat_t heartbeats[LEASE_HEARTBEATS];
} lease_t;

typedef enum lease_result {
    LEASE_RENEWED,
    LEASE_STALE,   /* the renewal is of an older epoch */
    LEASE_UNKNOWN, /* it answers no heartbeat that is remembered */
} lease_result_t;

void lease_init(lease_t *lease, const clock_source_t *clock);

/**
 * lease_note_heartbeat() - remember when a heartbeat is sent
 * @sequence: grows with each heartbeat; starts at 1
 */
void lease_note_heartbeat(lease_t *lease, uint64_t sequence);

/**
 * lease_renew() - apply a renewal
 * @sequence: of the heartbeat that it answers; the lease is counted from the
 *     sending of that heartbeat
 */
lease_result_t lease_renew(lease_t *lease, uint64_t epoch, uint64_t sequence,
                           uint64_t lease_ms);

/**
 * lease_accept_epoch() - check the epoch of a message
 *
 * A newer epoch is remembered, so that older ones are refused from then on.
 * The lease of the older epoch is then not extended any further.
 */
bool lease_accept_epoch(lease_t *lease, uint64_t epoch);

/**
 * lease_get_remaining_ms() - time that is left, 0 if the lease has expired
 */
uint64_t lease_get_remaining_ms(const lease_t *lease);

static inline bool
lease_is_live(const lease_t *lease)
{
    return lease_get_remaining_ms(lease) > 0;
}

#ifdef __cplusplus
}
#endif

#endif
