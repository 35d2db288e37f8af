/*
 * Schedulers and agents with real connections under random faults, in series
 * and overlapping: executors that restart, are lost, fall silent, or answer
 * and carry out orders late, agents and leaders that are killed. TEASEL_SOAK
 * gives the first seed and the number of seeds, as in "100:50".
 */

#include <gtest/gtest.h>

#include <random>

#include "deployment.h"

namespace {

enum {
    PORT = 950,
    NODES = 4,
    SCHEDULERS = 2,
    JOBS = 14,
    FAULT_MS = 6000,
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

    void
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
    void
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
                deployment.start_node(i);
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
    void
    run_faults()
    {
        int64_t end_ms = FakeExecutor::now_ms() + FAULT_MS;

        for (int step = 0; FakeExecutor::now_ms() < end_ms; step++) {
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
    EXPECT_GT(soak.jobs, 2);
}

std::vector<unsigned>
get_seeds()
{
    const char *text = getenv("TEASEL_SOAK");
    unsigned first = 27;
    unsigned count = 3;
    std::vector<unsigned> seeds;

    if (text != nullptr) {
        sscanf(text, "%u:%u", &first, &count);
    }
    for (unsigned i = 0; i < count; i++) {
        seeds.push_back(first + i);
    }
    return seeds;
}

INSTANTIATE_TEST_SUITE_P(Seeds, DeploymentSoak,
                         testing::ValuesIn(get_seeds()));

} // namespace
