/* The log lines on long-running tasks and other jobs without a run. */

#include <gtest/gtest.h>

#include "log_lines.h"
#include "sched_fixture.h"

namespace {

const std::string A = "10.0.0.1:80/a/100";
const std::string B = "10.0.0.2:80/b/100";
constexpr int64_t IDLE_MS = 5000;

/* Lets time pass in which the leader logs what it waits for. */
std::vector<std::string>
get_lines_after(Core &core, int64_t ms)
{
    keep_log_lines();
    fake_clock_advance_ms(&core.clock, ms);
    sched_log_idle(core.sched);
    return lines_of("task-idle");
}

void
submit_long_running(Core &core)
{
    sched_submit(core.sched,
                 make_spec("j", {{.cpu = 3000, .long_running = true}}));
    core.run_and_commit();
}

// Guards against a task without a run whose log does not tell that the leader
// waits for an executor that nobody hears from.
TEST(SchedIdle, NamesTheExecutorThatATaskWaitsFor)
{
    Core core;
    Report report(A);

    core.report(report);
    submit_long_running(core);
    core.orders(A);
    Report running(A);
    running.runs({"j.0.0.0", 1});
    core.report(running);
    EXPECT_TRUE(get_lines_after(core, IDLE_MS).empty());
    sched_disconnect(core.sched, "node");

    auto lines = get_lines_after(core, IDLE_MS);

    ASSERT_EQ(lines.size(), 1U);
    EXPECT_NE(lines[0].find("task=j.0.0.0 run=1 idle_ms=10000 executor=" + A),
              std::string::npos)
        << lines[0];
    EXPECT_NE(lines[0].find("connected=0"), std::string::npos) << lines[0];
}

// Guards against a waiting task whose log does not tell why no executor takes
// it.
TEST(SchedIdle, CountsExecutorsByWhyTheyTakeNoTask)
{
    Core core;
    Report small(A, 2000);
    Report draining(B);

    draining.message.draining = true;
    core.report(small);
    core.report(draining);
    submit_long_running(core);

    auto lines = get_lines_after(core, IDLE_MS);

    ASSERT_EQ(lines.size(), 1U);
    EXPECT_NE(lines[0].find(
                  "idle_ms=5000 delay_ms=0 none=0 service=0 "
                  "disconnected=0 evacuated=0 draining=1 trial=0 probation=0 "
                  "resources=1 constraints=0"),
              std::string::npos)
        << lines[0];
}

// Guards against a job that stands still without a line that tells why no
// executor takes its tasks.
TEST(SchedIdle, SaysWhyAJobHasNothingRunning)
{
    Core core;
    Report report(A, 2000);

    core.report(report);
    sched_submit(core.sched, make_spec("j", {{.count = 2, .cpu = 3000}}));
    core.run_and_commit();
    keep_log_lines();
    fake_clock_advance_ms(&core.clock, 2400);
    sched_log_idle(core.sched);
    EXPECT_TRUE(lines_of("job-idle").empty());

    fake_clock_advance_ms(&core.clock, 200);
    sched_log_idle(core.sched);
    auto lines = lines_of("job-idle");

    ASSERT_EQ(lines.size(), 1U);
    EXPECT_NE(lines[0].find("job=j step=0 waiting=2 filler=0 idle_ms=2600 "
                            "none=0"),
              std::string::npos)
        << lines[0];
    EXPECT_NE(lines[0].find("resources=1 constraints=0 disturbed=0"),
              std::string::npos)
        << lines[0];
}

} // namespace
