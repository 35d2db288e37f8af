/*
 * Runs the decisions of leaders while the evacuations of data centres begin
 * and end at any point of a turn, and executors crash, agents are cut off and
 * leaders are replaced. No start order may leave for an evacuated data centre,
 * or from a leader that does not know the evacuations yet. At the end all work
 * has to be done where it may be. TEASEL_MODEL gives the first seed and the
 * number of seeds, as in "100:50".
 */

#include <gtest/gtest.h>

#include "sched_world.h"
#include "seed_range.h"

namespace {

constexpr int JOBS = 12;
constexpr int LASTING_JOBS = 3; /* fit into two executors */
constexpr int FAULT_TURNS = 250;
/* About 40 s, in which leases, trials and delayed restarts may follow each
   other. */
constexpr int FINISH_TURNS = 600;
constexpr int64_t GANG_WAIT_MS = 1500;

/* The number of start orders of each kind while a data centre was evacuated,
   and of starts that agents held. */
using Paths = std::map<std::string, int>;

struct EvacuationWorld : SchedWorld {
    Paths &paths;
    std::set<std::string> evacuated; /* by the operator */
    uint64_t offset = 0;
    int unlisted_turns = 0; /* until the leader's scheduler has listed them */
    std::map<std::string, std::vector<Step>> jobs;
    int lasting = 0;
    std::set<TaskRun> ordered;   /* starts, by any leader */
    std::set<TaskRun> inherited; /* placed by an earlier leader */
    std::string deadly_task;
    int deadly_starts = 0;

    EvacuationWorld(unsigned seed, Paths &paths)
        : SchedWorld(seed), paths(paths)
    {
        static const char *const names[] = {"a", "a", "b", "c"};

        for (size_t i = 0; i < EXECUTORS; i++) {
            executors[i].data_centre = names[i];
        }
        on_start_order = [this](const Executor &executor, const TaskRun &order,
                                bool alone) {
            check_order(executor, order, alone);
        };
        replace_evacuation();
        core.restart();
        list_evacuations();
    }
    ~EvacuationWorld()
    {
        evacuation_free(evacuation);
    }

    /* The evacuations, as the operator sets and the leader knows them. */

    void
    replace_evacuation()
    {
        evacuation = evacuation_new();
        core.evacuation = evacuation;
    }
    void
    list_evacuations()
    {
        for (auto &name : evacuated) {
            evacuation_begin(evacuation, name.c_str(), ++offset, true);
        }
        g_ptr_array_unref(evacuation_finish_listing(evacuation));
        sched_note_evacuation(core.sched);
    }
    void
    set_evacuated(const std::string &name, bool value)
    {
        offset++;
        if (value) {
            evacuated.insert(name);
        }
        else {
            evacuated.erase(name);
        }
        if (!evacuation_is_known(evacuation)) {
            return;
        }
        if (value) {
            evacuation_begin(evacuation, name.c_str(), offset, false);
        }
        else {
            evacuation_end(evacuation, name.c_str(), offset);
        }
        sched_note_evacuation(core.sched);
    }
    void
    toggle()
    {
        if (chance(4)) {
            std::string name = random_executor().data_centre;

            set_evacuated(name, evacuated.count(name) == 0);
        }
    }
    void
    count_evacuated()
    {
        sched_evacuation_counts_t counts = sched_count_evacuated(core.sched);

        paths["released"] += (int)counts.released;
        paths["stopped"] += (int)counts.stopped;
    }
    const Step &
    step_of(const std::string &task)
    {
        bool is_later = task.find(".0.1.") != std::string::npos;

        return jobs[get_job(task)][is_later ? 1 : 0];
    }
    void
    check_order(const Executor &executor, const TaskRun &order, bool alone)
    {
        const Step &step = step_of(order.first);

        expect(evacuated.count(executor.data_centre) == 0,
               "start for an evacuated data centre: " + order.first);
        expect(evacuation_is_known(evacuation),
               "start before the evacuations are known: " + order.first);
        if (!evacuated.empty()) {
            paths["first start"] += order.second == 1;
            paths["restart"] += step.long_running && order.second > 1;
            paths["trial"] += alone;
            paths["gang"] += step.gang;
            paths["later step"] += !step.after.empty();
            paths["repeated"] += ordered.count(order) != 0;
            paths["inherited"] += inherited.count(order) != 0;
        }
        ordered.insert(order);
    }

    /* Faults. */

    void
    replace_scheduler()
    {
        evacuation_t *old = evacuation;

        LIST_FOREACH (executor, sched_get_executors(core.sched),
                      sched_executor_t, link) {
            LIST_FOREACH (task, &executor->tasks, sched_task_t,
                          executor_link) {
                char name[SCHED_TASK_NAME_SIZE];

                sched_task_format_name(task, name);
                inherited.insert({name, task->run});
            }
        }
        count_evacuated();
        replace_evacuation();
        replace_leader();
        evacuation_free(old);
        unlisted_turns = 1 + (int)draw(10);
    }
    void
    harm()
    {
        Executor &executor = random_executor();

        switch (draw(6)) {
        case 0:
            draw_crash(executor, 3);
            break;
        case 1:
            disconnect(executor);
            executor.silent_until_ms = now() + draw(4000);
            break;
        case 2:
            deadly_task = name_task(random_job(), 0);
            deadly_starts = 2;
            break;
        case 3:
            replace_scheduler();
            break;
        case 4:
            disconnect(executor);
            break;
        default:
            if (!executor.running.empty()) {
                end(executor, std::string(executor.running.begin()->first),
                    SCHED_END_FAILED);
            }
            break;
        }
    }
    void
    submit()
    {
        static const std::vector<std::vector<Step>> kinds = {
            {{.count = 2, .long_running = true}},
            {{.count = 2, .gang = true, .long_running = true}},
            {{.count = 3}},
            {{.count = 2}, {.count = 2, .after = {0}}},
            {{.count = 2, .gang = true}},
            {{.count = 2,
              .cpu = 500,
              .best_effort = true,
              .checkpointing = true}},
        };
        std::string id = "j" + std::to_string(jobs.size());
        size_t first = lasting < LASTING_JOBS ? 0 : 2;

        jobs[id] = kinds[first + draw((unsigned)(kinds.size() - first))];
        steps[id] = jobs[id][0];
        lasting += steps[id].long_running;
        sched_submit(core.sched, make_spec(id, jobs[id], 100, draw(3)));
        core.end_write();
        core.run_and_commit();
    }

    /* The passing of time. */

    bool
    is_gang_running(const std::string &job)
    {
        for (uint32_t i = 0; i < jobs[job][0].count; i++) {
            if (count_runs(name_task(job, i)) == 0) {
                return false;
            }
        }
        return true;
    }
    void
    end_gang(const std::string &job)
    {
        for (auto &executor : executors) {
            for (uint32_t i = 0; i < jobs[job][0].count; i++) {
                if (executor.running.count(name_task(job, i)) != 0) {
                    end(executor, name_task(job, i), SCHED_END_DONE);
                }
            }
        }
    }
    /* A gang ends as a whole; a member without the others ends after some
       time. */
    void
    end_run(Executor &executor, const std::string &task)
    {
        const Step &step = step_of(task);
        std::string job = get_job(task);

        if (now() > executor.deadline_ms) {
            end(executor, task, SCHED_END_LAPSED);
        }
        else if (step.gang && !is_gang_running(job)) {
            if (now() - executor.running[task].begun_ms > GANG_WAIT_MS) {
                end(executor, task, SCHED_END_ALONE);
            }
        }
        else if (!step.long_running && draw(10) == 0) {
            if (step.gang) {
                end_gang(job);
            }
            else {
                end(executor, task, SCHED_END_DONE);
            }
        }
    }
    void
    end_runs(Executor &executor)
    {
        std::vector<std::string> names;

        for (auto &[task, run] : executor.running) {
            names.push_back(task);
        }
        for (auto &task : names) {
            if (executor.running.count(task) != 0) {
                end_run(executor, task);
            }
        }
        if (deadly_starts > 0 && executor.running.count(deadly_task) != 0) {
            deadly_starts--;
            crash(executor, draw(4) > 0, false);
        }
    }
    void
    deliver_orders(Executor &executor)
    {
        if (executor.connected && is_evacuated(executor)) {
            paths["held by an agent"] += (int)executor.pending.size();
        }
        deliver(executor);
    }
    void
    step()
    {
        fake_clock_advance_ms(&core.clock, 20 + draw(100));
        for (auto &executor : executors) {
            end_runs(executor);
        }
        if (jobs.size() < JOBS && draw(5) == 0) {
            submit();
        }
        if (chance(10) && !jobs.empty()) {
            harm();
        }
        if (unlisted_turns > 0 && --unlisted_turns == 0) {
            list_evacuations();
        }
        toggle();
        for (auto &executor : executors) {
            if (!chance(20)) {
                hear_agent(executor);
            }
        }
        toggle();
        sched_run(core.sched);
        toggle();
        if (!core.writing) {
            core.begin_write();
        }
        toggle();
        if (!chance(20)) {
            core.end_write();
        }
        for (auto &executor : executors) {
            toggle();
            deliver_orders(executor);
        }
        recount();
    }

    /* What has to hold at the end. */

    void
    end_faults()
    {
        std::string left = random_executor().data_centre;

        for (auto name : {"a", "b", "c"}) {
            set_evacuated(name, name == left && draw(2) == 0);
        }
        deadly_task.clear();
        fault_free = true;
    }
    std::string
    find_fault()
    {
        for (auto &[id, kinds] : jobs) {
            const sched_job_t *job = sched_find(core.sched, id.c_str());

            for (uint32_t i = 0; kinds[0].long_running && i < kinds[0].count;
                 i++) {
                if (count_runs(name_task(id, i)) == 0) {
                    return name_task(id, i) + " does not run";
                }
            }
            if (!kinds[0].long_running && !sched_job_is_final(job)) {
                return id + " is " + sched_job_state_to_string(job->state);
            }
        }
        return "";
    }
};

void
run_seed(unsigned seed, Paths &paths)
{
    EvacuationWorld world(seed, paths);
    std::string fault = "not checked";

    for (int i = 0; i < FAULT_TURNS; i++) {
        world.step();
        ASSERT_TRUE(world.violations.empty())
            << "turn " << i << ": " << world.violations[0];
    }
    world.end_faults();
    for (int i = 0; i < FINISH_TURNS && !fault.empty(); i++) {
        world.step();
        ASSERT_TRUE(world.violations.empty())
            << "fault-free turn " << i << ": " << world.violations[0];
        fault = world.find_fault();
    }
    world.count_evacuated();
    EXPECT_EQ(fault, "");
    EXPECT_EQ(world.jobs.size(), (size_t)JOBS);
}

// Guards against a start in an evacuated data centre on any path that leads to
// one, and against work that waits although it may run elsewhere.
TEST(SchedEvacuationModel, StartsNothingInAnEvacuatedDataCentre)
{
    Paths paths;

    for (unsigned seed : get_seeds("TEASEL_MODEL", 1, 100)) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        run_seed(seed, paths);
        if (HasFatalFailure()) {
            return;
        }
    }
    if (getenv("TEASEL_MODEL") != nullptr) {
        return;
    }
    for (auto path :
         {"first start", "restart", "trial", "gang", "later step", "repeated",
          "inherited", "held by an agent", "released", "stopped"}) {
        EXPECT_GT(paths[path], 0) << "no order was tested: " << path;
        RecordProperty(path, paths[path]);
    }
}

} // namespace
