/* Handles timers: leases, leaving executors, stalled runs, due times, old
   jobs. */

#include "sched/sched_internal.h"

enum {
    /* A run without progress for this long is stopped, and the task prefers
       another executor. */
    STALL_TIMEOUT_MS = 6000,
    MIGRATE_AFTER_MS = 1000,
    /* Allows for the delay of the messages of a stop. */
    LEAVE_MARGIN_MS = 500,
    /* Reports arrive more often than the timers need to be checked. */
    CHECK_INTERVAL_MS = 50,
};

/* An earlier leader may go on extending the lease of an executor whose agent
   has not come to this one. */
static bool
has_lease_expired(const sched_t *sched, const sched_executor_t *executor,
                  int64_t now_ms)
{
    bool unknown = sched->stale_leader && executor->heard_ms == 0;

    return !executor->connected && !unknown && now_ms >= executor->expiry_ms;
}

static void
expire_executors(sched_t *sched, int64_t now_ms)
{
    LIST_FOREACH_SAFE (executor, &sched->executor_list, sched_executor_t,
                       link) {
        if (has_lease_expired(sched, executor, now_ms)) {
            sched_expire_executor(sched, executor);
        }
    }
}

/* Stops the runs that cannot end before a draining executor leaves:
   long-running ones at once, because nothing of them is kept; others at the
   last moment that leaves time to write a checkpoint. */
static void
stop_before_leaving(sched_t *sched, sched_executor_t *executor, int64_t now_ms)
{
    bool stop_now =
        now_ms >= executor->leaves_ms - sched->opts.stop_ms - LEAVE_MARGIN_MS;

    LIST_FOREACH_SAFE (task, &executor->tasks, sched_task_t, executor_link) {
        if (task->step->spec->long_running || stop_now) {
            sched_stop_task(sched, task, "the executor is leaving");
        }
    }
}

/* Nothing is known of a run whose executor is not connected; its lease ends
   it. */
static bool
is_stalled(const sched_task_t *task, int64_t now_ms)
{
    const Teasel__StepSpec *spec = task->step->spec;

    return task->executor->connected && task->phase == SCHED_TASK_RUNNING &&
           !spec->long_running && !spec->gang &&
           now_ms - task->progress_ms > STALL_TIMEOUT_MS;
}

/* In an evacuated data centre a run is not started again, so that it is
   stopped only for a place elsewhere. */
static bool
may_stop_stalled(const sched_t *sched, const sched_task_t *task)
{
    return !sched_is_evacuated(sched, task->executor) ||
           sched_choose_executor(sched, task, NULL) != NULL;
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
    executor = sched_choose_executor(sched, task, NULL);
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
    if (is_any_stopping(sched) ||
        !evacuation_is_known(sched->opts.evacuation)) {
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
        stop_before_leaving(sched, executor, now_ms);
    }
    LIST_FOREACH_SAFE (task, &executor->tasks, sched_task_t, executor_link) {
        sched_check_trial(sched, task, now_ms);
        if (is_stalled(task, now_ms) && may_stop_stalled(sched, task)) {
            avoid_list_add(&task->avoided, executor->number);
            sched_stop_task(sched, task, "no progress");
        }
    }
}

void
sched_note_pause(sched_t *sched, int64_t pause_ms)
{
    LIST_FOREACH (executor, &sched->executor_list, sched_executor_t, link) {
        if (executor->connected) {
            sched_executor_skip_time(executor, pause_ms, sched_now_ms(sched));
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

void
sched_check_timers(sched_t *sched, int64_t now_ms)
{
    if (!sched->check_needed &&
        now_ms - sched->last_check_ms < CHECK_INTERVAL_MS) {
        return;
    }
    sched->check_needed = false;
    sched->last_check_ms = now_ms;
    expire_executors(sched, now_ms);
    sched_evacuate_runs(sched);
    LIST_FOREACH (executor, &sched->executor_list, sched_executor_t, link) {
        check_executor(sched, executor, now_ms);
    }
    migrate_best_effort_task(sched, now_ms);
    LIST_FOREACH (job, &sched->active_jobs, sched_job_t, link) {
        sched_add_due_occurrences(sched, job);
    }
    remove_expired_jobs(sched);
}
