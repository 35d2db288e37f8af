#include "batch/coordinator_scan.h"

static bool
bucket_cannot_fit(const scan_t *scan, const bucket_t *bucket)
{
    return !scan->full && bucket->min_size_known &&
           (scan_cannot_fit(scan, &bucket->min_size) ||
            placement_choose(scan->coordinator->placement, &bucket->min_size,
                             NULL, 0) == PLACEMENT_NONE);
}

static void
set_bucket(scan_t *scan, queue_t *queue, job_priority_t priority, int number)
{
    bucket_t *bucket;

    for (; number >= 0; number--) {
        bucket = &queue->buckets[priority][number];
        if (list_is_empty(&bucket->jobs)) {
            continue;
        }
        if (!bucket_cannot_fit(scan, bucket)) {
            break;
        }
        scan->head_blocked = true;
    }
    queue->bucket = number;
    if (number < 0) {
        return;
    }
    queue->cursor = bucket->jobs.next;
    if (scan->full) {
        bucket->min_size_known = false;
        bucket->min_size = (job_size_t){UINT32_MAX, UINT32_MAX, UINT64_MAX};
    }
}

static void
update_min_size(const scan_t *scan, bucket_t *bucket, const job_size_t *size)
{
    if (scan->full) {
        bucket->min_size.cpu_milli =
            MIN(bucket->min_size.cpu_milli, size->cpu_milli);
        bucket->min_size.memory_mb =
            MIN(bucket->min_size.memory_mb, size->memory_mb);
        bucket->min_size.accelerators =
            MIN(bucket->min_size.accelerators, size->accelerators);
    }
}

/* Returns the next job of the scan, or NULL at its end. */
static tracked_job_t *
get_next(scan_t *scan, queue_t *queue, job_priority_t priority,
         job_size_t *size)
{
    while (queue->bucket >= 0) {
        bucket_t *bucket = &queue->buckets[priority][queue->bucket];
        tracked_job_t *tracked =
            LIST_ENTRY(queue->cursor, tracked_job_t, link);

        if (queue->cursor == &bucket->jobs) {
            bucket->min_size_known |= scan->full;
            set_bucket(scan, queue, priority, queue->bucket - 1);
            continue;
        }
        queue->cursor = queue->cursor->next;
        *size = scan_get_size(scan->coordinator, tracked);
        update_min_size(scan, bucket, size);
        /* The estimate of its run time may have changed since it was queued.
         */
        if (tracked->bucket != COORDINATOR_AGED_BUCKET &&
            coordinator_get_bucket(tracked) != tracked->bucket) {
            coordinator_enqueue(tracked);
        }
        return tracked;
    }
    return NULL;
}

static bool
is_skipped(const scan_t *scan, const tracked_job_t *tracked)
{
    return scan->samples_only && !learn_has_estimate(tracked->class_) &&
           learn_has_enough_samples(tracked->class_);
}

/* Starts the next job of the queue that fits on a worker. */
static void
start_next(scan_t *scan, queue_t *queue, job_priority_t priority)
{
    tracked_job_t *tracked;
    job_size_t size;

    while ((tracked = get_next(scan, queue, priority, &size)) != NULL) {
        if (tracked->planned || is_skipped(scan, tracked)) {
            continue;
        }
        if (scan_try_start(scan, tracked, &size)) {
            return;
        }
    }
}

/* Reserved workers are closed in the placement, so their jobs are tried
   separately. */
static void
start_reserved(scan_t *scan)
{
    GPtrArray *members = scan->coordinator->members_by_index;

    for (guint i = 0;
         scan->coordinator->reserved_count > 0 && i < members->len; i++) {
        const member_t *member = members->pdata[i];

        if (member != NULL && member->reserved_for != NULL) {
            tracked_job_t *tracked = member->reserved_for->user_data;
            job_size_t size = scan_get_size(scan->coordinator, tracked);

            scan_try_start(scan, tracked, &size);
        }
    }
}

static void
collect_aged(const scan_t *scan, queue_t *queue, job_priority_t priority)
{
    for (int i = 0; i < COORDINATOR_BUCKETS; i++) {
        LIST_FOREACH_SAFE (tracked, &queue->buckets[priority][i].jobs,
                           tracked_job_t, link) {
            if (timespec_diff_ms(scan->now, tracked->queued_at) <
                COORDINATOR_AGED_MS) {
                break;
            }
            list_remove(&tracked->link);
            tracked->bucket = COORDINATOR_AGED_BUCKET;
            list_append(
                &queue->buckets[priority][COORDINATOR_AGED_BUCKET].jobs,
                &tracked->link);
            queue->buckets[priority][COORDINATOR_AGED_BUCKET].min_size_known =
                false;
        }
    }
}

static queue_t *
choose_queue(const coordinator_t *coordinator)
{
    queue_t *best = NULL;
    double least = 0;

    LIST_FOREACH (queue, &coordinator->queues, queue_t, link) {
        double share;

        if (queue->bucket < 0) {
            continue;
        }
        share = quota_get_share(coordinator->quota, queue->team);
        if (best == NULL || share < least) {
            best = queue;
            least = share;
        }
    }
    return best;
}

static void
revert_planned_use(coordinator_t *coordinator)
{
    const Teasel__Decision *decision = coordinator->decision;

    /* It is added again when the start is applied to the cell. */
    for (size_t i = 0; i < decision->n_items; i++) {
        const Teasel__DecisionStart *start = decision->items[i]->start;
        const cell_job_t *job;
        tracked_job_t *tracked;
        job_size_t size;

        if (decision->items[i]->item_case !=
            TEASEL__DECISION_ITEM__ITEM_START) {
            continue;
        }
        job = cell_find_job(coordinator->cell, start->job_id);
        size.cpu_milli = start->size->cpu_milli;
        size.memory_mb = start->size->memory_mb;
        size.accelerators = start->size->accelerators;
        tracked = job->user_data;
        job_size_subtract(&tracked->queue->team->used, &size);
        learn_note_running(tracked->class_, -1);
    }
}

void
coordinator_plan_starts(coordinator_t *coordinator)
{
    scan_t scan = {.coordinator = coordinator,
                   .now = clock_get_monotonic(coordinator->opts.clock)};
    static const struct {
        job_priority_t priority;
        bool samples_only;
    } passes[] = {
        {JOB_URGENT, false}, {JOB_NORMAL, true}, {JOB_NORMAL, false}};

    scan.full = timespec_diff_ms(scan.now, coordinator->last_full_scan) >=
                COORDINATOR_FULL_SCAN_MS;
    if (scan.full) {
        coordinator->last_full_scan = scan.now;
    }
    start_reserved(&scan);
    for (size_t i = 0; i < G_N_ELEMENTS(passes); i++) {
        job_priority_t priority = passes[i].priority;
        queue_t *queue;

        scan.samples_only =
            passes[i].samples_only && !coordinator->opts.use_declared_sizes;
        LIST_FOREACH (item, &coordinator->queues, queue_t, link) {
            collect_aged(&scan, item, priority);
            set_bucket(&scan, item, priority, COORDINATOR_AGED_BUCKET);
        }
        while (
            !coordinator_is_full(coordinator, coordinator->opts.max_items) &&
            (queue = choose_queue(coordinator)) != NULL) {
            start_next(&scan, queue, priority);
        }
    }
    revert_planned_use(coordinator);
}
