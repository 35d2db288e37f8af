/* Placement of tasks whose data is on one rack. */

#include <gtest/gtest.h>

#include "sched_fixture.h"

namespace {

const std::string NEAR = "10.0.0.1:80/a/100";
const std::string FAR = "10.0.0.2:80/b/100";

void
connect(Core &core, const std::string &key, uint32_t cpu = 4000)
{
    Report report(key, cpu);

    core.report(key == NEAR ? report.label("r1") : report.label("r2"), key);
}

void
report_run(Core &core, const std::string &key, const TaskRun &run)
{
    Report report(key, 1000);

    report.message.listed = false;
    core.report(report.runs(run), key);
}

void
report_end(Core &core, const std::string &key, const TaskRun &run,
           uint64_t number)
{
    Report report(key, 1000);

    report.message.listed = false;
    core.report(report.ends(number, run, SCHED_END_DONE), key);
}

std::string
get_executor_of_last(Core &core)
{
    /* Three tasks fill three quarters of the rack of the data. */
    connect(core, NEAR);
    sched_submit(core.sched, make_spec("first", {{.count = 3}}));
    core.run_and_commit();
    connect(core, FAR);
    sched_submit(core.sched, make_spec("last", {{.data_rack = "r1"}}));
    core.run_and_commit();
    return core.orders(FAR).starts.empty() ? NEAR : FAR;
}

// Guards against a cost of remote data that is the same whether a remote run
// takes half as long again or three times as long.
TEST(DataRack, IsPreferredTheMoreTheLongerRemoteRunsTake)
{
    Core moderate(262144, 1.5);
    Core high(262144, 3.0);

    EXPECT_EQ(get_executor_of_last(moderate), FAR);
    EXPECT_EQ(get_executor_of_last(high), NEAR);
}

// Guards against executors that count as slow because their runs were far from
// their data, so that other tasks avoid them.
TEST(DataRack, MakesNoExecutorSlow)
{
    Core core(262144, 3.0);

    connect(core, NEAR, 1000);
    connect(core, FAR, 1000);
    for (uint64_t i = 1; i <= 5; i++) {
        std::string id = "job" + std::to_string(i);
        TaskRun near(id + ".0.0.0", 1);
        TaskRun far(id + ".0.0.1", 1);

        sched_submit(core.sched,
                     make_spec(id, {{.count = 2, .data_rack = "r1"}}));
        core.run_and_commit();
        core.orders(NEAR);
        core.orders(FAR);
        report_run(core, NEAR, near);
        report_run(core, FAR, far);
        fake_clock_advance_ms(&core.clock, 1000);
        report_end(core, NEAR, near, i);
        fake_clock_advance_ms(&core.clock, 2000);
        report_end(core, FAR, far, i);
        core.run_and_commit();
        ASSERT_EQ(core.visible_state(id), SCHED_JOB_COMPLETED);
    }
    LIST_FOREACH (executor, sched_get_executors(core.sched), sched_executor_t,
                  link) {
        EXPECT_NEAR(executor->run_time_ratio, 1.0, 0.01) << executor->key;
    }
}

} // namespace
