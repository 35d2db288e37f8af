#include <string.h>

#include "base/error.h"
#include "base/events.h"
#include "sched/job_order.h"
#include "sched/sched_internal.h"

sched_t *
sched_new(const sched_opts_t *opts)
{
    sched_t *sched = g_new0(sched_t, 1);

    sched->opts = *opts;
    sched->opts.remote_factor = MAX(1.0, opts->remote_factor);
    sched->created_ms = sched_now_ms(sched);
    sched->jobs = g_hash_table_new(g_str_hash, g_str_equal);
    sched->executors = g_hash_table_new(g_str_hash, g_str_equal);
    sched->nodes = g_hash_table_new(g_str_hash, g_str_equal);
    sched->interference = interference_new();
    sched->estimate_errors =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    sched->size_share = size_share_new();
    sched->admission = sched_admission_new();
    sched->jobs_in_write = g_ptr_array_new();
    sched->deleted_keys = g_ptr_array_new_with_free_func(g_free);
    list_init(&sched->executor_list);
    list_init(&sched->active_jobs);
    list_init(&sched->finished_jobs);
    list_init(&sched->dirty_jobs);
    list_init(&sched->staged_orders);
    list_init(&sched->orders_in_write);
    return sched;
}

void
sched_free(sched_t *sched)
{
    GHashTableIter iter;
    gpointer value;

    if (sched == NULL) {
        return;
    }
    g_hash_table_iter_init(&iter, sched->jobs);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        sched_job_free(value);
    }
    LIST_FOREACH_SAFE (executor, &sched->executor_list, sched_executor_t,
                       link) {
        sched_executor_free(executor);
    }
    g_hash_table_iter_init(&iter, sched->nodes);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        sched_node_free(value);
    }
    interference_free(sched->interference);
    g_hash_table_unref(sched->estimate_errors);
    size_share_free(sched->size_share);
    sched_admission_free(sched->admission);
    g_hash_table_unref(sched->jobs);
    g_hash_table_unref(sched->executors);
    g_hash_table_unref(sched->nodes);
    g_ptr_array_unref(sched->jobs_in_write);
    g_ptr_array_unref(sched->deleted_keys);
    g_free(sched);
}

int64_t
sched_now_ms(const sched_t *sched)
{
    return (int64_t)timespec_to_ms(clock_get_monotonic(sched->opts.clock));
}

int64_t
sched_wall_ms(const sched_t *sched)
{
    return (int64_t)timespec_to_ms(clock_get_wall(sched->opts.clock));
}

void
sched_mark_dirty(sched_t *sched, sched_job_t *job)
{
    /* Keeps its place, so that its turn comes while writes are short. */
    if (list_is_empty(&job->dirty_link)) {
        list_append(&sched->dirty_jobs, &job->dirty_link);
    }
}

static bool
goes_before(const sched_job_t *a, const sched_job_t *b)
{
    if (a->spec->priority != b->spec->priority) {
        return a->spec->priority < b->spec->priority;
    }
    return a->sequence < b->sequence;
}

static void
insert_job(sched_t *sched, sched_job_t *job)
{
    list_t *position = &sched->active_jobs;

    g_hash_table_insert(sched->jobs, job->spec->id, job);
    for (size_t i = 0; i < job->spec->n_steps; i++) {
        job->image_ids[i] = interference_get_image_id(
            sched->interference, job->spec->steps[i]->image);
    }
    if (sched_job_is_final(job)) {
        list_append(&sched->finished_jobs, &job->link);
        return;
    }
    job->size_class = (uint8_t)sched_count_size(sched, job->spec);
    while (position->prev != &sched->active_jobs &&
           goes_before(job, LIST_ENTRY(position->prev, sched_job_t, link))) {
        position = position->prev;
    }
    list_insert_before(position, &job->link);
}

/* Returns how long a lease from before this leader may last. A young executor
   may have taken that of an earlier incarnation under its id. */
static int64_t
get_unknown_lease_ms(const sched_t *sched, const char *key)
{
    int64_t age_ms = sched_wall_ms(sched) - sched_executor_key_started_ms(key);
    bool young = age_ms < SCHED_YOUNG_LEASES * sched->opts.max_lease_ms;

    return young ? MAX(sched->opts.max_lease_ms,
                       sched->opts.predecessor_lease_ms)
                 : sched->opts.predecessor_lease_ms;
}

sched_executor_t *
sched_get_executor(sched_t *sched, const char *key)
{
    sched_executor_t *executor = g_hash_table_lookup(sched->executors, key);

    if (executor == NULL) {
        executor = sched_executor_new(key);
        executor->number = ++sched->last_executor;
        executor->trial_failed_ms = sched_now_ms(sched);
        executor->expiry_ms =
            sched_now_ms(sched) + get_unknown_lease_ms(sched, key);
        g_hash_table_insert(sched->executors, executor->key, executor);
        list_append(&sched->executor_list, &executor->link);
    }
    return executor;
}

void
sched_set_stale_leader(sched_t *sched, bool possible)
{
    int64_t now_ms = sched_now_ms(sched);

    if (sched->stale_leader && !possible) {
        /* It may have extended them until now. */
        LIST_FOREACH (executor, &sched->executor_list, sched_executor_t,
                      link) {
            if (executor->heard_ms == 0) {
                executor->expiry_ms =
                    now_ms + get_unknown_lease_ms(sched, executor->key);
            }
        }
    }
    sched->stale_leader = possible;
}

static sched_executor_t *
lookup_executor(const char *key, void *data)
{
    return sched_get_executor(data, key);
}

/* Returns how long ago an earlier leader accepted a job. Wall clocks differ
   between processes and may jump. */
static int64_t
get_stored_age_ms(const sched_t *sched, const sched_job_t *job)
{
    if (job->accepted_ms == 0) {
        return 0;
    }
    return CLAMP(sched_wall_ms(sched) - job->accepted_ms, 0,
                 sched->opts.retain_ms);
}

static void
complete_occurrences(sched_t *sched, sched_job_t *job)
{
    LIST_FOREACH_SAFE (occurrence, &job->occurrences, sched_occurrence_t,
                       link) {
        if (occurrence->done_steps == job->spec->n_steps) {
            sched_complete_occurrence(sched, occurrence);
            sched_mark_dirty(sched, job);
        }
    }
}

bool
sched_load(sched_t *sched, const char *key, const void *record, size_t length,
           GError **error)
{
    sched_job_t *job;

    if (g_hash_table_contains(sched->jobs, key)) {
        g_set_error(error, TEASEL_ERROR, ERROR_INVALID,
                    "job \"%s\" is loaded already", key);
        return false;
    }
    job = sched_job_from_record(key, record, length, lookup_executor, sched,
                                error);
    if (job == NULL) {
        return false;
    }
    sched->last_sequence = MAX(sched->last_sequence, job->sequence);
    job->known_since_ms = sched_now_ms(sched) - get_stored_age_ms(sched, job);
    insert_job(sched, job);
    if (!sched_job_is_final(job)) {
        complete_occurrences(sched, job);
    }
    sched->placement_needed = true;
    return true;
}

static bool
is_occurrence_due(const sched_t *sched, const sched_job_t *job)
{
    return job->next_occurrence < MAX(1, job->spec->repeat_count) &&
           sched_job_get_start_ms(job, job->next_occurrence) <=
               sched_wall_ms(sched);
}

static size_t
count_occurrences(const sched_job_t *job)
{
    size_t count = 0;

    LIST_FOREACH (occurrence, &job->occurrences, sched_occurrence_t, link) {
        count++;
    }
    return count;
}

/* The first occurrence always has room, see sched_check_size(). */
static bool
has_room_for_occurrence(const sched_t *sched, const sched_job_t *job,
                        size_t count)
{
    return count == 0 ||
           sched_job_fits(job->spec, count + 1, sched->opts.record_bytes);
}

static void
set_occurrences_wait(sched_job_t *job, bool wait)
{
    if (wait && !job->occurrences_wait) {
        event_log(EVENT_RECORD_FULL, "job=%s occurrence=%u waits",
                  job->spec->id, job->next_occurrence);
    }
    job->occurrences_wait = wait;
}

/* Due occurrences wait for the end of earlier ones if the record of the job
   has no room for them. Returns whether none waits. */
static bool
add_due_occurrences(sched_t *sched, sched_job_t *job)
{
    size_t count = count_occurrences(job);

    while (is_occurrence_due(sched, job)) {
        if (!has_room_for_occurrence(sched, job, count)) {
            return false;
        }
        sched_job_add_occurrence(job);
        count++;
        sched_mark_dirty(sched, job);
        sched->placement_needed = true;
    }
    return true;
}

void
sched_add_due_occurrences(sched_t *sched, sched_job_t *job)
{
    bool wait =
        is_occurrence_due(sched, job) && !add_due_occurrences(sched, job);

    set_occurrences_wait(job, wait);
}

sched_job_t *
sched_submit(sched_t *sched, Teasel__JobSpec *spec)
{
    sched_job_t *job = g_hash_table_lookup(sched->jobs, spec->id);
    int64_t age_ms;

    if (job != NULL) {
        teasel__job_spec__free_unpacked(spec, NULL);
        return job;
    }
    job = sched_job_new(spec, ++sched->last_sequence);
    age_ms = sched_get_refused_age_ms(sched, spec->id);
    job->known_since_ms = sched_now_ms(sched) - age_ms;
    job->accepted_ms = sched_wall_ms(sched) - age_ms;
    insert_job(sched, job);
    sched_note_accepted(sched, job);
    sched_mark_dirty(sched, job);
    sched_add_due_occurrences(sched, job);
    event_log(EVENT_JOB_ACCEPTED, "job=%s queue=%s steps=%zu priority=%u",
              spec->id, spec->queue, spec->n_steps, spec->priority);
    return job;
}

sched_job_t *
sched_find(sched_t *sched, const char *id)
{
    return g_hash_table_lookup(sched->jobs, id);
}

static void
stop_occurrence(sched_t *sched, sched_occurrence_t *occurrence)
{
    for (size_t i = 0; i < occurrence->job->spec->n_steps; i++) {
        sched_step_t *step = &occurrence->steps[i];

        for (uint32_t j = 0; j < step->spec->count; j++) {
            if (step->tasks[j].executor != NULL) {
                sched_stop_task(
                    sched, &step->tasks[j],
                    sched_job_state_to_string(occurrence->job->state));
            }
        }
    }
}

void
sched_finish_job(sched_t *sched, sched_job_t *job, sched_job_state_t state)
{
    job->state = state;
    job->finished_ms = sched_wall_ms(sched);
    event_log(EVENT_JOB_FINISHED, "job=%s state=%s age_ms=%" G_GINT64_FORMAT,
              job->spec->id, sched_job_state_to_string(state),
              sched_now_ms(sched) - job->known_since_ms);
    list_remove(&job->link);
    list_append(&sched->finished_jobs, &job->link);
    LIST_FOREACH (occurrence, &job->occurrences, sched_occurrence_t, link) {
        stop_occurrence(sched, occurrence);
    }
    sched_mark_dirty(sched, job);
}

void
sched_cancel(sched_t *sched, sched_job_t *job)
{
    if (!sched_job_is_final(job)) {
        sched_finish_job(sched, job, SCHED_JOB_CANCELLED);
    }
}

bool
sched_withdraw(sched_t *sched, sched_job_t *job)
{
    if (job->stored || job->write_pending) {
        return false;
    }
    g_hash_table_remove(sched->jobs, job->spec->id);
    sched_job_free(job);
    return true;
}

uint32_t
sched_count_pending(const sched_t *sched, const char *queue)
{
    uint32_t count = 0;

    LIST_FOREACH (job, &sched->active_jobs, sched_job_t, link) {
        if (job->stored && !job->started &&
            strcmp(job->spec->queue, queue) == 0) {
            count++;
        }
    }
    return count;
}

const sched_node_t *
sched_find_node(const sched_t *sched, const char *name)
{
    return g_hash_table_lookup(sched->nodes, name);
}

static sched_node_t *
get_node(sched_t *sched, const char *name)
{
    sched_node_t *node = g_hash_table_lookup(sched->nodes, name);

    if (node == NULL) {
        node = sched_node_new(name);
        g_hash_table_insert(sched->nodes, node->name, node);
    }
    return node;
}

void
sched_assign_node(sched_t *sched, sched_executor_t *executor, const char *name)
{
    sched_node_t *old = executor->node;

    if (old != NULL && g_strcmp0(old->name, name) == 0) {
        return;
    }
    sched_executor_set_node(executor,
                            name != NULL ? get_node(sched, name) : NULL);
    if (old != NULL && list_is_empty(&old->executors)) {
        g_hash_table_remove(sched->nodes, old->name);
        sched_node_free(old);
    }
}

void
sched_disconnect(sched_t *sched, const char *name)
{
    const sched_node_t *node = sched_find_node(sched, name);

    if (node == NULL) {
        return;
    }
    LIST_FOREACH (executor, &node->executors, sched_executor_t, node_link) {
        executor->connected = false;
        executor->listed = false;
    }
}

void
sched_extend_leases(sched_t *sched, const char *name, int64_t until_ms)
{
    const sched_node_t *node = sched_find_node(sched, name);

    if (node == NULL) {
        return;
    }
    LIST_FOREACH (executor, &node->executors, sched_executor_t, node_link) {
        /* An agent renews only what it has reported on its connection. */
        if (executor->connected) {
            executor->expiry_ms = MAX(executor->expiry_ms, until_ms);
        }
    }
}

const list_t *
sched_get_executors(const sched_t *sched)
{
    return &sched->executor_list;
}

const list_t *
sched_get_active_jobs(const sched_t *sched)
{
    return &sched->active_jobs;
}
