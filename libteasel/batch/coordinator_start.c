#include "batch/coordinator_scan.h"

bool
scan_cannot_fit(const scan_t *scan, const job_size_t *size)
{
    for (size_t i = 0; i < scan->failed_count; i++) {
        if (job_size_fits(&scan->failed[i], size)) {
            return true;
        }
    }
    return false;
}

static void
add_failed_size(scan_t *scan, const job_size_t *size)
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
    if (scan->failed_count < SCAN_MAX_FAILED) {
        scan->failed[scan->failed_count++] = *size;
    }
}

job_size_t
scan_get_size(const coordinator_t *coordinator, const tracked_job_t *tracked)
{
    const job_size_t *largest = &coordinator->largest;
    const job_spec_t *spec = &tracked->job->spec;
    job_size_t size;
    uint64_t run_ms;

    /* A job whose declared size fits on no worker is not started, even if the
       estimate is smaller. */
    if (coordinator->opts.use_declared_sizes || tracked->declared_only ||
        !job_size_fits(&spec->size, largest)) {
        return spec->size;
    }
    learn_estimate(tracked->class_, spec, &size, &run_ms);
    size.cpu_milli = MAX(size.cpu_milli, tracked->peak.cpu_milli);
    size.memory_mb = MAX(size.memory_mb, tracked->peak.memory_mb);
    size.cpu_milli = MIN(size.cpu_milli, largest->cpu_milli);
    size.memory_mb = MIN(size.memory_mb, largest->memory_mb);
    return size;
}

static void
fill_avoid(scan_t *scan, const tracked_job_t *tracked)
{
    const GPtrArray *failed = tracked->job->failed_workers;

    scan->avoid_count = 0;
    if (failed == NULL ||
        timespec_diff_ms(scan->now, tracked->queued_at) >= SCAN_AVOID_MS) {
        return;
    }
    for (guint i = 0; i < failed->len && i < CELL_MAX_FAILED_WORKERS; i++) {
        const member_t *member =
            g_hash_table_lookup(scan->coordinator->members, failed->pdata[i]);

        if (member != NULL) {
            scan->avoid[scan->avoid_count++] = member->placement_index;
        }
    }
}

static void
start(scan_t *scan, tracked_job_t *tracked, member_t *member,
      const job_size_t *size)
{
    coordinator_t *coordinator = scan->coordinator;

    if (tracked->reserved != NULL) {
        coordinator_release_reservation(coordinator, tracked->reserved);
    }
    coordinator_add_start(coordinator, tracked->job, member, size);
    tracked->planned = true;
    learn_note_running(tracked->class_, 1);
    job_size_add(&member->planned, size);
    coordinator_sync_member(coordinator, member);
}

static member_t *
choose_reserved(const tracked_job_t *tracked, const job_size_t *size)
{
    member_t *member = tracked->reserved;
    job_size_t available;

    if (member == NULL) {
        return NULL;
    }
    available = member->capacity;
    available.cpu_milli =
        MIN(available.cpu_milli, member->worker->capacity.cpu_milli);
    available.memory_mb =
        MIN(available.memory_mb, member->worker->capacity.memory_mb);
    job_size_subtract(&available, &member->worker->used);
    job_size_subtract(&available, &member->planned);
    return job_size_fits(size, &available) ? member : NULL;
}

static member_t *
choose_member(scan_t *scan, const tracked_job_t *tracked,
              const job_size_t *size)
{
    coordinator_t *coordinator = scan->coordinator;
    member_t *reserved = choose_reserved(tracked, size);
    int index;

    if (reserved != NULL || scan_cannot_fit(scan, size)) {
        return reserved;
    }
    index = placement_choose(coordinator->placement, size, scan->avoid,
                             scan->avoid_count);
    if (index != PLACEMENT_NONE) {
        return coordinator->members_by_index->pdata[index];
    }
    add_failed_size(scan, size);
    return NULL;
}

/* Reserves a worker for a job that is first in line and did not fit for a
   while, so that smaller jobs do not starve it. */
static void
reserve_worker(scan_t *scan, tracked_job_t *tracked, const job_size_t *size)
{
    coordinator_t *coordinator = scan->coordinator;
    size_t limit = g_hash_table_size(coordinator->cell->workers) /
                   COORDINATOR_RESERVE_SHARE;
    int64_t age = tracked->job->spec.priority == JOB_URGENT
                      ? COORDINATOR_URGENT_RESERVE_DELAY_MS
                      : COORDINATOR_RESERVE_DELAY_MS;
    member_t *member;
    int index;

    if (tracked->blocked_since.tv_sec == 0) {
        tracked->blocked_since = scan->now;
    }
    if (tracked->reserved != NULL ||
        timespec_diff_ms(scan->now, tracked->blocked_since) < age ||
        coordinator->reserved_count >= MAX(limit, 1)) {
        return;
    }
    index = placement_choose_reservation(coordinator->placement, size,
                                         scan->avoid, scan->avoid_count);
    if (index == PLACEMENT_NONE) {
        tracked->declared_only |=
            placement_choose_reservation(coordinator->placement,
                                         &tracked->job->spec.size, NULL,
                                         0) != PLACEMENT_NONE;
        return;
    }
    member = coordinator->members_by_index->pdata[index];
    member->reserved_for = tracked->job;
    tracked->reserved = member;
    coordinator->reserved_count++;
    coordinator_sync_member(coordinator, member);
}

bool
scan_try_start(scan_t *scan, tracked_job_t *tracked, const job_size_t *size)
{
    coordinator_t *coordinator = scan->coordinator;
    quota_team_t *team = tracked->queue->team;
    member_t *member;

    if (!quota_allows(team, size)) {
        /* A reserved worker would stay unused until the quota allows the job
           to start. */
        if (tracked->reserved != NULL) {
            coordinator_release_reservation(coordinator, tracked->reserved);
        }
        return false;
    }
    fill_avoid(scan, tracked);
    member = choose_member(scan, tracked, size);
    if (member == NULL) {
        if (!scan->head_blocked) {
            scan->head_blocked = true;
            reserve_worker(scan, tracked, size);
        }
        return false;
    }
    start(scan, tracked, member, size);
    job_size_add(&team->used, size);
    return true;
}
