#ifndef TEASEL_TESTS_SCHED_WORLD_H
#define TEASEL_TESTS_SCHED_WORLD_H

/*
 * Simulated executors and agents for the models of the leader: they carry out
 * its orders, report what runs and what has ended, crash, and are lost. Each
 * turn recounts what the leader keeps on them.
 */

#include <functional>
#include <random>

#include "sched_fixture.h"

extern "C" {
#include "sched/placement.h"
#include "sched/sched_internal.h"
}

constexpr int64_t SETTLED_MS = 1000;
constexpr uint32_t FULL_CPU = 4000;
constexpr size_t EXECUTORS = 4;

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
    std::string data_centre = "dc";
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

struct SchedWorld {
    Core core;
    std::mt19937 random;
    std::vector<Executor> executors;
    std::map<std::string, Step> steps;  /* by job */
    std::map<std::string, int> crashes; /* by task */
    std::set<std::string> cancelled;
    std::set<std::string> done;
    std::vector<std::string> violations;
    bool fault_free = false;
    evacuation_t *evacuation = nullptr; /* or the evacuated data centres */
    std::function<void(const Executor &, const TaskRun &, bool alone)>
        on_start_order;
    int64_t lease_ms = 3000;
    int64_t lease_expiry_ms = 3300; /* lease and drift */

    explicit SchedWorld(unsigned seed) : random(seed)
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
    /* The id of no job before there is one. */
    std::string
    random_job()
    {
        if (steps.empty()) {
            return "none";
        }
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
    /* The agent does not send the starts that it holds. */
    void
    reject_pending(Executor &executor)
    {
        for (auto &[task, run] : executor.pending) {
            executor.finished[task] =
                std::max(executor.finished[task], run.run);
            executor.rejected.emplace_back(task, run.run);
        }
        executor.pending.clear();
    }
    bool
    is_evacuated(const Executor &executor) const
    {
        return evacuation_covers(evacuation, executor.data_centre.c_str());
    }
    void
    deliver(Executor &executor)
    {
        Core::Orders orders;

        if (!executor.connected || executor.lost) {
            return;
        }
        orders = core.orders(executor.key());
        for (auto &order : orders.starts) {
            if (on_start_order) {
                on_start_order(executor, order,
                               orders.alone.count(order) != 0);
            }
        }
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
        if (is_evacuated(executor)) {
            reject_pending(executor);
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
        message.message.data_centre = message.text(executor.data_centre);
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
            std::max(executor.deadline_ms, now() + lease_ms);
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
                            now() + lease_expiry_ms);
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
    /* The draws are in an order that doesn't depend on the compiler, so that a
       seed means the same on all machines. */
    void
    draw_crash(Executor &executor, unsigned ids)
    {
        bool noticed = draw(2) == 0;
        bool same_id = draw(ids) == 0;

        crash(executor, noticed, same_id);
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
    replace_leader()
    {
        core.restart();
        for (auto &executor : executors) {
            executor.connected = false;
            executor.listed = false;
        }
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
        /* The leader keeps the room of runs that it is stopping. */
        for (guint i = 0; i < executor->orphans->len; i++) {
            auto orphan = static_cast<const sched_orphan_t *>(
                g_ptr_array_index(executor->orphans, i));

            (orphan->best_effort ? best_effort_cpu : cpu) +=
                orphan->size.cpu_milli;
            memory_mb += orphan->size.memory_mb;
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
    /* Returns the numbers of running and of starting tasks. */
    std::pair<uint32_t, uint32_t>
    recount_step(const sched_job_t *job, const sched_step_t *step)
    {
        uint32_t running = 0;
        uint32_t starting = 0;
        uint32_t waiting = 0;
        uint32_t finished = 0;

        for (uint32_t i = 0; i < step->spec->count; i++) {
            const sched_task_t *task = &step->tasks[i];

            waiting += task->phase == SCHED_TASK_WAITING;
            finished += task->phase == SCHED_TASK_DONE;
            running += task->phase == SCHED_TASK_RUNNING;
            starting += task->phase == SCHED_TASK_PLACED;
            expect(is_placed(task) == (task->executor != nullptr),
                   "phase and executor");
            expect(!task->on_trial || is_placed(task), "on_trial");
        }
        expect(step->done == finished, "done");
        expect(step->waiting == waiting || sched_job_is_final(job), "waiting");
        return {running, starting};
    }
    void
    recount_job(const sched_job_t *job)
    {
        uint32_t running = 0;
        uint32_t starting = 0;

        LIST_FOREACH (occurrence, &job->occurrences, sched_occurrence_t,
                      link) {
            for (size_t i = 0; i < job->spec->n_steps; i++) {
                auto counts = recount_step(job, &occurrence->steps[i]);

                running += counts.first;
                starting += counts.second;
            }
        }
        expect(job->running == running, "running");
        expect(job->starting == starting, "starting");
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

    int
    count_runs(const std::string &task) const
    {
        int count = 0;

        for (auto &executor : executors) {
            count += executor.running.count(task) != 0;
        }
        return count;
    }
};

#endif
