/* What the leader does with the runs in an evacuated data centre. */

#include <gtest/gtest.h>

#include "log_lines.h"
#include "sched_fixture.h"

namespace {

const std::string A = "10.0.0.1:80/id/1";
const std::string B = "10.0.0.2:80/id/1";

constexpr int64_t STALLED_MS = 7000;
constexpr int64_t THROTTLED_MS = 1500;

/* An executor in data centre "a", and one in "b". */
struct SchedEvacuation : public testing::Test {
    evacuation_t *set = evacuation_new();
    Core core;
    uint64_t offset = 0;
    uint32_t cpu = 4000; /* of the executor in "b" */

    void
    SetUp() override
    {
        keep_log_lines();
        g_ptr_array_unref(evacuation_finish_listing(set));
        core.evacuation = set;
        core.restart();
    }
    void
    TearDown() override
    {
        evacuation_free(set);
    }
    void
    report(const std::string &key, const std::vector<TaskRun> &running = {},
           uint32_t slowdown = 0, const std::vector<TaskRun> &rejected = {},
           bool listed = true)
    {
        Report message(key, key == A ? 4000 : cpu);

        message.message.data_centre = message.text(key == A ? "a" : "b");
        message.message.listed = listed;
        for (auto &run : running) {
            message.runs(run, 0, slowdown);
        }
        for (auto &run : rejected) {
            message.rejects(run, EVACUATION_REASON);
        }
        core.report(message, key);
    }
    void
    evacuate(const char *name)
    {
        evacuation_begin(set, name, ++offset, false);
        sched_note_evacuation(core.sched);
    }
    void
    withdraw(const char *name)
    {
        evacuation_end(set, name, ++offset);
        sched_note_evacuation(core.sched);
    }
    void
    submit(const Step &step)
    {
        sched_submit(core.sched, make_spec("j", {step}));
        core.run_and_commit();
    }
    /* Begins a run of the job on the executor in "a". */
    void
    begin_in_a(const Step &step)
    {
        report(A);
        submit(step);
        ASSERT_EQ(core.orders(A).starts.size(), 1U);
        report(A, {{"j.0.0.0", 1}});
        report(B);
    }
};

using Runs = std::vector<TaskRun>;

// Guards against a start that is sent after the evacuation has begun, because
// its run was placed before, and against work that waits for the end of it.
TEST_F(SchedEvacuation, ReleasesRunsWhoseStartWasNotSent)
{
    report(A);
    submit({});
    evacuate("a");
    report(B);
    EXPECT_EQ(core.orders(A).starts, Runs());
    core.run_and_commit();
    EXPECT_EQ(core.orders(A).starts, Runs());
    EXPECT_EQ(core.orders(B).starts, Runs({{"j.0.0.0", 2}}));
    EXPECT_EQ(sched_count_evacuated(core.sched).released, 1U);
    EXPECT_EQ(
        lines_of("runs-evacuated"),
        std::vector<std::string>({"runs-evacuated released=1 stopped=0"}));
}

// Guards against a start that was sent and that the executor carries out
// later, and against an executor that is avoided because of the evacuation.
TEST_F(SchedEvacuation, StopsRunsThatAreNotKnownToRun)
{
    cpu = 0;
    report(A);
    submit({});
    ASSERT_EQ(core.orders(A).starts.size(), 1U);
    evacuate("a");
    report(B);
    core.run_and_commit();
    EXPECT_EQ(core.orders(A).stops, Runs({{"j.0.0.0", 1}}));
    EXPECT_EQ(sched_count_evacuated(core.sched).stopped, 1U);
    report(A, {}, 0, {{"j.0.0.0", 1}}, false);
    core.run_and_commit();
    EXPECT_EQ(core.orders(A).starts, Runs());
    EXPECT_EQ(core.orders(B).starts, Runs());
    withdraw("a");
    core.run_and_commit();
    EXPECT_EQ(core.orders(A).starts, Runs({{"j.0.0.0", 2}}));
    const sched_task_t *task =
        sched_job_find_task(sched_find(core.sched, "j"), 0, 0, 0);
    EXPECT_EQ(task->avoided, nullptr);
}

// Guards against the end of work that its users have: the operator only asks
// that nothing more is started.
TEST_F(SchedEvacuation, KeepsRunsThatAreAtWork)
{
    begin_in_a({.long_running = true});
    evacuate("a");
    fake_clock_advance_ms(&core.clock, STALLED_MS);
    core.run_and_commit();
    EXPECT_EQ(core.orders(A).stops, Runs());
    EXPECT_EQ(core.orders(B).starts, Runs());
}

// Guards against a run that is started once more after a new connection: the
// leader has heard that it was at work, and its agent does not list it.
TEST_F(SchedEvacuation, StopsRunsInsteadOfARepeatedStart)
{
    begin_in_a({.long_running = true});
    evacuate("a");
    core.run_and_commit();
    sched_disconnect(core.sched, A.c_str());
    report(A);
    EXPECT_EQ(core.orders(A).starts, Runs());
    core.run_and_commit();
    auto orders = core.orders(A);
    EXPECT_EQ(orders.starts, Runs());
    EXPECT_EQ(orders.stops, Runs({{"j.0.0.0", 1}}));
    EXPECT_TRUE(lines_of("order-repeated").empty());
}

// Guards against a run that is stopped, although it is at work on an executor
// whose agent was cut off before it could report so.
TEST_F(SchedEvacuation, WaitsForTheListOfAnAgent)
{
    report(A);
    submit({.long_running = true});
    ASSERT_EQ(core.orders(A).starts.size(), 1U);
    sched_disconnect(core.sched, A.c_str());
    evacuate("a");
    core.run_and_commit();
    report(A, {{"j.0.0.0", 1}});
    core.run_and_commit();
    EXPECT_EQ(core.orders(A).stops, Runs());
}

// Guards against a new leader that starts work before it knows of an
// evacuation.
TEST_F(SchedEvacuation, PlacesNothingBeforeTheEvacuationsAreKnown)
{
    evacuation_t *unknown = evacuation_new();

    report(A);
    submit({});
    core.evacuation = unknown;
    core.restart();
    sched_submit(core.sched, make_spec("k", {{}}));
    report(A);
    core.run_and_commit();
    EXPECT_EQ(core.orders(A).starts, Runs());
    EXPECT_EQ(sched_job_find_task(sched_find(core.sched, "k"), 0, 0, 0)->run,
              0U);
    evacuation_begin(unknown, "b", 1, true);
    g_ptr_array_unref(evacuation_finish_listing(unknown));
    sched_note_evacuation(core.sched);
    core.run_and_commit();
    EXPECT_EQ(core.orders(A).starts, Runs({{"j.0.0.0", 1}, {"k.0.0.0", 1}}));
    core.evacuation = nullptr;
    core.restart();
    evacuation_free(unknown);
}

// Guards against work that is lost if all data centres are evacuated.
TEST_F(SchedEvacuation, WaitsWhileAllDataCentresAreEvacuated)
{
    evacuate("a");
    evacuate("b");
    report(A);
    report(B);
    submit({.count = 2, .gang = true});
    EXPECT_EQ(core.orders(A).starts, Runs());
    EXPECT_EQ(core.orders(B).starts, Runs());
    withdraw("b");
    core.run_and_commit();
    EXPECT_EQ(core.orders(B).starts.size(), 2U);
}

// Guards against the members of a gang that wait for one in an evacuated data
// centre until they time out.
TEST_F(SchedEvacuation, TakesTheOtherMembersOfAGang)
{
    cpu = 1000;
    report(A);
    report(B);
    submit({.count = 2, .cpu = 1000, .gang = true, .max_per_executor = 1});
    ASSERT_EQ(core.orders(B).starts.size(), 1U);
    evacuate("a");
    core.run_and_commit();
    EXPECT_EQ(core.orders(A).starts, Runs());
    EXPECT_EQ(core.orders(B).stops.size(), 1U);
    EXPECT_EQ(sched_count_evacuated(core.sched).released, 1U);
    EXPECT_EQ(sched_count_evacuated(core.sched).stopped, 1U);
}

// Guards against a throttled run that gives up its place for one in an
// evacuated data centre.
TEST_F(SchedEvacuation, MigratesNothingIntoAnEvacuatedDataCentre)
{
    for (bool evacuated : {true, false}) {
        begin_in_a({.best_effort = true, .checkpointing = true});
        report(A, {{"j.0.0.0", 1}}, 80, {}, false);
        if (evacuated) {
            evacuate("b");
        }
        for (int i = 0; i < 2; i++) {
            fake_clock_advance_ms(&core.clock, THROTTLED_MS);
            report(A, {{"j.0.0.0", 1}}, 80, {}, false);
            core.run_and_commit();
        }
        EXPECT_EQ(core.orders(A).stops.empty(), evacuated);
        withdraw("b");
        core.stored.clear();
        core.restart();
    }
}

// Guards against a stalled run that is stopped although its task can run
// nowhere else, and against one that is kept although it can.
TEST_F(SchedEvacuation, StopsAStalledRunForAPlaceElsewhere)
{
    cpu = 0;
    begin_in_a({});
    evacuate("a");
    fake_clock_advance_ms(&core.clock, STALLED_MS);
    core.run_and_commit();
    EXPECT_EQ(core.orders(A).stops, Runs());
    cpu = 4000;
    report(B);
    core.run_and_commit();
    EXPECT_EQ(core.orders(A).stops, Runs({{"j.0.0.0", 1}}));
}

// Guards against a misspelt name that nobody notices.
TEST_F(SchedEvacuation, LogsANameOnceThatNoExecutorHas)
{
    report(A);
    evacuate("x");
    evacuate("a");
    for (int i = 0; i < 4; i++) {
        fake_clock_advance_ms(&core.clock, 3000);
        report(A);
        core.run_and_commit();
    }
    EXPECT_EQ(lines_of("evacuation-unmatched"),
              std::vector<std::string>(
                  {"evacuation-unmatched data_centre=x offset=1"}));
}

} // namespace
