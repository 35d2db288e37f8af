/* What the leader does on each event of a run: the leader's part of the table
   in section 14 of docs/design.md. */

#include <gtest/gtest.h>

extern "C" {
#include "sched/run_view.h"
}

namespace {

constexpr uint32_t RUN = 5;
constexpr uint32_t MAX_ATTEMPTS = 3;

/* A task whose latest run has the number RUN. */
run_view_t
make(sched_task_phase_t phase, bool start_sent)
{
    run_view_t view = {};

    view.known = true;
    view.phase = phase;
    view.run = RUN;
    view.start_sent = start_sent;
    view.max_attempts = MAX_ATTEMPTS;
    return view;
}

run_view_t
make_long_running(sched_task_phase_t phase, bool start_sent)
{
    run_view_t view = make(phase, start_sent);

    view.long_running = true;
    return view;
}

run_view_t
waiting()
{
    return make(SCHED_TASK_WAITING, false);
}

run_view_t
unsent()
{
    return make(SCHED_TASK_PLACED, false);
}

run_view_t
sent()
{
    return make(SCHED_TASK_PLACED, true);
}

run_view_t
at_work()
{
    return make(SCHED_TASK_RUNNING, true);
}

run_view_t
stopping()
{
    return make(SCHED_TASK_STOPPING, true);
}

run_view_decision_t
decide(const run_view_t &view, run_view_event_kind_t kind)
{
    run_view_event_t event = {};

    event.kind = kind;
    event.run = RUN;
    event.at_executor = true;
    return run_view_decide(view, event);
}

run_view_decision_t
decide_end(const run_view_t &view, sched_end_t how)
{
    run_view_event_t event = {};

    event.kind = RUN_VIEW_ENDED;
    event.run = RUN;
    event.at_executor = true;
    event.how = how;
    return run_view_decide(view, event);
}

/* An event of a run that is not the one the leader has at that executor. */
run_view_decision_t
decide_other(const run_view_t &view, run_view_event_kind_t kind, uint32_t run,
             bool at_executor)
{
    run_view_event_t event = {};

    event.kind = kind;
    event.run = run;
    event.at_executor = at_executor;
    event.how = SCHED_END_DONE;
    return run_view_decide(view, event);
}

void
expect(const run_view_decision_t &decision, sched_task_phase_t phase,
       run_view_action_t action)
{
    EXPECT_EQ(decision.view.phase, phase);
    EXPECT_EQ(decision.action, action);
}

} // namespace

// Guards against two runs of one task, of which the earlier is not noticed.
TEST(RunView, StopsARunThatIsNotTheLatest)
{
    for (auto kind : {RUN_VIEW_REPORTED_PENDING, RUN_VIEW_REPORTED_RUNNING}) {
        for (const run_view_t &view : {run_view_t{}, waiting(), at_work()}) {
            expect(decide_other(view, kind, RUN - 1, true), view.phase,
                   RUN_VIEW_STOP_ORPHAN);
            expect(decide_other(view, kind, RUN, false), view.phase,
                   RUN_VIEW_STOP_ORPHAN);
        }
    }
}

// Guards against a job that is shown as running while its starts are queued.
TEST(RunView, CountsARunAsBegunOnceItIsNotPending)
{
    expect(decide(sent(), RUN_VIEW_REPORTED_PENDING), SCHED_TASK_PLACED,
           RUN_VIEW_NONE);
    expect(decide(sent(), RUN_VIEW_REPORTED_RUNNING), SCHED_TASK_RUNNING,
           RUN_VIEW_MARK_BEGUN);
    expect(decide(at_work(), RUN_VIEW_REPORTED_RUNNING), SCHED_TASK_RUNNING,
           RUN_VIEW_UPDATE);
}

// Guards against a lost stop that is not repeated as the run is still listed.
TEST(RunView, KeepsAStopThoughTheRunIsReported)
{
    expect(decide(stopping(), RUN_VIEW_REPORTED_RUNNING), SCHED_TASK_STOPPING,
           RUN_VIEW_UPDATE);
    expect(decide(stopping(), RUN_VIEW_LISTED), SCHED_TASK_STOPPING,
           RUN_VIEW_REPEAT);
    expect(decide(stopping(), RUN_VIEW_UNLISTED), SCHED_TASK_STOPPING,
           RUN_VIEW_REPEAT);
}

// Guards against a task that waits for a start that a connection has lost.
TEST(RunView, RepeatsAStartThatACompleteListLacks)
{
    expect(decide(sent(), RUN_VIEW_UNLISTED), SCHED_TASK_PLACED,
           RUN_VIEW_REPEAT);
    expect(decide(at_work(), RUN_VIEW_UNLISTED), SCHED_TASK_RUNNING,
           RUN_VIEW_REPEAT);
    expect(decide(sent(), RUN_VIEW_LISTED), SCHED_TASK_PLACED, RUN_VIEW_NONE);
}

// Guards against a start that overtakes the write of its record.
TEST(RunView, RepeatsNoStartThatWasNotSent)
{
    expect(decide(unsent(), RUN_VIEW_UNLISTED), SCHED_TASK_PLACED,
           RUN_VIEW_NONE);
}

// Guards against a start that is sent in place of the stop of its run.
TEST(RunView, SendsNoStartOfARunThatIsBeingStopped)
{
    run_view_decision_t decision = decide(unsent(), RUN_VIEW_ORDER_DUE);

    expect(decision, SCHED_TASK_PLACED, RUN_VIEW_SEND_START);
    EXPECT_TRUE(decision.view.start_sent);
    expect(decide(at_work(), RUN_VIEW_ORDER_DUE), SCHED_TASK_RUNNING,
           RUN_VIEW_SEND_START);
    expect(decide(stopping(), RUN_VIEW_ORDER_DUE), SCHED_TASK_STOPPING,
           RUN_VIEW_SEND_STOP);
    expect(decide(waiting(), RUN_VIEW_ORDER_DUE), SCHED_TASK_WAITING,
           RUN_VIEW_NONE);
}

// Guards against two runs, as a late start reached the later incarnation.
TEST(RunView, MovesWhatWasSentToARestartedExecutor)
{
    for (const run_view_t &view : {sent(), at_work(), stopping()}) {
        expect(decide(view, RUN_VIEW_RESTARTED), view.phase, RUN_VIEW_MOVE);
    }
    expect(decide(unsent(), RUN_VIEW_RESTARTED), SCHED_TASK_PLACED,
           RUN_VIEW_NONE);
}

// Guards against a task that waits for the end of a run that cannot exist.
TEST(RunView, EndsAnUnsentRunWithoutAStop)
{
    run_view_decision_t decision = decide(unsent(), RUN_VIEW_STOP_WANTED);

    expect(decision, SCHED_TASK_WAITING, RUN_VIEW_RELEASE);
    EXPECT_EQ(decision.how, SCHED_END_STOPPED);
}

// Guards against a second placement while a run that was sent is at work.
TEST(RunView, KeepsASentRunUntilItsStopIsConfirmed)
{
    for (const run_view_t &view : {sent(), at_work()}) {
        run_view_decision_t decision = decide(view, RUN_VIEW_STOP_WANTED);

        expect(decision, SCHED_TASK_STOPPING, RUN_VIEW_ORDER);
        EXPECT_TRUE(decision.view.start_sent);
    }
    expect(decide(stopping(), RUN_VIEW_STOP_WANTED), SCHED_TASK_STOPPING,
           RUN_VIEW_NONE);
}

// Guards against the rejection of an earlier run that releases the later one.
TEST(RunView, KeepsARunThoughAnotherIsRejected)
{
    expect(decide_other(at_work(), RUN_VIEW_REJECTED, RUN - 1, true),
           SCHED_TASK_RUNNING, RUN_VIEW_NONE);
    expect(decide_other(at_work(), RUN_VIEW_REJECTED, RUN, false),
           SCHED_TASK_RUNNING, RUN_VIEW_NONE);
    expect(decide(stopping(), RUN_VIEW_REJECTED), SCHED_TASK_WAITING,
           RUN_VIEW_RELEASE);
}

// Guards against work that is done again, as its lease ended before its end.
TEST(RunView, TakesALateEndWhileTheTaskWaits)
{
    expect(decide_other(waiting(), RUN_VIEW_ENDED, RUN, false),
           SCHED_TASK_DONE, RUN_VIEW_TAKE_LATE_END);
    expect(decide_other(waiting(), RUN_VIEW_ENDED, RUN - 1, false),
           SCHED_TASK_DONE, RUN_VIEW_TAKE_LATE_END);
}

// Guards against work that is done again, as its end arrived when the task was
// placed again, and against a task that is done while a later run is at work.
TEST(RunView, StopsTheLaterRunOfATaskThatIsDone)
{
    for (const run_view_t &view : {unsent(), sent(), at_work(), stopping()}) {
        for (bool at_executor : {false, true}) {
            run_view_decision_t decision =
                decide_other(view, RUN_VIEW_ENDED, RUN - 1, at_executor);

            expect(decision, view.phase, RUN_VIEW_STOP_LATER);
            EXPECT_TRUE(decision.view.done_before);
        }
    }
}

// Guards against a third run of such a task, however the later one ends.
TEST(RunView, FinishesATaskThatWasDoneBeforeOnceItsLaterRunIsOver)
{
    run_view_t view = stopping();

    view.done_before = true;
    view.failures = MAX_ATTEMPTS;
    for (auto how : {SCHED_END_DONE, SCHED_END_FAILED, SCHED_END_STOPPED,
                     SCHED_END_LAPSED, SCHED_END_BROKEN, SCHED_END_ALONE}) {
        expect(decide_end(view, how), SCHED_TASK_DONE, RUN_VIEW_FINISH);
    }
    expect(decide(view, RUN_VIEW_REJECTED), SCHED_TASK_DONE, RUN_VIEW_FINISH);
    expect(decide(view, RUN_VIEW_EXPIRED), SCHED_TASK_DONE, RUN_VIEW_FINISH);
    view.job_final = true;
    expect(decide_end(view, SCHED_END_STOPPED), SCHED_TASK_WAITING,
           RUN_VIEW_FORGET);
}

// Guards against late ends that count for the wrong run, or for a task that
// lasts, or whose job is over.
TEST(RunView, TakesNoOtherLateEnd)
{
    run_view_t final_job = waiting();
    run_view_t stopped_job = stopping();

    final_job.job_final = true;
    stopped_job.job_final = true;
    for (const run_view_t &view :
         {run_view_t{}, final_job, stopped_job, make(SCHED_TASK_DONE, false),
          make(SCHED_TASK_FAILED, false),
          make_long_running(SCHED_TASK_WAITING, false),
          make_long_running(SCHED_TASK_RUNNING, true)}) {
        expect(decide_other(view, RUN_VIEW_ENDED, RUN - 1, true), view.phase,
               RUN_VIEW_NONE);
    }
    for (const run_view_t &view : {unsent(), sent(), at_work(), stopping()}) {
        expect(decide_other(view, RUN_VIEW_ENDED, RUN, false), view.phase,
               RUN_VIEW_NONE);
        expect(decide_other(view, RUN_VIEW_ENDED, RUN + 1, true), view.phase,
               RUN_VIEW_NONE);
    }
    expect(decide_other(waiting(), RUN_VIEW_ENDED, RUN + 1, false),
           SCHED_TASK_WAITING, RUN_VIEW_NONE);
    expect(decide_other({}, RUN_VIEW_ENDED, 0, false), SCHED_TASK_WAITING,
           RUN_VIEW_NONE);
}

// Guards against a task that is done by a run which failed or was stopped.
TEST(RunView, TakesNoLateEndOfARunThatWasNotDone)
{
    run_view_event_t event = {};

    event.kind = RUN_VIEW_ENDED;
    event.run = RUN;
    for (auto how : {SCHED_END_FAILED, SCHED_END_STOPPED, SCHED_END_LAPSED,
                     SCHED_END_BROKEN, SCHED_END_ALONE}) {
        event.how = how;
        event.run = RUN;
        expect(run_view_decide(waiting(), event), SCHED_TASK_WAITING,
               RUN_VIEW_NONE);
        event.run = RUN - 1;
        expect(run_view_decide(at_work(), event), SCHED_TASK_RUNNING,
               RUN_VIEW_NONE);
    }
}

// Guards against a service that stays down after it ended by itself.
TEST(RunView, RetriesALongRunningTaskHoweverItEnds)
{
    run_view_t view = make_long_running(SCHED_TASK_RUNNING, true);

    view.failures = MAX_ATTEMPTS;
    expect(decide_end(view, SCHED_END_DONE), SCHED_TASK_WAITING,
           RUN_VIEW_RETRY);
    expect(decide_end(view, SCHED_END_FAILED), SCHED_TASK_WAITING,
           RUN_VIEW_RETRY);
}

// Guards against a gang that runs again as the end of one member was lost.
TEST(RunView, FinishesALostMemberOfAGangThatIsDone)
{
    run_view_t view = at_work();

    view.gang_done = true;
    for (auto how : {SCHED_END_LAPSED, SCHED_END_BROKEN, SCHED_END_FAILED}) {
        expect(decide_end(view, how), SCHED_TASK_DONE, RUN_VIEW_FINISH);
    }
    expect(decide(view, RUN_VIEW_EXPIRED), SCHED_TASK_DONE, RUN_VIEW_FINISH);
}

// Guards against a job that fails as its runs were stopped or lost.
TEST(RunView, CountsOnlyFailedRunsAsAttempts)
{
    run_view_t view = at_work();

    view.failures = MAX_ATTEMPTS - 1;
    expect(decide_end(view, SCHED_END_FAILED), SCHED_TASK_FAILED,
           RUN_VIEW_FAIL);
    for (auto how : {SCHED_END_STOPPED, SCHED_END_LAPSED, SCHED_END_BROKEN,
                     SCHED_END_ALONE}) {
        expect(decide_end(view, how), SCHED_TASK_WAITING, RUN_VIEW_RELEASE);
    }
    expect(decide(view, RUN_VIEW_EXPIRED), SCHED_TASK_WAITING,
           RUN_VIEW_RELEASE);
    view.failures--;
    expect(decide_end(view, SCHED_END_FAILED), SCHED_TASK_WAITING,
           RUN_VIEW_RETRY);
}

// Guards against a task of a cancelled job that is placed again.
TEST(RunView, PlacesNoTaskOfAFinalJobAgain)
{
    run_view_t view = stopping();

    view.job_final = true;
    for (auto how : {SCHED_END_DONE, SCHED_END_FAILED, SCHED_END_STOPPED}) {
        expect(decide_end(view, how), SCHED_TASK_WAITING, RUN_VIEW_FORGET);
    }
}

// Guards against a first start that is sent as if it were repeated.
TEST(RunView, ForgetsThatTheStartOfAnEndedRunWasSent)
{
    run_view_decision_t placed =
        decide_other(sent(), RUN_VIEW_PLACED, RUN + 1, true);

    for (const run_view_decision_t &decision :
         {decide_end(at_work(), SCHED_END_DONE),
          decide_end(at_work(), SCHED_END_FAILED),
          decide(stopping(), RUN_VIEW_REJECTED),
          decide(at_work(), RUN_VIEW_EXPIRED)}) {
        EXPECT_FALSE(decision.view.start_sent);
    }
    expect(placed, SCHED_TASK_PLACED, RUN_VIEW_ORDER);
    EXPECT_FALSE(placed.view.start_sent);
    EXPECT_EQ(placed.view.run, RUN + 1);
}
