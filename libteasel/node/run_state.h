#ifndef TEASEL_NODE_RUN_STATE_H
#define TEASEL_NODE_RUN_STATE_H

#include <stdbool.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * The agent's part of the table in section 14 of docs/design.md: what it knows
 * of one run, and what it does on each event. Without I/O and clock.
 */

typedef enum run_phase {
    RUN_UNKNOWN,  /* neither ordered nor listed */
    RUN_QUEUED,   /* the start has not been sent */
    RUN_STARTING, /* a start was sent and is not confirmed */
    RUN_STARTED,
    RUN_STOPPING, /* a stop was sent and is not confirmed */
    RUN_STOPPED,  /* the stop is confirmed; a poll will return the run end */
} run_phase_t;

/**
 * struct run_state - what the agent knows of a run
 * @outcome_unknown: a start that had no answer, or that an earlier agent
 *     process may have sent, may still take effect
 * @stop_requested: the run is to be stopped
 * @sent: this agent process has sent a start
 * @confirmed: the executor has confirmed the start, or listed the run
 * @attempts: starts without an answer
 */
typedef struct run_state {
    run_phase_t phase;
    bool outcome_unknown;
    bool stop_requested;
    bool sent;
    bool confirmed;
    unsigned attempts;
} run_state_t;

typedef enum run_event {
    RUN_EVENT_START_ORDER,
    RUN_EVENT_START_ORDER_REPEATED, /* an earlier agent process may have
                                       received the order */
    RUN_EVENT_STOP_ORDER,
    RUN_EVENT_CALL_DUE,         /* no call is in progress */
    RUN_EVENT_CALL_DUE_LEAVING, /* the same, on an executor that is leaving */
    RUN_EVENT_CALL_DUE_EVACUATED, /* the same, in an evacuated data centre */
    RUN_EVENT_START_SENT,
    RUN_EVENT_START_CONFIRMED,
    RUN_EVENT_START_REFUSED,    /* this call had no effect */
    RUN_EVENT_START_UNANSWERED, /* it may have an effect, or have one later */
    RUN_EVENT_START_NOT_SENT,   /* the call failed before it was sent */
    RUN_EVENT_STOP_SENT,
    RUN_EVENT_STOP_CONFIRMED,
    RUN_EVENT_STOP_FAILED,
    RUN_EVENT_LISTED,         /* in a list of running runs */
    RUN_EVENT_UNLISTED,       /* in neither list, both requested after the
                                 phase began */
    RUN_EVENT_UNLISTED_LATER, /* the same, long after the phase began */
    RUN_EVENT_ENDED,          /* in the list of ends */
} run_event_t;

typedef enum run_action {
    RUN_ACTION_NONE,
    RUN_ACTION_SEND_START,
    RUN_ACTION_SEND_STOP,
    RUN_ACTION_REPORT, /* tell the leader that the run is at work */
    RUN_ACTION_REJECT, /* tell the leader that the run does not exist and never
                          will, and forget it */
    RUN_ACTION_FORGET, /* the end is reported instead */
} run_action_t;

/**
 * struct run_decision - the effect of an event
 * @state: the next state
 * @reason: of a rejection, NULL if the executor gives it
 */
typedef struct run_decision {
    run_state_t state;
    run_action_t action;
    const char *reason;
} run_decision_t;

/**
 * run_state_decide() - decide what an event means for a run
 *
 * A call that cannot be made yet leaves the state as it is: the phase changes
 * with RUN_EVENT_START_SENT and RUN_EVENT_STOP_SENT.
 */
run_decision_t run_state_decide(run_state_t state, run_event_t event);

#ifdef __cplusplus
}
#endif

#endif
