/* Logs long-running tasks and other jobs without a run, and what each of them
   waits for. */

#include <math.h>

#include "base/events.h"
#include "sched/placement.h"
#include "sched/sched_internal.h"

enum {
    /* Covers a restart of the executor and the delay after failures. */
    IDLE_LOG_MS = 4000,
    MAX_LOGGED_TASKS = 4,
    /* A best-effort job may overcommit an executor before. */
    IDLE_JOB_LOG_MS = 2500,
    MAX_LOGGED_JOBS = 4,
};

int64_t
sched_get_idle_since_ms(const sched_t *sched, const sched_task_t *task)
{
    const sched_job_t *job = sched_task_get_job(task);
    int64_t known_ms = MAX(job->known_since_ms, sched->created_ms);

    return MAX(known_ms, task->ended_ms);
}

static bool
is_reported_running(const sched_task_t *task)
{
    return task->phase == SCHED_TASK_RUNNING && task->executor->connected;
}

/* How long the task has had no run as far as this leader knows, in ms. */
static int64_t
get_idle_ms(const sched_t *sched, const sched_task_t *task)
{
    int64_t now_ms = sched_now_ms(sched);

    if (task->phase == SCHED_TASK_RUNNING) {
        return is_reported_running(task) ? 0
                                         : now_ms - task->executor->heard_ms;
    }
    return now_ms - sched_get_idle_since_ms(sched, task);
}

static void
log_placed(const sched_t *sched, const sched_task_t *task, const char *name,
           int64_t idle_ms)
{
    const sched_executor_t *executor = task->executor;
    int64_t now_ms = sched_now_ms(sched);

    event_log(EVENT_TASK_IDLE,
              "task=%s run=%u idle_ms=%" G_GINT64_FORMAT
              " executor=%s stopping=%d start_sent=%d connected=%d listed=%d "
              "heard_ms=%" G_GINT64_FORMAT " lease_ms=%" G_GINT64_FORMAT,
              name, task->run, idle_ms, executor->key,
              task->phase == SCHED_TASK_STOPPING, task->start_sent,
              executor->connected, executor->listed,
              executor->heard_ms > 0 ? now_ms - executor->heard_ms : -1,
              executor->expiry_ms - now_ms);
}

/* Returns the number of executors by why they don't take a task of a step, and
   of those that have room where it would disturb serving tasks. */
static GString *
count_refusals(const sched_t *sched, const sched_step_t *step)
{
    sched_placement_t placement =
        sched_new_placement(sched, step->occurrence->job);
    unsigned counts[SCHED_REFUSAL_COUNT] = {0};
    unsigned disturbed = 0;
    GString *text = g_string_new(NULL);

    placement.overcommit = SCHED_OVERCOMMIT_NONE;
    LIST_FOREACH (executor, &sched->executor_list, sched_executor_t, link) {
        sched_refusal_t refusal =
            sched_placement_check(&placement, executor, step);

        counts[refusal]++;
        disturbed +=
            refusal == SCHED_REFUSAL_NONE &&
            isinf(sched_placement_get_cost(&placement, executor, step));
    }
    for (unsigned i = 0; i < SCHED_REFUSAL_COUNT; i++) {
        g_string_append_printf(text, " %s=%u",
                               sched_refusal_to_string((sched_refusal_t)i),
                               counts[i]);
    }
    g_string_append_printf(text, " disturbed=%u", disturbed);
    return text;
}

static void
log_waiting(const sched_t *sched, const sched_task_t *task, const char *name,
            int64_t idle_ms)
{
    GString *refusals = count_refusals(sched, task->step);

    event_log(EVENT_TASK_IDLE,
              "task=%s run=%u idle_ms=%" G_GINT64_FORMAT
              " delay_ms=%" G_GINT64_FORMAT "%s",
              name, task->run, idle_ms,
              MAX(0, task->not_before_ms - sched_now_ms(sched)),
              refusals->str);
    g_string_free(refusals, TRUE);
}

static void
log_task(const sched_t *sched, const sched_task_t *task, int64_t idle_ms)
{
    char name[SCHED_TASK_NAME_SIZE];

    sched_task_format_name(task, name);
    if (task->executor != NULL) {
        log_placed(sched, task, name, idle_ms);
    }
    else {
        log_waiting(sched, task, name, idle_ms);
    }
}

/* Returns the number of tasks that were logged. */
static unsigned
log_step(const sched_t *sched, const sched_step_t *step, unsigned max)
{
    unsigned logged = 0;

    if (!step->spec->long_running || !sched_step_is_ready(step)) {
        return 0;
    }
    for (uint32_t i = 0; i < step->spec->count && logged < max; i++) {
        const sched_task_t *task = &step->tasks[i];
        int64_t idle_ms = get_idle_ms(sched, task);

        if (idle_ms >= IDLE_LOG_MS) {
            log_task(sched, task, idle_ms);
            logged++;
        }
    }
    return logged;
}

static void
log_tasks(const sched_t *sched)
{
    unsigned logged = 0;

    LIST_FOREACH (job, &sched->active_jobs, sched_job_t, link) {
        LIST_FOREACH (occurrence, &job->occurrences, sched_occurrence_t,
                      link) {
            for (size_t i = 0; i < job->spec->n_steps; i++) {
                logged += log_step(sched, &occurrence->steps[i],
                                   MAX_LOGGED_TASKS - logged);
            }
        }
    }
}

/* Returns whether the job was logged. */
static bool
log_job(const sched_t *sched, const sched_job_t *job)
{
    int64_t idle_ms = sched_now_ms(sched) - job->idle_since_ms;
    const sched_step_t *step;
    GString *refusals;

    if (job->idle_since_ms == 0 || idle_ms < IDLE_JOB_LOG_MS) {
        return false;
    }
    step = sched_job_get_waiting_step(job);
    if (step == NULL || step->spec->long_running) {
        return false;
    }
    refusals = count_refusals(sched, step);
    event_log(EVENT_JOB_IDLE,
              "job=%s step=%u waiting=%u filler=%d idle_ms=%" G_GINT64_FORMAT
              "%s",
              job->spec->id, step->number, step->waiting, step->spec->filler,
              idle_ms, refusals->str);
    g_string_free(refusals, TRUE);
    return true;
}

static void
log_jobs(const sched_t *sched)
{
    unsigned logged = 0;

    LIST_FOREACH (job, &sched->active_jobs, sched_job_t, link) {
        if (logged == MAX_LOGGED_JOBS) {
            return;
        }
        logged += log_job(sched, job);
    }
}

void
sched_log_idle(const sched_t *sched)
{
    log_tasks(sched);
    log_jobs(sched);
}
