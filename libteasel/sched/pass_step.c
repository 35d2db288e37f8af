/* Places the tasks of a step that is no gang. */

#include "base/events.h"
#include "sched/candidates.h"
#include "sched/job_order.h"
#include "sched/pass.h"

enum {
    /* A lasting task without a run for this long goes before trials, which
       may follow each other without end; one that needs a trial itself goes
       before work that has not begun. */
    OVERDUE_MS = 3000,
    /* After a trial that failed, other work has its turn on the executor for
       this long before the next one goes first there. */
    TRIAL_PAUSE_MS = 1000,
};

static void
log_placed(const sched_step_t *step, uint32_t placed, int64_t now_ms,
           int64_t idle_ms)
{
    const sched_job_t *job = step->occurrence->job;

    if (placed > 0) {
        event_log(EVENT_STEP_PLACED,
                  "job=%s occurrence=%u step=%u placed=%u waiting=%u "
                  "filler=%d target_ms=%u age_ms=%" G_GINT64_FORMAT
                  " idle_ms=%" G_GINT64_FORMAT,
                  job->spec->id, step->occurrence->number, step->number,
                  placed, step->waiting, step->spec->filler,
                  step->spec->latency_target_ms, now_ms - job->known_since_ms,
                  idle_ms);
    }
}

static bool
is_overdue(const pass_t *pass, const sched_task_t *task)
{
    return pass->now_ms - sched_get_idle_since_ms(pass->sched, task) >
           OVERDUE_MS;
}

/* A trial closes its executor to others, so it comes first only when it is
   due. */
static bool
is_restart(const pass_t *pass, const sched_task_t *task)
{
    return task->step->spec->long_running && task->run > 0 &&
           (!sched_task_is_suspect(task) || is_overdue(pass, task));
}

static bool
is_in_scope(const pass_t *pass, const sched_task_t *task)
{
    return pass->scope == PASS_ALL ||
           sched_task_is_suspect(task) == (pass->scope == PASS_SUSPECTS);
}

static bool
is_placeable(const pass_t *pass, const sched_task_t *task)
{
    return task->phase == SCHED_TASK_WAITING &&
           pass->now_ms >= task->not_before_ms;
}

/* Checks whether a task is to be placed in this pass. */
static bool
is_taken(const pass_t *pass, const sched_task_t *task)
{
    return is_placeable(pass, task) && is_in_scope(pass, task) &&
           (!pass->restarts || is_restart(pass, task));
}

static bool
has_taken_task(const pass_t *pass, const sched_step_t *step)
{
    if (pass->restarts && !step->spec->long_running) {
        return false;
    }
    for (uint32_t i = 0; i < step->spec->count; i++) {
        if (is_taken(pass, &step->tasks[i])) {
            return true;
        }
    }
    return false;
}

static bool
may_overcommit(const pass_t *pass, const sched_task_t *task)
{
    return sched_get_overcommit(pass->sched, task, pass->now_ms) !=
           SCHED_OVERCOMMIT_NONE;
}

/* Tasks that avoid an executor have costs of their own. So have tasks that may
   overcommit one; the first task of an idle job ends the idle time by its
   placement. A task on trial keeps other tasks away from its executor. */
static bool
is_special(const pass_t *pass, const sched_task_t *task)
{
    return task->avoided != NULL || task->crashed_worker != 0 ||
           sched_task_is_suspect(task) || may_overcommit(pass, task);
}

/* Suspects that go first may find no executor only because trials have just
   failed there, so they do not count as a demand that cannot be met. */
static bool
is_tried_first(const pass_t *pass, const sched_task_t *task)
{
    return pass->restarts && sched_task_is_suspect(task);
}

/* An executor whose trials follow each other takes no other work. */
static sched_executor_t *
choose_executor(const pass_t *pass, const sched_task_t *task)
{
    sched_placement_t placement = sched_new_task_placement(pass->sched, task);

    if (is_tried_first(pass, task)) {
        placement.no_trial_since_ms = pass->now_ms - TRIAL_PAUSE_MS;
    }
    return sched_placement_choose(&placement, task);
}

static bool
place_special_tasks(pass_t *pass, sched_step_t *step)
{
    bool found = true;
    bool suspect_found = true;

    for (uint32_t i = 0; i < step->spec->count; i++) {
        sched_task_t *task = &step->tasks[i];
        bool overcommits = may_overcommit(pass, task);
        bool tried_first = is_tried_first(pass, task);
        sched_executor_t *executor;

        /* Where one task finds no executor, only one that may overcommit can
           find one. */
        if (!is_taken(pass, task) || !is_special(pass, task) ||
            (!found && !overcommits) || (tried_first && !suspect_found)) {
            continue;
        }
        executor = choose_executor(pass, task);
        if (executor != NULL) {
            sched_place_task(pass->sched, task, executor, task->run + 1);
            continue;
        }
        if (tried_first) {
            suspect_found = false;
            continue;
        }
        if (overcommits) {
            return false;
        }
        found = false;
    }
    return found;
}

/* Suspects are placed one by one, as special tasks. */
static bool
is_equal(const pass_t *pass, const sched_task_t *task)
{
    return is_taken(pass, task) && !sched_task_is_suspect(task);
}

static bool
has_equal_task(const pass_t *pass, const sched_step_t *step)
{
    for (uint32_t i = 0; i < step->spec->count; i++) {
        if (is_equal(pass, &step->tasks[i])) {
            return true;
        }
    }
    return false;
}

static bool
place_equal_tasks(pass_t *pass, sched_step_t *step)
{
    sched_placement_t placement =
        sched_new_placement(pass->sched, step->occurrence->job);
    sched_candidates_t *candidates = sched_candidates_new(&placement, step);
    bool found = true;

    for (uint32_t i = 0; i < step->spec->count && found; i++) {
        sched_task_t *task = &step->tasks[i];
        sched_executor_t *executor;

        if (!is_equal(pass, task)) {
            continue;
        }
        executor = sched_candidates_get_best(candidates);
        found = executor != NULL;
        if (found) {
            sched_place_task(pass->sched, task, executor, task->run + 1);
            sched_candidates_update_best(candidates);
        }
    }
    sched_candidates_free(candidates);
    return found;
}

static void
count_start(sched_t *sched, sched_job_t *job)
{
    if (!job->counted_start && job->outlook != JOB_OUTLOOK_TOO_LATE) {
        job->counted_start = true;
        size_share_add_start(sched->size_share, job->spec->queue,
                             (size_class_t)job->size_class);
    }
}

/* Returns which executors the tasks of a step may overcommit. */
static sched_overcommit_t
get_step_overcommit(const pass_t *pass, const sched_step_t *step)
{
    sched_overcommit_t most = SCHED_OVERCOMMIT_NONE;

    if (!step->spec->filler) {
        return most;
    }
    for (uint32_t i = 0; i < step->spec->count; i++) {
        const sched_task_t *task = &step->tasks[i];

        if (is_taken(pass, task)) {
            most = MAX(most,
                       sched_get_overcommit(pass->sched, task, pass->now_ms));
        }
    }
    return most;
}

/* Checks whether a trial keeps a task from an executor with room for it. */
static bool
is_held_up_by_trial(const pass_t *pass, const sched_task_t *task)
{
    sched_placement_t placement = sched_new_task_placement(pass->sched, task);

    placement.ignore_trials = true;
    LIST_FOREACH (executor, &pass->sched->executor_list, sched_executor_t,
                  link) {
        if (executor->trials > 0 &&
            sched_placement_check(&placement, executor, task->step) ==
                SCHED_REFUSAL_NONE) {
            return true;
        }
    }
    return false;
}

static bool
has_overdue_task(const pass_t *pass, const sched_step_t *step)
{
    if (!step->spec->long_running || step->waiting == 0 || pass->overdue) {
        return false;
    }
    for (uint32_t i = 0; i < step->spec->count; i++) {
        const sched_task_t *task = &step->tasks[i];

        if (is_placeable(pass, task) && !sched_task_is_suspect(task) &&
            is_overdue(pass, task)) {
            return is_held_up_by_trial(pass, task);
        }
    }
    return false;
}

/* How long the job has had no running task, in ms. */
static int64_t
get_idle_ms(const pass_t *pass, const sched_job_t *job)
{
    return job->idle_since_ms != 0 ? pass->now_ms - job->idle_since_ms : 0;
}

void
pass_place_tasks(pass_t *pass, sched_step_t *step)
{
    sched_job_t *job = step->occurrence->job;
    uint32_t waiting = step->waiting;
    int64_t idle_ms = get_idle_ms(pass, job);

    if (!has_taken_task(pass, step)) {
        return;
    }
    if (demand_list_covers(pass->failed, step,
                           get_step_overcommit(pass, step))) {
        pass->overdue |= has_overdue_task(pass, step);
        return;
    }
    if (!place_special_tasks(pass, step) ||
        (has_equal_task(pass, step) && !place_equal_tasks(pass, step))) {
        demand_list_add(pass->failed, step, get_step_overcommit(pass, step));
    }
    pass->overdue |= has_overdue_task(pass, step);
    if (step->waiting == 0) {
        count_start(pass->sched, job);
    }
    log_placed(step, waiting - step->waiting, pass->now_ms, idle_ms);
}
