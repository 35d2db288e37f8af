/* Processes reports of executors and the ends of runs. */

#include <string.h>

#include "base/events.h"
#include "sched/sched_internal.h"

enum {
    MAX_RESTART_DELAY_MS = 2000,
    RESTART_DELAY_STEP_MS = 100,
    /* A best-effort task that is throttled this much may be migrated. */
    MIGRATE_SLOWDOWN_PERCENT = 50,
};

sched_task_t *
sched_find_task(sched_t *sched, const char *name)
{
    g_autofree char *id = NULL;
    uint32_t occurrence;
    uint32_t step;
    uint32_t index;
    sched_job_t *job;

    if (!sched_task_parse_name(name, &id, &occurrence, &step, &index)) {
        return NULL;
    }
    job = g_hash_table_lookup(sched->jobs, id);
    return job ? sched_job_find_task(job, occurrence, step, index) : NULL;
}

/* Returns the step of a task whose job is known, though the task itself may
   have been freed with its occurrence; or NULL. */
static const Teasel__StepSpec *
find_step(sched_t *sched, const char *name)
{
    g_autofree char *id = NULL;
    uint32_t occurrence;
    uint32_t step;
    uint32_t index;
    const sched_job_t *job;

    if (!sched_task_parse_name(name, &id, &occurrence, &step, &index)) {
        return NULL;
    }
    job = g_hash_table_lookup(sched->jobs, id);
    return job != NULL && step < job->spec->n_steps ? job->spec->steps[step]
                                                    : NULL;
}

/* Decides on what an executor reports of a run. The task may be NULL. */
static run_view_decision_t
decide_report(const sched_task_t *task, const sched_executor_t *executor,
              run_view_event_t event)
{
    event.at_executor = task != NULL && task->executor == executor;
    return sched_task_decide(task, event);
}

void
sched_stage_order(sched_t *sched, sched_task_t *task)
{
    list_remove(&task->order_link);
    list_append(&sched->staged_orders, &task->order_link);
}

static void
log_stop(const sched_task_t *task, const char *reason)
{
    char name[SCHED_TASK_NAME_SIZE];

    sched_task_format_name(task, name);
    event_log(EVENT_RUN_STOPPED, "task=%s run=%u executor=%s reason=\"%s\"",
              name, task->run, task->executor->key, reason);
}

void
sched_complete_occurrence(sched_t *sched, sched_occurrence_t *occurrence)
{
    sched_job_t *job = occurrence->job;

    sched_job_remove_occurrence(occurrence);
    if (list_is_empty(&job->occurrences) &&
        job->next_occurrence >= MAX(1, job->spec->repeat_count)) {
        sched_finish_job(sched, job, SCHED_JOB_COMPLETED);
    }
}

/* Follows the end of a task. May free its occurrence. */
static void
finish_task(sched_t *sched, sched_task_t *task)
{
    sched_step_t *step = task->step;
    sched_occurrence_t *occurrence = step->occurrence;

    sched_step_finish_gang(step);
    sched->placement_needed = true;
    if (step->done < step->spec->count) {
        return;
    }
    occurrence->done_steps++;
    if (occurrence->done_steps == occurrence->job->spec->n_steps) {
        sched_complete_occurrence(sched, occurrence);
    }
}

static void
release_task(sched_t *sched, sched_task_t *task)
{
    task->step->waiting++;
    sched->placement_needed = true;
}

static void
retry_task(sched_t *sched, sched_task_t *task)
{
    task->failures++;
    release_task(sched, task);
    if (task->step->spec->long_running) {
        task->not_before_ms =
            sched_now_ms(sched) +
            MIN(MAX_RESTART_DELAY_MS,
                RESTART_DELAY_STEP_MS * (int64_t)(task->failures - 1));
    }
}

static void
fail_task(sched_t *sched, sched_task_t *task)
{
    task->failures++;
    sched->placement_needed = true;
    sched_finish_job(sched, sched_task_get_job(task), SCHED_JOB_FAILED);
}

static void
update_executor_health(sched_t *sched, sched_task_t *task, sched_end_t how)
{
    if (how == SCHED_END_DONE) {
        task->executor->consecutive_failures = 0;
        sched_note_finished(sched, task);
        sched_learn_run_time(sched, task);
    }
    if (how == SCHED_END_FAILED) {
        sched_count_failure(sched, task);
        avoid_list_add(&task->avoided, task->executor->number);
    }
}

static void
log_end(const sched_t *sched, const sched_task_t *task, sched_end_t how)
{
    char name[SCHED_TASK_NAME_SIZE];

    sched_task_format_name(task, name);
    event_log(EVENT_RUN_ENDED,
              "task=%s run=%u executor=%s how=%s age_ms=%" G_GINT64_FORMAT
              " failures=%u",
              name, task->run, task->executor->key, sched_end_to_string(how),
              task->placed_ms > 0 ? sched_now_ms(sched) - task->placed_ms : -1,
              task->failures);
}

/* A run whose lease has expired may have ended when its executor was last
   heard of, or before this leader began. */
static int64_t
get_end_ms(const sched_t *sched, const sched_task_t *task, sched_end_t how)
{
    if (how != SCHED_END_LAPSED) {
        return sched_now_ms(sched);
    }
    return MAX(task->executor->heard_ms, sched->created_ms);
}

/* May free the occurrence of the task. */
static void
follow_end(sched_t *sched, sched_task_t *task, run_view_action_t action)
{
    switch (action) {
    case RUN_VIEW_FINISH:
        finish_task(sched, task);
        break;
    case RUN_VIEW_RETRY:
        retry_task(sched, task);
        break;
    case RUN_VIEW_FAIL:
        fail_task(sched, task);
        break;
    case RUN_VIEW_RELEASE:
        release_task(sched, task);
        break;
    default: /* RUN_VIEW_FORGET */
        sched->placement_needed = true;
        break;
    }
}

/* The checkpoint is NULL or empty if there is none. */
static void
end_run(sched_t *sched, sched_task_t *task,
        const run_view_decision_t *decision, const char *checkpoint)
{
    if (decision->how != SCHED_END_DONE || task->step->spec->long_running) {
        log_end(sched, task, decision->how);
    }
    update_executor_health(sched, task, decision->how);
    task->ended_ms = get_end_ms(sched, task, decision->how);
    list_remove(&task->order_link);
    if (task->on_trial) {
        task->executor->trial_failed_ms = sched_now_ms(sched);
    }
    sched_executor_detach(task);
    sched_mark_dirty(sched, sched_task_get_job(task));
    task->on_trial = false;
    task->settled = false;
    task->running_ms = 0;
    task->percent = 0;
    task->measurement = 0;
    task->baseline_ratio = 0;
    task->slowdown = 0;
    task->slowed_since_ms = 0;
    if (checkpoint != NULL && checkpoint[0] != '\0') {
        g_free(task->checkpoint);
        task->checkpoint = g_strdup(checkpoint);
    }
    sched_task_set_view(task, &decision->view);
    follow_end(sched, task, decision->action);
}

void
sched_stop_task(sched_t *sched, sched_task_t *task, const char *reason)
{
    run_view_decision_t decision = sched_task_decide(
        task, (run_view_event_t){.kind = RUN_VIEW_STOP_WANTED});

    if (decision.action == RUN_VIEW_NONE) {
        return;
    }
    log_stop(task, reason);
    if (decision.action != RUN_VIEW_ORDER) {
        end_run(sched, task, &decision, NULL);
        return;
    }
    sched_task_set_view(task, &decision.view);
    sched_stage_order(sched, task);
}

static void
expire_run(sched_t *sched, sched_task_t *task)
{
    run_view_decision_t decision =
        sched_task_decide(task, (run_view_event_t){.kind = RUN_VIEW_EXPIRED});

    end_run(sched, task, &decision, NULL);
}

void
sched_expire_executor(sched_t *sched, sched_executor_t *executor)
{
    while (!list_is_empty(&executor->tasks)) {
        sched_task_t *task =
            LIST_ENTRY(executor->tasks.next, sched_task_t, executor_link);

        expire_run(sched, task);
    }
    sched_assign_node(sched, executor, NULL);
    g_hash_table_remove(sched->executors, executor->key);
    sched_executor_free(executor);
}

static void
update_slowdown(const sched_t *sched, sched_task_t *task, uint32_t slowdown)
{
    task->slowdown = slowdown;
    if (slowdown < MIGRATE_SLOWDOWN_PERCENT) {
        task->slowed_since_ms = 0;
    }
    else if (task->slowed_since_ms == 0) {
        task->slowed_since_ms = sched_now_ms(sched);
    }
}

static void
apply_running(sched_t *sched, sched_executor_t *executor,
              const Teasel__RunStatus *status)
{
    sched_task_t *task = sched_find_task(sched, status->task);
    run_view_decision_t decision = decide_report(
        task, executor,
        (run_view_event_t){.kind = status->pending ? RUN_VIEW_REPORTED_PENDING
                                                   : RUN_VIEW_REPORTED_RUNNING,
                           .run = status->run});
    sched_job_t *job;

    if (decision.action == RUN_VIEW_STOP_ORPHAN) {
        sched_executor_note_orphan(executor, status,
                                   find_step(sched, status->task),
                                   sched->last_report);
        return;
    }
    task->report = sched->last_report;
    if (decision.action == RUN_VIEW_NONE) {
        return;
    }
    job = sched_task_get_job(task);
    sched_task_set_view(task, &decision.view);
    if (decision.action == RUN_VIEW_MARK_BEGUN) {
        task->running_ms = sched_now_ms(sched);
        task->progress_ms = task->running_ms;
        list_remove(&task->order_link);
    }
    job->started = true;
    if (job->state == SCHED_JOB_QUEUED) {
        job->state = SCHED_JOB_RUNNING;
    }
    update_slowdown(sched, task, status->slowdown);
    if (status->percent != task->percent || status->slowdown > 0) {
        task->percent = status->percent;
        task->progress_ms = sched_now_ms(sched);
    }
    if (status->settled && !task->settled) {
        sched_task_settle(sched, task);
    }
    task->measurement = status->figure;
    if (status->checkpoint[0] != '\0' &&
        g_strcmp0(status->checkpoint, task->checkpoint) != 0) {
        g_free(task->checkpoint);
        task->checkpoint = g_strdup(status->checkpoint);
        task->progress_ms = sched_now_ms(sched);
    }
}

static void
release_orphan(sched_t *sched, sched_executor_t *executor, const char *name,
               uint32_t run)
{
    sched->placement_needed |=
        sched_executor_remove_orphan(executor, name, run);
}

/* Stops the run of a task that is done. The members of a gang end as done
   together, so they are stopped together. May free the occurrence. */
static void
stop_later(sched_t *sched, sched_task_t *task)
{
    g_autoptr(GPtrArray) placed = g_ptr_array_new();
    const sched_step_t *step = task->step;

    for (uint32_t i = 0; step->spec->gang && i < step->spec->count; i++) {
        if (step->tasks[i].executor != NULL) {
            g_ptr_array_add(placed, &step->tasks[i]);
        }
    }
    if (!step->spec->gang) {
        g_ptr_array_add(placed, task);
    }
    for (guint i = 0; i < placed->len; i++) {
        ((sched_task_t *)g_ptr_array_index(placed, i))->done_before = true;
    }
    /* The last one that ends may free the occurrence. */
    for (guint i = 0; i < placed->len; i++) {
        sched_stop_task(sched, g_ptr_array_index(placed, i),
                        "an earlier run is done");
    }
}

static void
take_late_end(sched_t *sched, sched_task_t *task,
              const run_view_decision_t *decision, uint32_t run)
{
    char name[SCHED_TASK_NAME_SIZE];

    sched_task_format_name(task, name);
    event_log(EVENT_LATE_END_TAKEN, "task=%s run=%u latest_run=%u", name, run,
              task->run);
    sched_mark_dirty(sched, sched_task_get_job(task));
    if (decision->action == RUN_VIEW_STOP_LATER) {
        stop_later(sched, task);
        return;
    }
    sched_task_set_view(task, &decision->view);
    finish_task(sched, task);
}

static void
apply_end(sched_t *sched, sched_executor_t *executor,
          const Teasel__RunEnd *end)
{
    sched_task_t *task;
    run_view_decision_t decision;

    if (end->number <= executor->end_seen) {
        return;
    }
    executor->end_seen = end->number;
    sched->cursors_dirty = true;
    release_orphan(sched, executor, end->task, end->run);
    task = sched_find_task(sched, end->task);
    decision = decide_report(task, executor,
                             (run_view_event_t){.kind = RUN_VIEW_ENDED,
                                                .run = end->run,
                                                .how = (sched_end_t)end->how});
    if (decision.action == RUN_VIEW_TAKE_LATE_END ||
        decision.action == RUN_VIEW_STOP_LATER) {
        take_late_end(sched, task, &decision, end->run);
    }
    else if (decision.action != RUN_VIEW_NONE) {
        sched_task_get_job(task)->started = true;
        end_run(sched, task, &decision, end->checkpoint);
    }
}

/* A rejection guarantees that the run does not exist and will never start. One
   for an evacuation says nothing of the executor. */
static void
apply_rejection(sched_t *sched, sched_executor_t *executor,
                const Teasel__RejectedStart *rejected)
{
    sched_task_t *task = sched_find_task(sched, rejected->task);
    run_view_decision_t decision = decide_report(
        task, executor,
        (run_view_event_t){.kind = RUN_VIEW_REJECTED, .run = rejected->run});

    release_orphan(sched, executor, rejected->task, rejected->run);
    if (decision.action != RUN_VIEW_NONE) {
        if (strcmp(rejected->reason, EVACUATION_REASON) != 0) {
            avoid_list_add(&task->avoided, executor->number);
        }
        end_run(sched, task, &decision, NULL);
    }
}

static void
apply_lists(sched_t *sched, sched_executor_t *executor,
            const Teasel__ExecutorReport *report)
{
    for (size_t i = 0; i < report->n_ended; i++) {
        apply_end(sched, executor, report->ended[i]);
    }
    for (size_t i = 0; i < report->n_rejected; i++) {
        apply_rejection(sched, executor, report->rejected[i]);
    }
    for (size_t i = 0; i < report->n_running; i++) {
        apply_running(sched, executor, report->running[i]);
    }
    if (report->listed || report->has_figures) {
        sched->placement_needed |= sched_executor_remove_unlisted_orphans(
            executor, sched->last_report);
    }
}

/* An executor may change its capacity while it runs. */
static bool
has_changed(const sched_executor_t *executor,
            const Teasel__ExecutorReport *report)
{
    const Teasel__Capacity *capacity = report->capacity;

    return !executor->connected || executor->draining != report->draining ||
           (capacity != NULL &&
            (executor->capacity.cpu_milli != capacity->cpu_milli ||
             executor->capacity.memory_mb != capacity->memory_mb ||
             executor->capacity.accelerators != capacity->accelerators));
}

/* Its runs are not judged by the time in which it was not heard of. */
static void
skip_absence(const sched_t *sched, sched_executor_t *executor)
{
    int64_t now_ms = sched_now_ms(sched);

    if (executor->heard_ms > 0) {
        sched_executor_skip_time(executor, now_ms - executor->heard_ms,
                                 now_ms);
    }
}

/* The executor may hold a lease that no leader has granted. */
static void
apply_held_lease(sched_t *sched, sched_executor_t *executor,
                 const Teasel__ExecutorReport *report)
{
    if (report->held_ms > 0) {
        executor->expiry_ms = MAX(executor->expiry_ms,
                                  sched_executor_get_lease_end_ms(
                                      sched_now_ms(sched), report->held_ms));
    }
}

void
sched_apply_report(sched_t *sched, const char *node,
                   const Teasel__ExecutorReport *report)
{
    sched_executor_t *executor = sched_get_executor(sched, report->key);
    bool changed = has_changed(executor, report);

    sched->last_report++;
    if (report->gone) {
        sched_end_incarnation(sched, executor);
        return;
    }
    if (!executor->connected) {
        skip_absence(sched, executor);
        sched_replace_incarnations(sched, executor, report->predecessor);
    }
    if (changed || report->listed) {
        sched_assign_node(sched, executor, node);
        sched_executor_update(executor, report, sched_now_ms(sched));
    }
    sched->placement_needed |= changed || report->listed;
    sched->check_needed |= changed;
    executor->connected = true;
    executor->heard_ms = sched_now_ms(sched);
    apply_held_lease(sched, executor, report);
    apply_lists(sched, executor, report);
    if (report->has_figures) {
        sched_executor_update_slowdown(executor);
        interference_update(sched->interference, executor);
        sched->learned_dirty |= executor->serving > 0;
    }
    if (report->listed) {
        executor->listed = true;
        executor->end_sent = 0;
        executor->traits_unsent = true;
        sched_repeat_orders(sched, executor);
    }
}
