/*
 * Runs random interleavings of a leader, the leaders that replace it, agents
 * and executors, with lost messages, late starts, crashes and expired leases.
 * The executors check the invariants at each start. At the end, without
 * faults, every job has to be completed, or cancelled without a run left.
 */

#include <gtest/gtest.h>

#include <random>
#include <set>

#include "sched_fixture.h"

namespace {

constexpr int64_t LEASE_MS = 3000;
constexpr int64_t LEASE_EXPIRY_MS = 3300; /* lease and drift */
constexpr uint32_t CAPACITY = 3000;
/* Steps of about 3 s in total, within which a cancelled job has to be
   stopped. */
constexpr int FAULT_FREE_STEPS_TO_STOP = 40;

struct End {
    uint64_t number;
    TaskRun run;
    sched_end_t how;
};

struct Executor {
    std::string address;
    int incarnation = 0;
    int known_incarnation = 0; /* by its agent */
    bool up = true;
    bool connected = false;
    int64_t deadline_ms = 0;
    std::map<std::string, uint32_t> running; /* task -> run */
    std::set<std::string> stopping;
    std::map<std::string, uint32_t> finished; /* highest run that ended */
    std::vector<End> ends;
    uint64_t next_end = 1;
    std::vector<TaskRun> rejected;
    bool listed = false;

    std::string
    key() const
    {
        return address + "/id/" + std::to_string(known_incarnation);
    }
};

struct LateStart {
    size_t executor;
    int incarnation;
    TaskRun run;
    int64_t deadline_ms;
    int64_t at_ms;
};

struct World {
    Core core;
    std::mt19937 random;
    std::vector<Executor> executors;
    std::vector<LateStart> late;
    std::set<std::string> done; /* tasks with a run that ended as done */
    std::set<std::string> acknowledged; /* of these, whose end is acknowledged
                                           by the leader */
    std::set<std::string> accepted;  /* jobs whose acceptance was answered */
    std::set<std::string> cancelled; /* jobs whose cancellation is stored */
    std::vector<std::string> violations;
    int jobs = 0;
    bool fault_free = false;

    explicit World(unsigned seed) : random(seed)
    {
        for (int i = 0; i < 3; i++) {
            Executor executor;

            executor.address = "10.0.0." + std::to_string(i) + ":80";
            executor.incarnation = 100;
            executor.known_incarnation = 100;
            executors.push_back(executor);
        }
    }

    int64_t
    now() const
    {
        return (int64_t)timespec_to_ms(core.clock.now);
    }
    bool
    chance(int percent)
    {
        return !fault_free && (int)(random() % 100) < percent;
    }
    Executor &
    random_executor()
    {
        return executors[random() % executors.size()];
    }

    static uint32_t
    cpu_of(const std::string &task)
    {
        return task.find(".0.1.") != std::string::npos ? 1500 : 1000;
    }

    void
    check_start(Executor &executor, const TaskRun &run)
    {
        uint32_t used = cpu_of(run.first);
        std::string job = run.first.substr(0, run.first.find('.'));

        for (auto &other : executors) {
            if (other.up && other.running.count(run.first) != 0) {
                violations.push_back("running twice: " + run.first);
            }
        }
        for (auto &[task, number] : executor.running) {
            used += cpu_of(task);
        }
        if (used > CAPACITY) {
            violations.push_back("over capacity: " + executor.key());
        }
        if (acknowledged.count(run.first) != 0) {
            violations.push_back("started after its end: " + run.first);
        }
        if (run.first.find(".0.1.") != std::string::npos) {
            for (int i = 0; i < 2; i++) {
                std::string before = job + ".0.0." + std::to_string(i);

                if (done.count(before) == 0) {
                    violations.push_back(
                        "started before the steps it depends on: " +
                        run.first);
                }
            }
        }
    }

    /* False if the executor rejects the start. */
    bool
    start(Executor &executor, const TaskRun &run, int64_t deadline_ms)
    {
        auto found = executor.running.find(run.first);
        auto past = executor.finished.find(run.first);

        if (found != executor.running.end()) {
            return found->second == run.second;
        }
        if (deadline_ms <= now() ||
            (past != executor.finished.end() && past->second >= run.second)) {
            return false;
        }
        check_start(executor, run);
        executor.running[run.first] = run.second;
        return true;
    }

    void
    end(Executor &executor, const std::string &task, sched_end_t how)
    {
        uint32_t run = executor.running[task];

        executor.running.erase(task);
        executor.stopping.erase(task);
        executor.finished[task] = run;
        executor.ends.push_back({executor.next_end++, {task, run}, how});
        if (how == SCHED_END_DONE) {
            done.insert(task);
        }
    }

    /* A call names the incarnation by an id that a restarted executor keeps,
       so the later incarnation carries it out. */
    void
    misdirect(Executor &executor, const Core::Orders &orders)
    {
        for (auto &run : orders.starts) {
            executor.deadline_ms = now() + LEASE_MS;
            start(executor, run, executor.deadline_ms);
        }
    }

    void
    deliver(size_t index)
    {
        Executor &executor = executors[index];
        Core::Orders orders;

        if (!executor.connected) {
            return;
        }
        orders = core.orders(executor.key());
        if (executor.known_incarnation != executor.incarnation) {
            misdirect(executor, orders);
            return;
        }
        if (chance(8)) {
            /* The messages are lost with the connection. */
            disconnect(executor);
            return;
        }
        for (auto &end : executor.ends) {
            if (end.number <= orders.cursor && end.how == SCHED_END_DONE) {
                acknowledged.insert(end.run.first);
            }
        }
        while (!executor.ends.empty() &&
               executor.ends.front().number <= orders.cursor) {
            executor.ends.erase(executor.ends.begin());
        }
        for (auto &stop : orders.stops) {
            auto found = executor.running.find(stop.first);

            if (found != executor.running.end() &&
                found->second == stop.second) {
                executor.stopping.insert(stop.first);
            }
            else if (found == executor.running.end()) {
                executor.finished[stop.first] =
                    std::max(executor.finished[stop.first], stop.second);
                executor.rejected.push_back(stop);
            }
        }
        for (auto &run : orders.starts) {
            if (chance(10)) {
                /* The agent repeats the start; the copy arrives late. */
                late.push_back({index, executor.incarnation, run,
                                executor.deadline_ms,
                                now() + (int64_t)(random() % 4000)});
            }
            if (!start(executor, run, executor.deadline_ms)) {
                executor.rejected.push_back(run);
            }
        }
    }

    void
    report(Executor &executor)
    {
        if (!executor.up) {
            return;
        }
        if (executor.known_incarnation != executor.incarnation) {
            executor.known_incarnation = executor.incarnation;
            executor.listed = false;
        }

        Report message(executor.key(), CAPACITY);

        message.message.listed = !executor.connected || !executor.listed;
        for (auto &[task, run] : executor.running) {
            message.runs({task, run});
        }
        for (auto &end : executor.ends) {
            message.ends(end.number, end.run, end.how, "saved");
        }
        for (auto &run : executor.rejected) {
            message.rejects(run);
        }
        executor.rejected.clear();
        core.report(message, executor.address);
        executor.connected = true;
        executor.listed = true;
        executor.deadline_ms =
            std::max(executor.deadline_ms, now() + LEASE_MS);
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

    void
    crash(Executor &executor)
    {
        bool noticed = chance(50);

        if (noticed) {
            disconnect(executor);
        }
        executor.running.clear();
        executor.stopping.clear();
        executor.finished.clear();
        executor.ends.clear();
        executor.rejected.clear();
        executor.next_end = 1;
        executor.incarnation++;
        executor.deadline_ms = 0;
        if (noticed) {
            executor.known_incarnation = executor.incarnation;
        }
    }

    void
    submit()
    {
        std::string id = "j" + std::to_string(jobs++);

        sched_submit(
            core.sched,
            make_spec(id,
                      {{.count = 2}, {.count = 2, .cpu = 1500, .after = {0}}},
                      100));
    }

    /* Cancels a job that has a run; in 30 % of the cases the leader is
       replaced while the record is written. */
    void
    cancel()
    {
        Executor &executor = random_executor();
        sched_job_t *job;

        if (executor.running.empty()) {
            return;
        }
        std::string task = executor.running.begin()->first;

        job = sched_find(core.sched, task.substr(0, task.find('.')).c_str());
        if (job == nullptr || core.writing) {
            return;
        }
        sched_cancel(core.sched, job);
        if (chance(30)) {
            core.begin_write();
            replace_leader();
        }
    }

    void
    record_cancelled()
    {
        for (int i = 0; i < jobs; i++) {
            std::string id = "j" + std::to_string(i);
            sched_job_t *job = sched_find(core.sched, id.c_str());

            if (job != nullptr &&
                sched_job_get_visible_state(job) == SCHED_JOB_CANCELLED) {
                cancelled.insert(id);
            }
        }
    }

    /* A task of a cancelled job does not end until it is stopped. */
    bool
    is_cancelled(const std::string &task) const
    {
        return cancelled.count(task.substr(0, task.find('.'))) != 0;
    }

    /* Returns the running tasks of jobs that are visibly cancelled. */
    std::vector<std::string>
    find_cancelled_runs()
    {
        std::vector<std::string> left;

        for (auto &executor : executors) {
            for (auto &[task, run] : executor.running) {
                if (is_cancelled(task)) {
                    left.push_back(task);
                }
            }
        }
        return left;
    }

    /* The pending write of the old leader may still reach the store. */
    void
    replace_leader()
    {
        if (core.writing && random() % 2 == 0) {
            core.store_pending_changes();
        }
        core.restart();
        for (auto &executor : executors) {
            executor.connected = false;
            executor.listed = false;
        }
    }

    void
    pass_time()
    {
        fake_clock_advance_ms(&core.clock, 20 + random() % 100);
        for (auto &executor : executors) {
            std::vector<std::string> names;

            for (auto &[task, run] : executor.running) {
                names.push_back(task);
            }
            for (auto &task : names) {
                if (now() > executor.deadline_ms) {
                    end(executor, task, SCHED_END_LAPSED);
                }
                else if (executor.stopping.count(task) != 0) {
                    end(executor, task, SCHED_END_STOPPED);
                }
                else if (random() % 8 == 0 && !is_cancelled(task)) {
                    end(executor, task,
                        chance(15) ? SCHED_END_FAILED : SCHED_END_DONE);
                }
            }
        }
        for (size_t i = 0; i < late.size();) {
            LateStart &order = late[i];
            Executor &executor = executors[order.executor];

            if (order.at_ms > now()) {
                i++;
                continue;
            }
            if (executor.incarnation == order.incarnation) {
                start(executor, order.run, order.deadline_ms);
            }
            late.erase(late.begin() + (long)i);
        }
    }

    void
    step()
    {
        pass_time();
        if (jobs < 40 && random() % 6 == 0) {
            submit();
        }
        if (chance(5)) {
            cancel();
        }
        for (size_t i = 0; i < executors.size(); i++) {
            if (!chance(30)) {
                report(executors[i]);
            }
        }
        sched_run(core.sched);
        if (!core.writing) {
            core.begin_write();
        }
        if (!chance(30)) {
            core.end_write();
        }
        record_cancelled();
        for (size_t i = 0; i < executors.size(); i++) {
            deliver(i);
        }
        if (chance(2)) {
            replace_leader();
        }
        if (chance(1)) {
            crash(random_executor());
        }
        if (chance(2)) {
            disconnect(random_executor());
        }
    }
};

class SchedModel : public testing::TestWithParam<unsigned> {};

TEST_P(SchedModel, KeepsItsInvariants)
{
    World world(GetParam());

    for (int i = 0; i < 400; i++) {
        world.step();
        ASSERT_TRUE(world.violations.empty())
            << "step " << i << ": " << world.violations[0];
    }
    world.fault_free = true;
    for (int i = 0; i < 400; i++) {
        world.step();
        ASSERT_TRUE(world.violations.empty())
            << "fault-free step " << i << ": " << world.violations[0];
        if (i == FAULT_FREE_STEPS_TO_STOP) {
            EXPECT_EQ(world.find_cancelled_runs(), std::vector<std::string>());
        }
    }
    world.core.stored.erase(SCHED_LEARNED_KEY);
    for (auto &[id, record] : world.core.stored) {
        EXPECT_EQ(world.core.visible_state(id), world.cancelled.count(id) != 0
                                                    ? SCHED_JOB_CANCELLED
                                                    : SCHED_JOB_COMPLETED)
            << id;
    }
    EXPECT_GE(world.core.stored.size(), 5U);
}

INSTANTIATE_TEST_SUITE_P(Seeds, SchedModel, testing::Range(1U, 301U));

} // namespace
