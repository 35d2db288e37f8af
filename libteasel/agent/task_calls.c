#include "agent/task_runner_internal.h"
#include "base/events.h"

enum {
    FULL_SPEED = 100,
    THROTTLED_SPEED = 50,
};

bool
task_reserve(task_t *task, ledger_kind_t *missing)
{
    task->reserved =
        ledger_reserve(task->runner->opts.ledger, &task->size, missing);
    return task->reserved;
}

void
task_unreserve(task_t *task)
{
    if (task->reserved) {
        ledger_release(task->runner->opts.ledger, &task->size);
        task->reserved = false;
    }
    ledger_release(task->runner->opts.ledger, &task->excess);
    task->excess = (ledger_amount_t){0};
}

void
task_end(task_t *task, Teasel__Outcome outcome, const char *detail)
{
    task_unreserve(task);
    task->state = TASK_ENDED;
    task->outcome = outcome;
    g_free(task->detail);
    task->detail = g_strdup(detail);
    if (outcome == TEASEL__OUTCOME__OUTCOME_EVICTED) {
        task->runner->evicted.value++;
    }
    event_log(EVENT_TASK_ENDED, "job=%s attempt=%u outcome=%d detail=\"%s\"",
              task->job_id, task->attempt, (int)outcome, detail);
    task_report_send(task);
}

/* Ends a stopping task after the worker's final answer. */
static void
finish_stopped(task_t *task, const char *detail)
{
    static const Teasel__Outcome outcome_of[] = {
        [TEASEL__STOP_REASON__STOP_REASON_CANCEL] =
            TEASEL__OUTCOME__OUTCOME_CANCELLED,
        [TEASEL__STOP_REASON__STOP_REASON_EVICT] =
            TEASEL__OUTCOME__OUTCOME_EVICTED,
    };

    if (task->stop_reason == TEASEL__STOP_REASON__STOP_REASON_DISCARD) {
        task_unreserve(task);
        task->state = TASK_FORGETTING;
        return;
    }
    task_end(task, outcome_of[task->stop_reason], detail);
}

void
task_stop(task_t *task, Teasel__StopReason reason)
{
    bool discard = reason == TEASEL__STOP_REASON__STOP_REASON_DISCARD;

    if (task->state == TASK_ENDED && discard) {
        task->state = TASK_FORGETTING;
    }
    else if (task->state == TASK_STARTING && !task->start_sent) {
        task->stop_reason = reason;
        finish_stopped(task, "stopped before its start");
    }
    else if (task_is_on_worker(task)) {
        /* The first reason stays in force, unless a discard follows: it also
           abandons the result of the attempt. */
        if (task->state != TASK_STOPPING || discard) {
            task->stop_reason = reason;
        }
        task->state = TASK_STOPPING;
    }
    task_step(task);
}

static void
finish_call(task_t *task)
{
    task->call_pending = false;
    task->confirmed_watch = task->runner->watch_number;
}

static void
on_started(worker_outcome_t outcome, const void *checkpoint, size_t length,
           const char *detail, void *data)
{
    task_t *task = data;

    finish_call(task);
    if (outcome == WORKER_UNKNOWN) {
        return; /* repeated on the next tick */
    }
    if (outcome == WORKER_REFUSED) {
        if (task->state == TASK_STARTING) {
            task_end(task, TEASEL__OUTCOME__OUTCOME_NOT_STARTED, detail);
        }
        else if (task->state == TASK_STOPPING) {
            finish_stopped(task, detail);
        }
    }
    else if (task->state == TASK_STARTING) {
        task->state = TASK_ACTIVE;
        task->runner->started.value++;
    }
    task_step(task);
}

static void
on_stopped(worker_outcome_t outcome, const void *checkpoint, size_t length,
           const char *detail, void *data)
{
    task_t *task = data;

    finish_call(task);
    /* After a refusal, the next status shows whether the task has ended or is
       lost. */
    if (outcome != WORKER_OK || task->state != TASK_STOPPING) {
        return;
    }
    g_bytes_unref(task->checkpoint);
    task->checkpoint = g_bytes_new(checkpoint, length);
    finish_stopped(task, "stopped");
    task_step(task);
}

/* After suspend, resume and throttle, compares the wanted state again. */
static void
on_adjusted(worker_outcome_t outcome, const void *checkpoint, size_t length,
            const char *detail, void *data)
{
    task_t *task = data;

    finish_call(task);
    if (outcome == WORKER_OK) {
        task_step(task);
    }
}

static void
on_suspended(worker_outcome_t outcome, const void *checkpoint, size_t length,
             const char *detail, void *data)
{
    task_t *task = data;

    task->worker_suspended = task->worker_suspended || outcome == WORKER_OK;
    on_adjusted(outcome, checkpoint, length, detail, data);
}

static void
on_resumed(worker_outcome_t outcome, const void *checkpoint, size_t length,
           const char *detail, void *data)
{
    task_t *task = data;

    task->worker_suspended = task->worker_suspended && outcome != WORKER_OK;
    on_adjusted(outcome, checkpoint, length, detail, data);
}

static void
on_released(worker_outcome_t outcome, const void *checkpoint, size_t length,
            const char *detail, void *data)
{
    task_t *task = data;

    finish_call(task);
    if (outcome == WORKER_UNKNOWN) {
        return; /* repeated on the next tick */
    }
    if (outcome == WORKER_REFUSED) {
        event_log(EVENT_TASK_EFFECTS_LOST, "job=%s attempt=%u detail=\"%s\"",
                  task->job_id, task->attempt, detail);
    }
    task->state = TASK_FORGETTING;
    task_step(task);
}

static void
on_forgotten(worker_outcome_t outcome, const void *checkpoint, size_t length,
             const char *detail, void *data)
{
    task_t *task = data;

    finish_call(task);
    if (outcome != WORKER_UNKNOWN) {
        task->state = TASK_FORGOTTEN;
        task_step(task);
    }
}

static void
call_worker(task_t *task, worker_action_t action, uint32_t value, worker_cb cb)
{
    worker_t *worker = task->runner->opts.worker;

    task->call_pending = true;
    worker->vtbl->act(worker, task->job_id, task->attempt, action, value, cb,
                      task);
}

static void
step_starting(task_t *task)
{
    task_runner_t *runner = task->runner;
    worker_t *worker = runner->opts.worker;
    gsize length;
    const void *checkpoint = g_bytes_get_data(task->checkpoint, &length);
    worker_start_t start = {
        .job_id = task->job_id,
        .attempt = task->attempt,
        .cpu_milli = (uint32_t)task->size.units[LEDGER_CPU_MILLI],
        .memory_mb = task->size.units[LEDGER_MEMORY_MB],
        .accelerators = (uint32_t)task->size.units[LEDGER_ACCELERATORS],
        .spec = task->spec,
        .checkpoint = checkpoint,
        .checkpoint_length = length,
    };

    if (!task_lease_is_live(runner)) {
        if (!task->start_sent) {
            task_end(task, TEASEL__OUTCOME__OUTCOME_NOT_STARTED,
                     "the lease expired before the start");
        }
        return;
    }
    if (!task_lease_is_worker_live(runner)) {
        return;
    }
    task->start_sent = true;
    task->call_pending = true;
    worker->vtbl->start(worker, &start, on_started, task);
}

static void
step_active(task_t *task)
{
    task_runner_t *runner = task->runner;
    /* Before the first grant after a restart of the agent, the earlier lease
       still applies; the worker enforces it. */
    bool lease_expired = runner->lease.granted_epoch != 0 &&
                         (runner->expired || !task_lease_is_live(runner));
    bool suspended = lease_expired || task->level >= PRESSURE_SUSPENDED;
    uint32_t speed =
        task->level >= PRESSURE_THROTTLED ? THROTTLED_SPEED : FULL_SPEED;

    if (suspended) {
        if (!task->worker_suspended) {
            call_worker(task, WORKER_SUSPEND, 0, on_suspended);
        }
    }
    else if (task->worker_suspended) {
        if (!runner->resume_blocked && task_lease_is_worker_live(runner)) {
            call_worker(task, WORKER_RESUME, 0, on_resumed);
        }
    }
    else if (task->throttle != speed) {
        task->throttle = speed; /* corrected by the next status */
        call_worker(task, WORKER_THROTTLE, speed, on_adjusted);
    }
}

static void
step_stopping(task_t *task)
{
    call_worker(task, WORKER_STOP, 0, on_stopped);
}

static void
step_releasing(task_t *task)
{
    call_worker(task, WORKER_RELEASE, 0, on_released);
}

static void
step_forgetting(task_t *task)
{
    if (!task->start_sent) {
        task->state = TASK_FORGOTTEN;
        return;
    }
    call_worker(task, WORKER_FORGET, 0, on_forgotten);
}

void
task_step(task_t *task)
{
    static void (*const steps[])(task_t * task) = {
        [TASK_STARTING] = step_starting,     [TASK_ACTIVE] = step_active,
        [TASK_STOPPING] = step_stopping,     [TASK_RELEASING] = step_releasing,
        [TASK_FORGETTING] = step_forgetting, [TASK_FORGOTTEN] = NULL,
    };

    if (!task->call_pending && steps[task->state] != NULL) {
        steps[task->state](task);
    }
}

void
task_step_all(task_runner_t *runner)
{
    LIST_FOREACH_SAFE (task, &runner->tasks, task_t, link) {
        task_step(task);
    }
}
