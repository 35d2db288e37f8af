/* Decides what an event means for one run on an executor. */

#include "node/run_state.h"

#include <stddef.h>

#include "sched/evacuation.h"

enum {
    /* Unanswered start calls after which the run is rejected or stopped. */
    MAX_START_ATTEMPTS = 2,
};

static run_decision_t
keep(run_state_t state)
{
    return (run_decision_t){.state = state, .action = RUN_ACTION_NONE};
}

static run_decision_t
act(run_state_t state, run_action_t action)
{
    return (run_decision_t){.state = state, .action = action};
}

static run_decision_t
reject(run_state_t state, const char *reason)
{
    return (run_decision_t){
        .state = state, .action = RUN_ACTION_REJECT, .reason = reason};
}

static run_decision_t
stop(run_state_t state)
{
    state.stop_requested = true;
    return act(state, RUN_ACTION_SEND_STOP);
}

/* The leader may place the task elsewhere as soon as the run is rejected. An
   earlier start may still take effect; a stop prevents that. */
static run_decision_t
reject_or_stop(run_state_t state, const char *reason)
{
    return state.outcome_unknown ? stop(state) : reject(state, reason);
}

static run_decision_t
on_start_order(run_state_t state, bool repeated)
{
    if (state.phase == RUN_UNKNOWN) {
        state.phase = RUN_QUEUED;
        state.outcome_unknown = repeated;
    }
    return keep(state);
}

static run_decision_t
on_stop_order(run_state_t state)
{
    if (state.phase == RUN_UNKNOWN) {
        /* The executor must receive the stop, so that it refuses a later start
           of this run. */
        state.phase = RUN_STARTING;
        state.outcome_unknown = true;
    }
    state.stop_requested = true;
    return keep(state);
}

static run_decision_t
on_stop_due(run_state_t state)
{
    if (state.phase == RUN_QUEUED && !state.outcome_unknown) {
        return reject(state, "stopped before the start");
    }
    return act(state, RUN_ACTION_SEND_STOP);
}

/* The reason is NULL unless a start that is due must not be sent. */
static run_decision_t
on_call_due(run_state_t state, const char *reason)
{
    if (state.stop_requested && state.phase != RUN_STOPPED) {
        return on_stop_due(state);
    }
    if (state.phase != RUN_QUEUED && state.phase != RUN_STARTING) {
        return keep(state);
    }
    if (reason != NULL) {
        return reject_or_stop(state, reason);
    }
    return act(state, RUN_ACTION_SEND_START);
}

static run_decision_t
on_start_sent(run_state_t state)
{
    state.phase = RUN_STARTING;
    state.sent = true;
    return keep(state);
}

static run_decision_t
on_start_confirmed(run_state_t state)
{
    state.confirmed = true;
    if (state.phase != RUN_STARTING) {
        return keep(state);
    }
    state.phase = RUN_STARTED;
    return act(state, RUN_ACTION_REPORT);
}

static run_decision_t
on_start_failed(run_state_t state, bool may_have_begun)
{
    state.outcome_unknown |= may_have_begun;
    state.attempts++;
    if (state.attempts >= MAX_START_ATTEMPTS) {
        return reject_or_stop(state, "no answer");
    }
    return keep(state);
}

static run_decision_t
on_stop_sent(run_state_t state)
{
    state.phase = RUN_STOPPING;
    return keep(state);
}

static run_decision_t
on_stop_confirmed(run_state_t state)
{
    state.phase = RUN_STOPPED;
    return keep(state);
}

static run_decision_t
on_listed(run_state_t state)
{
    state.confirmed = true;
    if (state.phase >= RUN_STARTED) {
        return keep(state);
    }
    state.phase = RUN_STARTED;
    return act(state, RUN_ACTION_REPORT);
}

/* The list may be older than a start that was confirmed a short time ago, but
   not older than a confirmed stop. */
static run_decision_t
on_unlisted(run_state_t state, bool is_late)
{
    if (state.phase == RUN_STOPPED) {
        return reject(state, "stopped");
    }
    if (state.phase == RUN_STARTED && is_late) {
        state.outcome_unknown = true;
        state.stop_requested = true;
    }
    return keep(state);
}

run_decision_t
run_state_decide(run_state_t state, run_event_t event)
{
    switch (event) {
    case RUN_EVENT_START_ORDER:
    case RUN_EVENT_START_ORDER_REPEATED:
        return on_start_order(state, event == RUN_EVENT_START_ORDER_REPEATED);
    case RUN_EVENT_STOP_ORDER:
        return on_stop_order(state);
    case RUN_EVENT_CALL_DUE:
        return on_call_due(state, NULL);
    case RUN_EVENT_CALL_DUE_LEAVING:
        return on_call_due(state, "the executor is leaving");
    case RUN_EVENT_CALL_DUE_EVACUATED:
        return on_call_due(state, EVACUATION_REASON);
    case RUN_EVENT_START_SENT:
        return on_start_sent(state);
    case RUN_EVENT_START_CONFIRMED:
        return on_start_confirmed(state);
    case RUN_EVENT_START_REFUSED:
        return reject_or_stop(state, NULL);
    case RUN_EVENT_START_UNANSWERED:
    case RUN_EVENT_START_NOT_SENT:
        return on_start_failed(state, event == RUN_EVENT_START_UNANSWERED);
    case RUN_EVENT_STOP_SENT:
        return on_stop_sent(state);
    case RUN_EVENT_STOP_CONFIRMED:
        return on_stop_confirmed(state);
    case RUN_EVENT_STOP_FAILED:
        return keep(state);
    case RUN_EVENT_LISTED:
        return on_listed(state);
    case RUN_EVENT_UNLISTED:
    case RUN_EVENT_UNLISTED_LATER:
        return on_unlisted(state, event == RUN_EVENT_UNLISTED_LATER);
    case RUN_EVENT_ENDED:
        return act(state, RUN_ACTION_FORGET);
    }
    return keep(state);
}
