#include "batch/lease.h"

#include <string.h>

void
lease_init(lease_t *lease, const clock_source_t *clock)
{
    memset(lease, 0, sizeof(*lease));
    lease->clock = clock;
}

void
lease_note_heartbeat(lease_t *lease, uint64_t sequence)
{
    lease_heartbeat_t *slot = &lease->heartbeats[sequence % LEASE_HEARTBEATS];

    slot->sequence = sequence;
    slot->sent = clock_get_monotonic(lease->clock);
}

bool
lease_accept_epoch(lease_t *lease, uint64_t epoch)
{
    if (epoch < lease->epoch || epoch == 0) {
        return false;
    }
    lease->epoch = epoch;
    return true;
}

lease_result_t
lease_renew(lease_t *lease, uint64_t epoch, uint64_t sequence,
            uint64_t lease_ms)
{
    const lease_heartbeat_t *slot =
        &lease->heartbeats[sequence % LEASE_HEARTBEATS];
    struct timespec end;

    if (!lease_accept_epoch(lease, epoch)) {
        return LEASE_STALE;
    }
    if (sequence == 0 || slot->sequence != sequence) {
        return LEASE_UNKNOWN;
    }
    end = timespec_add_ms(slot->sent, (int64_t)lease_ms);
    /* Renewals of one epoch may arrive out of order, so an earlier end does
       not replace a later one. A new coordinator relies only on the leases
       that it granted itself, so its first renewal may shorten the lease. */
    if (epoch != lease->granted_epoch || timespec_is_before(lease->end, end)) {
        lease->end = end;
        lease->granted_epoch = epoch;
    }
    return LEASE_RENEWED;
}

uint64_t
lease_get_remaining_ms(const lease_t *lease)
{
    int64_t remaining;

    if (lease->granted_epoch == 0) {
        return 0;
    }
    remaining =
        timespec_diff_ms(lease->end, clock_get_monotonic(lease->clock));
    return remaining > 0 ? (uint64_t)remaining : 0;
}
