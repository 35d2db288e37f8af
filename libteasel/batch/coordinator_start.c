#include "batch/coordinator_scan.h"

bool
scan_is_hopeless(const scan_t *scan, const job_size_t *size)
{
    for (size_t i = 0; i < scan->failed_count; i++) {
        if (job_size_fits(&scan->failed[i], size)) {
            return true;
        }
    }
    return false;
}

static void
note_failed(scan_t *scan, const job_size_t *size)
{
    if (scan->avoid_count > 0) {
        return;
    }
    for (size_t i = 0; i < scan->failed_count; i++) {
        if (job_size_fits(size, &scan->failed[i])) {
            scan->failed[i] = *size;
            return;
        }
    }
    if (scan->failed_count < SCAN_FAILED) {
        scan->failed[scan->failed_count++] = *size;
    }
}

job_size_t
scan_get_size(const coordinator_t *coordinator, const waiting_t *waiting)
{
    const job_size_t *largest = &coordinator->largest;
    const job_spec_t *spec = &waiting->job->spec;
    job_size_t size;
    uint64_t run_ms;

    /* A job that declares more than any worker holds is never started. */
    if (coordinator->opts.use_declared_sizes || waiting->declared_only ||
        !job_size_fits(&spec->size, largest)) {
        return spec->size;
    }
    learn_estimate(waiting->class_, spec, &size, &run_ms);
    size.cpu_milli = MAX(size.cpu_milli, waiting->peak.cpu_milli);
    size.memory_mb = MAX(size.memory_mb, waiting->peak.memory_mb);
    size.cpu_milli = MIN(size.cpu_milli, largest->cpu_milli);
    size.memory_mb = MIN(size.memory_mb, largest->memory_mb);
    return size;
}

static void
fill_avoid(scan_t *scan, const waiting_t *waiting)
{
    const GPtrArray *failed = waiting->job->failed_workers;

    scan->avoid_count = 0;
    if (failed == NULL ||
        timespec_diff_ms(scan->now, waiting->since) >= AVOID_MS) {
        return;
    }
    for (guint i = 0; i < failed->len && i < CELL_BAD_WORKERS; i++) {
        const member_t *member =
            g_hash_table_lookup(scan->coordinator->members, failed->pdata[i]);

        if (member != NULL) {
            scan->avoid[scan->avoid_count++] = member->place_index;
        }
    }
}

static void
start(scan_t *scan, waiting_t *waiting, member_t *member,
      const job_size_t *size)
{
    coordinator_t *coordinator = scan->coordinator;

    if (waiting->kept != NULL) {
        coordinator_unkeep(coordinator, waiting->kept);
    }
    coordinator_add_start(coordinator, waiting->job, member, size);
    waiting->planned = true;
    learn_note_running(waiting->class_, 1);
    job_size_add(&member->planned, size);
    coordinator_sync_member(coordinator, member);
}

static member_t *
choose_kept(const waiting_t *waiting, const job_size_t *size)
{
    member_t *member = waiting->kept;
    job_size_t room;

    if (member == NULL) {
        return NULL;
    }
    room = member->capacity;
    room.cpu_milli = MIN(room.cpu_milli, member->worker->capacity.cpu_milli);
    room.memory_mb = MIN(room.memory_mb, member->worker->capacity.memory_mb);
    job_size_subtract(&room, &member->worker->used);
    job_size_subtract(&room, &member->planned);
    return job_size_fits(size, &room) ? member : NULL;
}

static member_t *
choose_member(scan_t *scan, const waiting_t *waiting, const job_size_t *size)
{
    coordinator_t *coordinator = scan->coordinator;
    member_t *kept = choose_kept(waiting, size);
    int index;

    if (kept != NULL || scan_is_hopeless(scan, size)) {
        return kept;
    }
    index = placement_choose(coordinator->place, size, scan->avoid,
                             scan->avoid_count);
    if (index != PLACEMENT_NONE) {
        return coordinator->by_index->pdata[index];
    }
    note_failed(scan, size);
    return NULL;
}

/* A job that comes first and still finds no place is too large for what the
   others leave free. */
static void
keep_worker(scan_t *scan, waiting_t *waiting, const job_size_t *size)
{
    coordinator_t *coordinator = scan->coordinator;
    size_t limit =
        g_hash_table_size(coordinator->cell->workers) / COORDINATOR_KEEP_SHARE;
    int64_t age = waiting->job->spec.priority == JOB_URGENT
                      ? COORDINATOR_URGENT_AGE_MS
                      : COORDINATOR_AGE_MS;
    member_t *member;
    int index;

    if (waiting->head_since.tv_sec == 0) {
        waiting->head_since = scan->now;
    }
    if (waiting->kept != NULL ||
        timespec_diff_ms(scan->now, waiting->head_since) < age ||
        coordinator->kept_count >= MAX(limit, 1)) {
        return;
    }
    index = placement_choose_reservation(coordinator->place, size, scan->avoid,
                                         scan->avoid_count);
    if (index == PLACEMENT_NONE) {
        waiting->declared_only |=
            placement_choose_reservation(coordinator->place,
                                         &waiting->job->spec.size, NULL,
                                         0) != PLACEMENT_NONE;
        return;
    }
    member = coordinator->by_index->pdata[index];
    member->kept_for = waiting->job;
    waiting->kept = member;
    coordinator->kept_count++;
    coordinator_sync_member(coordinator, member);
}

bool
scan_try_start(scan_t *scan, waiting_t *waiting, const job_size_t *size)
{
    coordinator_t *coordinator = scan->coordinator;
    quota_team_t *team = waiting->queue->team;
    member_t *member;

    if (!quota_allows(team, size)) {
        /* A worker kept free would stand idle until the team may start. */
        if (waiting->kept != NULL) {
            coordinator_unkeep(coordinator, waiting->kept);
        }
        return false;
    }
    fill_avoid(scan, waiting);
    member = choose_member(scan, waiting, size);
    if (member == NULL) {
        if (!scan->head_seen) {
            scan->head_seen = true;
            keep_worker(scan, waiting, size);
        }
        return false;
    }
    start(scan, waiting, member, size);
    job_size_add(&team->used, size);
    return true;
}
