/* Chooses the executor of one task and places the task there. */

#include "sched/sched_internal.h"

enum {
    /* The best-effort tasks of a job without a running task for this long, and
       lasting ones without a run, may overcommit an executor. */
    IDLE_TIMEOUT_MS = 2000,
};

static bool
is_idle(const sched_job_t *job, int64_t now_ms)
{
    return job->idle_since_ms != 0 &&
           now_ms - job->idle_since_ms > IDLE_TIMEOUT_MS;
}

/* A job makes progress with one of its tasks, but each lasting task has to
   run. */
bool
sched_may_overcommit(const sched_t *sched, const sched_task_t *task,
                     int64_t now_ms)
{
    const Teasel__StepSpec *spec = task->step->spec;

    if (is_idle(sched_task_get_job(task), now_ms)) {
        return true;
    }
    return spec->long_running && spec->filler &&
           task->phase == SCHED_TASK_WAITING &&
           now_ms - sched_get_idle_since_ms(sched, task) > IDLE_TIMEOUT_MS;
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

    placement.may_overcommit = is_idle(job, placement.now_ms);
    return placement;
}

sched_placement_t
sched_new_task_placement(const sched_t *sched, const sched_task_t *task)
{
    sched_placement_t placement =
        sched_new_placement(sched, sched_task_get_job(task));

    placement.may_overcommit =
        sched_may_overcommit(sched, task, placement.now_ms);
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
