#include "batch/coordinator_internal.h"

static queue_t *
get_queue(coordinator_t *coordinator, const char *team)
{
    queue_t *queue = g_hash_table_lookup(coordinator->queues_by_team, team);

    if (queue == NULL) {
        queue = g_new0(queue_t, 1);
        queue->team = quota_get_team(coordinator->quota, team);
        queue->arrival_order = coordinator->opts.arrival_order;
        for (int i = 0; i <= COORDINATOR_BUCKETS; i++) {
            list_init(&queue->buckets[JOB_NORMAL][i].jobs);
            list_init(&queue->buckets[JOB_URGENT][i].jobs);
        }
        list_append(&coordinator->queues, &queue->link);
        g_hash_table_insert(coordinator->queues_by_team, queue->team->name,
                            queue);
    }
    return queue;
}

int
coordinator_get_bucket(const tracked_job_t *tracked)
{
    job_size_t size;
    uint64_t run_ms;
    int bucket;

    if (tracked->queue->arrival_order) {
        return 0;
    }
    learn_estimate(tracked->class_, &tracked->job->spec, &size, &run_ms);
    bucket =
        MIN(63 - __builtin_clzll(MAX(run_ms, 1)), COORDINATOR_BUCKETS - 1);
    /* Until the class has an estimate, its shortest jobs come first: they
       provide the observations soonest. */
    return learn_has_estimate(tracked->class_)
               ? bucket
               : COORDINATOR_BUCKETS - 1 - bucket;
}

void
coordinator_enqueue(tracked_job_t *tracked)
{
    const job_spec_t *spec = &tracked->job->spec;
    bucket_t *bucket;

    list_remove(&tracked->link);
    tracked->bucket = coordinator_get_bucket(tracked);
    bucket = &tracked->queue->buckets[spec->priority][tracked->bucket];
    list_append(&bucket->jobs, &tracked->link);
    bucket->min_size_known = false;
}

static tracked_job_t *
track_job(coordinator_t *coordinator, cell_job_t *job)
{
    tracked_job_t *tracked = g_new0(tracked_job_t, 1);

    tracked->job = job;
    tracked->queue = get_queue(coordinator, job->spec.team);
    tracked->class_ = learn_get_class(coordinator->learn, &job->spec);
    tracked->queued_at = clock_get_monotonic(coordinator->opts.clock);
    list_init(&tracked->link);
    job->user_data = tracked;
    return tracked;
}

void
coordinator_untrack_job(coordinator_t *coordinator, cell_job_t *job)
{
    tracked_job_t *tracked = job->user_data;

    if (tracked == NULL) {
        return;
    }
    if (tracked->reserved != NULL) {
        coordinator_release_reservation(coordinator, tracked->reserved);
    }
    list_remove(&tracked->link);
    g_free(tracked);
    job->user_data = NULL;
}

static void
sync_worker_of(coordinator_t *coordinator, const cell_job_t *job)
{
    if (job->worker != NULL) {
        coordinator_sync_member(
            coordinator, coordinator_get_member(coordinator, job->worker));
    }
}

static void
update_team_usage(tracked_job_t *tracked, const cell_job_t *job, int before)
{
    bool was_running = before == CELL_RUNNING || before == CELL_REVOKED;
    quota_team_t *team = tracked->queue->team;

    if (!was_running && cell_job_is_running(job)) {
        job_size_add(&team->used, &job->size);
        learn_note_running(tracked->class_, 1);
    }
    if (was_running && !cell_job_is_running(job)) {
        job_size_subtract(&team->used, &job->size);
        learn_note_running(tracked->class_, -1);
    }
}

static void
notify_agent(coordinator_t *coordinator, const cell_job_t *job, int before)
{
    bool was_running = before == CELL_RUNNING || before == CELL_REVOKED;

    if (!coordinator->active) {
        return;
    }
    if (job->state == CELL_RUNNING && before == CELL_QUEUED) {
        coordinator_send_start(coordinator, job);
    }
    else if (cell_job_is_running(job)) {
        coordinator_send_stop(coordinator, job->worker, job->id, job->attempt,
                              job->cancel_wanted
                                  ? TEASEL__STOP_REASON__STOP_REASON_CANCEL
                                  : TEASEL__STOP_REASON__STOP_REASON_EVICT);
    }
    else if (was_running) {
        coordinator_answer_report(coordinator, job->worker, job->id,
                                  job->attempt);
    }
}

static void
on_job(cell_job_t *job, int before, void *data)
{
    coordinator_t *coordinator = data;
    tracked_job_t *tracked = job->user_data;

    if (tracked == NULL) {
        tracked = track_job(coordinator, job);
    }
    update_team_usage(tracked, job, before);
    list_remove(&tracked->link);
    if (job->state == CELL_QUEUED) {
        tracked->absent = false;
        tracked->sampled = false;
        tracked->blocked_since = (struct timespec){0};
        tracked->queued_at = clock_get_monotonic(coordinator->opts.clock);
        coordinator_enqueue(tracked);
    }
    else if (tracked->reserved != NULL) {
        coordinator_release_reservation(coordinator, tracked->reserved);
    }
    if (!cell_job_is_running(job)) {
        g_hash_table_remove(coordinator->reports, job->id);
    }
    notify_agent(coordinator, job, before);
    sync_worker_of(coordinator, job);
    if (cell_job_is_ended(job)) {
        coordinator_untrack_job(coordinator, job);
    }
    coordinator->dirty = true;
}

static void
on_finish(cell_job_t *job, const Teasel__DecisionFinish *finish, void *data)
{
    coordinator_t *coordinator = data;
    tracked_job_t *tracked = job->user_data;
    job_size_t peak = {.cpu_milli = finish->peak_cpu_milli,
                       .memory_mb = finish->peak_memory_mb};

    if (finish->outcome == TEASEL__OUTCOME__OUTCOME_EVICTED) {
        /* It may have been evicted for using more than its assigned size. */
        tracked->peak.cpu_milli = MAX(tracked->peak.cpu_milli, peak.cpu_milli);
        tracked->peak.memory_mb = MAX(tracked->peak.memory_mb, peak.memory_mb);
        if (peak.memory_mb > job->size.memory_mb) {
            learn_add_observation(tracked->class_, &job->spec, &peak, 0);
        }
    }
    if (finish->outcome == TEASEL__OUTCOME__OUTCOME_DONE) {
        learn_add_observation(tracked->class_, &job->spec, &peak,
                              finish->run_ms);
        quarantine_note_result(coordinator->quarantine, job->worker, job->id,
                               false);
    }
    if (finish->outcome != TEASEL__OUTCOME__OUTCOME_FAILED) {
        return;
    }
    quarantine_note_result(coordinator->quarantine, job->worker, job->id,
                           true);
    if (job->state == CELL_FAILED) {
        quarantine_discount_job(coordinator->quarantine, job->id);
    }
}

static void
count_workers(coordinator_t *coordinator)
{
    job_size_t total = {0};
    job_size_t *largest = &coordinator->largest;

    *largest = total;
    coordinator->quarantined_count = 0;
    LIST_FOREACH (worker, &coordinator->cell->worker_list, cell_worker_t,
                  link) {
        const job_size_t *capacity = &worker->capacity;

        job_size_add(&total, capacity);
        largest->cpu_milli = MAX(largest->cpu_milli, capacity->cpu_milli);
        largest->memory_mb = MAX(largest->memory_mb, capacity->memory_mb);
        largest->accelerators =
            MAX(largest->accelerators, capacity->accelerators);
        coordinator->quarantined_count += worker->quarantined;
    }
    quota_set_total(coordinator->quota, &total);
}

static void
on_worker(cell_worker_t *worker, void *data)
{
    coordinator_t *coordinator = data;
    member_t *member = coordinator_get_member(coordinator, worker->name);

    member->worker = worker;
    worker->user_data = member;
    count_workers(coordinator);
    coordinator_sync_member(coordinator, member);
    coordinator->dirty = true;
}

static void
on_job_removed(cell_job_t *job, void *data)
{
    coordinator_t *coordinator = data;
    tracked_job_t *tracked = job->user_data;

    if (tracked != NULL && cell_job_is_running(job)) {
        job_size_subtract(&tracked->queue->team->used, &job->size);
        learn_note_running(tracked->class_, -1);
    }
    coordinator_untrack_job(coordinator, job);
}

static void
on_worker_removed(cell_worker_t *worker, void *data)
{
    member_t *member = worker->user_data;

    member->worker = NULL;
    coordinator_sync_member(data, member);
}

static void
on_claim(uint64_t epoch, void *data)
{
    coordinator_t *coordinator = data;

    if (coordinator->active && epoch != coordinator->epoch) {
        coordinator_deactivate(coordinator);
    }
}

const cell_listener_t coordinator_listener = {
    .on_job = on_job,
    .on_finish = on_finish,
    .on_worker = on_worker,
    .on_job_removed = on_job_removed,
    .on_worker_removed = on_worker_removed,
    .on_claim = on_claim,
};
