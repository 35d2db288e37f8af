#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <string>
#include <vector>

#include "task_runner_fixture.h"

namespace {

const std::string done = " 0 ", evicted = " 2 ", not_started = " 4 ";

// Guards against a start without a lease, with an expired one, or by a
// replaced coordinator.
TEST(TaskRunner, StartsOnlyUnderAValidLease)
{
    RunnerFixture fixture;

    fixture.settle();
    fixture.start(5, "a", 1000);
    EXPECT_EQ(fixture.reports.back(), "a" + not_started + "old");
    fixture.renew(5, 15000);
    fixture.start(4, "b", 1000);
    fixture.start(5, "c", 1000);
    fake_clock_advance_ms(&fixture.clock, 15000);
    fixture.start(5, "d", 1000);
    EXPECT_EQ(fixture.reports.back(), "d" + not_started + "old");
    EXPECT_EQ(fixture.count("start a") + fixture.count("start b") +
                  fixture.count("start d"),
              0U);
    EXPECT_EQ(fixture.count("start c"), 1U);
}

// Guards against a worker lease that ends after the agent's lease, also when
// the worker reads the renewal late.
TEST(TaskRunner, BoundsWorkerLeaseByAgentLease)
{
    RunnerFixture fixture;
    uint64_t granted_end;

    fixture.settle();
    granted_end = timespec_to_ms(fixture.clock.now) + 15000;
    fixture.renew(5, 15000);
    EXPECT_GT(fixture.worker.lease_end_ms, granted_end - 2000);
    EXPECT_LT(fixture.worker.lease_end_ms, granted_end);
}

// Guards against publishing the effects of a task before its end is on the
// log, or more than once, and against a lost report.
TEST(TaskRunner, RepeatsReportUntilRelease)
{
    RunnerFixture fixture;

    fixture.settle();
    fixture.renew(5, 15000);
    fixture.start(5, "a", 1000);
    fixture.worker.tasks["a"].state = WORKER_TASK_DONE;
    fixture.settle();
    EXPECT_GE(fixture.reports.size(), 2U);
    EXPECT_EQ(fixture.reports.back(), "a" + done + "old");
    EXPECT_EQ(fixture.count("release a"), 0U);
    fixture.release(4, "a");
    EXPECT_EQ(fixture.count("release a"), 0U);
    fixture.release(5, "a");
    fixture.release(5, "a");
    EXPECT_EQ(fixture.count("release a"), 1U);
    EXPECT_EQ(fixture.count("forget a"), 1U);
    fixture.settle();
    size_t reports = fixture.reports.size();
    fixture.settle();
    EXPECT_EQ(fixture.reports.size(), reports);
    EXPECT_TRUE(task_runner_is_idle(fixture.runner));
}

// Guards against a task that continues after its lease has expired, and
// against resuming a task before the coordinator could discard it.
TEST(TaskRunner, SuspendsAtExpiryAndResumesAfterContact)
{
    RunnerFixture fixture;

    fixture.settle();
    fixture.renew(5, 15000);
    fixture.settle();
    fixture.renew(5, 15000);
    fixture.start(5, "kept", 1000);
    fixture.start(5, "discarded", 1000);
    fake_clock_advance_ms(&fixture.clock, 15000);
    fixture.settle();
    EXPECT_EQ(fixture.count("suspend kept"), 1U);
    EXPECT_EQ(fixture.worker.tasks["discarded"].state, WORKER_TASK_SUSPENDED);
    fixture.renew(5, 15000);
    EXPECT_EQ(fixture.count("resume kept"), 0U);
    fixture.stop(5, "discarded", TEASEL__STOP_REASON__STOP_REASON_DISCARD);
    fixture.settle();
    fixture.renew(5, 15000);
    fixture.settle();
    EXPECT_EQ(fixture.count("resume kept"), 1U);
    EXPECT_EQ(fixture.count("resume discarded"), 0U);
    EXPECT_EQ(fixture.worker.tasks.count("discarded"), 0U);
    EXPECT_EQ(fixture.worker.tasks["kept"].state, WORKER_TASK_RUNNING);
}

// Guards against an empty task list in the first heartbeat of a restarted
// agent, which would make the coordinator start its tasks a second time, and
// against tasks that are lost without a report when the worker restarts.
TEST(TaskRunner, RecoversTasksAndReportsLostOnes)
{
    RunnerFixture fixture;

    fixture.worker.tasks["a"] = {WORKER_TASK_RUNNING, 3000};
    fixture.worker.tasks["b"] = {WORKER_TASK_DONE, 0};
    for (int i = 0; i < 20; i++) {
        loop_run_once(fixture.loop, 1);
    }
    EXPECT_EQ(fixture.sequence, 0U);
    fixture.settle();
    EXPECT_EQ(fixture.heartbeat_jobs, std::vector<std::string>{"a"});
    EXPECT_EQ(fixture.reports.back(), "b" + done);
    EXPECT_EQ(fixture.count("suspend a"), 0U);
    fixture.renew(5, 15000);
    fixture.start(5, "a", 3000);
    EXPECT_EQ(fixture.count("start a"), 0U);
    fixture.start(5, "c", 3001);
    EXPECT_EQ(fixture.count("start c"), 0U);
    fixture.start(5, "d", 1000);
    EXPECT_EQ(fixture.ledger.reserved.units[LEDGER_CPU_MILLI], 6000U);
    fixture.worker.incarnation = 2;
    fixture.worker.tasks.clear();
    fixture.settle();
    EXPECT_TRUE(fixture.reported("a" + evicted));
    EXPECT_TRUE(fixture.reported("d" + evicted + "old"));
    EXPECT_EQ(fixture.ledger.reserved.units[LEDGER_CPU_MILLI], 2000U);
}

// Guards against a restarted agent that resumes tasks whose lease expired
// before the restart, before the coordinator could discard them.
TEST(TaskRunner, ResumesRecoveredTasksAfterContact)
{
    RunnerFixture fixture;

    fixture.worker.tasks["a"] = {WORKER_TASK_SUSPENDED, 1000};
    fixture.settle();
    fixture.renew(5, 15000);
    EXPECT_EQ(fixture.count("resume a"), 0U);
    fixture.settle();
    fixture.renew(5, 15000);
    fixture.settle();
    EXPECT_EQ(fixture.count("resume a"), 1U);
}

// Guards against a graceful shutdown that loses a checkpoint or ends before
// the coordinator has received it.
TEST(TaskRunner, CheckpointsTasksWhileLeaving)
{
    RunnerFixture fixture;

    fixture.settle();
    fixture.renew(5, 15000);
    fixture.start(5, "a", 1000);
    task_runner_set_leaving(fixture.runner, true);
    fixture.start(5, "b", 1000);
    fixture.settle();
    EXPECT_EQ(fixture.count("start b"), 0U);
    EXPECT_TRUE(fixture.reported("a" + evicted + "{cp}"));
    EXPECT_FALSE(fixture.idle);
    fixture.release(5, "a");
    fixture.release(5, "b");
    fixture.settle();
    EXPECT_TRUE(fixture.idle);
}

// Guards against batch tasks that are not throttled, suspended and evicted as
// the interactive load rises, or do not return to full speed when it falls.
TEST(TaskRunner, ThrottlesSuspendsAndEvictsUnderLoad)
{
    RunnerFixture fixture;

    fixture.settle();
    fixture.renew(5, 15000);
    fixture.settle();
    fixture.renew(5, 15000);
    fixture.start(5, "a", 1000);
    fixture.load = 85;
    while (fixture.count("suspend a") == 0) {
        fixture.settle();
    }
    EXPECT_EQ(fixture.count("throttle a"), 1U);
    EXPECT_EQ(fixture.worker.tasks["a"].throttle, 50U);
    fixture.load = 0;
    while (fixture.worker.tasks["a"].throttle != 100) {
        fixture.settle();
    }
    EXPECT_EQ(fixture.worker.tasks["a"].state, WORKER_TASK_RUNNING);
    fixture.load = 100;
    while (!fixture.reported("a" + evicted + "{cp}")) {
        fixture.settle();
    }
}

// Guards against starting tasks on resources that another task uses beyond its
// declared size, and against a worker that runs out of memory.
TEST(TaskRunner, AccountsForMeasuredUsage)
{
    RunnerFixture fixture;

    fixture.settle();
    fixture.renew(5, 15000);
    fixture.start(5, "a", 1000);
    fixture.start(5, "b", 1000);
    fixture.worker.tasks["a"].used_memory = 900;
    fixture.settle();
    EXPECT_EQ(ledger_get_free(&fixture.ledger, LEDGER_MEMORY_MB), 100U);
    EXPECT_LE(fixture.capacity_mb, 100U);
    fixture.worker.tasks["b"].used_memory = 200;
    fixture.settle();
    EXPECT_EQ(fixture.count("stop a") + fixture.count("stop b"), 1U);
    EXPECT_LE(fixture.ledger.reserved.units[LEDGER_MEMORY_MB], 1000U);
}

// Guards against reporting a task as not started when the answer to its start
// was lost.
TEST(TaskRunner, RepeatsStartWithUnknownOutcome)
{
    RunnerFixture fixture;

    fixture.settle();
    fixture.renew(5, 15000);
    fixture.worker.start_outcome = WORKER_UNKNOWN;
    fixture.start(5, "a", 1000);
    EXPECT_TRUE(fixture.reports.empty());
    fixture.worker.start_outcome = WORKER_OK;
    fixture.settle();
    EXPECT_TRUE(fixture.reports.empty());
    EXPECT_EQ(fixture.worker.tasks["a"].state, WORKER_TASK_RUNNING);
}

// Guards against starting tasks that exceed the worker's capacity minus the
// part reserved for interactive requests, in any order of starts and stops.
TEST(TaskRunner, NeverExceedsCapacity)
{
    EXPECT_TRUE(rc::check([] {
        RunnerFixture fixture;

        fixture.settle();
        fixture.renew(5, 15000);
        for (int i = 0; i < 25; i++) {
            std::string job = "job" + std::to_string(*rc::gen::inRange(0, 8));

            if (*rc::gen::inRange(0, 3) == 0) {
                fixture.stop(5, job.c_str(),
                             TEASEL__STOP_REASON__STOP_REASON_DISCARD);
            }
            else {
                fixture.start(5, job.c_str(),
                              *rc::gen::element(0U, 500U, 1500U, 4000U, 6000U,
                                                6001U, UINT32_MAX));
            }
        }
        RC_ASSERT(fixture.worker.max_cpu <= 6000U);
    }));
}

} // namespace
