/* The order in which jobs get room. */

#include "sched/sched_internal.h"

enum {
    ORDER_INTERVAL_MS = 200,
};

/* Share of a new run in the moving average of a queue. */
static const double ESTIMATE_WEIGHT = 0.05;

static double
get_estimate_error(const sched_t *sched, const sched_job_t *job)
{
    const double *error =
        g_hash_table_lookup(sched->estimate_errors, job->spec->queue);

    return error != NULL ? *error : 1.0;
}

void
sched_learn_estimate(sched_t *sched, const sched_task_t *task, double ran_ms)
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
get_chain_ms(const Teasel__JobSpec *spec)
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
get_work_left(const sched_job_t *job)
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
estimate(const sched_t *sched, sched_job_t *job)
{
    const Teasel__JobSpec *spec = job->spec;
    double chain_ms = get_chain_ms(spec) * get_estimate_error(sched, job);

    job->due_ms = job->since_ms + spec->allowance_ms +
                  (int64_t)(chain_ms * spec->slack_percent / 100.0);
    job->work_left = get_work_left(job);
}

typedef struct order {
    int64_t now_ms;
} order_t;

static int
compare_jobs(gconstpointer left, gconstpointer right, gpointer data)
{
    const sched_job_t *a = *(sched_job_t *const *)left;
    const sched_job_t *b = *(sched_job_t *const *)right;
    const order_t *order = data;
    bool a_late = order->now_ms > a->due_ms;
    bool b_late = order->now_ms > b->due_ms;

    if (a->spec->priority != b->spec->priority) {
        return a->spec->priority < b->spec->priority ? -1 : 1;
    }
    if (a_late != b_late) {
        return a_late ? 1 : -1;
    }
    if (a->work_left != b->work_left) {
        return a->work_left < b->work_left ? -1 : 1;
    }
    return a->accepted < b->accepted ? -1 : a->accepted > b->accepted;
}

void
sched_order_jobs(sched_t *sched)
{
    order_t order = {.now_ms = sched_now_ms(sched)};
    g_autoptr(GPtrArray) jobs = NULL;

    if (order.now_ms - sched->ordered_ms < ORDER_INTERVAL_MS) {
        return;
    }
    sched->ordered_ms = order.now_ms;
    jobs = g_ptr_array_new();
    LIST_FOREACH_SAFE (job, &sched->active, sched_job_t, link) {
        estimate(sched, job);
        list_remove(&job->link);
        g_ptr_array_add(jobs, job);
    }
    g_ptr_array_sort_with_data(jobs, compare_jobs, &order);
    for (guint i = 0; i < jobs->len; i++) {
        sched_job_t *job = g_ptr_array_index(jobs, i);

        list_append(&sched->active, &job->link);
    }
}
