/*
 * Puts executors on probation that fail the runs of several jobs in a row: no
 * new tasks are placed there for some time. A failure counts only where it
 * says something about the executor, and most executors stay in use whatever
 * fails, as the cause may lie in the jobs.
 */

#include "base/events.h"
#include "sched/sched_internal.h"

enum {
    /* Number of different jobs that fail in a row before an executor is put on
       probation. */
    PROBATION_FAILURES = 3,
    PROBATION_MS = 4000,
    /* One of this number of the executors of a service may be on
       probation. */
    EXECUTORS_PER_PROBATION = 3,
};

/* A run that was placed before the probation ended shows nothing that did not
   lead to the probation already. A task that has failed elsewhere too, or a
   lasting task that was at work for some time, may fail by itself. */
static bool
is_evidence(const sched_task_t *task)
{
    const sched_executor_t *executor = task->executor;

    return task->placed_ms >= executor->probation_ms &&
           !(task->step->spec->long_running && task->settled) &&
           !avoid_list_has_other(task->avoided, executor->number);
}

static bool
may_begin_probation(const sched_t *sched, const sched_executor_t *executor)
{
    int64_t now_ms = sched_now_ms(sched);
    unsigned executors = 0;
    unsigned on_probation = 1;

    LIST_FOREACH (other, &sched->executor_list, sched_executor_t, link) {
        if (other->connected && !sched_is_evacuated(sched, other) &&
            g_strcmp0(other->service, executor->service) == 0) {
            executors++;
            on_probation += now_ms < other->probation_ms;
        }
    }
    return on_probation * EXECUTORS_PER_PROBATION <= executors;
}

static void
begin_probation(sched_t *sched, sched_executor_t *executor)
{
    executor->probation_ms = sched_now_ms(sched) + PROBATION_MS;
    event_log(EVENT_EXECUTOR_SUSPECTED,
              "executor=%s jobs_in_row=%u probation_ms=%d", executor->key,
              executor->consecutive_failures, PROBATION_MS);
}

void
sched_count_failure(sched_t *sched, const sched_task_t *task)
{
    sched_executor_t *executor = task->executor;
    const sched_job_t *job = sched_task_get_job(task);

    if (executor->last_failed_job == job->sequence || !is_evidence(task)) {
        return;
    }
    executor->last_failed_job = job->sequence;
    executor->consecutive_failures++;
    if (executor->consecutive_failures < PROBATION_FAILURES) {
        return;
    }
    if (may_begin_probation(sched, executor)) {
        begin_probation(sched, executor);
    }
    /* One more failure after the probation starts another one. */
    executor->consecutive_failures = PROBATION_FAILURES - 1;
}
