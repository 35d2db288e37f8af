/* Placement of a task whose runs executors reject or fail. */

#include <gtest/gtest.h>

#include "sched_fixture.h"

namespace {

const std::string A = "10.0.0.1:80/a/100";
const std::string B = "10.0.0.2:80/b/100";
const std::string C = "10.0.0.3:80/c/100";
const std::string TASK = "j.0.0.0";

struct SchedAvoid : public testing::Test {
    Core core;
    std::map<std::string, uint64_t> ends; /* number of the last one */

    void
    connect(const std::string &key)
    {
        Report report(key);

        core.report(report);
        core.orders(key);
    }
    void
    submit_serving(const std::string &id, uint32_t cpu)
    {
        sched_submit(
            core.sched,
            make_spec(id,
                      {{.cpu = cpu, .long_running = true, .target_ms = 50}}));
        core.run_and_commit();
    }
    /* Two executors with a serving task each, which further ones join for the
       sake of packing, and one without. */
    void
    SetUp() override
    {
        connect(A);
        submit_serving("a", 3000);
        connect(B);
        submit_serving("b", 3000);
        ASSERT_EQ(core.orders(A).starts.size(), 1U);
        ASSERT_EQ(core.orders(B).starts.size(), 1U);
        connect(C);
    }
    /* Returns the executor at which the task is started, and its run. */
    std::pair<std::string, uint32_t>
    find_start()
    {
        for (auto &key : {A, B, C}) {
            for (auto &[task, run] : core.orders(key).starts) {
                if (task == TASK) {
                    return {key, run};
                }
            }
        }
        return {"", 0};
    }
    void
    reject(const std::string &key, uint32_t run)
    {
        Report report(key);

        report.message.listed = false;
        report.rejects({TASK, run});
        core.report(report);
    }
    void
    fail(const std::string &key, uint32_t run)
    {
        Report report(key);

        report.message.listed = false;
        report.ends(++ends[key], {TASK, run}, SCHED_END_FAILED);
        core.report(report);
        fake_clock_advance_ms(&core.clock, 3000);
    }
    /* Returns whether the task is started on the last executor once the first
       two have harmed a run of it each. */
    bool
    reaches_last_executor(void (SchedAvoid::*harm)(const std::string &,
                                                   uint32_t))
    {
        for (int i = 0; i < 3; i++) {
            auto [key, run] = find_start();

            if (key == C || key.empty()) {
                return key == C;
            }
            (this->*harm)(key, run);
            core.run_and_commit();
        }
        return false;
    }
};

// Guards against a task that never runs, with room for it: two executors
// reject each start, and each of them is preferred while the other is avoided.
TEST_F(SchedAvoid, TriesAnotherExecutorWhereTwoReject)
{
    submit_serving("j", 1000);
    EXPECT_TRUE(reaches_last_executor(&SchedAvoid::reject));
}

// Guards against a lasting task that is never at work, with room for it, as
// its runs fail on two executors in turn.
TEST_F(SchedAvoid, TriesAnotherExecutorWhereTwoFail)
{
    submit_serving("j", 1000);
    EXPECT_TRUE(reaches_last_executor(&SchedAvoid::fail));
}

// Guards against a task that keeps away from a good executor for ever, as one
// of its runs failed there long ago.
TEST_F(SchedAvoid, ForgetsFailuresOnceARunHasOutlivedItsStart)
{
    Report settled(B);

    submit_serving("j", 1000);
    ASSERT_EQ(find_start().first, A);
    fail(A, 1);
    core.run_and_commit();
    ASSERT_EQ(find_start().first, B);
    settled.message.listed = false;
    settled.runs({TASK, 2});
    settled.running.back().settled = true;
    core.report(settled);
    fail(B, 2);
    core.run_and_commit();
    EXPECT_EQ(find_start().first, A);
}

} // namespace
