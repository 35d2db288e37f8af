#include "agent/coordinator_role_internal.h"
#include "base/events.h"

enum {
    /* Records after the last snapshot that make the next one due */
    SNAPSHOT_RECORDS = 500,
    /* Once the log trims records, a snapshot is due when the first retained
       record comes within this many records of the end of the last snapshot.
       A reader without the new snapshot may be this many records behind when
       the log trims them. */
    SNAPSHOT_MARGIN = 100,
    /* Minimum time between two snapshots */
    SNAPSHOT_PAUSE_MS = 1000,
};

static bool
is_due(const coordinator_role_t *role)
{
    uint64_t covered = stream_get_snapshot_offset(role->stream);
    uint64_t first = stream_get_first_offset(role->stream);
    uint64_t next = stream_get_next_offset(role->stream);

    if (next <= covered + 1) {
        return false;
    }
    return next - 1 - covered >= SNAPSHOT_RECORDS ||
           (first > 1 && first + SNAPSHOT_MARGIN > covered + 1);
}

static void
on_written(stream_outcome_t outcome, uint64_t offset, const char *detail,
           void *data)
{
    coordinator_role_t *role = data;

    role->snapshotting = false;
    if (outcome != STREAM_APPLIED) {
        event_log(EVENT_CELL_SNAPSHOT_FAILED, "cell=%s detail=\"%s\"",
                  role->opts.cell, detail);
    }
}

void
role_snapshot_check(coordinator_role_t *role)
{
    struct timespec now = clock_get_monotonic(role->opts.clock);
    GByteArray *snapshot;

    if (role->snapshotting || !stream_is_reachable(role->stream) ||
        timespec_diff_ms(now, role->snapshot_time) < SNAPSHOT_PAUSE_MS ||
        !is_due(role)) {
        return;
    }
    role->snapshotting = true;
    role->snapshot_time = now;
    snapshot = cell_encode(role->cell);
    stream_write_snapshot(role->stream, snapshot->data, snapshot->len,
                          on_written, role);
    g_byte_array_unref(snapshot);
}
