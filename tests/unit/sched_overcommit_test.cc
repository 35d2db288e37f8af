/*
 * Best-effort jobs whose tasks fit only where they overcommit an executor, as
 * serving tasks there are near their latency target.
 */

#include <gtest/gtest.h>

#include <algorithm>

#include "sched_fixture.h"

namespace {

const std::string A = "10.0.0.1:80/a/100";
constexpr uint32_t TARGET_MS = 10;
constexpr uint32_t NEAR_TARGET_MS = 9;
constexpr int64_t TURN_MS = 50;
constexpr int64_t RUN_MS = 1300;
/* Both are shorter than the 3 s after which a job counts as standing still. */
constexpr int64_t FIRST_PAUSE_MS = 2300;
constexpr int64_t PAUSE_MS = 300;

/* One executor with a serving task near its target, and a best-effort job. */
struct SchedOvercommit : public testing::Test {
    Core core;
    std::map<TaskRun, int64_t> running; /* when it began, of job f */
    uint64_t last_end = 0;
    uint32_t serving_cpu = 1000;
    size_t most_at_once = 0;
    size_t begun = 0; /* runs of job f */

    int64_t
    now() const
    {
        return (int64_t)timespec_to_ms(core.clock.now);
    }
    void
    add_runs(Report &report)
    {
        report.runs({"s.0.0.0", 1}, NEAR_TARGET_MS);
        report.message.has_figures = true;
        for (auto &[run, begun_ms] : running) {
            report.runs(run, 100);
        }
    }
    void
    begin(uint32_t cpu)
    {
        Report empty(A);

        serving_cpu = cpu;
        core.report(empty);
        sched_submit(core.sched, make_spec("s", {{.cpu = serving_cpu,
                                                  .long_running = true,
                                                  .target_ms = TARGET_MS}}));
        core.run_and_commit();
        core.orders(A);
        Report report(A);
        add_runs(report);
        core.report(report);
        sched_submit(core.sched,
                     make_spec("f", {{.count = 6, .best_effort = true},
                                     {.after = {0}, .best_effort = true}}));
        core.run_and_commit();
    }
    void
    carry_out(const Core::Orders &orders)
    {
        for (auto &run : orders.starts) {
            running[run] = now();
            begun++;
        }
        most_at_once = std::max(most_at_once, running.size());
    }
    /* Ends the runs that have lasted long enough. */
    void
    report_runs()
    {
        Report report(A);

        report.message.listed = false;
        for (auto it = running.begin(); it != running.end();) {
            if (now() - it->second < RUN_MS) {
                ++it;
                continue;
            }
            report.ends(++last_end, it->first, SCHED_END_DONE);
            it = running.erase(it);
        }
        add_runs(report);
        core.report(report);
    }
    void
    turn()
    {
        fake_clock_advance_ms(&core.clock, TURN_MS);
        report_runs();
        core.run_and_commit();
        carry_out(core.orders(A));
    }
    bool
    is_done()
    {
        return core.visible_state("f") == SCHED_JOB_COMPLETED;
    }
    /* Returns how long the job has no run, until the next one begins or it is
       completed. */
    int64_t
    wait_for_run()
    {
        int64_t since_ms = now();

        while (running.empty() && !is_done() && now() - since_ms < 10000) {
            turn();
        }
        return now() - since_ms;
    }
    void
    wait_for_end()
    {
        while (!running.empty()) {
            turn();
        }
    }
};

// Guards against a job that pauses before each of its tasks, so that it stands
// still most of the time although most of the room is free: two looks 3 s
// apart both find nothing running. Reported as LOST at the end of a day.
TEST_F(SchedOvercommit, DoesNotPauseBetweenTheTasksOfAJob)
{
    begin(1000);
    EXPECT_LE(wait_for_run(), FIRST_PAUSE_MS);
    while (!is_done()) {
        wait_for_end();
        ASSERT_LE(wait_for_run(), PAUSE_MS);
    }
    EXPECT_EQ(most_at_once, 1U);
}

// Guards against a second task beside serving tasks near their target while
// the start of the first one is under way.
TEST_F(SchedOvercommit, WaitsForAStartThatIsUnderWay)
{
    begin(1000);
    while (begun < 2 && !is_done()) {
        turn();
    }
    for (int i = 0; i < 20; i++) {
        fake_clock_advance_ms(&core.clock, TURN_MS);
        core.run_and_commit();
        EXPECT_TRUE(core.orders(A).starts.empty());
    }
}

// Guards against best-effort jobs that overcommit an executor all the time
// although most of its processors are reserved for others.
TEST_F(SchedOvercommit, PausesWhereMostProcessorsAreReserved)
{
    begin(2500);
    EXPECT_LE(wait_for_run(), FIRST_PAUSE_MS);
    wait_for_end();
    EXPECT_GT(wait_for_run(), 2000);
}

// Guards against a job that stands still after its only run was stopped, as
// the room for which it was stopped has been taken.
TEST_F(SchedOvercommit, GoesOnAfterItsOnlyRunWasStopped)
{
    begin(1000);
    wait_for_run();
    turn();
    Report stopped(A);
    stopped.message.listed = false;
    stopped.ends(++last_end, running.begin()->first, SCHED_END_STOPPED);
    running.clear();
    add_runs(stopped);
    core.report(stopped);
    EXPECT_LE(wait_for_run(), PAUSE_MS);
}

} // namespace
