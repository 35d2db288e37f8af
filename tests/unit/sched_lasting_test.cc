/* How soon tasks that last run again while others fail or fill. */

#include <gtest/gtest.h>

#include "sched_fixture.h"

namespace {

const std::string A = "10.0.0.1:80/a/100";
constexpr int64_t TURN_MS = 100;
/* After this time without a run and with room, callers count a task as
   lost. */
constexpr int64_t WAIT_MS = 9000;

/* An agent whose executor starts what it is told to, until told otherwise by
   the test. */
struct Agent {
    Core &core;
    uint32_t cpu;
    std::set<TaskRun> running;
    std::vector<TaskRun> failed;
    uint64_t next_end = 1;

    Agent(Core &core, uint32_t cpu) : core(core), cpu(cpu)
    {
        turn();
    }
    bool
    runs(const std::string &task) const
    {
        for (auto &run : running) {
            if (run.first == task) {
                return true;
            }
        }
        return false;
    }
    void
    fail(const std::string &task)
    {
        for (auto it = running.begin(); it != running.end(); ++it) {
            if (it->first == task) {
                failed.push_back(*it);
                running.erase(it);
                return;
            }
        }
        ADD_FAILURE() << task << " does not run";
    }
    void
    turn()
    {
        Report report(A, cpu);

        fake_clock_advance_ms(&core.clock, TURN_MS);
        for (auto &run : running) {
            report.runs(run);
        }
        for (auto &run : failed) {
            report.ends(next_end++, run, SCHED_END_FAILED);
        }
        failed.clear();
        core.report(report);
        core.run_and_commit();
        for (auto &run : core.orders(A).starts) {
            running.insert(run);
        }
    }
    void
    run_for(int64_t ms)
    {
        for (int64_t passed = 0; passed < ms; passed += TURN_MS) {
            turn();
        }
    }
};

// Guards against a best-effort task that lasts and never runs on executors
// whose processors are full, as another task of its job runs: it needs memory
// only.
TEST(SchedLasting, RunsEachBestEffortTaskOnAFullExecutor)
{
    Core core;
    Agent agent(core, 4000);

    sched_submit(core.sched,
                 make_spec("s", {{.cpu = 4000, .long_running = true}}));
    agent.turn();
    sched_submit(core.sched, make_spec("f", {{.count = 2,
                                              .cpu = 500,
                                              .long_running = true,
                                              .best_effort = true}}));
    agent.run_for(WAIT_MS);
    EXPECT_TRUE(agent.runs("f.0.0.0"));
    EXPECT_TRUE(agent.runs("f.0.0.1"));
}

// Guards against a task that lasts and waits for as long as others fail on
// the only executor, each of which begins its probation anew.
TEST(SchedLasting, EndsAProbationThoughOtherTasksFail)
{
    constexpr int JOBS = 6;
    constexpr int64_t FAILURE_INTERVAL_MS = 3500;
    Core core;
    Agent agent(core, 16000);

    for (int i = 0; i < JOBS; i++) {
        sched_submit(core.sched, make_spec("j" + std::to_string(i),
                                           {{.long_running = true}}));
    }
    agent.run_for(1000);
    agent.fail("j0.0.0.0");
    agent.fail("j1.0.0.0");
    agent.fail("j2.0.0.0");
    agent.run_for(FAILURE_INTERVAL_MS);
    agent.fail("j3.0.0.0");
    agent.run_for(FAILURE_INTERVAL_MS);
    agent.fail("j4.0.0.0");
    agent.run_for(WAIT_MS - 2 * FAILURE_INTERVAL_MS);
    EXPECT_TRUE(agent.runs("j0.0.0.0"));
}

} // namespace
