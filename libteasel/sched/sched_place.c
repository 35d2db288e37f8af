/* Chooses the executor of one task and places the task there. */

#include "sched/sched_internal.h"

enum {
    /* The best-effort tasks of a job that stands still for this long, and
       lasting ones without a run, may overcommit any executor. */
    IDLE_TIMEOUT_MS = 2000,
};

/* A job that has begun goes on without a pause where there is most room:
   otherwise it would pause before each of its tasks, and stand still most of
   the time. One start at a time is enough for that. */
static sched_overcommit_t
get_job_overcommit(const sched_job_t *job, int64_t now_ms)
{
    if (job->idle_since_ms == 0) {
        return SCHED_OVERCOMMIT_NONE;
    }
    if (now_ms - job->idle_since_ms > IDLE_TIMEOUT_MS) {
        return SCHED_OVERCOMMIT_ANY;
    }
    return job->started && job->starting == 0 ? SCHED_OVERCOMMIT_UNRESERVED
                                              : SCHED_OVERCOMMIT_NONE;
}

static bool
is_overdue_lasting(const sched_t *sched, const sched_task_t *task,
                   int64_t now_ms)
{
    return task->step->spec->long_running &&
           task->phase == SCHED_TASK_WAITING &&
           now_ms - sched_get_idle_since_ms(sched, task) > IDLE_TIMEOUT_MS;
}

/* A job makes progress with one of its tasks, but each lasting task has to
   run. */
sched_overcommit_t
sched_get_overcommit(const sched_t *sched, const sched_task_t *task,
                     int64_t now_ms)
{
    if (!task->step->spec->filler) {
        return SCHED_OVERCOMMIT_NONE;
    }
    return is_overdue_lasting(sched, task, now_ms)
               ? SCHED_OVERCOMMIT_ANY
               : get_job_overcommit(sched_task_get_job(task), now_ms);
}

sched_placement_t
sched_new_placement(const sched_t *sched, const sched_job_t *job)
{
    sched_placement_t placement = {
        .executors = &sched->executor_list,
        .interference = sched->interference,
        .evacuation = sched->opts.evacuation,
        .remote_factor = sched->opts.remote_factor,
        .now_ms = sched_now_ms(sched),
    };

    placement.overcommit = get_job_overcommit(job, placement.now_ms);
    return placement;
}

sched_placement_t
sched_new_task_placement(const sched_t *sched, const sched_task_t *task)
{
    sched_placement_t placement =
        sched_new_placement(sched, sched_task_get_job(task));

    placement.overcommit = sched_get_overcommit(sched, task, placement.now_ms);
    return placement;
}

sched_executor_t *
sched_choose_executor(const sched_t *sched, const sched_task_t *task,
                      const char *rack)
{
    sched_placement_t placement = sched_new_task_placement(sched, task);

    placement.rack = rack;
    return sched_placement_choose(&placement, task);
}

void
sched_place_task(sched_t *sched, sched_task_t *task,
                 sched_executor_t *executor, uint32_t run)
{
    sched_job_t *job = sched_task_get_job(task);
    run_view_decision_t decision = sched_task_decide(
        task, (run_view_event_t){.kind = RUN_VIEW_PLACED, .run = run});

    sched_task_set_view(task, &decision.view);
    task->on_trial = sched_task_needs_trial(task);
    task->placed_ms = sched_now_ms(sched);
    task->step->waiting--;
    task->tail_effect =
        interference_get_effect(sched->interference, executor, task->step);
    sched_executor_attach(executor, task);
    job->idle_since_ms = 0;
    sched_mark_dirty(sched, job);
    sched_stage_order(sched, task);
}
