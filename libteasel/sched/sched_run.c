/* Handles timers and places waiting tasks. */

#include "base/events.h"
#include "sched/candidates.h"
#include "sched/demand.h"
#include "sched/job_order.h"
#include "sched/sched_internal.h"

enum {
    /* A run without progress for this long is stopped, and the task prefers
       another executor. */
    STALL_TIMEOUT_MS = 6000,
    MIGRATE_AFTER_MS = 1000,
    /* The best-effort tasks of a job without a running task for this long, and
       lasting ones without a run, may overcommit an executor. */
    IDLE_TIMEOUT_MS = 2000,
    /* A lasting task without a run for this long goes before trials, which
       may follow each other without end. */
    OVERDUE_MS = 3000,
    /* Allows for the delay of the messages of an evacuation. */
    EVACUATE_MARGIN_MS = 500,
    /* Reports arrive more often than the timers need to be checked. */
    CHECK_INTERVAL_MS = 50,
    /* Placement is repeated because probations and restart delays end without
       an event. */
    PLACE_INTERVAL_MS = 200,
};

typedef enum pass_scope {
    PASS_ALL,
    PASS_OTHERS,   /* all but suspects of crashes */
    PASS_SUSPECTS, /* which close their executors to others */
} pass_scope_t;

/**
 * struct pass - a pass over the waiting tasks
 * @failed: demands that no executor could meet in this pass
 * @overdue: a trial keeps a lasting task that is no suspect from its executor,
 *     and the task has waited for long
 */
typedef struct pass {
    sched_t *sched;
    int64_t now_ms;
    pass_scope_t scope;
    demand_list_t *failed;
    bool overdue;
} pass_t;

static bool
is_idle(const sched_job_t *job, int64_t now_ms)
{
    return job->idle_since_ms != 0 &&
           now_ms - job->idle_since_ms > IDLE_TIMEOUT_MS;
}

/* A job makes progress with one of its tasks, but each lasting task has to
   run. */
static bool
may_overcommit(const sched_t *sched, const sched_task_t *task, int64_t now_ms)
{
    const Teasel__StepSpec *spec = task->step->spec;

    if (is_idle(sched_task_get_job(task), now_ms)) {
        return true;
    }
    return spec->long_running && spec->filler &&
           task->phase == SCHED_TASK_WAITING &&
           now_ms - sched_get_idle_since_ms(sched, task) > IDLE_TIMEOUT_MS;
}

static sched_placement_t
new_placement(const sched_t *sched, const sched_job_t *job, const char *rack)
{
    sched_placement_t placement = {
        .executors = &sched->executor_list,
        .interference = sched->interference,
        .rack = rack,
        .now_ms = sched_now_ms(sched),
    };

    placement.may_overcommit = is_idle(job, placement.now_ms);
    return placement;
}

static sched_executor_t *
choose_executor(const sched_t *sched, const sched_task_t *task,
                const char *rack)
{
    sched_placement_t placement =
        new_placement(sched, sched_task_get_job(task), rack);

    placement.may_overcommit = may_overcommit(sched, task, placement.now_ms);
    return sched_placement_choose(&placement, task);
}

static void
place_task(sched_t *sched, sched_task_t *task, sched_executor_t *executor,
           uint32_t run)
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

static void
log_placed(const sched_step_t *step, uint32_t placed, int64_t now_ms)
{
    const sched_job_t *job = step->occurrence->job;

    if (placed > 0) {
        event_log(EVENT_STEP_PLACED,
                  "job=%s occurrence=%u step=%u placed=%u waiting=%u "
                  "filler=%d target_ms=%u age_ms=%" G_GINT64_FORMAT,
                  job->spec->id, step->occurrence->number, step->number,
                  placed, step->waiting, step->spec->filler,
                  step->spec->latency_target_ms, now_ms - job->known_since_ms);
    }
}

static bool
is_placeable(const sched_task_t *task, int64_t now_ms)
{
    return task->phase == SCHED_TASK_WAITING && now_ms >= task->not_before_ms;
}

/* Tasks that avoid an executor have costs of their own. So have tasks that may
   overcommit one; the first task of an idle job ends the idle time by its
   placement. A task on trial keeps other tasks away from its executor. */
static bool
is_special(const pass_t *pass, const sched_task_t *task)
{
    if (pass->scope != PASS_ALL &&
        sched_task_is_suspect(task) != (pass->scope == PASS_SUSPECTS)) {
        return false;
    }
    return task->avoided != NULL || sched_task_is_suspect(task) ||
           may_overcommit(pass->sched, task, pass->now_ms);
}

static bool
place_special_tasks(pass_t *pass, sched_step_t *step)
{
    bool found = true;

    for (uint32_t i = 0; i < step->spec->count; i++) {
        sched_task_t *task = &step->tasks[i];
        bool overcommits = may_overcommit(pass->sched, task, pass->now_ms);
        sched_executor_t *executor;

        /* Where one task finds no executor, only one that may overcommit can
           find one. */
        if (!is_placeable(task, pass->now_ms) || !is_special(pass, task) ||
            (!found && !overcommits)) {
            continue;
        }
        executor = choose_executor(pass->sched, task, NULL);
        if (executor != NULL) {
            place_task(pass->sched, task, executor, task->run + 1);
            continue;
        }
        if (overcommits) {
            return false;
        }
        found = false;
    }
    return found;
}

static bool
place_equal_tasks(pass_t *pass, sched_step_t *step)
{
    sched_placement_t placement =
        new_placement(pass->sched, step->occurrence->job, NULL);
    sched_candidates_t *candidates = sched_candidates_new(&placement, step);
    bool found = true;

    for (uint32_t i = 0; i < step->spec->count && found; i++) {
        sched_task_t *task = &step->tasks[i];
        sched_executor_t *executor;

        if (!is_placeable(task, pass->now_ms) || sched_task_is_suspect(task)) {
            continue;
        }
        executor = sched_candidates_get_best(candidates);
        found = executor != NULL;
        if (found) {
            place_task(pass->sched, task, executor, task->run + 1);
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

static bool
has_overcommitting_task(const pass_t *pass, const sched_step_t *step)
{
    for (uint32_t i = 0; i < step->spec->count; i++) {
        const sched_task_t *task = &step->tasks[i];

        if (is_placeable(task, pass->now_ms) && is_special(pass, task) &&
            may_overcommit(pass->sched, task, pass->now_ms)) {
            return true;
        }
    }
    return false;
}

/* Checks whether a trial keeps a task from an executor with room for it. */
static bool
is_held_up_by_trial(const pass_t *pass, const sched_task_t *task)
{
    sched_placement_t placement =
        new_placement(pass->sched, sched_task_get_job(task), NULL);

    placement.may_overcommit = may_overcommit(pass->sched, task, pass->now_ms);
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

        if (is_placeable(task, pass->now_ms) && !sched_task_is_suspect(task) &&
            pass->now_ms - sched_get_idle_since_ms(pass->sched, task) >
                OVERDUE_MS) {
            return is_held_up_by_trial(pass, task);
        }
    }
    return false;
}

static void
place_tasks(pass_t *pass, sched_step_t *step)
{
    sched_job_t *job = step->occurrence->job;
    uint32_t waiting = step->waiting;

    if (demand_list_covers(pass->failed, step,
                           has_overcommitting_task(pass, step))) {
        pass->overdue |= has_overdue_task(pass, step);
        return;
    }
    if (!place_special_tasks(pass, step) ||
        (step->waiting > 0 && pass->scope != PASS_SUSPECTS &&
         !place_equal_tasks(pass, step))) {
        demand_list_add(pass->failed, step,
                        has_overcommitting_task(pass, step));
    }
    pass->overdue |= has_overdue_task(pass, step);
    if (step->waiting == 0) {
        count_start(pass->sched, job);
    }
    log_placed(step, waiting - step->waiting, pass->now_ms);
}

static void
release_gang(sched_step_t *step)
{
    for (uint32_t i = 0; i < step->spec->count; i++) {
        sched_executor_detach(&step->tasks[i]);
    }
}

/* Reserves resources for all members of a gang, or for none. */
static bool
try_reserve_gang(sched_t *sched, sched_step_t *step, const char *rack)
{
    for (uint32_t i = 0; i < step->spec->count; i++) {
        sched_task_t *task = &step->tasks[i];
        sched_executor_t *executor = choose_executor(sched, task, rack);

        if (executor == NULL) {
            release_gang(step);
            return false;
        }
        sched_executor_attach(executor, task);
    }
    return true;
}

static bool
reserve_gang(sched_t *sched, sched_step_t *step)
{
    if (step->spec->same_rack) {
        LIST_FOREACH (executor, &sched->executor_list, sched_executor_t,
                      link) {
            if (executor->rack != NULL &&
                try_reserve_gang(sched, step, executor->rack)) {
                return true;
            }
        }
    }
    return try_reserve_gang(sched, step, NULL);
}

/* All members of a gang have the same run number and checkpoint. */
static void
place_gang(sched_t *sched, sched_step_t *step)
{
    const char *checkpoint = NULL;
    uint32_t run = 0;

    if (step->waiting < step->spec->count || !reserve_gang(sched, step)) {
        return;
    }
    for (uint32_t i = 0; i < step->spec->count; i++) {
        run = MAX(run, step->tasks[i].run);
        if (step->tasks[i].checkpoint != NULL) {
            checkpoint = step->tasks[i].checkpoint;
        }
    }
    checkpoint = g_strdup(checkpoint);
    for (uint32_t i = 0; i < step->spec->count; i++) {
        sched_task_t *task = &step->tasks[i];
        sched_executor_t *executor = task->executor;

        sched_executor_detach(task);
        g_free(task->checkpoint);
        task->checkpoint = g_strdup(checkpoint);
        place_task(sched, task, executor, run + 1);
    }
    g_free((char *)checkpoint);
}

/* A stopping run does not count as running: a stop may take most of a second,
   during which the job makes no progress. */
static void
update_idle_since(sched_job_t *job, int64_t now_ms)
{
    if (job->running > 0) {
        job->idle_since_ms = 0;
    }
    else if (job->idle_since_ms == 0) {
        job->idle_since_ms = now_ms;
    }
}

static void
place_job(pass_t *pass, sched_job_t *job)
{
    update_idle_since(job, pass->now_ms);
    LIST_FOREACH (occurrence, &job->occurrences, sched_occurrence_t, link) {
        for (size_t i = 0; i < job->spec->n_steps; i++) {
            sched_step_t *step = &occurrence->steps[i];

            if (step->waiting == 0 || !sched_step_is_ready(step)) {
                continue;
            }
            if (!step->spec->gang) {
                place_tasks(pass, step);
            }
            else if (pass->scope != PASS_SUSPECTS) {
                place_gang(pass->sched, step);
            }
        }
    }
}

static void
expire_executors(sched_t *sched, int64_t now_ms)
{
    LIST_FOREACH_SAFE (executor, &sched->executor_list, sched_executor_t,
                       link) {
        if (!executor->connected && now_ms >= executor->expiry_ms) {
            sched_expire_executor(sched, executor);
        }
    }
}

/* Stops the runs that cannot end before a draining executor leaves:
   long-running ones at once, because nothing of them is kept; others at the
   last moment that leaves time to write a checkpoint. */
static void
evacuate(sched_t *sched, sched_executor_t *executor, int64_t now_ms)
{
    bool stop_now = now_ms >= executor->leaves_ms - sched->opts.stop_ms -
                                  EVACUATE_MARGIN_MS;

    LIST_FOREACH_SAFE (task, &executor->tasks, sched_task_t, executor_link) {
        if (task->step->spec->long_running || stop_now) {
            sched_stop_task(sched, task, "the executor is leaving");
        }
    }
}

static bool
is_stalled(const sched_task_t *task, int64_t now_ms)
{
    const Teasel__StepSpec *spec = task->step->spec;

    return task->phase == SCHED_TASK_RUNNING && !spec->long_running &&
           !spec->gang && now_ms - task->progress_ms > STALL_TIMEOUT_MS;
}

/* A throttled best-effort task is migrated if it writes checkpoints and there
   is another executor where it keeps tail latencies within target. */
static bool
should_migrate(const sched_t *sched, const sched_task_t *task, int64_t now_ms)
{
    const sched_executor_t *executor;

    if (task->phase != SCHED_TASK_RUNNING || task->slowed_since_ms == 0 ||
        now_ms - task->slowed_since_ms < MIGRATE_AFTER_MS ||
        !task->step->spec->checkpointing) {
        return false;
    }
    executor = choose_executor(sched, task, NULL);
    return executor != NULL && executor != task->executor;
}

static bool
is_any_stopping(const sched_t *sched)
{
    LIST_FOREACH (executor, &sched->executor_list, sched_executor_t, link) {
        if (executor->stopping > 0) {
            return true;
        }
    }
    return false;
}

/* Migrates one task at a time, since the next may need the same resources. */
static void
migrate_best_effort_task(sched_t *sched, int64_t now_ms)
{
    if (is_any_stopping(sched)) {
        return;
    }
    LIST_FOREACH (executor, &sched->executor_list, sched_executor_t, link) {
        LIST_FOREACH (task, &executor->tasks, sched_task_t, executor_link) {
            if (should_migrate(sched, task, now_ms)) {
                sched_stop_task(sched, task, "throttled beside serving tasks");
                return;
            }
        }
    }
}

static void
check_executor(sched_t *sched, sched_executor_t *executor, int64_t now_ms)
{
    if (executor->draining) {
        evacuate(sched, executor, now_ms);
    }
    LIST_FOREACH_SAFE (task, &executor->tasks, sched_task_t, executor_link) {
        sched_check_trial(sched, task, now_ms);
        if (is_stalled(task, now_ms)) {
            avoid_list_add(&task->avoided, executor->number);
            sched_stop_task(sched, task, "no progress");
        }
    }
}

static void
remove_expired_jobs(sched_t *sched)
{
    int64_t oldest_ms = sched_wall_ms(sched) - sched->opts.retain_ms;

    LIST_FOREACH_SAFE (job, &sched->finished_jobs, sched_job_t, link) {
        if (job->finished_ms > oldest_ms) {
            return;
        }
        if (job->write_pending || !list_is_empty(&job->dirty_link) ||
            sched_job_count_placed(job) > 0) {
            continue;
        }
        g_ptr_array_add(sched->deleted_keys, g_strdup(job->spec->id));
        g_hash_table_remove(sched->jobs, job->spec->id);
        sched_job_free(job);
    }
}

static void
check_timers(sched_t *sched, int64_t now_ms)
{
    if (!sched->check_needed &&
        now_ms - sched->last_check_ms < CHECK_INTERVAL_MS) {
        return;
    }
    sched->check_needed = false;
    sched->last_check_ms = now_ms;
    expire_executors(sched, now_ms);
    LIST_FOREACH (executor, &sched->executor_list, sched_executor_t, link) {
        check_executor(sched, executor, now_ms);
    }
    migrate_best_effort_task(sched, now_ms);
    LIST_FOREACH (job, &sched->active_jobs, sched_job_t, link) {
        sched_add_due_occurrences(sched, job);
    }
    remove_expired_jobs(sched);
}

static bool
is_restart(const pass_t *pass, const sched_task_t *task)
{
    return is_placeable(task, pass->now_ms) && task->run > 0 &&
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
        executor = choose_executor(pass->sched, task, NULL);
        found = executor != NULL;
        if (found) {
            place_task(pass->sched, task, executor, task->run + 1);
        }
    }
    if (!found) {
        demand_list_add(pass->failed, step, false);
    }
    if (step->waiting == 0) {
        count_start(pass->sched, step->occurrence->job);
    }
    log_placed(step, waiting - step->waiting, pass->now_ms);
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
static void
place_restarts(pass_t *pass, uint32_t priority)
{
    LIST_FOREACH (job, &pass->sched->active_jobs, sched_job_t, link) {
        if (job->spec->priority == priority) {
            place_restarts_of_job(pass, job);
        }
    }
}

static void
place_in_scope(pass_t *pass, pass_scope_t scope)
{
    int64_t last_priority = -1;

    pass->scope = scope;
    LIST_FOREACH (job, &pass->sched->active_jobs, sched_job_t, link) {
        /* Jobs that arrived after the last sort may be out of order. */
        if (scope != PASS_SUSPECTS && job->spec->priority > last_priority) {
            last_priority = job->spec->priority;
            place_restarts(pass, job->spec->priority);
        }
        place_job(pass, job);
    }
}

static void
place_jobs(sched_t *sched, int64_t now_ms)
{
    pass_t pass = {.sched = sched, .now_ms = now_ms};

    pass.failed = demand_list_new();
    if (sched->lasting_overdue) {
        place_in_scope(&pass, PASS_OTHERS);
        place_in_scope(&pass, PASS_SUSPECTS);
    }
    else {
        place_in_scope(&pass, PASS_ALL);
    }
    sched->lasting_overdue = pass.overdue;
    demand_list_free(pass.failed);
}

void
sched_run(sched_t *sched)
{
    int64_t now_ms = sched_now_ms(sched);

    check_timers(sched, now_ms);
    if (!sched->placement_needed &&
        now_ms - sched->last_placement_ms < PLACE_INTERVAL_MS) {
        return;
    }
    sched->placement_needed = false;
    sched->last_placement_ms = now_ms;
    sched_sort_jobs(sched);
    place_jobs(sched, now_ms);
}
