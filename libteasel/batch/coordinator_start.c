#include "batch/coordinator_internal.h"

enum {
    /* Sizes without a place that a scan remembers. */
    SCAN_FAILED = 8,
    /* Workers on which a job failed are avoided for this long; a small cell
       may have no others. */
    AVOID_MS = 5000,
};

/**
 * struct scan - one pass over the waiting jobs
 * @failed: sizes that found no place; room only shrinks during the scan, so
 *     sizes that are no smaller need not be tried
 * @samples_only: pass over jobs of classes that are not known yet, if enough
 *     of the class run already
 * @head_seen: a job was tried and found no place
 */
typedef struct scan {
    coordinator_t *coordinator;
    struct timespec now;
    job_size_t failed[SCAN_FAILED];
    size_t failed_count;
    int avoid[CELL_BAD_WORKERS];
    size_t avoid_count;
    bool samples_only;
    bool head_seen;
} scan_t;

static bool
is_hopeless(const scan_t *scan, const job_size_t *size)
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

static job_size_t
get_size(const coordinator_t *coordinator, const waiting_t *waiting)
{
    const job_size_t *largest = &coordinator->largest;
    const job_spec_t *spec = &waiting->job->spec;
    job_size_t size;
    uint64_t run_ms;

    /* A job that declares more than any worker holds is never started. */
    if (coordinator->opts.believe_declared || waiting->declared_only ||
        !job_size_fits(&spec->size, largest)) {
        return spec->size;
    }
    learn_get(waiting->class_, spec, &size, &run_ms);
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

    if (kept != NULL || is_hopeless(scan, size)) {
        return kept;
    }
    index =
        place_choose(coordinator->place, size, scan->avoid, scan->avoid_count);
    if (index != PLACE_NONE) {
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
    index = place_choose_future(coordinator->place, size, scan->avoid,
                                scan->avoid_count);
    if (index == PLACE_NONE) {
        waiting->declared_only |=
            place_choose_future(coordinator->place, &waiting->job->spec.size,
                                NULL, 0) != PLACE_NONE;
        return;
    }
    member = coordinator->by_index->pdata[index];
    member->kept_for = waiting->job;
    waiting->kept = member;
    coordinator->kept_count++;
    coordinator_sync_member(coordinator, member);
}

static bool
try_start(scan_t *scan, waiting_t *waiting)
{
    coordinator_t *coordinator = scan->coordinator;
    job_size_t size = get_size(coordinator, waiting);
    quota_team_t *team = waiting->queue->team;
    member_t *member;

    if (!quota_allows(coordinator->quota, team, &size)) {
        return false;
    }
    fill_avoid(scan, waiting);
    member = choose_member(scan, waiting, &size);
    if (member == NULL) {
        if (!scan->head_seen) {
            scan->head_seen = true;
            keep_worker(scan, waiting, &size);
        }
        return false;
    }
    start(scan, waiting, member, &size);
    job_size_add(&team->used, &size);
    return true;
}

static void
set_bucket(queue_t *queue, job_priority_t priority, int bucket)
{
    queue->bucket = bucket;
    if (bucket >= 0) {
        queue->cursor = queue->jobs[priority][bucket].next;
    }
}

/* The next job of the scan, or NULL at its end. */
static waiting_t *
get_next(queue_t *queue, job_priority_t priority)
{
    while (queue->bucket >= 0) {
        const list_t *head = &queue->jobs[priority][queue->bucket];
        waiting_t *waiting = LIST_ENTRY(queue->cursor, waiting_t, link);

        if (queue->cursor == head) {
            set_bucket(queue, priority, queue->bucket - 1);
            continue;
        }
        queue->cursor = queue->cursor->next;
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
    return scan->samples_only && !learn_is_known(waiting->class_) &&
           learn_is_sampled(waiting->class_);
}

/* Starts the next job of the queue that has a place. */
static void
start_next(scan_t *scan, queue_t *queue, job_priority_t priority)
{
    waiting_t *waiting;

    while ((waiting = get_next(queue, priority)) != NULL) {
        if (waiting->planned || is_passed_over(scan, waiting)) {
            continue;
        }
        if (try_start(scan, waiting)) {
            return;
        }
    }
}

static void
collect_old(const scan_t *scan, queue_t *queue, job_priority_t priority)
{
    for (int i = 0; i < COORDINATOR_BUCKETS; i++) {
        LIST_FOREACH_SAFE (waiting, &queue->jobs[priority][i], waiting_t,
                           link) {
            if (timespec_diff_ms(scan->now, waiting->since) <
                COORDINATOR_OLD_MS) {
                break;
            }
            list_remove(&waiting->link);
            waiting->bucket = COORDINATOR_OLD;
            list_append(&queue->jobs[priority][COORDINATOR_OLD],
                        &waiting->link);
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

    for (size_t i = 0; i < G_N_ELEMENTS(passes); i++) {
        job_priority_t priority = passes[i].priority;
        queue_t *queue;

        scan.samples_only =
            passes[i].samples_only && !coordinator->opts.believe_declared;
        LIST_FOREACH (item, &coordinator->queues, queue_t, link) {
            collect_old(&scan, item, priority);
            set_bucket(item, priority, COORDINATOR_OLD);
        }
        while (
            !coordinator_is_full(coordinator, coordinator->opts.max_items) &&
            (queue = choose_queue(coordinator)) != NULL) {
            start_next(&scan, queue, priority);
        }
    }
    return_planned_use(coordinator);
}
