#include "batch/coordinator_scan.h"

static bool
is_bucket_hopeless(const scan_t *scan, const bucket_t *bucket)
{
    return !scan->full && bucket->least_known &&
           (scan_is_hopeless(scan, &bucket->least) ||
            placement_choose(scan->coordinator->place, &bucket->least, NULL,
                             0) == PLACEMENT_NONE);
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
        if (!is_bucket_hopeless(scan, bucket)) {
            break;
        }
        scan->head_seen = true;
    }
    queue->bucket = number;
    if (number < 0) {
        return;
    }
    queue->cursor = bucket->jobs.next;
    if (scan->full) {
        bucket->least_known = false;
        bucket->least = (job_size_t){UINT32_MAX, UINT32_MAX, UINT64_MAX};
    }
}

static void
note_least(const scan_t *scan, bucket_t *bucket, const job_size_t *size)
{
    if (scan->full) {
        bucket->least.cpu_milli =
            MIN(bucket->least.cpu_milli, size->cpu_milli);
        bucket->least.memory_mb =
            MIN(bucket->least.memory_mb, size->memory_mb);
        bucket->least.accelerators =
            MIN(bucket->least.accelerators, size->accelerators);
    }
}

/* The next job of the scan, or NULL at its end. */
static waiting_t *
get_next(scan_t *scan, queue_t *queue, job_priority_t priority,
         job_size_t *size)
{
    while (queue->bucket >= 0) {
        bucket_t *bucket = &queue->buckets[priority][queue->bucket];
        waiting_t *waiting = LIST_ENTRY(queue->cursor, waiting_t, link);

        if (queue->cursor == &bucket->jobs) {
            bucket->least_known |= scan->full;
            set_bucket(scan, queue, priority, queue->bucket - 1);
            continue;
        }
        queue->cursor = queue->cursor->next;
        *size = scan_get_size(scan->coordinator, waiting);
        note_least(scan, bucket, size);
        /* What is learned of its class may have moved it. */
        if (waiting->bucket != COORDINATOR_OLD &&
            coordinator_get_bucket(waiting) != waiting->bucket) {
            coordinator_enqueue(waiting);
        }
        return waiting;
    }
    return NULL;
}

static bool
is_passed_over(const scan_t *scan, const waiting_t *waiting)
{
    return scan->samples_only && !learn_has_estimate(waiting->class_) &&
           learn_has_enough_samples(waiting->class_);
}

/* Starts the next job of the queue that has a place. */
static void
start_next(scan_t *scan, queue_t *queue, job_priority_t priority)
{
    waiting_t *waiting;
    job_size_t size;

    while ((waiting = get_next(scan, queue, priority, &size)) != NULL) {
        if (waiting->planned || is_passed_over(scan, waiting)) {
            continue;
        }
        if (scan_try_start(scan, waiting, &size)) {
            return;
        }
    }
}

/* Their workers are not in the index of the placement. */
static void
start_kept(scan_t *scan)
{
    GPtrArray *members = scan->coordinator->by_index;

    for (guint i = 0; scan->coordinator->kept_count > 0 && i < members->len;
         i++) {
        const member_t *member = members->pdata[i];

        if (member != NULL && member->kept_for != NULL) {
            waiting_t *waiting = member->kept_for->policy;
            job_size_t size = scan_get_size(scan->coordinator, waiting);

            scan_try_start(scan, waiting, &size);
        }
    }
}

static void
collect_old(const scan_t *scan, queue_t *queue, job_priority_t priority)
{
    for (int i = 0; i < COORDINATOR_BUCKETS; i++) {
        LIST_FOREACH_SAFE (waiting, &queue->buckets[priority][i].jobs,
                           waiting_t, link) {
            if (timespec_diff_ms(scan->now, waiting->since) <
                COORDINATOR_OLD_MS) {
                break;
            }
            list_remove(&waiting->link);
            waiting->bucket = COORDINATOR_OLD;
            list_append(&queue->buckets[priority][COORDINATOR_OLD].jobs,
                        &waiting->link);
            queue->buckets[priority][COORDINATOR_OLD].least_known = false;
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
return_planned_use(coordinator_t *coordinator)
{
    const Teasel__Decision *decision = coordinator->decision;

    /* The fold adds it again when the start takes effect. */
    for (size_t i = 0; i < decision->n_items; i++) {
        const Teasel__DecisionStart *start = decision->items[i]->start;
        const cell_job_t *job;
        waiting_t *waiting;
        job_size_t size;

        if (decision->items[i]->item_case !=
            TEASEL__DECISION_ITEM__ITEM_START) {
            continue;
        }
        job = cell_find_job(coordinator->cell, start->job_id);
        size.cpu_milli = start->size->cpu_milli;
        size.memory_mb = start->size->memory_mb;
        size.accelerators = start->size->accelerators;
        waiting = job->policy;
        job_size_subtract(&waiting->queue->team->used, &size);
        learn_note_running(waiting->class_, -1);
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

    scan.full = timespec_diff_ms(scan.now, coordinator->last_full) >=
                COORDINATOR_FULL_MS;
    if (scan.full) {
        coordinator->last_full = scan.now;
    }
    start_kept(&scan);
    for (size_t i = 0; i < G_N_ELEMENTS(passes); i++) {
        job_priority_t priority = passes[i].priority;
        queue_t *queue;

        scan.samples_only =
            passes[i].samples_only && !coordinator->opts.use_declared_sizes;
        LIST_FOREACH (item, &coordinator->queues, queue_t, link) {
            collect_old(&scan, item, priority);
            set_bucket(&scan, item, priority, COORDINATOR_OLD);
        }
        while (
            !coordinator_is_full(coordinator, coordinator->opts.max_items) &&
            (queue = choose_queue(coordinator)) != NULL) {
            start_next(&scan, queue, priority);
        }
    }
    return_planned_use(coordinator);
}
