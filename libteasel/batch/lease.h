#ifndef TEASEL_BATCH_LEASE_H
#define TEASEL_BATCH_LEASE_H

#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"

#ifdef __cplusplus
extern "C" {
#endif

enum {
    /* Number of newest heartbeats that a renewal may answer. At one heartbeat
       per second they span more than the longest lease. */
    LEASE_HEARTBEATS = 32
};

typedef struct lease_heartbeat {
    uint64_t sequence;
    struct timespec sent;
} lease_heartbeat_t;

/**
 * struct lease - an agent's permission to run batch tasks until a time
 * @epoch: newest epoch received, 0 before the first
 * @granted_epoch: epoch that granted the lease, 0 if none did
 * @end: no task may run at or after this time
 * @heartbeats: ring of the newest heartbeats, by sequence
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
    LEASE_STALE,   /* the renewal has an older epoch */
    LEASE_UNKNOWN, /* it answers none of the newest heartbeats */
} lease_result_t;

void lease_init(lease_t *lease, const clock_source_t *clock);

/**
 * lease_note_heartbeat() - record when a heartbeat is sent
 * @sequence: starts at 1 and grows with each heartbeat
 */
void lease_note_heartbeat(lease_t *lease, uint64_t sequence);

/**
 * lease_renew() - apply a renewal
 * @sequence: of the heartbeat that it answers; the lease starts when that
 *     heartbeat was sent
 */
lease_result_t lease_renew(lease_t *lease, uint64_t epoch, uint64_t sequence,
                           uint64_t lease_ms);

/**
 * lease_accept_epoch() - check the epoch of a message
 *
 * After a newer epoch, messages of older epochs are refused, so a lease that
 * an older epoch granted is not extended any more.
 *
 * Return: false if the epoch is 0 or older than the newest one received.
 */
bool lease_accept_epoch(lease_t *lease, uint64_t epoch);

/**
 * lease_get_remaining_ms() - get the remaining time, 0 if the lease has
 * expired
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
