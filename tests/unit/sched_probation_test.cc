/* When executors that fail runs are closed to new tasks. */

#include <gtest/gtest.h>

#include <set>

#include "sched_fixture.h"

namespace {

const std::vector<std::string> KEYS = {
    "10.0.0.1:80/a/100", "10.0.0.2:80/b/100", "10.0.0.3:80/c/100",
    "10.0.0.4:80/d/100", "10.0.0.5:80/e/100", "10.0.0.6:80/f/100"};
constexpr int64_t PROBATION_MS = 4000;

struct SchedProbation : public testing::Test {
    Core core;
    std::set<std::string> full;           /* executors without room */
    std::map<std::string, uint64_t> ends; /* number of the last one */

    void
    SetUp() override
    {
        for (auto &key : KEYS) {
            Report report(key);

            core.report(report);
        }
        take_starts();
    }
    /* Runs a turn, and returns the starts by executor. */
    std::map<std::string, std::vector<TaskRun>>
    take_starts()
    {
        std::map<std::string, std::vector<TaskRun>> starts;

        core.run_and_commit();
        for (auto &key : KEYS) {
            for (auto &run : core.orders(key).starts) {
                starts[key].push_back(run);
            }
        }
        return starts;
    }
    void
    fail(const std::string &key, const TaskRun &run)
    {
        Report report(key);

        report.message.listed = false;
        report.ends(++ends[key], run, SCHED_END_FAILED);
        core.report(report);
    }
    void
    submit(const std::string &id, const Step &step, uint32_t max_attempts = 1)
    {
        sched_submit(core.sched, make_spec(id, {step}, max_attempts));
    }
    /* Fills all executors but some. */
    void
    fill_all_but(size_t open)
    {
        submit("full", {.count = (uint32_t)(KEYS.size() - open),
                        .cpu = 4000,
                        .long_running = true});
        for (auto &[key, runs] : take_starts()) {
            full.insert(key);
        }
    }
    /* Returns one of the executors that are not full. */
    std::string
    get_open(size_t index) const
    {
        std::vector<std::string> open;

        for (auto &key : KEYS) {
            if (full.count(key) == 0) {
                open.push_back(key);
            }
        }
        return open[index];
    }
    /* Fails one run of each of several jobs on each executor. */
    void
    fail_jobs_everywhere()
    {
        for (int i = 0; i < 5 * (int)KEYS.size(); i++) {
            submit("f" + std::to_string(i), {});
        }
        for (auto &[key, starts] : take_starts()) {
            for (auto &run : starts) {
                fail(key, run);
            }
        }
    }
};

// Guards against a task that waits, with room for it, as jobs that cannot be
// done have closed all executors.
TEST_F(SchedProbation, KeepsMostExecutorsOpenWhateverFails)
{
    fail_jobs_everywhere();
    submit("j", {.count = 24});
    EXPECT_EQ(take_starts().size(), 4U);
}

// Guards against an executor that is never closed, though it fails whatever it
// starts while the others do not.
TEST_F(SchedProbation, ClosesAnExecutorThatFailsSeveralJobs)
{
    std::map<std::string, std::vector<TaskRun>> starts;

    for (int i = 0; i < 18; i++) {
        submit("f" + std::to_string(i), {});
    }
    starts = take_starts();
    for (auto &run : starts[KEYS[0]]) {
        fail(KEYS[0], run);
    }
    submit("j", {.count = 24, .cpu = 500});
    starts = take_starts();
    EXPECT_EQ(starts.count(KEYS[0]), 0U);
    EXPECT_EQ(starts.size(), KEYS.size() - 1);
}

// Guards against executors that are closed in turn by tasks that fail wherever
// they run.
TEST_F(SchedProbation, CountsATaskThatFailsEverywhereAtOneExecutorOnly)
{
    std::vector<TaskRun> runs;

    fill_all_but(2);
    for (int i = 0; i < 6; i++) {
        submit("f" + std::to_string(i), {.cpu = 600}, 100);
    }
    runs = take_starts()[get_open(0)];
    ASSERT_EQ(runs.size(), 3U);
    for (auto &run : runs) {
        fail(get_open(0), run);
    }
    runs = take_starts()[get_open(1)];
    ASSERT_EQ(runs.size(), 3U);
    for (auto &run : runs) {
        fail(get_open(1), run);
    }
    submit("j", {.count = 2});
    EXPECT_GT(take_starts()[get_open(1)].size(), 0U);
}

// Guards against a probation that runs which were placed before it begin anew,
// for as long as they fail.
TEST_F(SchedProbation, EndsThoughRunsFailThatWerePlacedBefore)
{
    std::vector<TaskRun> runs;

    for (int i = 0; i < 24; i++) {
        submit("f" + std::to_string(i), {});
    }
    runs = take_starts()[KEYS[0]];
    ASSERT_EQ(runs.size(), 4U);
    for (int i = 0; i < 3; i++) {
        fail(KEYS[0], runs[i]);
    }
    fake_clock_advance_ms(&core.clock, PROBATION_MS - 1000);
    fail(KEYS[0], runs[3]);
    fake_clock_advance_ms(&core.clock, 1500);
    submit("j", {.count = 4});
    EXPECT_EQ(take_starts()[KEYS[0]].size(), 4U);
}

// Guards against a lasting task that waits, with room for it, as others that
// fail on the only executor with room begin its probation anew.
TEST_F(SchedProbation, RunsLastingTasksOnAClosedExecutorRatherThanNotAtAll)
{
    fill_all_but(1);
    for (int i = 0; i < 4; i++) {
        submit("f" + std::to_string(i), {});
    }
    for (auto &[key, runs] : take_starts()) {
        for (auto &run : runs) {
            fail(key, run);
        }
    }
    submit("short", {});
    submit("j", {.long_running = true});
    EXPECT_EQ(take_starts()[get_open(0)],
              (std::vector<TaskRun>{{"j.0.0.0", 1}}));
}

// Guards against an executor that is closed by lasting tasks which were at
// work there and fail by themselves, one now and then.
TEST_F(SchedProbation, CountsNoLastingTaskThatWasAtWork)
{
    std::map<std::string, std::vector<TaskRun>> starts;

    for (int i = 0; i < 24; i++) {
        submit("l" + std::to_string(i), {.long_running = true}, 100);
    }
    starts = take_starts();
    for (auto &run : starts[KEYS[0]]) {
        Report settled(KEYS[0]);
        std::string id;

        settled.message.listed = false;
        settled.runs(run);
        settled.running.back().settled = true;
        core.report(settled);
        fail(KEYS[0], run);
        id = run.first.substr(0, run.first.find('.'));
        sched_cancel(core.sched, sched_find(core.sched, id.c_str()));
    }
    submit("j", {.count = 4});
    EXPECT_EQ(take_starts()[KEYS[0]].size(), 4U);
}

} // namespace
