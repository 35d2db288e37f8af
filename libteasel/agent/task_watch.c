#include "agent/task_runner_internal.h"
#include "base/events.h"

enum {
    WATCH_WAIT_MS = 1000,
    /* Pause between two watches, so that frequent changes on a busy worker do
       not cause continuous requests. */
    WATCH_PAUSE_MS = 10,
    WATCH_RETRY_MS = 200,
};

static task_t *
find_task(task_runner_t *runner, const worker_task_t *status)
{
    LIST_FOREACH (task, &runner->tasks, task_t, link) {
        if (task->attempt == status->attempt &&
            strcmp(task->job_id, status->job_id) == 0) {
            return task;
        }
    }
    return NULL;
}

/* Adds a task found on the worker after a restart of this agent. Its size is
   known only to the worker. */
static task_t *
recover_task(task_runner_t *runner, const worker_task_t *status)
{
    task_t *task = task_new(runner, status->job_id, status->attempt);

    list_append(&runner->tasks, &task->link);
    task->state = TASK_ACTIVE;
    task->start_sent = true;
    task->size = (ledger_amount_t){
        .units = {
            [LEDGER_CPU_MILLI] = status->declared_cpu_milli,
            [LEDGER_MEMORY_MB] = status->declared_memory_mb,
            [LEDGER_ACCELERATORS] = status->declared_accelerators,
        }};
    event_log(EVENT_TASK_RECOVERED, "job=%s attempt=%u state=%d",
              status->job_id, status->attempt, (int)status->state);
    /* The capacity of the worker may have decreased, or the part reserved for
       interactive requests may have grown. */
    if (!task_reserve(task, NULL)) {
        task->state = TASK_STOPPING;
        task->stop_reason = TEASEL__STOP_REASON__STOP_REASON_EVICT;
    }
    return task;
}

static void
apply_end(task_t *task, Teasel__Outcome outcome, const char *detail)
{
    if (task->state == TASK_STOPPING &&
        task->stop_reason == TEASEL__STOP_REASON__STOP_REASON_DISCARD) {
        task_unreserve(task);
        task->state = TASK_FORGETTING;
    }
    else {
        task_end(task, outcome, detail);
    }
    task_step(task);
}

static void
apply_task(task_t *task, const worker_task_t *status)
{
    if (!task_is_on_worker(task)) {
        return;
    }
    if (task->state == TASK_STARTING) {
        task->state = TASK_ACTIVE;
        task->runner->started.value++;
    }
    if (!task->call_pending) {
        task_set_measured(task, status);
        task_excess_update(task);
    }
    switch (status->state) {
    case WORKER_TASK_DONE:
        apply_end(task, TEASEL__OUTCOME__OUTCOME_DONE, "");
        break;
    case WORKER_TASK_FAILED:
        apply_end(task, TEASEL__OUTCOME__OUTCOME_FAILED, status->detail);
        break;
    case WORKER_TASK_STOPPED:
        /* Repeating the stop returns the checkpoint. */
        if (task->state != TASK_STOPPING) {
            task_stop(task, TEASEL__STOP_REASON__STOP_REASON_EVICT);
        }
        else {
            task_step(task);
        }
        break;
    default:
        task_step(task);
        break;
    }
}

static bool
is_listed(const task_t *task, const worker_status_t *status)
{
    for (size_t i = 0; i < status->task_count; i++) {
        if (task->attempt == status->tasks[i].attempt &&
            strcmp(task->job_id, status->tasks[i].job_id) == 0) {
            return true;
        }
    }
    return false;
}

static void
handle_unlisted(task_t *task)
{
    task_runner_t *runner = task->runner;

    if (task->call_pending || task->confirmed_watch >= runner->watch_number) {
        return;
    }
    if (task->state == TASK_FORGOTTEN) {
        task_free(task);
    }
    else if (task->state == TASK_ACTIVE || task->state == TASK_STOPPING) {
        event_log(EVENT_TASK_LOST, "job=%s attempt=%u", task->job_id,
                  task->attempt);
        apply_end(task, TEASEL__OUTCOME__OUTCOME_EVICTED,
                  "the worker lost the task");
    }
}

static void
apply_capacity(task_runner_t *runner, const worker_status_t *status)
{
    ledger_t *ledger = runner->opts.ledger;
    ledger_amount_t capacity = ledger->capacity;

    capacity.units[LEDGER_CPU_MILLI] = status->cpu_milli;
    capacity.units[LEDGER_MEMORY_MB] = status->memory_mb;
    capacity.units[LEDGER_ACCELERATORS] = status->accelerators;
    ledger_set_capacity(ledger, &capacity);
    ledger_release(ledger, &runner->reserved);
    for (int kind = 0; kind < LEDGER_KIND_COUNT; kind++) {
        runner->reserved.units[kind] = MIN(runner->opts.reserved.units[kind],
                                           ledger_get_free(ledger, kind));
    }
    ledger_reserve(ledger, &runner->reserved, NULL);
}

static void
apply_status(task_runner_t *runner, const worker_status_t *status)
{
    apply_capacity(runner, status);
    for (size_t i = 0; i < status->task_count; i++) {
        task_t *task = find_task(runner, &status->tasks[i]);

        if (task == NULL) {
            task = recover_task(runner, &status->tasks[i]);
        }
        apply_task(task, &status->tasks[i]);
    }
    LIST_FOREACH_SAFE (task, &runner->tasks, task_t, link) {
        if (!is_listed(task, status)) {
            handle_unlisted(task);
        }
    }
}

static void
update_worker_answering(task_runner_t *runner, const worker_status_t *status)
{
    if (status->ok == runner->worker_answering) {
        return;
    }
    runner->worker_answering = status->ok;
    event_log(status->ok ? EVENT_WORKER_BACK : EVENT_WORKER_SILENT,
              "detail=\"%s\"", status->detail);
}

static void
on_status(const worker_status_t *status, void *data)
{
    task_runner_t *runner = data;
    bool first = !runner->worker_status_known;

    update_worker_answering(runner, status);
    if (!status->ok) {
        loop_timer_start(&runner->watch_timer, WATCH_RETRY_MS);
        return;
    }
    runner->worker_status_known = true;
    runner->worker_status_time = clock_get_monotonic(runner->opts.clock);
    runner->worker_version = status->version;
    if (!first && runner->worker_incarnation != status->incarnation) {
        event_log(EVENT_WORKER_RESTARTED, "incarnation=%" G_GUINT64_FORMAT,
                  status->incarnation);
        runner->worker_leased = false;
    }
    runner->worker_incarnation = status->incarnation;
    apply_status(runner, status);
    if (first) {
        task_runner_on_connected(runner);
    }
    loop_timer_start(&runner->watch_timer, WATCH_PAUSE_MS);
    if (runner->leaving && task_runner_is_idle(runner)) {
        runner->opts.handler->on_idle(runner->opts.data);
    }
}

static void
on_watch_timer(loop_timer_t *timer)
{
    task_runner_t *runner = timer->data;
    worker_t *worker = runner->opts.worker;

    runner->watch_number++;
    worker->vtbl->watch(worker, runner->worker_version, WATCH_WAIT_MS,
                        on_status, runner);
}

void
task_watch_start(task_runner_t *runner)
{
    loop_timer_init(&runner->watch_timer, runner->opts.loop, on_watch_timer,
                    runner);
    loop_timer_start(&runner->watch_timer, 0);
}
