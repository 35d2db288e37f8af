/* Ends incarnations of executors, and moves their runs to later ones. */

#include "base/events.h"
#include "sched/sched_internal.h"

/* A start that was sent to the older incarnation may have been carried out by
   the later one. The run is stopped there before the task is placed again. */
static void
move_runs(sched_t *sched, sched_executor_t *older, sched_executor_t *later)
{
    LIST_FOREACH_SAFE (task, &older->tasks, sched_task_t, executor_link) {
        run_view_decision_t decision = sched_task_decide(
            task, (run_view_event_t){.kind = RUN_VIEW_RESTARTED});

        if (decision.action != RUN_VIEW_MOVE) {
            continue;
        }
        sched_executor_detach(task);
        sched_executor_attach(later, task);
        sched_mark_dirty(sched, sched_task_get_job(task));
        sched_stop_task(sched, task, "its executor has restarted");
        sched_stage_order(sched, task);
    }
}

static void
replace_executor(sched_t *sched, sched_executor_t *older,
                 sched_executor_t *later, bool same_id)
{
    event_log(EVENT_EXECUTOR_LAPSED, "executor=%s reason=\"replaced by %s\"",
              older->key, later->key);
    if (same_id) {
        move_runs(sched, older, later);
    }
    sched_expire_executor(sched, older);
}

/* Ends the incarnations that an executor has replaced: an agent that was
   restarted does not report the end of executors that ended in the
   meantime. */
static void
expire_older_incarnations(sched_t *sched, sched_executor_t *later)
{
    LIST_FOREACH_SAFE (older, &sched->executor_list, sched_executor_t, link) {
        if (sched_executor_key_replaces(later->key, older->key)) {
            sched_infer_crashes(sched, older);
            replace_executor(
                sched, older, later,
                sched_executor_key_restarts(later->key, older->key));
        }
    }
}

/* An agent names the predecessor, whose start time may be later if the wall
   clock was set back in between. */
static void
replace_predecessor(sched_t *sched, sched_executor_t *later, const char *key)
{
    sched_executor_t *older = g_hash_table_lookup(sched->executors, key);

    if (older != NULL && older != later) {
        replace_executor(sched, older, later, true);
    }
}

void
sched_replace_incarnations(sched_t *sched, sched_executor_t *executor,
                           const char *predecessor)
{
    replace_predecessor(sched, executor, predecessor);
    expire_older_incarnations(sched, executor);
}

void
sched_end_incarnation(sched_t *sched, sched_executor_t *executor)
{
    /* The runs that older incarnations left to this one have ended with it. */
    expire_older_incarnations(sched, executor);
    sched_expire_executor(sched, executor);
}
