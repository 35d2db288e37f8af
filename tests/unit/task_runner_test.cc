#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <string>
#include <vector>

#include "task_runner_fixture.h"

namespace {

const std::string done = " 0 ", evicted = " 2 ", not_started = " 4 ";

// Guards against a start without a lease, with an expired one, or by a
// replaced coordinator.
TEST(TaskRunner, StartsOnlyUnderALease)
{
    Runner it;

    it.settle();
    it.start(5, "a", 1000);
    EXPECT_EQ(it.reports.back(), "a" + not_started + "old");
    it.renew(5, 15000);
    it.start(4, "b", 1000);
    it.start(5, "c", 1000);
    fake_clock_advance_ms(&it.clock, 15000);
    it.start(5, "d", 1000);
    EXPECT_EQ(it.reports.back(), "d" + not_started + "old");
    EXPECT_EQ(it.count("start a") + it.count("start b") + it.count("start d"),
              0U);
    EXPECT_EQ(it.count("start c"), 1U);
}

// Guards against a worker lease that outlives the agent's, also when the
// worker reads the renewal late.
TEST(TaskRunner, PassesOnTheEndOfItsLease)
{
    Runner it;
    uint64_t granted_end;

    it.settle();
    granted_end = timespec_to_ms(it.clock.now) + 15000;
    it.renew(5, 15000);
    EXPECT_GT(it.worker.lease_end_ms, granted_end - 2000);
    EXPECT_LT(it.worker.lease_end_ms, granted_end);
}

// Guards against effects that are published before, or more than once after,
// the finish is on the log, and against a lost report.
TEST(TaskRunner, RepeatsReportUntilRelease)
{
    Runner it;

    it.settle();
    it.renew(5, 15000);
    it.start(5, "a", 1000);
    it.worker.tasks["a"].state = WORKER_TASK_DONE;
    it.settle();
    EXPECT_GE(it.reports.size(), 2U);
    EXPECT_EQ(it.reports.back(), "a" + done + "old");
    EXPECT_EQ(it.count("release a"), 0U);
    it.release(4, "a");
    EXPECT_EQ(it.count("release a"), 0U);
    it.release(5, "a");
    it.release(5, "a");
    EXPECT_EQ(it.count("release a"), 1U);
    EXPECT_EQ(it.count("forget a"), 1U);
    it.settle();
    size_t reports = it.reports.size();
    it.settle();
    EXPECT_EQ(it.reports.size(), reports);
    EXPECT_TRUE(task_runner_is_idle(it.runner));
}

// Guards against a task that goes on after its lease, and against one that is
// resumed before the coordinator could discard it.
TEST(TaskRunner, SuspendsAtExpiryAndResumesAfterContact)
{
    Runner it;

    it.settle();
    it.renew(5, 15000);
    it.settle();
    it.renew(5, 15000);
    it.start(5, "kept", 1000);
    it.start(5, "gone", 1000);
    fake_clock_advance_ms(&it.clock, 15000);
    it.settle();
    EXPECT_EQ(it.count("suspend kept"), 1U);
    EXPECT_EQ(it.worker.tasks["gone"].state, WORKER_TASK_SUSPENDED);
    it.renew(5, 15000);
    EXPECT_EQ(it.count("resume kept"), 0U);
    it.stop(5, "gone", TEASEL__STOP_REASON__STOP_REASON_DISCARD);
    it.settle();
    it.renew(5, 15000);
    it.settle();
    EXPECT_EQ(it.count("resume kept"), 1U);
    EXPECT_EQ(it.count("resume gone"), 0U);
    EXPECT_EQ(it.worker.tasks.count("gone"), 0U);
    EXPECT_EQ(it.worker.tasks["kept"].state, WORKER_TASK_RUNNING);
}

// Guards against an empty task list in the first heartbeat of a restarted
// agent, which would let the coordinator start its tasks a second time, and
// against the loss of a task with its worker.
TEST(TaskRunner, RecoversTasksAndReportsLostOnes)
{
    Runner it;

    it.worker.tasks["a"] = {WORKER_TASK_RUNNING, 3000};
    it.worker.tasks["b"] = {WORKER_TASK_DONE, 0};
    for (int i = 0; i < 20; i++) {
        loop_run_once(it.loop, 1);
    }
    EXPECT_EQ(it.sequence, 0U);
    it.settle();
    EXPECT_EQ(it.listed, std::vector<std::string>{"a"});
    EXPECT_EQ(it.reports.back(), "b" + done);
    EXPECT_EQ(it.count("suspend a"), 0U);
    it.renew(5, 15000);
    it.start(5, "a", 3000);
    EXPECT_EQ(it.count("start a"), 0U);
    it.start(5, "c", 3001);
    EXPECT_EQ(it.count("start c"), 0U);
    it.start(5, "d", 1000);
    EXPECT_EQ(it.ledger.reserved.units[LEDGER_CPU_MILLI], 6000U);
    it.worker.incarnation = 2;
    it.worker.tasks.clear();
    it.settle();
    EXPECT_TRUE(it.reported("a" + evicted));
    EXPECT_TRUE(it.reported("d" + evicted + "old"));
    EXPECT_EQ(it.ledger.reserved.units[LEDGER_CPU_MILLI], 2000U);
}

// Guards against a restarted agent that resumes tasks whose lease ran out
// under its predecessor, before the coordinator could discard them.
TEST(TaskRunner, ResumesRecoveredTasksAfterContact)
{
    Runner it;

    it.worker.tasks["a"] = {WORKER_TASK_SUSPENDED, 1000};
    it.settle();
    it.renew(5, 15000);
    EXPECT_EQ(it.count("resume a"), 0U);
    it.settle();
    it.renew(5, 15000);
    it.settle();
    EXPECT_EQ(it.count("resume a"), 1U);
}

// Guards against a planned stop that loses a checkpoint or ends before the
// coordinator has it.
TEST(TaskRunner, HandsOverByCheckpoint)
{
    Runner it;

    it.settle();
    it.renew(5, 15000);
    it.start(5, "a", 1000);
    task_runner_set_leaving(it.runner, true);
    it.start(5, "b", 1000);
    it.settle();
    EXPECT_EQ(it.count("start b"), 0U);
    EXPECT_TRUE(it.reported("a" + evicted + "{cp}"));
    EXPECT_FALSE(it.idle);
    it.release(5, "a");
    it.release(5, "b");
    it.settle();
    EXPECT_TRUE(it.idle);
}

// Guards against batch work that does not give way to interactive requests, or
// does not get its speed back.
TEST(TaskRunner, GivesWayToInteractiveLoad)
{
    Runner it;

    it.settle();
    it.renew(5, 15000);
    it.settle();
    it.renew(5, 15000);
    it.start(5, "a", 1000);
    it.load = 85;
    while (it.count("suspend a") == 0) {
        it.settle();
    }
    EXPECT_EQ(it.count("throttle a"), 1U);
    EXPECT_EQ(it.worker.tasks["a"].throttle, 50U);
    it.load = 0;
    while (it.worker.tasks["a"].throttle != 100) {
        it.settle();
    }
    EXPECT_EQ(it.worker.tasks["a"].state, WORKER_TASK_RUNNING);
    it.load = 100;
    while (!it.reported("a" + evicted + "{cp}")) {
        it.settle();
    }
}

// Guards against starts beside a task that uses far more than it declared, and
// against a worker that is left without memory.
TEST(TaskRunner, CountsWhatTasksReallyUse)
{
    Runner it;

    it.settle();
    it.renew(5, 15000);
    it.start(5, "a", 1000);
    it.start(5, "b", 1000);
    it.worker.tasks["a"].used_memory = 900;
    it.settle();
    EXPECT_EQ(ledger_get_free(&it.ledger, LEDGER_MEMORY_MB), 100U);
    EXPECT_LE(it.capacity_mb, 100U);
    it.worker.tasks["b"].used_memory = 200;
    it.settle();
    EXPECT_EQ(it.count("stop a") + it.count("stop b"), 1U);
    EXPECT_LE(it.ledger.reserved.units[LEDGER_MEMORY_MB], 1000U);
}

// Guards against a start whose answer was lost being taken for not started.
TEST(TaskRunner, RepeatsStartWithUnknownOutcome)
{
    Runner it;

    it.settle();
    it.renew(5, 15000);
    it.worker.start_outcome = WORKER_UNKNOWN;
    it.start(5, "a", 1000);
    EXPECT_TRUE(it.reports.empty());
    it.worker.start_outcome = WORKER_OK;
    it.settle();
    EXPECT_TRUE(it.reports.empty());
    EXPECT_EQ(it.worker.tasks["a"].state, WORKER_TASK_RUNNING);
}

// Guards against more started work than the worker holds beside what is kept
// for interactive requests, in any order of starts and stops.
TEST(TaskRunner, NeverExceedsCapacity)
{
    EXPECT_TRUE(rc::check([] {
        Runner it;

        it.settle();
        it.renew(5, 15000);
        for (int i = 0; i < 25; i++) {
            std::string job = "job" + std::to_string(*rc::gen::inRange(0, 8));

            if (*rc::gen::inRange(0, 3) == 0) {
                it.stop(5, job.c_str(),
                        TEASEL__STOP_REASON__STOP_REASON_DISCARD);
            }
            else {
                it.start(5, job.c_str(),
                         *rc::gen::element(0U, 500U, 1500U, 4000U, 6000U,
                                           6001U, UINT32_MAX));
            }
        }
        RC_ASSERT(it.worker.max_cpu <= 6000U);
    }));
}

} // namespace
