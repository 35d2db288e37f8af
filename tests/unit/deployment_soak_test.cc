/*
 * Schedulers and agents with real connections under random faults, in series
 * and overlapping: executors that restart, are lost, fall silent, or answer
 * and carry out orders late, agents and leaders that are killed. TEASEL_SOAK
 * gives the first seed and the number of seeds, as in "100:50".
 * A second soak does the same to tasks that last.
 */

#include <gtest/gtest.h>

#include <random>
#include <set>

#include "deployment.h"
#include "seed_range.h"

namespace {

enum {
    PORT = 950,
    NODES = 4,
    SCHEDULERS = 2,
    JOBS = 14,
    FAULT_MS = 6000,
    /* Longest extension of that time on a slow machine, which accepts fewer
       jobs in it. */
    MAX_EXTRA_MS = 20000,
    MIN_JOBS = 3,
    MIN_LASTING_JOBS = 4,
    STEP_MS = 60,
    ANNOUNCE_MS = 240,
};

struct Soak {
    Deployment deployment{SCHEDULERS, NODES, PORT};
    std::mt19937 random;
    int jobs = 0;
    int64_t born_ms = 1000;
    int last_harmed = 0;       /* node */
    int lost_for_good = NODES; /* executor, or NODES if there is none */
    std::map<std::string, int> crashes; /* executors lost under a task */
    std::vector<int64_t> silent_until_ms = std::vector<int64_t>(NODES, 0);
    std::vector<int64_t> lost_until_ms = std::vector<int64_t>(NODES, 0);
    std::vector<int64_t> node_down_until_ms = std::vector<int64_t>(NODES, 0);
    std::vector<int64_t> down_until_ms = std::vector<int64_t>(SCHEDULERS, 0);

    virtual ~Soak() = default;
    explicit Soak(unsigned seed) : random(seed)
    {
        for (auto &node : deployment.nodes) {
            node->executor.work_ms = 300;
            node->cpu_milli = 4000;
        }
    }
    int
    draw(int below)
    {
        return (int)(random() % (unsigned)below);
    }
    FakeExecutor &
    executor(int i)
    {
        return deployment.nodes[i]->executor;
    }

    virtual void
    submit()
    {
        Teasel__JobSpec *spec;
        std::string id = "j" + std::to_string(jobs);
        int scheduler = draw(SCHEDULERS);

        if (deployment.schedulers[scheduler]->scheduler == nullptr ||
            down_until_ms[scheduler] != 0) {
            return;
        }
        spec = make_spec(id, {{.count = 3}, {.count = 2, .after = {0}}}, 50);
        if (deployment.call(scheduler, JOB_VERB_SUBMIT, id, spec).outcome ==
            JOB_OUTCOME_DONE) {
            jobs++;
        }
    }
    /* Starts another incarnation, at once or after some time. */
    void
    restart_executor(int i, bool same_id, int64_t lost_ms)
    {
        FakeExecutor &lost = executor(i);

        if (lost.gone) {
            return;
        }
        if (!same_id) {
            lost.id = "id" + std::to_string(born_ms);
        }
        for (auto &[task, entry] : lost.running) {
            crashes[task]++;
        }
        lost.restart(born_ms++);
        lost.gone = lost_ms > 0;
        lost_until_ms[i] = FakeExecutor::now_ms() + lost_ms;
    }
    void
    lose_executor(int i)
    {
        if (lost_for_good == NODES) {
            lost_for_good = i;
            restart_executor(i, false, INT32_MAX);
        }
    }
    void
    kill_node(int i)
    {
        if (deployment.nodes[i]->node == nullptr) {
            return;
        }
        node_free(deployment.nodes[i]->node);
        deployment.nodes[i]->node = nullptr;
        node_down_until_ms[i] = FakeExecutor::now_ms() + 30 + draw(300);
    }
    void
    harm_orders(int i)
    {
        switch (draw(4)) {
        case 0:
            executor(i).late_starts = 1 + draw(3);
            executor(i).late_ms = 100 + draw(1200);
            break;
        case 1:
            executor(i).lose_starts = 1 + draw(3);
            break;
        case 2:
            executor(i).busy_starts = 1 + draw(3);
            break;
        default:
            executor(i).unresponsive = true;
            silent_until_ms[i] = FakeExecutor::now_ms() + 200 + draw(800);
            break;
        }
    }
    void
    kill_scheduler(int i)
    {
        for (int j = 0; j < SCHEDULERS; j++) {
            if (deployment.schedulers[j]->scheduler == nullptr) {
                return;
            }
        }
        deployment.kill_scheduler(i);
        down_until_ms[i] = FakeExecutor::now_ms() + draw(500);
    }
    virtual void
    harm()
    {
        /* Faults of one node often come in series. */
        int i = draw(2) == 0 ? last_harmed : draw(NODES);

        last_harmed = i;
        switch (draw(12)) {
        case 0:
            restart_executor(i, true, draw(2) * draw(400));
            break;
        case 1:
            restart_executor(i, false, draw(2) * draw(1500));
            break;
        case 2:
        case 3:
        case 4:
            kill_node(i);
            break;
        case 5:
            kill_scheduler(draw(SCHEDULERS));
            break;
        case 6:
            lose_executor(i);
            break;
        default:
            harm_orders(i);
            break;
        }
    }
    virtual void
    start_node(int i)
    {
        deployment.start_node(i);
    }
    void
    recover(bool all)
    {
        int64_t now_ms = FakeExecutor::now_ms();

        for (int i = 0; i < NODES; i++) {
            if (all || now_ms >= silent_until_ms[i]) {
                executor(i).unresponsive = false;
            }
            if (i != lost_for_good && (all || now_ms >= lost_until_ms[i])) {
                executor(i).gone = false;
            }
            if (deployment.nodes[i]->node == nullptr &&
                (all || now_ms >= node_down_until_ms[i])) {
                start_node(i);
            }
        }
        for (int i = 0; i < SCHEDULERS; i++) {
            if (deployment.schedulers[i]->scheduler == nullptr &&
                (all || now_ms >= down_until_ms[i])) {
                down_until_ms[i] = 0;
                deployment.start_scheduler(i);
            }
        }
    }
    void
    announce()
    {
        for (int i = 0; i < NODES; i++) {
            if (deployment.nodes[i]->node != nullptr && !executor(i).gone) {
                deployment.announce_present(i);
            }
        }
    }
    virtual bool
    has_enough_jobs() const
    {
        return jobs >= MIN_JOBS;
    }
    /* A soak with few jobs shows little. */
    bool
    are_faults_over(int64_t end_ms) const
    {
        int64_t now_ms = FakeExecutor::now_ms();

        return now_ms >= end_ms &&
               (has_enough_jobs() || now_ms >= end_ms + MAX_EXTRA_MS);
    }
    void
    run_faults()
    {
        int64_t end_ms = FakeExecutor::now_ms() + FAULT_MS;

        for (int step = 0; !are_faults_over(end_ms); step++) {
            if (jobs < JOBS && draw(4) == 0) {
                submit();
            }
            if (draw(3) == 0) {
                harm();
            }
            recover(false);
            if (step % (ANNOUNCE_MS / STEP_MS) == 0) {
                announce();
            }
            deployment.run_ms(STEP_MS);
        }
        recover(true);
        for (auto &node : deployment.nodes) {
            node->executor.late_starts = 0;
            node->executor.lose_starts = 0;
            node->executor.busy_starts = 0;
        }
    }
    /* A task under which two executors have crashed may be given up. */
    bool
    may_fail(const std::string &id)
    {
        for (auto &[task, count] : crashes) {
            if (task.rfind(id + ".", 0) == 0 && count >= 2) {
                return true;
            }
        }
        return false;
    }
    bool
    has_ended(const std::string &id)
    {
        auto answer = deployment.call(0, JOB_VERB_GET, id);

        return answer.outcome == JOB_OUTCOME_DONE &&
               (answer.state == SCHED_JOB_COMPLETED ||
                (answer.state == SCHED_JOB_FAILED && may_fail(id)));
    }
    /* Ids of the accepted jobs that have not ended within some time after the
       last fault. */
    std::vector<std::string>
    find_unfinished()
    {
        std::vector<std::string> left;
        int64_t end_ms = FakeExecutor::now_ms() + 15000;

        left.reserve((size_t)jobs);
        for (int i = 0; i < jobs; i++) {
            left.push_back("j" + std::to_string(i));
        }
        while (!left.empty() && FakeExecutor::now_ms() < end_ms) {
            if (has_ended(left.back())) {
                left.pop_back();
                continue;
            }
            announce();
            deployment.run_ms(ANNOUNCE_MS);
        }
        return left;
    }
    std::vector<std::string>
    get_doubled()
    {
        std::vector<std::string> out;

        for (auto &node : deployment.nodes) {
            out.insert(out.end(), node->executor.doubled_after_loss.begin(),
                       node->executor.doubled_after_loss.end());
        }
        return out;
    }
};

class DeploymentSoak : public testing::TestWithParam<unsigned> {};

// Guards against tasks that run twice or never again when faults of several
// processes overlap.
TEST_P(DeploymentSoak, RunsEachTaskOnce)
{
    Soak soak(GetParam());

    ASSERT_TRUE(
        soak.deployment.wait([&] { return soak.deployment.all_ready(); }));
    soak.run_faults();
    EXPECT_EQ(soak.find_unfinished(), std::vector<std::string>());
    EXPECT_EQ(soak.get_doubled(), std::vector<std::string>());
    EXPECT_GE(soak.jobs, MIN_JOBS);
}

enum {
    MAX_LASTING_JOBS = 16, /* more than fit */
    LARGE_CPU = 8000,
    POWER_LOSS_MS = 1500,
    /* After the last fault: leases, probations, trials and delayed restarts
       may follow each other. */
    SETTLE_MS = 20000,
    SETTLED_POLLS = 8, /* in a row without a fault */
};

/* What runs on an executor, as its capacity is shared out. */
struct Load {
    uint32_t cpu = 0;
    uint32_t best_effort_cpu = 0;
    uint32_t siblings = 0; /* tasks of the job in question */
    bool serving = false;
};

/* Tasks that run until they are stopped, more than fit, beside short ones. Ids
   of jobs with lasting tasks begin with "l". Each job has one step. */
struct LastingSoak : Soak {
    std::map<std::string, Step> steps;
    std::vector<std::string> accepted;
    std::set<std::string> cancels; /* sent, perhaps without success */
    std::set<std::string> cancelled;
    std::string next_id;

    explicit LastingSoak(unsigned seed) : Soak(seed)
    {
        for (auto &node : deployment.nodes) {
            node->executor.endless = "l";
        }
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
    Step
    draw_step()
    {
        switch (draw(7)) {
        case 0:
            return {.count = 2, .cpu = 500, .best_effort = true};
        case 1:
            return {.count = 2, .cpu = 1000};
        case 2:
            return {.count = 2,
                    .cpu = 1500,
                    .long_running = true,
                    .target_ms = 50,
                    .max_per_executor = 1};
        case 3:
            return {.count = 3,
                    .long_running = true,
                    .max_per_executor = 1 + (uint32_t)draw(2)};
        case 4:
            return {.cpu = 2500, .long_running = true};
        case 5:
            return {.count = 2,
                    .cpu = 500,
                    .long_running = true,
                    .best_effort = true};
        default:
            return {.count = 3, .long_running = true};
        }
    }
    bool
    is_up(int scheduler)
    {
        return deployment.schedulers[scheduler]->scheduler != nullptr &&
               down_until_ms[scheduler] == 0;
    }
    bool
    has_enough_jobs() const override
    {
        return accepted.size() >= (size_t)MIN_LASTING_JOBS;
    }
    void
    submit() override
    {
        int scheduler = draw(SCHEDULERS);

        if (accepted.size() >= MAX_LASTING_JOBS || !is_up(scheduler)) {
            return;
        }
        if (next_id.empty()) {
            Step step = draw_step();

            next_id = (step.long_running ? "l" : "j") +
                      std::to_string(accepted.size());
            steps[next_id] = step;
        }
        if (deployment
                .call(scheduler, JOB_VERB_SUBMIT, next_id,
                      make_spec(next_id, {steps[next_id]}, 50))
                .outcome == JOB_OUTCOME_DONE) {
            accepted.push_back(next_id);
            next_id.clear();
        }
    }
    void
    cancel()
    {
        int scheduler = draw(SCHEDULERS);
        std::string id;

        if (accepted.empty() || !is_up(scheduler)) {
            return;
        }
        id = accepted[draw((int)accepted.size())];
        cancels.insert(id);
        if (deployment.call(scheduler, JOB_VERB_CANCEL, id).outcome ==
            JOB_OUTCOME_DONE) {
            cancelled.insert(id);
        }
    }
    void
    fail_run(int i)
    {
        std::vector<std::string> tasks;

        for (auto &[task, entry] : executor(i).running) {
            if (executor(i).is_endless(task) && executor(i).is_running(task)) {
                tasks.push_back(task);
            }
        }
        if (!tasks.empty()) {
            executor(i).end(tasks[draw((int)tasks.size())], SCHED_END_FAILED);
        }
    }
    void
    choose_deadly_task()
    {
        std::string id;

        if (accepted.empty()) {
            return;
        }
        id = accepted[draw((int)accepted.size())];
        for (auto &node : deployment.nodes) {
            node->executor.deadly_task = name_task(id, 0);
            node->executor.deadly_starts = 1 + draw(2);
        }
    }
    /* Announces no executor that is gone, so that a restarted agent does not
       know the incarnation that it had reported. */
    void
    start_node(int i) override
    {
        deployment.start_node(i, !executor(i).gone);
    }
    /* The new process of the agent never hears of the old incarnation. */
    void
    restart_unaware(int i)
    {
        kill_node(i);
        if (deployment.nodes[i]->node == nullptr && draw(2) == 0) {
            deployment.run_ms(30);
            deployment.start_node(i, false);
        }
    }
    void
    lose_executor_after_restart(int i)
    {
        restart_unaware(i);
        if (draw(3) == 0) {
            lose_executor(i);
        }
        else {
            restart_executor(i, draw(3) == 0, 300 + draw(3000));
        }
    }
    void
    harm_lasting()
    {
        int i = draw(NODES);

        switch (draw(10)) {
        case 0:
        case 1:
        case 2:
            deployment.nodes[i]->cpu_milli = 1000 * (1 + (uint32_t)draw(4));
            break;
        case 3:
        case 4:
        case 5:
            fail_run(i);
            break;
        case 6:
            choose_deadly_task();
            break;
        case 7:
            cancel();
            break;
        default:
            lose_executor_after_restart(i);
            break;
        }
    }
    void
    harm() override
    {
        /* Later than the incarnations after crashes by a deadly task. */
        born_ms += 1000;
        if (draw(2) == 0) {
            harm_lasting();
        }
        else {
            Soak::harm();
        }
    }
    /* All agents and schedulers end at once, and some executors with them. */
    void
    lose_power()
    {
        deployment.run_ms(draw(500));
        for (int i = 0; i < NODES; i++) {
            kill_node(i);
            if (draw(3) == 0) {
                born_ms += 1000;
                restart_executor(i, draw(2) == 0, 0);
            }
        }
        for (int i = 0; i < SCHEDULERS; i++) {
            deployment.kill_scheduler(i);
        }
        deployment.run_ms(draw(POWER_LOSS_MS));
        recover(true);
    }
    int
    find_busiest()
    {
        int found = 0;

        for (int i = 1; i < NODES; i++) {
            if (executor(i).running.size() > executor(found).running.size()) {
                found = i;
            }
        }
        return found;
    }
    /* The one that is lost for good is the last one, with most tasks. */
    void
    lose_busiest()
    {
        int i;

        lost_for_good = NODES;
        recover(true);
        announce();
        deployment.run_ms(500 + draw(1500));
        i = find_busiest();
        born_ms += 1000;
        restart_unaware(i);
        lose_executor(i);
        recover(true);
    }
    /* The last faults. The cell may grow, so that the tasks find room. */
    void
    end_faults()
    {
        int kind = draw(3);

        for (auto &node : deployment.nodes) {
            node->executor.deadly_task.clear();
            if (draw(2) != 0) {
                node->cpu_milli = LARGE_CPU;
            }
        }
        if (kind > 0) {
            lose_busiest();
        }
        if (kind < 2) {
            lose_power();
        }
    }
    bool
    has_crashed_often(const std::string &id)
    {
        for (uint32_t i = 0; i < steps[id].count; i++) {
            std::string task = name_task(id, i);
            int count = crashes[task];

            for (auto &node : deployment.nodes) {
                count += node->executor.crashed[task];
            }
            if (count >= 2) {
                return true;
            }
        }
        return false;
    }
    int
    count_runs(const std::string &task)
    {
        int count = 0;

        for (auto &node : deployment.nodes) {
            count += !node->executor.gone && node->executor.is_running(task);
        }
        return count;
    }
    bool
    is_done(const std::string &task)
    {
        for (auto &node : deployment.nodes) {
            if (node->executor.done.count(task) != 0) {
                return true;
            }
        }
        return false;
    }
    Load
    get_load(int i, const std::string &id)
    {
        Load load;

        for (auto &[task, entry] : executor(i).running) {
            const Step &step = steps[get_job(task)];

            (step.best_effort ? load.best_effort_cpu : load.cpu) += step.cpu;
            load.serving |= step.target_ms > 0;
            load.siblings += get_job(task) == id;
        }
        return load;
    }
    /* A job without any run gets room for a best-effort task anywhere. Beside
       serving tasks no other one has to be placed. */
    bool
    has_room(int i, const std::string &id, bool idle)
    {
        const Step &step = steps[id];
        Load load = get_load(i, id);
        uint32_t cpu = load.cpu + step.cpu;

        if (executor(i).gone || deployment.nodes[i]->node == nullptr) {
            return false;
        }
        if (step.max_per_executor > 0 &&
            load.siblings >= step.max_per_executor) {
            return false;
        }
        if (step.best_effort) {
            cpu += load.best_effort_cpu;
            return idle ||
                   (!load.serving && cpu <= deployment.nodes[i]->cpu_milli);
        }
        return cpu <= deployment.nodes[i]->cpu_milli;
    }
    bool
    has_room_anywhere(const std::string &id)
    {
        bool idle = true;

        for (uint32_t i = 0; i < steps[id].count; i++) {
            idle &= count_runs(name_task(id, i)) == 0;
        }
        for (int i = 0; i < NODES; i++) {
            if (has_room(i, id, idle)) {
                return true;
            }
        }
        return false;
    }
    std::string
    find_task_fault(const std::string &id, uint32_t index, bool is_final)
    {
        std::string task = name_task(id, index);
        int runs = count_runs(task);
        bool to_run = !is_final && (steps[id].long_running || !is_done(task));

        if (runs > 1) {
            return task + " runs twice";
        }
        if (is_final && runs > 0) {
            return task + " runs after the end of its job";
        }
        if (to_run && runs == 0 && has_room_anywhere(id)) {
            return task + " does not run, with room for it";
        }
        return "";
    }
    bool
    is_allowed(const std::string &id, uint32_t state)
    {
        switch (state) {
        case SCHED_JOB_COMPLETED:
            return !steps[id].long_running;
        case SCHED_JOB_FAILED:
            return !steps[id].long_running && has_crashed_often(id);
        case SCHED_JOB_CANCELLED:
            return cancels.count(id) != 0;
        default:
            return cancelled.count(id) == 0;
        }
    }
    std::string
    find_job_fault(const std::string &id)
    {
        auto answer = deployment.call(0, JOB_VERB_GET, id);
        bool is_final = answer.state != SCHED_JOB_QUEUED &&
                        answer.state != SCHED_JOB_RUNNING;

        if (answer.outcome != JOB_OUTCOME_DONE) {
            return id + " is not found";
        }
        if (!is_allowed(id, answer.state)) {
            return id + " has state " + std::to_string(answer.state);
        }
        for (uint32_t i = 0; i < steps[id].count; i++) {
            std::string fault = find_task_fault(id, i, is_final);

            if (!fault.empty()) {
                return fault;
            }
        }
        return "";
    }
    std::string
    find_fault()
    {
        for (auto &id : accepted) {
            std::string fault = find_job_fault(id);

            if (!fault.empty()) {
                return fault;
            }
        }
        return "";
    }
    /* Returns the last fault, if everything had time to settle and has not, or
       "". */
    std::string
    find_lasting_fault()
    {
        int64_t end_ms = FakeExecutor::now_ms() + SETTLE_MS;
        std::string last_fault = "no fault, but too few polls";
        int polls = 0;

        while (polls < SETTLED_POLLS && FakeExecutor::now_ms() < end_ms) {
            std::string fault;

            announce();
            deployment.run_ms(ANNOUNCE_MS);
            fault = find_fault();
            polls = fault.empty() ? polls + 1 : 0;
            last_fault = fault.empty() ? last_fault : fault;
        }
        return polls == SETTLED_POLLS
                   ? ""
                   : "at the end, " + std::to_string(polls) +
                         " polls after: " + last_fault;
    }
};

class LastingSoakTest : public testing::TestWithParam<unsigned> {};

// Guards against lasting tasks that do not run although an executor has room
// for them, and against ones that run twice.
TEST_P(LastingSoakTest, RunsEachTaskThatFits)
{
    LastingSoak soak(GetParam());

    ASSERT_TRUE(
        soak.deployment.wait([&] { return soak.deployment.all_ready(); }));
    soak.run_faults();
    soak.end_faults();
    EXPECT_EQ(soak.find_lasting_fault(), "");
    EXPECT_EQ(soak.get_doubled(), std::vector<std::string>());
    EXPECT_GE(soak.accepted.size(), (size_t)MIN_LASTING_JOBS);
}

INSTANTIATE_TEST_SUITE_P(Seeds, DeploymentSoak,
                         testing::ValuesIn(get_seeds("TEASEL_SOAK", 27, 3)));

INSTANTIATE_TEST_SUITE_P(Seeds, LastingSoakTest,
                         testing::ValuesIn(get_seeds("TEASEL_SOAK", 27, 3)));

} // namespace
