#include "agent/task_runner.h"

#include <string.h>

#include "agent/task_runner_internal.h"
#include "base/events.h"

static task_t *
find_task(task_runner_t *runner, const char *job_id, uint32_t attempt)
{
    LIST_FOREACH (task, &runner->tasks, task_t, link) {
        if (task->attempt == attempt && strcmp(task->job_id, job_id) == 0) {
            return task;
        }
    }
    return NULL;
}

static task_t *
find_other_attempt(task_runner_t *runner, const char *job_id)
{
    LIST_FOREACH (task, &runner->tasks, task_t, link) {
        if (task_is_on_worker(task) && strcmp(task->job_id, job_id) == 0) {
            return task;
        }
    }
    return NULL;
}

static void
on_tick(loop_timer_t *timer)
{
    task_runner_t *runner = timer->data;

    loop_timer_start(timer, runner->opts.heartbeat_ms);
    task_runner_check_lease(runner);
    runner->running.value = 0;
    LIST_FOREACH (task, &runner->tasks, task_t, link) {
        runner->running.value += task_is_on_worker(task);
    }
    task_pressure_update(runner);
    task_step_all(runner);
    task_report_send_all(runner);
    task_report_send_heartbeat(runner);
}

static void
on_lease_timer(loop_timer_t *timer)
{
    task_runner_check_lease(timer->data);
}

task_runner_t *
task_runner_new(const task_runner_opts_t *opts)
{
    task_runner_t *runner = g_new0(task_runner_t, 1);

    runner->opts = *opts;
    runner->resume_blocked = true;
    list_init(&runner->tasks);
    lease_init(&runner->lease, opts->clock);
    pressure_init(&runner->pressure, &opts->pressure);
    loop_timer_init(&runner->lease_timer, opts->loop, on_lease_timer, runner);
    loop_timer_init(&runner->tick_timer, opts->loop, on_tick, runner);
    loop_timer_start(&runner->tick_timer, opts->heartbeat_ms);
    metrics_add(opts->metrics, &runner->started, METRIC_COUNTER,
                "teasel_agent_tasks_started_total", NULL, "batch task starts");
    metrics_add(opts->metrics, &runner->evicted, METRIC_COUNTER,
                "teasel_agent_tasks_evicted_total", NULL,
                "batch tasks that were evicted or lost");
    metrics_add(opts->metrics, &runner->expirations, METRIC_COUNTER,
                "teasel_agent_lease_expirations_total", NULL,
                "leases that ended without renewal");
    metrics_add(opts->metrics, &runner->running, METRIC_GAUGE,
                "teasel_agent_tasks", NULL, "batch tasks on the worker");
    task_watch_start(runner);
    return runner;
}

void
task_runner_free(task_runner_t *runner)
{
    if (runner == NULL) {
        return;
    }
    loop_timer_stop(&runner->lease_timer);
    loop_timer_stop(&runner->tick_timer);
    loop_timer_stop(&runner->watch_timer);
    LIST_FOREACH_SAFE (task, &runner->tasks, task_t, link) {
        task_free(task);
    }
    metrics_remove(&runner->started);
    metrics_remove(&runner->evicted);
    metrics_remove(&runner->expirations);
    metrics_remove(&runner->running);
    g_free(runner);
}

static bool
accept_epoch(task_runner_t *runner, uint64_t epoch, const char *message)
{
    if (!lease_accept_epoch(&runner->lease, epoch)) {
        event_log(EVENT_EPOCH_REFUSED,
                  "message=%s epoch=%" G_GUINT64_FORMAT
                  " newest=%" G_GUINT64_FORMAT,
                  message, epoch, runner->lease.epoch);
        return false;
    }
    runner->opts.handler->on_contact(epoch, runner->opts.data);
    return true;
}

/* Returns why the task cannot be started, or NULL after reserving its size. */
static const char *
prepare_start(task_runner_t *runner, task_t *task)
{
    task_t *other = find_other_attempt(runner, task->job_id);
    ledger_kind_t missing = LEDGER_SLOTS;

    if (other != NULL) {
        task_stop(other, TEASEL__STOP_REASON__STOP_REASON_DISCARD);
        return "another attempt of the job is still on this worker";
    }
    if (runner->leaving) {
        return "the agent is leaving";
    }
    if (!runner->worker_status_known) {
        return "the worker has not answered yet";
    }
    if (!task_lease_is_live(runner)) {
        return "no lease is in force";
    }
    if (!task_reserve(task, &missing)) {
        return ledger_kind_to_string(missing);
    }
    return NULL;
}

static void
on_start(task_runner_t *runner, const Teasel__StartTask *message)
{
    task_t *task = find_task(runner, message->job_id, message->attempt);
    const char *refusal;

    if (!accept_epoch(runner, message->epoch, "start")) {
        return;
    }
    if (task != NULL) {
        if (task->state == TASK_ENDED) {
            task_report_send(task);
        }
        return;
    }
    task = task_new(runner, message->job_id, message->attempt);
    task_set_start(task, message);
    refusal = prepare_start(runner, task);
    list_append(&runner->tasks, &task->link);
    if (refusal != NULL) {
        task_end(task, TEASEL__OUTCOME__OUTCOME_NOT_STARTED, refusal);
        return;
    }
    task->state = TASK_STARTING;
    task_step(task);
}

static void
on_stop(task_runner_t *runner, const Teasel__StopTask *message)
{
    task_t *task = find_task(runner, message->job_id, message->attempt);

    if (!accept_epoch(runner, message->epoch, "stop")) {
        return;
    }
    if (task != NULL) {
        task_stop(task, message->reason);
        return;
    }
    if (message->reason == TEASEL__STOP_REASON__STOP_REASON_DISCARD ||
        !runner->worker_status_known) {
        return;
    }
    task = task_new(runner, message->job_id, message->attempt);
    list_append(&runner->tasks, &task->link);
    task_end(task, TEASEL__OUTCOME__OUTCOME_NOT_STARTED,
             "the task is not on this worker");
}

static void
on_release(task_runner_t *runner, const Teasel__ReleaseTask *message)
{
    task_t *task = find_task(runner, message->job_id, message->attempt);

    if (!accept_epoch(runner, message->epoch, "release") || task == NULL) {
        return;
    }
    if (task_is_on_worker(task)) {
        task_stop(task, TEASEL__STOP_REASON__STOP_REASON_DISCARD);
        return;
    }
    if (task->state != TASK_ENDED) {
        return;
    }
    task->state = task->outcome == TEASEL__OUTCOME__OUTCOME_DONE
                      ? TASK_RELEASING
                      : TASK_FORGETTING;
    task_step(task);
}

void
task_runner_on_message(task_runner_t *runner, const Teasel__Envelope *message)
{
    switch (message->body_case) {
    case TEASEL__ENVELOPE__BODY_RENEW:
        task_lease_renew(runner, message->renew);
        break;
    case TEASEL__ENVELOPE__BODY_START_TASK:
        on_start(runner, message->start_task);
        break;
    case TEASEL__ENVELOPE__BODY_STOP_TASK:
        on_stop(runner, message->stop_task);
        break;
    case TEASEL__ENVELOPE__BODY_RELEASE_TASK:
        on_release(runner, message->release_task);
        break;
    default:
        break;
    }
}

void
task_runner_note_epoch(task_runner_t *runner, uint64_t epoch)
{
    lease_accept_epoch(&runner->lease, epoch);
}

void
task_runner_on_connected(task_runner_t *runner)
{
    task_runner_check_lease(runner);
    task_report_send_all(runner);
    task_report_send_heartbeat(runner);
}

void
task_runner_set_leaving(task_runner_t *runner, bool leaving)
{
    runner->leaving = leaving;
    if (!leaving) {
        return;
    }
    LIST_FOREACH_SAFE (task, &runner->tasks, task_t, link) {
        if (task_is_on_worker(task)) {
            task_stop(task, TEASEL__STOP_REASON__STOP_REASON_EVICT);
        }
    }
    task_report_send_heartbeat(runner);
}

void
task_runner_set_pressure(task_runner_t *runner, const pressure_opts_t *opts)
{
    runner->pressure.opts = *opts;
}

bool
task_runner_is_idle(const task_runner_t *runner)
{
    LIST_FOREACH (task, &runner->tasks, task_t, link) {
        if (task->state != TASK_FORGOTTEN) {
            return false;
        }
    }
    return true;
}

ledger_amount_t
task_runner_get_capacity(const task_runner_t *runner)
{
    return runner->opts.ledger->capacity;
}
