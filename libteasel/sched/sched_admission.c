/* Checks on new jobs, and the summaries that these need. */

#include "sched/sched_admission.h"

#include "base/error.h"
#include "sched/backlog.h"
#include "sched/sched_internal.h"
#include "sched/seen_jobs.h"

enum {
    /* Names come from callers' jobs. */
    MAX_SERVICES = 1024,
    MAX_CLASSES = 4096,
};

/**
 * struct sched_admission - what decides whether new jobs are accepted
 * @backlogs: service -> backlog_t
 * @accepted: queue and size class -> int64_t, when a job was last accepted
 */
struct sched_admission {
    GHashTable *backlogs;
    GHashTable *accepted;
    seen_jobs_t *refused;
};

static void
free_backlog(void *data)
{
    backlog_free(data);
}

sched_admission_t *
sched_admission_new(void)
{
    sched_admission_t *admission = g_new0(sched_admission_t, 1);

    admission->backlogs =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_backlog);
    admission->accepted =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    admission->refused = seen_jobs_new();
    return admission;
}

void
sched_admission_free(sched_admission_t *admission)
{
    g_hash_table_unref(admission->backlogs);
    g_hash_table_unref(admission->accepted);
    seen_jobs_free(admission->refused);
    g_free(admission);
}

bool
sched_check_size(const sched_t *sched, const Teasel__JobSpec *spec,
                 GError **error)
{
    if (sched_job_fits(spec, 1, sched->opts.record_bytes)) {
        return true;
    }
    g_set_error(error, TEASEL_ERROR, ERROR_TOO_LARGE,
                "job \"%s\" does not fit into a record of the store, which "
                "takes %zu bytes",
                spec->id, sched->opts.record_bytes);
    return false;
}

/* Returns the summary of a service, or NULL if there are too many services. */
static backlog_t *
get_backlog(const sched_t *sched, const char *service)
{
    GHashTable *backlogs = sched->admission->backlogs;
    backlog_t *backlog = g_hash_table_lookup(backlogs, service);

    if (backlog == NULL && g_hash_table_size(backlogs) < MAX_SERVICES) {
        backlog = backlog_new();
        g_hash_table_insert(backlogs, g_strdup(service), backlog);
    }
    return backlog;
}

void
sched_summarize_backlogs(sched_t *sched)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, sched->admission->backlogs);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        backlog_clear(value);
    }
    LIST_FOREACH (job, &sched->active_jobs, sched_job_t, link) {
        backlog_t *backlog = get_backlog(sched, job->spec->service);

        if (backlog != NULL) {
            backlog_add_job(backlog, job,
                            sched_get_estimate_error(sched, job->spec));
        }
    }
}

void
sched_note_finished(sched_t *sched, const sched_task_t *task)
{
    const Teasel__StepSpec *step = task->step->spec;
    backlog_t *backlog =
        get_backlog(sched, sched_task_get_job(task)->spec->service);

    if (backlog != NULL && !step->long_running) {
        drain_rate_add(&backlog->drain_rate,
                       step->estimated_ms * (step->cpu_milli / 1000.0),
                       sched_now_ms(sched));
    }
}

static char *
format_class(const char *queue, size_class_t size)
{
    return g_strdup_printf("%d/%s", (int)size, queue);
}

void
sched_note_accepted(sched_t *sched, const sched_job_t *job)
{
    GHashTable *accepted = sched->admission->accepted;
    char *key = format_class(job->spec->queue, (size_class_t)job->size_class);
    int64_t now_ms = sched_now_ms(sched);

    seen_jobs_remove(sched->admission->refused, job->spec->id);
    if (g_hash_table_size(accepted) >= MAX_CLASSES) {
        g_hash_table_remove_all(accepted);
    }
    g_hash_table_replace(accepted, key, g_memdup2(&now_ms, sizeof(now_ms)));
}

void
sched_note_refused(sched_t *sched, const Teasel__JobSpec *spec)
{
    if (seen_jobs_add(sched->admission->refused, spec->id,
                      sched_now_ms(sched))) {
        size_share_add_job(sched->size_share, spec->queue,
                           job_order_get_total_work(spec));
    }
}

size_class_t
sched_count_size(sched_t *sched, const Teasel__JobSpec *spec)
{
    double work = job_order_get_total_work(spec);

    if (seen_jobs_contains(sched->admission->refused, spec->id)) {
        return size_share_get_class(sched->size_share, spec->queue, work);
    }
    return size_share_add_job(sched->size_share, spec->queue, work);
}

int64_t
sched_get_refused_age_ms(const sched_t *sched, const char *id)
{
    return seen_jobs_get_age_ms(sched->admission->refused, id,
                                sched_now_ms(sched));
}

/* Long-running and scheduled jobs have no end that could come too late. */
static bool
may_be_refused(const Teasel__JobSpec *spec)
{
    for (size_t i = 0; i < spec->n_steps; i++) {
        if (spec->steps[i]->long_running ||
            spec->steps[i]->latency_target_ms > 0) {
            return false;
        }
    }
    return spec->repeat_count == 0 && spec->first_start_ms == 0;
}

static const Teasel__StepSpec *
get_widest_step(const Teasel__JobSpec *spec)
{
    const Teasel__StepSpec *widest = spec->steps[0];

    for (size_t i = 1; i < spec->n_steps; i++) {
        const Teasel__StepSpec *step = spec->steps[i];

        if ((uint64_t)step->count * step->cpu_milli >
            (uint64_t)widest->count * widest->cpu_milli) {
            widest = step;
        }
    }
    return widest;
}

/* Checks whether an executor has room for a task of the widest step. Without a
   known executor of the service there may be room. */
static bool
has_room(const sched_t *sched, const Teasel__JobSpec *spec)
{
    const Teasel__StepSpec *step = get_widest_step(spec);
    sched_placement_t placement = {.executors = &sched->executor_list};
    bool known = false;

    LIST_FOREACH (executor, &sched->executor_list, sched_executor_t, link) {
        if (!executor->connected || !executor->listed || executor->draining ||
            g_strcmp0(executor->service, spec->service) != 0) {
            continue;
        }
        known = true;
        if (sched_placement_has_resources(&placement, executor, step)) {
            return true;
        }
    }
    return !known;
}

/* Returns the time since a job of its queue and size class was accepted. */
static int64_t
get_since_accepted_ms(const sched_t *sched, const char *queue,
                      size_class_t size)
{
    g_autofree char *key = format_class(queue, size);
    const int64_t *accepted_ms =
        g_hash_table_lookup(sched->admission->accepted, key);

    return accepted_ms != NULL ? sched_now_ms(sched) - *accepted_ms
                               : INT64_MAX;
}

/* Returns the best rank that a new job may have. A job of a size class that is
   behind goes before the others of its priority. */
static job_rank_t
get_best_rank(const sched_t *sched, const Teasel__JobSpec *spec,
              size_class_t size, job_outlook_t outlook)
{
    return (job_rank_t){
        .priority = spec->priority,
        .favoured = size != SIZE_CLASS_USUAL &&
                    size_share_is_behind(sched->size_share, spec->queue, size),
        .outlook = outlook,
        .remaining_work = job_order_get_total_work(spec),
        .sequence = UINT64_MAX,
    };
}

/* Uses the optimistic end of each estimate. */
static void
project(const sched_t *sched, const Teasel__JobSpec *spec, backlog_t *backlog,
        job_admission_t *admission)
{
    double error = sched_get_estimate_error(sched, spec);
    double chain_ms = job_order_get_chain_ms(spec);
    double objective_ms =
        job_order_get_objective_ms(spec, chain_ms * MAX(1.0, error));
    size_class_t size = size_share_get_class(sched->size_share, spec->queue,
                                             job_order_get_total_work(spec));
    job_rank_t rank;

    admission->chain_ms = chain_ms * MIN(1.0, error);
    admission->useful_ms = job_order_get_useful_ms(objective_ms);
    admission->age_ms = (double)sched_get_refused_age_ms(sched, spec->id);
    rank = get_best_rank(
        sched, spec, size,
        job_order_get_outlook(admission->age_ms + admission->chain_ms,
                              objective_ms));
    admission->work_before = backlog_get_work_before(backlog, &rank);
    admission->rate = backlog_get_rate(backlog, sched_now_ms(sched));
    admission->since_accepted_ms =
        get_since_accepted_ms(sched, spec->queue, size);
}

bool
sched_check_admission(sched_t *sched, const Teasel__JobSpec *spec,
                      job_admission_t *admission)
{
    backlog_t *backlog = get_backlog(sched, spec->service);

    *admission = (job_admission_t){0};
    if (backlog == NULL || !may_be_refused(spec)) {
        return true;
    }
    project(sched, spec, backlog, admission);
    if (job_admission_check(admission)) {
        return true;
    }
    admission->has_room = has_room(sched, spec);
    return job_admission_check(admission);
}
