/*
 * Runs the decisions of a leader on tasks that last, against executors that
 * crash, are lost, drain, change their capacity, and fail runs, with more
 * tasks than fit. After each turn the counters have to equal what the tasks
 * say. When the faults have ended, no task may wait while an executor has room
 * for it. TEASEL_MODEL gives the first seed and the number of seeds, as in
 * "100:50".
 */

#include <gtest/gtest.h>

#include <random>

#include "sched_fixture.h"

extern "C" {
#include "sched/placement.h"
#include "sched/sched_internal.h"
}

namespace {

constexpr int64_t LEASE_MS = 3000;
constexpr int64_t LEASE_EXPIRY_MS = 3300; /* lease and drift */
constexpr int64_t SETTLED_MS = 1000;
constexpr int64_t DRAIN_MS = 3000;
constexpr uint32_t FULL_CPU = 4000;
constexpr size_t EXECUTORS = 4;
constexpr int JOBS = 14; /* more than fit */
constexpr int FAULT_TURNS = 300;
/* About 30 s, in which leases, probations, trials and delayed restarts may
   follow each other. */
constexpr int SETTLE_TURNS = 420;
constexpr int SETTLED_TURNS = 10; /* in a row without a fault */

struct Run {
    uint32_t run;
    int64_t begun_ms;
    bool alone;
};

struct End {
    uint64_t number;
    TaskRun run;
    sched_end_t how;
};

struct Executor {
    std::string address;
    std::string id = "id";
    int64_t started = 100;
    std::string predecessor;
    uint32_t cpu = FULL_CPU;
    bool lost = false;      /* runs nothing, and its agent does not know it */
    bool connected = false; /* its agent, to the leader */
    int failures = 0;       /* next runs to fail, one in each turn */
    int64_t silent_until_ms = 0; /* its agent is down */
    int64_t drains_until_ms = 0; /* or 0 */
    int64_t deadline_ms = 0;
    std::map<std::string, Run> running;
    std::map<std::string, Run> pending; /* starts that wait for a trial */
    std::map<std::string, uint32_t> finished; /* highest run that ended */
    std::vector<End> ends;
    uint64_t next_end = 1;
    std::vector<TaskRun> rejected;
    bool listed = false;

    std::string
    key() const
    {
        return address + "/" + id + "/" + std::to_string(started);
    }
};

struct LastingWorld {
    Core core;
    std::mt19937 random;
    std::vector<Executor> executors;
    std::map<std::string, Step> steps;  /* by job */
    std::map<std::string, int> crashes; /* by task */
    std::set<std::string> cancelled;
    std::set<std::string> done;
    std::vector<std::string> violations;
    std::string deadly_task;
    int deadly_starts = 0;
    bool fault_free = false;

    explicit LastingWorld(unsigned seed) : random(seed)
    {
        for (size_t i = 0; i < EXECUTORS; i++) {
            Executor executor;

            executor.address = "10.0.0." + std::to_string(i) + ":80";
            executors.push_back(executor);
        }
    }
    int64_t
    now() const
    {
        return (int64_t)timespec_to_ms(core.clock.now);
    }
    unsigned
    draw(unsigned below)
    {
        return random() % below;
    }
    bool
    chance(unsigned percent)
    {
        return !fault_free && draw(100) < percent;
    }
    Executor &
    random_executor()
    {
        return executors[draw(EXECUTORS)];
    }
    static std::string
    get_job(const std::string &task)
    {
        return task.substr(0, task.find('.'));
    }
    static std::string
    name_task(const std::string &id, uint32_t index)
    {
        return id + ".0.0." + std::to_string(index);
    }
    std::string
    random_job()
    {
        return "j" + std::to_string(draw((unsigned)steps.size()));
    }

    /* Executors and agents. */

    bool
    has_settled(const Run &run) const
    {
        return now() - run.begun_ms > SETTLED_MS;
    }
    void
    check_start(const std::string &task)
    {
        for (auto &other : executors) {
            if (other.running.count(task) != 0) {
                violations.push_back("running twice: " + task);
            }
        }
    }
    /* A run that starts alone waits until no other one is starting, and keeps
       others waiting. */
    bool
    may_begin(const Executor &executor, const Run &run) const
    {
        for (auto &[task, other] : executor.running) {
            if (!has_settled(other) && (run.alone || other.alone)) {
                return false;
            }
        }
        return true;
    }
    void
    begin_pending(Executor &executor)
    {
        for (auto it = executor.pending.begin();
             it != executor.pending.end();) {
            if (!may_begin(executor, it->second)) {
                ++it;
                continue;
            }
            check_start(it->first);
            it->second.begun_ms = now();
            executor.running[it->first] = it->second;
            it = executor.pending.erase(it);
        }
    }
    void
    end(Executor &executor, const std::string &task, sched_end_t how)
    {
        uint32_t run = executor.running[task].run;

        executor.running.erase(task);
        executor.finished[task] = run;
        executor.ends.push_back({executor.next_end++, {task, run}, how});
        if (how == SCHED_END_DONE) {
            done.insert(task);
        }
    }
    void
    stop(Executor &executor, const TaskRun &order)
    {
        auto found = executor.running.find(order.first);

        if (found != executor.running.end() &&
            found->second.run == order.second) {
            end(executor, order.first, SCHED_END_STOPPED);
            return;
        }
        executor.pending.erase(order.first);
        executor.finished[order.first] =
            std::max(executor.finished[order.first], order.second);
        executor.rejected.push_back(order);
    }
    void
    start(Executor &executor, const TaskRun &order, bool alone)
    {
        auto found = executor.running.find(order.first);

        if ((found != executor.running.end() &&
             found->second.run == order.second) ||
            executor.pending.count(order.first) != 0) {
            return;
        }
        if (found != executor.running.end() || executor.deadline_ms <= now() ||
            executor.finished[order.first] >= order.second) {
            executor.rejected.push_back(order);
            return;
        }
        executor.pending[order.first] = {order.second, now(), alone};
    }
    void
    deliver(Executor &executor)
    {
        Core::Orders orders;

        if (!executor.connected || executor.lost) {
            return;
        }
        orders = core.orders(executor.key());
        if (chance(5)) {
            /* The messages are lost with the connection. */
            disconnect(executor);
            return;
        }
        while (!executor.ends.empty() &&
               executor.ends.front().number <= orders.cursor) {
            executor.ends.erase(executor.ends.begin());
        }
        for (auto &order : orders.stops) {
            stop(executor, order);
        }
        for (auto &order : orders.starts) {
            start(executor, order, orders.alone.count(order) != 0);
        }
        begin_pending(executor);
    }
    void
    add_runs(const Executor &executor, Report &message)
    {
        for (auto &[task, run] : executor.running) {
            message.runs({task, run.run});
            message.running.back().settled = has_settled(run);
        }
        for (auto &[task, run] : executor.pending) {
            message.runs({task, run.run});
            message.running.back().pending = true;
        }
    }
    void
    report(Executor &executor)
    {
        Report message(executor.key(), executor.cpu);

        message.message.listed = !executor.connected || !executor.listed;
        message.message.predecessor = message.text(executor.predecessor);
        message.message.draining = executor.drains_until_ms != 0;
        message.message.remaining_ms =
            (uint32_t)std::max<int64_t>(0, executor.drains_until_ms - now());
        message.message.has_figures = true;
        add_runs(executor, message);
        for (auto &entry : executor.ends) {
            message.ends(entry.number, entry.run, entry.how);
        }
        for (auto &run : executor.rejected) {
            message.rejects(run);
        }
        executor.rejected.clear();
        core.report(message, executor.address);
        executor.listed = true;
        executor.deadline_ms =
            std::max(executor.deadline_ms, now() + LEASE_MS);
    }
    /* The agent of a lost executor goes on renewing its lease. */
    void
    hear_agent(Executor &executor)
    {
        if (now() < executor.silent_until_ms && !fault_free) {
            return;
        }
        if (!executor.lost) {
            report(executor);
        }
        executor.connected = true;
        sched_extend_leases(core.sched, executor.address.c_str(),
                            now() + LEASE_EXPIRY_MS);
    }
    void
    disconnect(Executor &executor)
    {
        executor.connected = false;
        executor.listed = false;
        sched_disconnect(core.sched, executor.address.c_str());
    }

    /* Faults. */

    void
    report_crashes(const Executor &executor)
    {
        std::vector<std::pair<std::string, Run>> starting;

        for (auto &[task, run] : executor.running) {
            if (!has_settled(run)) {
                starting.emplace_back(task, run);
            }
        }
        for (auto &[task, run] : starting) {
            Teasel__CrashedRun crashed = TEASEL__CRASHED_RUN__INIT;

            crashed.task = task.data();
            crashed.run = run.run;
            crashed.alone = starting.size() == 1;
            crashed.unconfirmed = draw(5) == 0;
            sched_apply_crash(core.sched, &crashed);
        }
    }
    void
    report_gone(const Executor &executor)
    {
        Report message(executor.key());

        message.message.gone = true;
        message.message.listed = false;
        core.report(message, executor.address);
    }
    /* The agent reports the crash and the end, or is replaced by one that
       knows of neither. */
    void
    crash(Executor &executor, bool noticed, bool same_id)
    {
        for (auto &[task, run] : executor.running) {
            crashes[task]++;
        }
        noticed = noticed && executor.connected;
        if (noticed) {
            report_crashes(executor);
            if (!same_id) {
                report_gone(executor);
            }
        }
        else {
            disconnect(executor);
        }
        executor.predecessor = noticed && same_id ? executor.key() : "";
        executor.started += 10;
        if (!same_id) {
            executor.id = "id" + std::to_string(executor.started);
        }
        executor.running.clear();
        executor.pending.clear();
        executor.finished.clear();
        executor.ends.clear();
        executor.rejected.clear();
        executor.next_end = 1;
        executor.deadline_ms = 0;
        executor.listed = false;
    }
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
            crash(executor, draw(2) == 0, draw(3) == 0);
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
    void
    replace_leader()
    {
        core.restart();
        for (auto &executor : executors) {
            executor.connected = false;
            executor.listed = false;
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

    /* What has to hold after each turn. */

    void
    expect(bool holds, const std::string &what)
    {
        if (!holds) {
            violations.push_back(what);
        }
    }
    void
    recount_executor(const sched_executor_t *executor)
    {
        uint32_t trials = 0;
        uint32_t stopping = 0;
        uint32_t serving = 0;
        uint64_t cpu = 0;
        uint64_t best_effort_cpu = 0;
        uint64_t serving_cpu = 0;
        uint64_t memory_mb = 0;

        LIST_FOREACH (task, &executor->tasks, sched_task_t, executor_link) {
            const Teasel__StepSpec *spec = task->step->spec;

            trials += task->on_trial;
            stopping += task->phase == SCHED_TASK_STOPPING;
            (spec->filler ? best_effort_cpu : cpu) += spec->cpu_milli;
            memory_mb += spec->memory_mb;
            serving += spec->latency_target_ms > 0;
            serving_cpu += spec->latency_target_ms > 0 ? spec->cpu_milli : 0;
            expect(task->executor == executor, "task of another executor");
        }
        expect(executor->trials == trials, "trials");
        expect(executor->stopping == stopping, "stopping");
        expect(executor->serving == serving, "serving");
        expect(executor->serving_cpu == serving_cpu, "serving_cpu");
        expect(executor->best_effort_cpu == best_effort_cpu,
               "best_effort_cpu");
        expect(executor->reserved.cpu_milli == cpu, "reserved cpu");
        expect(executor->reserved.memory_mb == memory_mb, "reserved memory");
    }
    static bool
    is_placed(const sched_task_t *task)
    {
        return task->phase == SCHED_TASK_PLACED ||
               task->phase == SCHED_TASK_RUNNING ||
               task->phase == SCHED_TASK_STOPPING;
    }
    void
    recount_job(const sched_job_t *job)
    {
        uint32_t running = 0;

        LIST_FOREACH (occurrence, &job->occurrences, sched_occurrence_t,
                      link) {
            const sched_step_t *step = &occurrence->steps[0];
            uint32_t waiting = 0;
            uint32_t finished = 0;

            for (uint32_t i = 0; i < step->spec->count; i++) {
                const sched_task_t *task = &step->tasks[i];

                waiting += task->phase == SCHED_TASK_WAITING;
                finished += task->phase == SCHED_TASK_DONE;
                running += task->phase == SCHED_TASK_RUNNING;
                expect(is_placed(task) == (task->executor != nullptr),
                       "phase and executor");
                expect(!task->on_trial || is_placed(task), "on_trial");
            }
            expect(step->done == finished, "done");
            expect(step->waiting == waiting || sched_job_is_final(job),
                   "waiting");
        }
        expect(job->running == running, "running");
    }
    void
    recount()
    {
        LIST_FOREACH (executor, sched_get_executors(core.sched),
                      sched_executor_t, link) {
            recount_executor(executor);
        }
        for (auto &[id, entry] : steps) {
            const sched_job_t *job = sched_find(core.sched, id.c_str());

            expect(job != nullptr, "accepted job " + id + " is lost");
            if (job != nullptr) {
                recount_job(job);
            }
        }
    }

    /* What has to hold at the end. */

    int
    count_runs(const std::string &task) const
    {
        int count = 0;

        for (auto &executor : executors) {
            count += executor.running.count(task) != 0;
        }
        return count;
    }
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
            return has_crashed_often(id);
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

std::vector<unsigned>
get_seeds()
{
    const char *text = getenv("TEASEL_MODEL");
    unsigned first = 1;
    unsigned count = 60;
    std::vector<unsigned> seeds;

    if (text != nullptr) {
        sscanf(text, "%u:%u", &first, &count);
    }
    for (unsigned i = 0; i < count; i++) {
        seeds.push_back(first + i);
    }
    return seeds;
}

INSTANTIATE_TEST_SUITE_P(Seeds, SchedLastingModel,
                         testing::ValuesIn(get_seeds()));

} // namespace
