/* One run on an executor: its start, its stop, and their retries. */

#include <string.h>

#include "base/events.h"
#include "node/node_internal.h"

enum {
    /* Start calls in progress per executor; further ones wait in order. */
    MAX_STARTING = 8,
    RETRY_MS = 200,
    /* A start is not sent this long after the newest orders of the leader, as
       an evacuation may have begun since: it has to be in force after 5 s, of
       which the leader may need 2 s to learn of it. */
    ORDERS_VALID_MS = 2000,
};

/* Effect of a best-effort run that the leader does not know. */
static const double DEFAULT_TAIL_EFFECT = 0.1;

void
run_set_tail_effect(run_t *run, uint32_t permille)
{
    run->tail_effect = permille > 0 ? permille / 1000.0 : DEFAULT_TAIL_EFFECT;
}

run_decision_t
run_apply(run_t *run, run_event_t event)
{
    run_decision_t decision = run_state_decide(run->state, event);

    run->state = decision.state;
    return decision;
}

run_t *
run_find(node_executor_t *executor, const char *task, uint32_t number)
{
    LIST_FOREACH (run, &executor->runs, run_t, link) {
        if (run->run == number && strcmp(run->task, task) == 0) {
            return run;
        }
    }
    return NULL;
}

run_t *
run_new(node_executor_t *executor, const char *task, uint32_t number)
{
    run_t *run = g_new0(run_t, 1);

    run->executor = executor;
    run->task = g_strdup(task);
    run->run = number;
    run->throttle_percent = 100;
    run->tail_effect = DEFAULT_TAIL_EFFECT;
    list_append(&executor->runs, &run->link);
    return run;
}

void
run_free(run_t *run)
{
    list_remove(&run->link);
    g_free(run->task);
    g_free(run->payload);
    g_free(run->checkpoint);
    g_free(run);
}

void
run_reject(run_t *run, const char *reason)
{
    node_executor_t *executor = run->executor;
    Teasel__RejectedStart *rejected = g_new(Teasel__RejectedStart, 1);

    teasel__rejected_start__init(rejected);
    rejected->task = g_strdup(run->task);
    rejected->run = run->run;
    rejected->reason = g_strdup(reason);
    g_ptr_array_add(executor->rejected, rejected);
    executor->node->rejections++;
    executor->unreported = true;
    event_log(EVENT_START_REJECTED,
              "task=%s run=%u executor=%s unanswered=%u reason=\"%s\"",
              run->task, run->run, executor->key, run->state.attempts, reason);
    run_free(run);
    node_schedule_report(executor->node);
}

bool
run_is_starting(const run_t *run)
{
    return (run->state.sent || run->state.outcome_unknown) && !run->settled;
}

run_call_t *
run_call_new(const run_t *run)
{
    run_call_t *call = g_new0(run_call_t, 1);

    call->executor = run->executor;
    call->task = g_strdup(run->task);
    call->run = run->run;
    list_append(&run->executor->calls, &call->link);
    return call;
}

void
run_call_free(run_call_t *call)
{
    list_remove(&call->link);
    g_free(call->task);
    g_free(call);
}

run_t *
run_call_finish(run_call_t *call)
{
    run_t *run = run_find(call->executor, call->task, call->run);

    run_call_free(call);
    return run;
}

static run_call_t *
begin_call(run_t *run)
{
    run->call_pending = true;
    return run_call_new(run);
}

static run_t *
end_call(run_call_t *call)
{
    run_t *run = run_call_finish(call);

    if (run != NULL) {
        run->call_pending = false;
    }
    return run;
}

static void
mark_phase_begun(run_t *run)
{
    run->phase_ms = node_now_ms(run->executor->node);
}

static void
retry_later(run_t *run)
{
    run->retry_ms = node_now_ms(run->executor->node) + RETRY_MS;
}

/* Logs the results after which a call may have had another effect than
   ordered. */
static void
log_result(const run_call_t *call, const char *verb, executor_result_t result)
{
    if (result == EXECUTOR_NO_ANSWER || result == EXECUTOR_RESTARTED) {
        event_log(result == EXECUTOR_NO_ANSWER ? EVENT_ORDER_UNANSWERED
                                               : EVENT_ORDER_MISDIRECTED,
                  "call=%s task=%s run=%u executor=%s", verb, call->task,
                  call->run, call->executor->key);
    }
}

static run_event_t
get_start_event(executor_result_t result)
{
    switch (result) {
    case EXECUTOR_OK:
        return RUN_EVENT_START_CONFIRMED;
    case EXECUTOR_REJECTED:
    case EXECUTOR_BUSY:
        return RUN_EVENT_START_REFUSED;
    case EXECUTOR_NO_ANSWER:
        return RUN_EVENT_START_UNANSWERED;
    default:
        return RUN_EVENT_START_NOT_SENT;
    }
}

static void
report_start(run_t *run)
{
    node_executor_t *executor = run->executor;

    mark_phase_begun(run);
    run->unreported = true;
    executor->unreported = true;
    throttle_update(executor);
    node_schedule_report(executor->node);
}

/* Returns false if the run is over, or is to be stopped. */
static bool
apply_start_event(run_t *run, run_event_t event, const char *reason)
{
    run_decision_t decision = run_apply(run, event);

    switch (decision.action) {
    case RUN_ACTION_REJECT:
        run_reject(run, decision.reason ? decision.reason : reason);
        return false;
    case RUN_ACTION_SEND_STOP:
        run_check(run);
        return false;
    case RUN_ACTION_REPORT:
        report_start(run);
        return true;
    default:
        return true;
    }
}

static void
on_started(executor_result_t result, const char *reason, void *data)
{
    run_call_t *call = data;
    node_executor_t *executor = call->executor;
    run_event_t event = get_start_event(result);
    run_t *run;

    log_result(call, "start", result);
    run = end_call(call);
    executor->starting--;
    if (!node_executor_check_result(executor, result) || run == NULL) {
        return;
    }
    if (event == RUN_EVENT_START_UNANSWERED ||
        event == RUN_EVENT_START_NOT_SENT) {
        retry_later(run);
    }
    if (apply_start_event(run, event, reason ? reason : "busy")) {
        node_executor_check(executor);
    }
}

static void
on_stopped(executor_result_t result, const char *reason, void *data)
{
    run_call_t *call = data;
    node_executor_t *executor = call->executor;
    run_t *run;

    log_result(call, "stop", result);
    run = end_call(call);
    if (!node_executor_check_result(executor, result) || run == NULL) {
        return;
    }
    if (result == EXECUTOR_OK) {
        run_apply(run, RUN_EVENT_STOP_CONFIRMED);
        mark_phase_begun(run);
        return;
    }
    run_apply(run, RUN_EVENT_STOP_FAILED);
    retry_later(run);
}

/* A run that starts alone is told from others as the cause of a crash. It goes
   before others that wait, but not before the repeat of a start that was sent
   already. */
static bool
must_wait_for(const run_t *run, const run_t *other)
{
    if (run == other) {
        return false;
    }
    if (run->alone) {
        return other->state.phase != RUN_QUEUED && run_is_starting(other);
    }
    return other->alone && !other->settled;
}

static bool
must_wait_for_others(const run_t *run)
{
    LIST_FOREACH (other, &run->executor->runs, run_t, link) {
        if (must_wait_for(run, other)) {
            return true;
        }
    }
    return false;
}

static bool
has_recent_orders(const node_t *node)
{
    return node_now_ms(node) - node->ordered_ms <= ORDERS_VALID_MS;
}

static void
send_start(run_t *run)
{
    node_executor_t *executor = run->executor;
    executor_start_t start = {
        .task = run->task,
        .run = run->run,
        .payload = run->payload,
        .checkpoint = run->checkpoint,
        .deadline_ms = node_executor_get_deadline(executor),
        .fencing_token = executor->node->epoch,
    };

    if (start.deadline_ms == 0 || executor->starting >= MAX_STARTING ||
        !has_recent_orders(executor->node) ||
        (run->state.phase == RUN_QUEUED && must_wait_for_others(run))) {
        return;
    }
    executor->deadline_ms = MAX(executor->deadline_ms, start.deadline_ms);
    executor->starting++;
    executor->node->starts++;
    run_apply(run, RUN_EVENT_START_SENT);
    mark_phase_begun(run);
    executor->api->vtbl->start(executor->api, &start, on_started,
                               begin_call(run));
}

static void
send_stop(run_t *run)
{
    node_executor_t *executor = run->executor;

    run_apply(run, RUN_EVENT_STOP_SENT);
    mark_phase_begun(run);
    executor->api->vtbl->stop(executor->api, run->task, run->run,
                              executor->node->epoch, on_stopped,
                              begin_call(run));
}

static run_event_t
get_due_event(const node_executor_t *executor)
{
    if (node_is_evacuated(executor->node, executor->data_centre)) {
        return RUN_EVENT_CALL_DUE_EVACUATED;
    }
    return executor->draining ? RUN_EVENT_CALL_DUE_LEAVING
                              : RUN_EVENT_CALL_DUE;
}

void
run_check(run_t *run)
{
    node_executor_t *executor = run->executor;
    run_decision_t decision;

    if (run->call_pending || node_now_ms(executor->node) < run->retry_ms) {
        return;
    }
    decision = run_apply(run, get_due_event(executor));
    switch (decision.action) {
    case RUN_ACTION_SEND_START:
        send_start(run);
        break;
    case RUN_ACTION_SEND_STOP:
        send_stop(run);
        break;
    case RUN_ACTION_REJECT:
        run_reject(run, decision.reason);
        break;
    default:
        break;
    }
}
