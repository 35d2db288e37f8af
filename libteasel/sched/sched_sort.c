/* Sorts the jobs into the order in which their tasks are placed. */

#include "sched/sched_internal.h"

enum {
    SORT_INTERVAL_MS = 200,
};

/* Weight of a new run in the moving average of a queue. */
static const double ESTIMATE_WEIGHT = 0.05;

static double
get_estimate_error(const sched_t *sched, const sched_job_t *job)
{
    const double *error =
        g_hash_table_lookup(sched->estimate_errors, job->spec->queue);

    return error != NULL ? *error : 1.0;
}

void
sched_update_estimate_error(sched_t *sched, const sched_task_t *task,
                            double ran_ms)
{
    const sched_job_t *job = sched_task_get_job(task);
    double estimate_ms = task->step->spec->estimated_ms;
    double *error;

    if (estimate_ms <= 0) {
        return;
    }
    error = g_new(double, 1);
    *error = get_estimate_error(sched, job);
    *error += ESTIMATE_WEIGHT * (ran_ms / estimate_ms - *error);
    g_hash_table_insert(sched->estimate_errors, g_strdup(job->spec->queue),
                        error);
}

static double
get_critical_path_ms(const Teasel__JobSpec *spec)
{
    double ends[SCHED_MAX_STEPS];
    double longest = 0;

    for (size_t i = 0; i < spec->n_steps; i++) {
        const Teasel__StepSpec *step = spec->steps[i];

        ends[i] = 0;
        for (size_t j = 0; j < step->n_after; j++) {
            ends[i] = MAX(ends[i], ends[step->after[j]]);
        }
        ends[i] += step->estimated_ms;
        longest = MAX(longest, ends[i]);
    }
    return longest;
}

static double
get_remaining_work(const sched_job_t *job)
{
    double work = 0;

    LIST_FOREACH (occurrence, &job->occurrences, sched_occurrence_t, link) {
        for (size_t i = 0; i < job->spec->n_steps; i++) {
            const sched_step_t *step = &occurrence->steps[i];

            work += (double)(step->spec->count - step->done) *
                    step->spec->estimated_ms * step->spec->cpu_milli / 1000.0;
        }
    }
    return work;
}

static void
update_sort_keys(const sched_t *sched, sched_job_t *job)
{
    const Teasel__JobSpec *spec = job->spec;
    double critical_path_ms =
        get_critical_path_ms(spec) * get_estimate_error(sched, job);

    job->deadline_ms =
        job->known_since_ms + spec->allowance_ms +
        (int64_t)(critical_path_ms * spec->slack_percent / 100.0);
    job->remaining_work = get_remaining_work(job);
}

typedef struct sort_context {
    int64_t now_ms;
} sort_context_t;

static int
compare_jobs(gconstpointer left, gconstpointer right, gpointer data)
{
    const sched_job_t *a = *(sched_job_t *const *)left;
    const sched_job_t *b = *(sched_job_t *const *)right;
    const sort_context_t *context = data;
    bool a_late = context->now_ms > a->deadline_ms;
    bool b_late = context->now_ms > b->deadline_ms;

    if (a->spec->priority != b->spec->priority) {
        return a->spec->priority < b->spec->priority ? -1 : 1;
    }
    if (a_late != b_late) {
        return a_late ? 1 : -1;
    }
    if (a->remaining_work != b->remaining_work) {
        return a->remaining_work < b->remaining_work ? -1 : 1;
    }
    return a->sequence < b->sequence ? -1 : a->sequence > b->sequence;
}

void
sched_sort_jobs(sched_t *sched)
{
    sort_context_t context = {.now_ms = sched_now_ms(sched)};
    g_autoptr(GPtrArray) jobs = NULL;

    if (context.now_ms - sched->last_sort_ms < SORT_INTERVAL_MS) {
        return;
    }
    sched->last_sort_ms = context.now_ms;
    jobs = g_ptr_array_new();
    LIST_FOREACH_SAFE (job, &sched->active_jobs, sched_job_t, link) {
        update_sort_keys(sched, job);
        list_remove(&job->link);
        g_ptr_array_add(jobs, job);
    }
    g_ptr_array_sort_with_data(jobs, compare_jobs, &context);
    for (guint i = 0; i < jobs->len; i++) {
        sched_job_t *job = g_ptr_array_index(jobs, i);

        list_append(&sched->active_jobs, &job->link);
    }
}
