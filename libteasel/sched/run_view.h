#ifndef TEASEL_SCHED_RUN_VIEW_H
#define TEASEL_SCHED_RUN_VIEW_H

#include <stdbool.h>
#include <stdint.h>

#include "sched/job.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * The leader's part of the table in section 14 of docs/design.md: what it
 * knows of a task and its latest run, and what it does on each event. Without
 * I/O and clock.
 */

/**
 * struct run_view - what the leader knows of a task and its latest run
 * @known: the task exists; if not, the other members are zero
 * @run: number of the latest run, 0 if there was none
 * @start_sent: the start was handed to an agent, perhaps by an earlier leader
 * @long_running: the task lasts until its job is cancelled
 * @job_final: the job has ended, and nothing of it is placed again
 * @gang_done: the task is member of a gang of which another member is done
 * @done_before: an earlier run has ended as done, so the task is done once the
 *     latest one is over
 * @failures: runs that count as attempts, of all members of a gang; only
 *     set for RUN_VIEW_ENDED
 * @max_attempts: number of such runs after which the job fails
 */
typedef struct run_view {
    bool known;
    sched_task_phase_t phase;
    uint32_t run;
    bool start_sent;
    bool long_running;
    bool job_final;
    bool gang_done;
    bool done_before;
    uint32_t failures;
    uint32_t max_attempts;
} run_view_t;

typedef enum run_view_event_kind {
    RUN_VIEW_PLACED,    /* an executor was chosen for the next run */
    RUN_VIEW_ORDER_DUE, /* the record is stored, and an order may be sent */
    RUN_VIEW_REPORTED_PENDING, /* the agent has not started it yet */
    RUN_VIEW_REPORTED_RUNNING,
    RUN_VIEW_LISTED,   /* a complete list that contains it was applied */
    RUN_VIEW_UNLISTED, /* the same, of a list that lacks it */
    RUN_VIEW_ENDED,
    RUN_VIEW_REJECTED, /* the run does not exist and never will */
    RUN_VIEW_STOP_WANTED,
    RUN_VIEW_EXPIRED,   /* the lease of its executor has ended, or the
                           executor is gone */
    RUN_VIEW_RESTARTED, /* its executor was restarted under the same id */
} run_view_event_kind_t;

/**
 * struct run_view_event - something that happens to a run
 * @run: number of the run, for RUN_VIEW_PLACED and what an agent reports
 * @at_executor: for what an agent reports: the task is known, and the run is
 *     on the executor that it is assigned to
 * @how: of RUN_VIEW_ENDED
 */
typedef struct run_view_event {
    run_view_event_kind_t kind;
    uint32_t run;
    bool at_executor;
    sched_end_t how;
} run_view_event_t;

typedef enum run_view_action {
    RUN_VIEW_NONE,
    RUN_VIEW_ORDER,  /* send a start or stop once the record is stored */
    RUN_VIEW_REPEAT, /* the same, as the earlier order may be lost */
    RUN_VIEW_SEND_START,
    RUN_VIEW_SEND_STOP,
    RUN_VIEW_STOP_ORPHAN, /* stop a run that belongs to no task */
    RUN_VIEW_MARK_BEGUN,  /* the first report of the run at work */
    RUN_VIEW_UPDATE,      /* take over what is reported of the run at work */
    RUN_VIEW_MOVE,        /* assign the run to the later incarnation, and stop
                             it there, again if it is being stopped */
    RUN_VIEW_TAKE_LATE_END, /* the task is done by an earlier run */
    RUN_VIEW_STOP_LATER,    /* the same, but a later run has to be stopped */

    /* The run is over. */
    RUN_VIEW_FINISH,  /* the task is done */
    RUN_VIEW_RETRY,   /* place the task again, and count the attempt */
    RUN_VIEW_FAIL,    /* count the attempt, which was the last one */
    RUN_VIEW_RELEASE, /* place the task again */
    RUN_VIEW_FORGET,  /* nothing follows, as the job has ended */
} run_view_action_t;

/**
 * struct run_view_decision - the effect of an event
 * @view: the next state
 * @how: how the run has ended, if it is over
 */
typedef struct run_view_decision {
    run_view_t view;
    run_view_action_t action;
    sched_end_t how;
} run_view_decision_t;

/**
 * run_view_decide() - decide what an event means for a task and its latest run
 */
run_view_decision_t run_view_decide(run_view_t view, run_view_event_t event);

#ifdef __cplusplus
}
#endif

#endif
