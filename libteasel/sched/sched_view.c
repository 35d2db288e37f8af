/* Connects the tasks with the function that decides on their runs. */

#include "sched/sched_internal.h"

enum {
    DEFAULT_ATTEMPTS = 3,
};

static uint32_t
count_failures(const sched_task_t *task)
{
    const sched_step_t *step = task->step;
    uint32_t failures = 0;

    if (!step->spec->gang) {
        return task->failures;
    }
    for (uint32_t i = 0; i < step->spec->count; i++) {
        failures += step->tasks[i].failures;
    }
    return failures;
}

static run_view_t
get_view(const sched_task_t *task)
{
    const sched_job_t *job = sched_task_get_job(task);
    uint32_t attempts = job->spec->max_attempts;

    return (run_view_t){
        .known = true,
        .phase = task->phase,
        .run = task->run,
        .start_sent = task->start_sent,
        .long_running = task->step->spec->long_running,
        .job_final = sched_job_is_final(job),
        .gang_done = sched_step_is_finished_gang(task->step),
        .done_before = task->done_before,
        .max_attempts = attempts ? attempts : DEFAULT_ATTEMPTS,
    };
}

run_view_decision_t
sched_task_decide(const sched_task_t *task, run_view_event_t event)
{
    run_view_t view = {.known = false};

    if (task != NULL) {
        view = get_view(task);
    }
    /* The sum over a gang is only needed here. */
    if (task != NULL && event.kind == RUN_VIEW_ENDED) {
        view.failures = count_failures(task);
    }
    return run_view_decide(view, event);
}

void
sched_task_set_view(sched_task_t *task, const run_view_t *view)
{
    if (view->phase == SCHED_TASK_DONE) {
        sched_task_mark_done(task);
    }
    else {
        sched_task_set_phase(task, view->phase);
    }
    task->run = view->run;
    task->start_sent = view->start_sent;
    task->done_before = view->done_before;
}
