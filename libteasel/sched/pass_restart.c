/* Places lasting tasks that have run before. */

#include "sched/pass.h"

static bool
is_restart(const pass_t *pass, const sched_task_t *task)
{
    return pass_is_placeable(task, pass->now_ms) && task->run > 0 &&
           !sched_task_is_suspect(task);
}

static void
place_restarts_of_step(pass_t *pass, sched_step_t *step)
{
    uint32_t waiting = step->waiting;
    bool found = true;

    for (uint32_t i = 0; i < step->spec->count && found; i++) {
        sched_task_t *task = &step->tasks[i];
        sched_executor_t *executor;

        if (!is_restart(pass, task)) {
            continue;
        }
        executor = sched_choose_executor(pass->sched, task, NULL);
        found = executor != NULL;
        if (found) {
            sched_place_task(pass->sched, task, executor, task->run + 1);
        }
    }
    if (!found) {
        demand_list_add(pass->failed, step, false);
    }
    if (step->waiting == 0) {
        pass_count_start(pass->sched, step->occurrence->job);
    }
    pass_log_placed(step, waiting - step->waiting, pass->now_ms);
}

static void
place_restarts_of_job(pass_t *pass, sched_job_t *job)
{
    LIST_FOREACH (occurrence, &job->occurrences, sched_occurrence_t, link) {
        for (size_t i = 0; i < job->spec->n_steps; i++) {
            sched_step_t *step = &occurrence->steps[i];
            const Teasel__StepSpec *spec = step->spec;

            if (spec->long_running && !spec->gang && !spec->filler &&
                step->waiting > 0 && sched_step_is_ready(step) &&
                !demand_list_covers(pass->failed, step, false)) {
                place_restarts_of_step(pass, step);
            }
        }
    }
}

/* A lasting task that was at work goes before all work of its priority that
   has not begun. Otherwise short tasks would take each piece of room that
   becomes free on full executors, for as long as new ones arrive. */
void
pass_place_restarts(pass_t *pass, uint32_t priority)
{
    LIST_FOREACH (job, &pass->sched->active_jobs, sched_job_t, link) {
        if (job->spec->priority == priority) {
            place_restarts_of_job(pass, job);
        }
    }
}
