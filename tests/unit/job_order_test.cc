/* Order of waiting jobs under a load with more work than fits. */

#include <gtest/gtest.h>

#include <array>
#include <deque>
#include <random>

#include "sched_fixture.h"

extern "C" {
#include "sched/job_order.h"
#include "sched/size_share.h"
}

namespace {

const std::string A = "10.0.0.1:80/a/100";

Teasel__JobSpec *
make_timed_spec(const std::string &id, uint32_t count, uint32_t estimated_ms,
                uint32_t allowance_ms)
{
    Teasel__JobSpec *spec = make_spec(id, {{.count = count}});

    spec->steps[0]->estimated_ms = estimated_ms;
    spec->allowance_ms = allowance_ms;
    spec->slack_percent = 100;
    return spec;
}

void
connect(Core &core, uint32_t cpu)
{
    Report report(A, cpu);

    core.report(report);
}

std::vector<std::string>
started_jobs(Core &core)
{
    std::vector<std::string> jobs;

    for (const TaskRun &run : core.orders(A).starts) {
        jobs.push_back(run.first.substr(0, run.first.find('.')));
    }
    return jobs;
}

// Guards against a job that can no longer be done in time, though its deadline
// has not passed, that takes the resources of one that still can: then both
// are late.
TEST(JobOrder, PutsJobsThatWillBeLateBehindThoseInTime)
{
    Core core;

    sched_submit(core.sched, make_timed_spec("doomed", 1, 2000, 1000));
    fake_clock_advance_ms(&core.clock, 1500);
    sched_submit(core.sched, make_timed_spec("in-time", 2, 2000, 1000));
    connect(core, 1000);
    core.run_and_commit();
    EXPECT_EQ(started_jobs(core), (std::vector<std::string>{"in-time"}));
}

// Guards against a job whose result is of no use any more that delays one that
// is only late.
TEST(JobOrder, PutsUselessJobsLast)
{
    Core core;

    sched_submit(core.sched, make_timed_spec("useless", 1, 1000, 100));
    fake_clock_advance_ms(&core.clock, 3000);
    sched_submit(core.sched, make_timed_spec("late", 2, 1000, 100));
    fake_clock_advance_ms(&core.clock, 500);
    connect(core, 1000);
    core.run_and_commit();
    EXPECT_EQ(started_jobs(core), (std::vector<std::string>{"late"}));
}

// Guards against a new leader that takes all stored jobs for new ones, so that
// jobs that were late before go first again.
TEST(JobOrder, RemembersTheAgeOfJobsAfterATakeover)
{
    Core core;

    sched_submit(core.sched, make_timed_spec("old", 1, 1000, 1000));
    core.run_and_commit();
    fake_clock_advance_ms(&core.clock, 3000);
    sched_submit(core.sched, make_timed_spec("new", 2, 1000, 1000));
    core.run_and_commit();
    core.restart();
    connect(core, 1000);
    core.run_and_commit();
    EXPECT_EQ(started_jobs(core), (std::vector<std::string>{"new"}));
}

/* Steady overload: jobs of three sizes arrive at a rate above the capacity. */
struct Overload {
    enum {
        JOBS = 600,
        ARRIVAL_MS = 250,
        TASK_MS = 1000,
        ALLOWANCE_MS = 6000,
        ALLOWED_MS = ALLOWANCE_MS + TASK_MS,
    };

    Core core;
    std::mt19937 random;
    std::map<std::string, size_t> sizes; /* job -> size class */
    std::deque<std::pair<int64_t, TaskRun>> running;
    unsigned next_job = 0;
    uint64_t ends = 0;
    int64_t now_ms = 0;
    std::array<int, 3> submitted = {};
    std::array<int, 3> served = {};

    explicit Overload(unsigned seed) : random(seed)
    {
        connect(core, 8000);
    }
    void
    submit()
    {
        std::string id = "job" + std::to_string(next_job++);
        unsigned draw = random() % 100;
        size_t size = draw < 10 ? 2 : draw < 30 ? 1 : 0;
        uint32_t count = size == 2   ? 24 + random() % 8
                         : size == 1 ? 10 + random() % 6
                                     : 2 + random() % 4;

        sizes[id] = size;
        submitted[size]++;
        sched_submit(core.sched,
                     make_timed_spec(id, count, TASK_MS, ALLOWANCE_MS));
    }
    void
    end_tasks()
    {
        Report report(A, 8000);

        report.message.listed = false;
        while (!running.empty() && running.front().first <= now_ms) {
            report.ends(++ends, running.front().second, SCHED_END_DONE);
            running.pop_front();
        }
        core.report(report);
    }
    void
    count_done(const std::string &id)
    {
        sched_job_t *job = sched_find(core.sched, id.c_str());
        int64_t age_ms =
            (int64_t)timespec_to_ms(core.clock.now) - job->known_since_ms;

        if (job->state == SCHED_JOB_COMPLETED && age_ms <= 3 * ALLOWED_MS) {
            served[sizes[id]]++;
            sizes.erase(id);
        }
    }
    void
    run()
    {
        for (int i = 0; i < JOBS; i++) {
            submit();
            for (int j = 0; j < ARRIVAL_MS / 50; j++) {
                now_ms += 50;
                fake_clock_advance_ms(&core.clock, 50);
                end_tasks();
                core.run_and_commit();
                for (const TaskRun &start : core.orders(A).starts) {
                    running.emplace_back(now_ms + TASK_MS, start);
                }
            }
            std::vector<std::string> ids;
            for (const auto &[id, size] : sizes) {
                ids.push_back(id);
            }
            for (const std::string &id : ids) {
                count_done(id);
            }
        }
    }
};

class SteadyOverload : public testing::TestWithParam<unsigned> {};

// Guards against large jobs that are never started, because smaller ones keep
// arriving. Found on a deployment under a long overload: of the largest tenth
// of a queue 0.03 were served, of the whole queue 0.22.
TEST_P(SteadyOverload, ServesEachSizeHalfAsOftenAsItsQueue)
{
    Overload load(GetParam());

    load.run();
    double all = 0;
    double done = 0;
    for (size_t i = 0; i < 3; i++) {
        all += load.submitted[i];
        done += load.served[i];
    }
    EXPECT_LT(done / all, 0.95) << "no overload";
    for (size_t i = 0; i < 3; i++) {
        EXPECT_GE(load.served[i] / (double)load.submitted[i], done / all / 2)
            << "size class " << i << ": " << load.served[i] << " of "
            << load.submitted[i];
    }
}

INSTANTIATE_TEST_SUITE_P(Seeds, SteadyOverload, testing::Range(0U, 10U));

} // namespace
