/* Repeats the orders that may have been lost with a connection. */

#include "base/events.h"
#include "sched/sched_internal.h"

/* An order whose job has no change to write is sent with the next message, so
   that a lease does not go out before a stop. */
static void
add_repeated_order(sched_t *sched, sched_task_t *task)
{
    const sched_job_t *job = sched_task_get_job(task);

    if (!list_is_empty(&job->dirty_link) || job->write_pending) {
        sched_stage_order(sched, task);
        return;
    }
    list_remove(&task->order_link);
    list_append(&task->executor->orders, &task->order_link);
}

/* A start in an evacuated data centre is not sent: the next pass finds it
   among the orders, and stops the run. */
static void
repeat_order(sched_t *sched, sched_task_t *task)
{
    bool is_stop = task->phase == SCHED_TASK_STOPPING;
    char name[SCHED_TASK_NAME_SIZE];

    add_repeated_order(sched, task);
    if (!is_stop && sched_is_evacuated(sched, task->executor)) {
        return;
    }
    sched_task_format_name(task, name);
    event_log(EVENT_ORDER_REPEATED, "order=%s task=%s run=%u executor=%s",
              is_stop ? "stop" : "start", name, task->run,
              task->executor->key);
}

static run_view_decision_t
decide_list(const sched_t *sched, const sched_task_t *task)
{
    bool is_listed = task->report == sched->last_report;

    return sched_task_decide(
        task, (run_view_event_t){.kind = is_listed ? RUN_VIEW_LISTED
                                                   : RUN_VIEW_UNLISTED});
}

/* The agent and the executor ignore repeated orders. */
void
sched_repeat_orders(sched_t *sched, sched_executor_t *executor)
{
    LIST_FOREACH (task, &executor->tasks, sched_task_t, executor_link) {
        task->tail_effect =
            interference_get_effect(sched->interference, executor, task->step);
        if (decide_list(sched, task).action == RUN_VIEW_REPEAT) {
            repeat_order(sched, task);
        }
    }
}
