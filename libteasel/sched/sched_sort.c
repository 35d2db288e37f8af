/* Sorts the jobs into the order in which their tasks are placed. */

#include "sched/job_order.h"
#include "sched/sched_internal.h"

enum {
    SORT_INTERVAL_MS = 200,
};

/* Weight of a new run in the moving average of a queue. */
static const double ESTIMATE_WEIGHT = 0.05;

double
sched_get_estimate_error(const sched_t *sched, const Teasel__JobSpec *spec)
{
    const double *error =
        g_hash_table_lookup(sched->estimate_errors, spec->queue);

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
    *error = sched_get_estimate_error(sched, job->spec);
    *error += ESTIMATE_WEIGHT * (ran_ms / estimate_ms - *error);
    g_hash_table_insert(sched->estimate_errors, g_strdup(job->spec->queue),
                        error);
}

static int
compare_jobs(gconstpointer left, gconstpointer right)
{
    return job_order_compare(*(sched_job_t *const *)left,
                             *(sched_job_t *const *)right);
}

static void
check_started_job(sched_t *sched, sched_job_t *job)
{
    if (job->counted_start && job->outlook == JOB_OUTLOOK_TOO_LATE) {
        job->counted_start = false;
        size_share_remove_start(sched->size_share, job->spec->queue,
                                (size_class_t)job->size_class);
    }
}

static bool
may_be_favoured(const sched_t *sched, const sched_job_t *job)
{
    return !job->favoured && !job->counted_start &&
           job->outlook != JOB_OUTLOOK_TOO_LATE &&
           job->size_class != SIZE_CLASS_USUAL &&
           size_share_is_behind(sched->size_share, job->spec->queue,
                                (size_class_t)job->size_class);
}

static int
compare_ages(gconstpointer left, gconstpointer right)
{
    const sched_job_t *a = *(sched_job_t *const *)left;
    const sched_job_t *b = *(sched_job_t *const *)right;

    return a->known_since_ms < b->known_since_ms
               ? -1
               : a->known_since_ms > b->known_since_ms;
}

/* Favours one job of a queue at a time, until all its tasks are placed. With
   several, each would hold up the others, and all would be late. The newest
   job of a class has the most time left. */
static void
favour_classes_behind(sched_t *sched, GPtrArray *jobs)
{
    g_autoptr(GHashTable) favoured = g_hash_table_new(g_str_hash, g_str_equal);

    for (guint i = 0; i < jobs->len; i++) {
        sched_job_t *job = g_ptr_array_index(jobs, i);

        check_started_job(sched, job);
        job->favoured &= job->outlook != JOB_OUTLOOK_TOO_LATE;
        if (job->favoured && sched_job_get_waiting_step(job) != NULL) {
            g_hash_table_add(favoured, job->spec->queue);
        }
    }
    g_ptr_array_sort(jobs, compare_ages);
    for (guint i = jobs->len; i > 0; i--) {
        sched_job_t *job = g_ptr_array_index(jobs, i - 1);

        if (may_be_favoured(sched, job) &&
            g_hash_table_add(favoured, job->spec->queue)) {
            job->favoured = true;
        }
    }
}

void
sched_sort_jobs(sched_t *sched)
{
    int64_t now_ms = sched_now_ms(sched);
    g_autoptr(GPtrArray) jobs = NULL;

    if (now_ms - sched->last_sort_ms < SORT_INTERVAL_MS) {
        return;
    }
    size_share_decay(sched->size_share, now_ms - sched->last_sort_ms);
    sched->last_sort_ms = now_ms;
    jobs = g_ptr_array_new();
    LIST_FOREACH_SAFE (job, &sched->active_jobs, sched_job_t, link) {
        job_order_update(job, sched_get_estimate_error(sched, job->spec),
                         now_ms);
        list_remove(&job->link);
        g_ptr_array_add(jobs, job);
    }
    favour_classes_behind(sched, jobs);
    g_ptr_array_sort(jobs, compare_jobs);
    for (guint i = 0; i < jobs->len; i++) {
        sched_job_t *job = g_ptr_array_index(jobs, i);

        list_append(&sched->active_jobs, &job->link);
    }
    sched_summarize_backlogs(sched);
}
