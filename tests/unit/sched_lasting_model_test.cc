/*
 * Runs the decisions of a leader on tasks that last, against executors that
 * crash, are lost, drain, change their capacity, and fail runs, with more
 * tasks than fit. After each turn the counters have to equal what the tasks
 * say. When the faults have ended, no task may wait while an executor has room
 * for it. TEASEL_MODEL gives the first seed and the number of seeds, as in
 * "100:50".
 */

#include <gtest/gtest.h>

#include "sched_world.h"
#include "seed_range.h"

namespace {

constexpr int64_t DRAIN_MS = 3000;
constexpr int JOBS = 14; /* more than fit */
constexpr int FAULT_TURNS = 300;
/* About 30 s, in which leases, probations, trials and delayed restarts may
   follow each other. */
constexpr int SETTLE_TURNS = 420;
constexpr int SETTLED_TURNS = 10; /* in a row without a fault */

struct LastingWorld : SchedWorld {
    std::string deadly_task;
    int deadly_starts = 0;

    using SchedWorld::SchedWorld;

    /* Faults. */

    void
    fail_run(Executor &executor)
    {
        if (executor.failures == 0 || executor.running.empty()) {
            return;
        }
        executor.failures--;
        auto it = executor.running.begin();

        std::advance(it, draw((unsigned)executor.running.size()));
        end(executor, std::string(it->first), SCHED_END_FAILED);
    }
    void
    cancel()
    {
        std::string id = random_job();
        sched_job_t *job = sched_find(core.sched, id.c_str());

        if (job != nullptr && !sched_job_is_final(job)) {
            sched_cancel(core.sched, job);
            cancelled.insert(id);
        }
    }
    void
    harm()
    {
        Executor &executor = random_executor();

        if (executor.lost) {
            executor.lost = false;
            return;
        }
        switch (draw(12)) {
        case 0:
        case 1:
            executor.cpu = 1000 * (1 + draw(4));
            break;
        case 2:
            executor.drains_until_ms =
                executor.drains_until_ms != 0 ? 0 : now() + DRAIN_MS;
            break;
        case 3:
            draw_crash(executor, 3);
            break;
        case 4:
            crash(executor, false, false);
            executor.lost = draw(2) == 0;
            break;
        case 5:
            disconnect(executor);
            executor.silent_until_ms = now() + draw(5000);
            break;
        case 6:
            deadly_task = name_task(random_job(), 0);
            deadly_starts = 1 + (int)draw(6);
            break;
        case 7:
            if (draw(2) == 0) {
                cancel();
            }
            break;
        case 8:
            if (draw(2) == 0) {
                replace_leader();
            }
            break;
        default:
            executor.failures = 1 + (int)draw(5);
            break;
        }
    }
    /* The last faults: an executor is lost while its agent restarts, others
       change their capacity, and some remain draining. */
    void
    end_faults()
    {
        Executor &lost = random_executor();

        if (draw(2) == 0) {
            crash(lost, false, false);
            lost.lost = true;
        }
        for (auto &executor : executors) {
            executor.cpu = draw(2) == 0 ? FULL_CPU : executor.cpu;
            if (draw(4) > 0) {
                executor.drains_until_ms = 0;
            }
            executor.failures = 0;
        }
        deadly_task.clear();
        fault_free = true;
    }
    void
    submit()
    {
        static const std::vector<Step> kinds = {
            {.count = 2, .cpu = 500, .best_effort = true},
            {.count = 2},
            {.count = 2,
             .cpu = 1500,
             .long_running = true,
             .target_ms = 50,
             .max_per_executor = 1},
            {.count = 3, .long_running = true, .max_per_executor = 2},
            {.cpu = 2500, .long_running = true},
            {.count = 2,
             .cpu = 500,
             .long_running = true,
             .best_effort = true},
            {.count = 3, .long_running = true},
        };
        std::string id = "j" + std::to_string(steps.size());

        steps[id] = kinds[draw((unsigned)kinds.size())];
        sched_submit(core.sched, make_spec(id, {steps[id]}, 100, draw(3)));
        /* Its acceptance is answered once it is stored, perhaps by the write
           after the pending one. */
        core.end_write();
        core.run_and_commit();
    }

    /* The passing of time. */

    void
    end_runs(Executor &executor)
    {
        std::vector<std::string> names;

        for (auto &[task, run] : executor.running) {
            names.push_back(task);
        }
        for (auto &task : names) {
            if (now() > executor.deadline_ms) {
                end(executor, task, SCHED_END_LAPSED);
            }
            else if (!steps[get_job(task)].long_running && draw(10) == 0) {
                end(executor, task, SCHED_END_DONE);
            }
        }
        fail_run(executor);
        if (deadly_starts > 0 && executor.running.count(deadly_task) != 0) {
            deadly_starts--;
            crash(executor, draw(4) > 0, false);
        }
    }
    void
    step()
    {
        fake_clock_advance_ms(&core.clock, 20 + draw(100));
        for (auto &executor : executors) {
            end_runs(executor);
        }
        if (steps.size() < JOBS && draw(5) == 0) {
            submit();
        }
        if (chance(15) && !steps.empty()) {
            harm();
        }
        for (auto &executor : executors) {
            if (!chance(20)) {
                hear_agent(executor);
            }
        }
        sched_run(core.sched);
        if (!core.writing) {
            core.begin_write();
        }
        if (!chance(20)) {
            core.end_write();
        }
        for (auto &executor : executors) {
            deliver(executor);
        }
        recount();
    }

    /* What has to hold at the end. */

    /* A job without any run gets room for a best-effort task anywhere. Beside
       serving tasks no other one has to be placed. */
    bool
    has_room(const Executor &executor, const std::string &id, bool idle)
    {
        const Step &step = steps[id];
        uint32_t cpu = step.cpu;
        uint32_t siblings = 0;
        bool serving = false;

        for (auto &[task, run] : executor.running) {
            const Step &other = steps[get_job(task)];

            siblings += get_job(task) == id;
            serving |= other.target_ms > 0;
            cpu += step.best_effort || !other.best_effort ? other.cpu : 0;
        }
        if (executor.lost || executor.drains_until_ms != 0 ||
            (step.max_per_executor > 0 && siblings >= step.max_per_executor)) {
            return false;
        }
        if (step.best_effort && idle) {
            return true;
        }
        return !(step.best_effort && serving) && cpu <= executor.cpu;
    }
    bool
    has_room_anywhere(const std::string &id)
    {
        bool idle = true;

        for (uint32_t i = 0; i < steps[id].count; i++) {
            idle &= count_runs(name_task(id, i)) == 0;
        }
        for (auto &executor : executors) {
            if (has_room(executor, id, idle)) {
                return true;
            }
        }
        return false;
    }
    bool
    should_run(const std::string &id, const std::string &task)
    {
        return (steps[id].long_running || done.count(task) == 0) &&
               count_runs(task) == 0 && has_room_anywhere(id);
    }
    bool
    has_crashed_often(const std::string &id)
    {
        for (uint32_t i = 0; i < steps[id].count; i++) {
            if (crashes[name_task(id, i)] >= 2) {
                return true;
            }
        }
        return false;
    }
    bool
    is_allowed(const std::string &id, sched_job_state_t state)
    {
        switch (state) {
        case SCHED_JOB_COMPLETED:
            return !steps[id].long_running;
        case SCHED_JOB_FAILED:
            return !steps[id].long_running && has_crashed_often(id);
        case SCHED_JOB_CANCELLED:
            return cancelled.count(id) != 0;
        default:
            return true;
        }
    }
    /* The leader's own judgement, also of best-effort tasks beside serving
       ones. */
    bool
    could_be_placed(const std::string &id, uint32_t index)
    {
        const sched_job_t *job = sched_find(core.sched, id.c_str());
        const sched_task_t *task = sched_job_find_task(job, 0, 0, index);
        sched_placement_t placement = {};

        placement.executors = sched_get_executors(core.sched);
        placement.interference = core.sched->interference;
        placement.now_ms = now();
        return task != nullptr && task->phase == SCHED_TASK_WAITING &&
               now() >= task->not_before_ms &&
               sched_placement_choose(&placement, task) != nullptr;
    }
    std::string
    find_job_fault(const std::string &id)
    {
        sched_job_t *job = sched_find(core.sched, id.c_str());

        if (!is_allowed(id, job->state)) {
            return id + " is " + sched_job_state_to_string(job->state);
        }
        for (uint32_t i = 0; i < steps[id].count; i++) {
            std::string task = name_task(id, i);

            if (sched_job_is_final(job) && count_runs(task) > 0) {
                return task + " runs after the end of its job";
            }
            if (!sched_job_is_final(job) && should_run(id, task)) {
                return task + " does not run, with room for it";
            }
            if (!sched_job_is_final(job) && could_be_placed(id, i)) {
                return task + " waits, although it can be placed";
            }
        }
        return "";
    }
    std::string
    find_fault()
    {
        for (auto &[id, entry] : steps) {
            std::string fault = find_job_fault(id);

            if (!fault.empty()) {
                return fault;
            }
        }
        return "";
    }
};

class SchedLastingModel : public testing::TestWithParam<unsigned> {};

// Guards against lasting tasks that wait although an executor has room for
// them, and against counters that drift from the tasks.
TEST_P(SchedLastingModel, PlacesWhatFits)
{
    LastingWorld world(GetParam());
    std::string fault;
    int settled = 0;

    for (int i = 0; i < FAULT_TURNS; i++) {
        world.step();
        ASSERT_TRUE(world.violations.empty())
            << "turn " << i << ": " << world.violations[0];
    }
    world.end_faults();
    for (int i = 0; i < SETTLE_TURNS && settled < SETTLED_TURNS; i++) {
        world.step();
        ASSERT_TRUE(world.violations.empty())
            << "fault-free turn " << i << ": " << world.violations[0];
        fault = world.find_fault();
        settled = fault.empty() ? settled + 1 : 0;
    }
    EXPECT_EQ(settled, SETTLED_TURNS) << "at the end: " << fault;
    EXPECT_EQ(world.steps.size(), (size_t)JOBS);
}

INSTANTIATE_TEST_SUITE_P(Seeds, SchedLastingModel,
                         testing::ValuesIn(get_seeds("TEASEL_MODEL", 1, 60)));

} // namespace
