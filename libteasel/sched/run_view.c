/* Decides what an event means for a task and its latest run. */

#include "sched/run_view.h"

static run_view_decision_t
act(run_view_t view, run_view_action_t action)
{
    return (run_view_decision_t){.view = view, .action = action};
}

static run_view_decision_t
keep(run_view_t view)
{
    return act(view, RUN_VIEW_NONE);
}

static run_view_decision_t
enter(run_view_t view, sched_task_phase_t phase, run_view_action_t action)
{
    view.phase = phase;
    return act(view, action);
}

/* Reports may be about an earlier run, or about one on an executor from which
   the task has been taken. */
static bool
is_current(const run_view_t *view, const run_view_event_t *event)
{
    return event->at_executor && event->run == view->run;
}

static run_view_decision_t
on_placed(run_view_t view, uint32_t run)
{
    view.run = run;
    view.start_sent = false;
    return enter(view, SCHED_TASK_PLACED, RUN_VIEW_ORDER);
}

static run_view_decision_t
on_order_due(run_view_t view)
{
    if (view.phase == SCHED_TASK_STOPPING) {
        return act(view, RUN_VIEW_SEND_STOP);
    }
    if (view.phase == SCHED_TASK_PLACED || view.phase == SCHED_TASK_RUNNING) {
        view.start_sent = true;
        return act(view, RUN_VIEW_SEND_START);
    }
    return keep(view);
}

static run_view_decision_t
on_reported(run_view_t view, run_view_event_t event)
{
    if (!is_current(&view, &event)) {
        return act(view, RUN_VIEW_STOP_ORPHAN);
    }
    if (event.kind == RUN_VIEW_REPORTED_PENDING) {
        return keep(view);
    }
    if (view.phase == SCHED_TASK_PLACED) {
        return enter(view, SCHED_TASK_RUNNING, RUN_VIEW_MARK_BEGUN);
    }
    return act(view, RUN_VIEW_UPDATE);
}

/* Stops, and the starts of runs that the list lacks, may have been lost with a
   connection. */
static run_view_decision_t
on_list(run_view_t view, bool is_listed)
{
    bool may_be_lost =
        view.start_sent && (!is_listed || view.phase == SCHED_TASK_STOPPING);

    return may_be_lost ? act(view, RUN_VIEW_REPEAT) : keep(view);
}

static run_view_decision_t
on_attempt(run_view_t view)
{
    view.failures++;
    if (!view.long_running && view.failures >= view.max_attempts) {
        return enter(view, SCHED_TASK_FAILED, RUN_VIEW_FAIL);
    }
    return enter(view, SCHED_TASK_WAITING, RUN_VIEW_RETRY);
}

/* A long-running task is never done: it lasts until its job is cancelled. */
static run_view_decision_t
on_run_over(run_view_t view, sched_end_t how)
{
    view.start_sent = false;
    if (view.job_final) {
        return enter(view, SCHED_TASK_WAITING, RUN_VIEW_FORGET);
    }
    if (!view.long_running &&
        (how == SCHED_END_DONE || view.gang_done || view.done_before)) {
        return enter(view, SCHED_TASK_DONE, RUN_VIEW_FINISH);
    }
    if (how == SCHED_END_FAILED || how == SCHED_END_DONE) {
        return on_attempt(view);
    }
    return enter(view, SCHED_TASK_WAITING, RUN_VIEW_RELEASE);
}

static run_view_decision_t
end_run(run_view_t view, sched_end_t how)
{
    run_view_decision_t decision = on_run_over(view, how);

    decision.how = how;
    return decision;
}

static bool
is_placed(sched_task_phase_t phase)
{
    return phase == SCHED_TASK_PLACED || phase == SCHED_TASK_RUNNING ||
           phase == SCHED_TASK_STOPPING;
}

/* The lease of a run may have ended after its work was done, and before the
   leader heard of it. A later run is stopped first, as two runs may not
   overlap, and the next step has to find nothing of this one at work. */
static run_view_decision_t
on_other_end(run_view_t view, run_view_event_t event)
{
    if (!view.known || event.how != SCHED_END_DONE || view.long_running ||
        view.job_final) {
        return keep(view);
    }
    if (view.phase == SCHED_TASK_WAITING && event.run <= view.run) {
        return enter(view, SCHED_TASK_DONE, RUN_VIEW_TAKE_LATE_END);
    }
    if (is_placed(view.phase) && event.run < view.run) {
        view.done_before = true;
        return act(view, RUN_VIEW_STOP_LATER);
    }
    return keep(view);
}

static run_view_decision_t
on_ended(run_view_t view, run_view_event_t event)
{
    return is_current(&view, &event) ? end_run(view, event.how)
                                     : on_other_end(view, event);
}

static run_view_decision_t
on_rejected(run_view_t view, run_view_event_t event)
{
    return is_current(&view, &event) ? end_run(view, SCHED_END_STOPPED)
                                     : keep(view);
}

/* A run whose start was not sent does not exist. */
static run_view_decision_t
on_stop_wanted(run_view_t view)
{
    if (view.phase == SCHED_TASK_STOPPING) {
        return keep(view);
    }
    if (!view.start_sent) {
        return end_run(view, SCHED_END_STOPPED);
    }
    return enter(view, SCHED_TASK_STOPPING, RUN_VIEW_ORDER);
}

/* A start that was sent to the older incarnation may have been carried out by
   the later one. */
static run_view_decision_t
on_restarted(run_view_t view)
{
    return view.start_sent ? act(view, RUN_VIEW_MOVE) : keep(view);
}

run_view_decision_t
run_view_decide(run_view_t view, run_view_event_t event)
{
    switch (event.kind) {
    case RUN_VIEW_PLACED:
        return on_placed(view, event.run);
    case RUN_VIEW_ORDER_DUE:
        return on_order_due(view);
    case RUN_VIEW_REPORTED_PENDING:
    case RUN_VIEW_REPORTED_RUNNING:
        return on_reported(view, event);
    case RUN_VIEW_LISTED:
    case RUN_VIEW_UNLISTED:
        return on_list(view, event.kind == RUN_VIEW_LISTED);
    case RUN_VIEW_ENDED:
        return on_ended(view, event);
    case RUN_VIEW_REJECTED:
        return on_rejected(view, event);
    case RUN_VIEW_STOP_WANTED:
        return on_stop_wanted(view);
    case RUN_VIEW_EXPIRED:
        return end_run(view, SCHED_END_LAPSED);
    case RUN_VIEW_RESTARTED:
        return on_restarted(view);
    }
    return keep(view);
}
