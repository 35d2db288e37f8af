#include "task.h"

/* Returns the HTTP status. */
typedef int (*action_fn)(task_t *task, const http_exchange_t *exchange);

static int
act_suspend(task_t *task, const http_exchange_t *exchange)
{
    if (task->state == RUNNING) {
        task_set_state(task, SUSPENDED, task->throttle);
    }
    return task->state == SUSPENDED ? 200 : 409;
}

static int
act_resume(task_t *task, const http_exchange_t *exchange)
{
    if (!task_is_alive(task) || worker.lease_end_ms <= standin_now_ms()) {
        return 409;
    }
    if (task->state == SUSPENDED) {
        task_set_state(task, RUNNING, task->throttle);
    }
    return 200;
}

static int
act_throttle(task_t *task, const http_exchange_t *exchange)
{
    int64_t percent =
        (int64_t)standin_get_query(exchange, "value", FULL_SPEED);

    if (!task_is_alive(task) || percent < 1 || percent > FULL_SPEED) {
        return 409;
    }
    task_set_state(task, task->state, percent);
    return 200;
}

static int
act_stop(task_t *task, const http_exchange_t *exchange)
{
    if (task_is_alive(task)) {
        task->record->stops++;
        task_set_state(task, STOPPED, task->throttle);
    }
    return task->state == STOPPED ? 200 : 409;
}

static int
act_release(task_t *task, const http_exchange_t *exchange)
{
    if (task->state != DONE) {
        return 409;
    }
    if (!task->released) {
        task->released = true;
        task->record->effects++;
    }
    return 200;
}

static int
act_forget(task_t *task, const http_exchange_t *exchange)
{
    if (task_is_alive(task)) {
        return 409;
    }
    task_remove(task);
    return 200;
}

static const struct {
    const char *name;
    action_fn act;
} actions[] = {
    {"suspend", act_suspend},   {"resume", act_resume},
    {"throttle", act_throttle}, {"stop", act_stop},
    {"release", act_release},   {"forget", act_forget},
};

int64_t
task_get_checkpoint(const task_t *task)
{
    if (task->checkpoint_ms <= 0) {
        return 0;
    }
    return (int64_t)task->progress_ms / task->checkpoint_ms *
           task->checkpoint_ms;
}

int
task_perform_action(task_t *task, const char *action,
                    const http_exchange_t *exchange)
{
    for (size_t i = 0; i < G_N_ELEMENTS(actions); i++) {
        if (strcmp(actions[i].name, action) == 0) {
            return actions[i].act(task, exchange);
        }
    }
    return 404;
}
