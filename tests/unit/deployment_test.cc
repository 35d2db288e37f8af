/* Schedulers and node agents together under failures of the store, the
   executors and the processes. */

#include <gtest/gtest.h>

#include "deployment.h"

extern "C" {
#include "wire/peer.h"
}

namespace {

enum {
    PORT = 700,
};

// Guards against jobs that do not run, or whose state is not returned, if they
// are submitted through a scheduler that does not lead.
TEST(Deployment, RunsAJobSubmittedToAnyScheduler)
{
    Deployment deployment(3, 2, PORT);

    ASSERT_TRUE(deployment.wait([&] { return deployment.all_ready(); }));
    for (int i = 0; i < 3; i++) {
        std::string id = "job" + std::to_string(i);
        auto answer =
            deployment.call(i, JOB_VERB_SUBMIT, id,
                            make_spec(id, {{.count = 3}, {.after = {0}}}));

        EXPECT_EQ(answer.outcome, (uint32_t)JOB_OUTCOME_DONE);
        EXPECT_TRUE(
            deployment.wait_state((i + 1) % 3, id, SCHED_JOB_COMPLETED));
        EXPECT_EQ(deployment.count_starts(id + ".0.0.0"), 1);
        EXPECT_EQ(deployment.count_starts(id + ".0.1.0"), 1);
    }
    EXPECT_EQ(deployment.count_elections(), 1);
    EXPECT_EQ(deployment.call(0, JOB_VERB_GET, "unknown").outcome,
              (uint32_t)JOB_OUTCOME_NOT_FOUND);
}

// Guards against a job that runs although its cancelling was answered: its
// submission was kept while there was no leader, and arrived afterwards.
TEST(Deployment, RefusesAKeptSubmissionOfACancelledJob)
{
    Deployment deployment(2, 1, PORT);

    ASSERT_TRUE(deployment.wait([&] { return deployment.all_ready(); }));
    EXPECT_EQ(deployment.call(0, JOB_VERB_CANCEL, "j").outcome,
              (uint32_t)JOB_OUTCOME_NOT_FOUND);
    auto answer =
        deployment.call(1, JOB_VERB_SUBMIT, "j", make_spec("j", {{}}));
    EXPECT_EQ(answer.outcome, (uint32_t)JOB_OUTCOME_REFUSED);
    EXPECT_EQ(deployment.call(0, JOB_VERB_GET, "j").outcome,
              (uint32_t)JOB_OUTCOME_NOT_FOUND);
    deployment.run_ms(200);
    EXPECT_EQ(deployment.count_starts("j.0.0.0"), 0);
}

// Guards against jobs that are lost or run twice when the leader is killed.
TEST(Deployment, CompletesJobsAfterTheLeaderIsKilled)
{
    Deployment deployment(3, 2, PORT);

    ASSERT_TRUE(deployment.wait([&] { return deployment.all_ready(); }));
    for (auto &node : deployment.nodes) {
        node->executor.work_ms = 400;
    }
    deployment.call(0, JOB_VERB_SUBMIT, "j", make_spec("j", {{.count = 4}}));
    int old = deployment.leader_index();
    ASSERT_TRUE(deployment.wait(
        [&] { return deployment.count_starts("j.0.0.3") == 1; }));
    deployment.kill_scheduler(old);
    int other = (old + 1) % 3;
    EXPECT_TRUE(deployment.wait_state(other, "j", SCHED_JOB_COMPLETED));
    EXPECT_NE(deployment.leader_index(), old);
    for (int i = 0; i < 4; i++) {
        EXPECT_EQ(deployment.count_starts("j.0.0." + std::to_string(i)), 1);
    }
}

// Guards against schedulers that repeatedly depose each other after all of
// them restart: a status sent before its sender was elected was treated as a
// resignation. Seen in scenario leafpress scale-1 with seed 892916789928.
TEST(Deployment, ElectsOneLeaderAfterAllAreRestarted)
{
    Deployment deployment(3, 1, PORT);

    ASSERT_TRUE(deployment.wait([&] { return deployment.all_ready(); }));
    for (int round = 0; round < 3; round++) {
        int before = deployment.count_elections();

        for (int i = 0; i < 3; i++) {
            deployment.kill_scheduler(i);
        }
        for (int i = 0; i < 3; i++) {
            deployment.start_scheduler(i);
        }
        ASSERT_TRUE(deployment.wait([&] {
            return deployment.count_elections() > before &&
                   deployment.all_ready();
        }));
        deployment.run_ms(1000);
        EXPECT_TRUE(deployment.all_ready());
        EXPECT_LE(deployment.count_elections(), before + 2);
    }
}

// Guards against a leader that does not resign although the store refuses only
// its requests.
TEST(Deployment, ResignsIfTheStoreRefusesOnlyTheLeader)
{
    Deployment deployment(3, 1, PORT);

    ASSERT_TRUE(deployment.wait([&] { return deployment.all_ready(); }));
    int old = deployment.leader_index();
    deployment.schedulers[old]->view->refuse = true;
    ASSERT_TRUE(
        deployment.wait([&] { return deployment.leader_index() != old; }));
    int other = deployment.leader_index();
    ASSERT_TRUE(deployment.wait([&] {
        return scheduler_is_ready(deployment.schedulers[other]->scheduler);
    }));
    EXPECT_EQ(
        deployment.call(other, JOB_VERB_SUBMIT, "j", make_spec("j", {{}}))
            .outcome,
        (uint32_t)JOB_OUTCOME_DONE);
    EXPECT_TRUE(deployment.wait_state(other, "j", SCHED_JOB_COMPLETED));
}

// Guards against a leader that resigns while no other scheduler can take over,
// and against refusals that are late or concern a job that runs anyway.
TEST(Deployment, RefusesJobsWhileTheStoreIsUnavailable)
{
    Deployment deployment(2, 1, PORT);

    ASSERT_TRUE(deployment.wait([&] { return deployment.all_ready(); }));
    deployment.nodes[0]->executor.work_ms = 6000;
    deployment.call(0, JOB_VERB_SUBMIT, "long", make_spec("long", {{}}));
    ASSERT_TRUE(deployment.wait(
        [&] { return deployment.count_starts("long.0.0.0") == 1; }));
    int leader = deployment.leader_index();
    for (auto &scheduler : deployment.schedulers) {
        scheduler->view->refuse = true;
    }
    Deployment::Answer answer;
    std::string refused;
    for (int i = 0; i < 100 && answer.retry_after_ms == 0; i++) {
        refused = "refused" + std::to_string(i);
        answer = deployment.call(leader, JOB_VERB_SUBMIT, refused,
                                 make_spec(refused, {{}}));
        deployment.run_ms(50);
    }
    EXPECT_EQ(answer.outcome, (uint32_t)JOB_OUTCOME_REFUSED);
    EXPECT_GT(answer.retry_after_ms, 0U);
    deployment.run_ms(2500);
    EXPECT_EQ(deployment.leader_index(), leader);
    /* No other scheduler could have taken over, so the lease was renewed and
       the run continued. */
    EXPECT_EQ(deployment.nodes[0]->executor.ends.size(), 0U);
    EXPECT_EQ(deployment.nodes[0]->executor.running.count("long.0.0.0"), 1U);
    for (auto &scheduler : deployment.schedulers) {
        scheduler->view->refuse = false;
    }
    EXPECT_TRUE(deployment.wait_state(leader, "long", SCHED_JOB_COMPLETED));
    EXPECT_EQ(deployment.count_starts("long.0.0.0"), 1);
    /* The refused job is not known and has not run. */
    EXPECT_EQ(deployment.call(leader, JOB_VERB_GET, refused).outcome,
              (uint32_t)JOB_OUTCOME_NOT_FOUND);
    EXPECT_EQ(deployment.count_starts(refused + ".0.0.0"), 0);
}

// Guards against a job that is stored twice or not at all if the answer of the
// store is lost.
TEST(Deployment, RepeatsAWriteWhoseAnswerIsLost)
{
    Deployment deployment(2, 1, PORT);

    ASSERT_TRUE(deployment.wait([&] { return deployment.all_ready(); }));
    int leader = deployment.leader_index();
    deployment.schedulers[leader]->view->lose_answers = 3;
    EXPECT_EQ(
        deployment.call(leader, JOB_VERB_SUBMIT, "j", make_spec("j", {{}}))
            .outcome,
        (uint32_t)JOB_OUTCOME_DONE);
    EXPECT_TRUE(deployment.wait_state(leader, "j", SCHED_JOB_COMPLETED));
    EXPECT_EQ(deployment.count_starts("j.0.0.0"), 1);
    EXPECT_EQ(deployment.leader_index(), leader);
}

// Guards against a lost answer that delays all decisions by the longest write
// timeout, and against repeats that overload a slow store.
TEST(Deployment, BacksOffWhenItRepeatsALostWrite)
{
    Deployment deployment(1, 1, PORT);

    ASSERT_TRUE(deployment.wait([&] { return deployment.all_ready(); }));
    FakeStoreView &view = *deployment.schedulers[0]->view;
    view.lose_answers = 5;
    deployment.call(0, JOB_VERB_SUBMIT, "j", make_spec("j", {{}}));
    ASSERT_EQ(view.lost_timeouts.size(), 5U);
    EXPECT_GT(view.lost_timeouts[0], 0U);
    EXPECT_LT(view.lost_timeouts[0], view.lost_timeouts[1]);
    EXPECT_LT(view.lost_timeouts[1], view.lost_timeouts[2]);
    EXPECT_EQ(view.lost_timeouts[4], 1000U);
}

// Guards against a deployment without a leader if the answer to a claim is
// lost.
TEST(Deployment, LeadsAfterALostAnswerToItsClaim)
{
    Deployment deployment(1, 1, PORT);

    deployment.schedulers[0]->view->lose_answers = 2;
    ASSERT_TRUE(deployment.wait([&] { return deployment.all_ready(); }));
    EXPECT_EQ(
        deployment.call(0, JOB_VERB_SUBMIT, "j", make_spec("j", {{}})).outcome,
        (uint32_t)JOB_OUTCOME_DONE);
}

// Guards against calls that are not answered if the leader begins a planned
// stop.
TEST(Deployment, HandsLeadershipOverBeforeAPlannedStop)
{
    Deployment deployment(2, 1, PORT);
    Deployment::Answer answer;

    ASSERT_TRUE(deployment.wait([&] { return deployment.all_ready(); }));
    int leader = deployment.leader_index();
    deployment.send(leader, JOB_VERB_SUBMIT, "j", make_spec("j", {{}}),
                    &answer);
    scheduler_leave(deployment.schedulers[leader]->scheduler);
    EXPECT_FALSE(scheduler_is_ready(deployment.schedulers[leader]->scheduler));
    ASSERT_TRUE(
        deployment.wait([&] { return deployment.schedulers[leader]->left; }));
    EXPECT_TRUE(answer.arrived);
    EXPECT_EQ(answer.outcome, (uint32_t)JOB_OUTCOME_DONE);
    deployment.kill_scheduler(leader);
    int other = 1 - leader;
    EXPECT_TRUE(
        deployment.wait([&] { return deployment.leader_index() == other; }));
    EXPECT_TRUE(deployment.wait_state(other, "j", SCHED_JOB_COMPLETED));
}

// Guards against a start that is abandoned although the executor carried it
// out without answering.
TEST(Deployment, DetectsAStartWithoutAnswer)
{
    Deployment deployment(1, 2, PORT);

    ASSERT_TRUE(deployment.wait([&] { return deployment.all_ready(); }));
    for (auto &node : deployment.nodes) {
        node->executor.lose_starts = 1;
        node->executor.work_ms = 300;
    }
    deployment.call(0, JOB_VERB_SUBMIT, "j", make_spec("j", {{.count = 4}}));
    EXPECT_TRUE(deployment.wait_state(0, "j", SCHED_JOB_COMPLETED));
    for (int i = 0; i < 4; i++) {
        EXPECT_EQ(deployment.count_starts("j.0.0." + std::to_string(i)), 1);
    }
}

// Guards against a task that is not placed again after an executor refused its
// start.
TEST(Deployment, PlacesARefusedStartElsewhere)
{
    Deployment deployment(1, 2, PORT);

    ASSERT_TRUE(deployment.wait([&] { return deployment.all_ready(); }));
    deployment.nodes[0]->executor.reject_reason = "room";
    deployment.nodes[1]->executor.busy_starts = 2;
    deployment.call(0, JOB_VERB_SUBMIT, "j", make_spec("j", {{.count = 3}}));
    EXPECT_TRUE(deployment.wait_state(0, "j", SCHED_JOB_COMPLETED));
}

// Guards against tasks that stay assigned to an executor that stopped
// responding, and against a second run before its lease has expired.
TEST(Deployment, RunsTasksOfASilentExecutorAgain)
{
    Deployment deployment(1, 2, PORT);

    ASSERT_TRUE(deployment.wait([&] { return deployment.all_ready(); }));
    for (auto &node : deployment.nodes) {
        node->executor.work_ms = 600;
    }
    deployment.call(0, JOB_VERB_SUBMIT, "j", make_spec("j", {{.count = 2}}));
    ASSERT_TRUE(deployment.wait([&] {
        return deployment.count_starts("j.0.0.0") +
                   deployment.count_starts("j.0.0.1") ==
               2;
    }));
    FakeExecutor &silent = deployment.nodes[0]->executor.running.empty()
                               ? deployment.nodes[1]->executor
                               : deployment.nodes[0]->executor;
    silent.work_ms = -1;
    silent.unresponsive = true;
    std::string task = silent.running.begin()->first;
    ASSERT_TRUE(
        deployment.wait([&] { return deployment.count_starts(task) == 2; }));
    EXPECT_GT(FakeExecutor::now_ms(), silent.deadline_ms);
    EXPECT_TRUE(deployment.wait_state(0, "j", SCHED_JOB_COMPLETED));
}

/* Submits job "j" with two tasks of 600 ms, and waits until one runs on the
   executor of the first agent. */
void
run_on_first_executor(Deployment &deployment)
{
    for (auto &node : deployment.nodes) {
        node->executor.work_ms = 600;
    }
    deployment.call(0, JOB_VERB_SUBMIT, "j", make_spec("j", {{.count = 2}}));
    ASSERT_TRUE(deployment.wait(
        [&] { return !deployment.nodes[0]->executor.running.empty(); }));
}

// Guards against tasks that never run again, as their executor was lost for
// good while its agent was restarted.
TEST(Deployment, RunsTasksOfALostExecutorAgainAfterARestartOfItsAgent)
{
    Deployment deployment(1, 2, PORT);

    ASSERT_TRUE(deployment.wait([&] { return deployment.all_ready(); }));
    run_on_first_executor(deployment);
    deployment.nodes[0]->executor.gone = true;
    deployment.nodes[0]->executor.running.clear();
    deployment.restart_node(0);
    EXPECT_TRUE(deployment.wait_state(0, "j", SCHED_JOB_COMPLETED));
    EXPECT_EQ(deployment.get_doubled(), std::vector<std::string>());
}

// Guards against tasks that wait for the longest lease that an executor
// accepts, as their executor was lost just after a restart of its agent, which
// does not know what its predecessor passed on.
TEST(Deployment, WaitsNoLongerThanTheLeaderGrantedBehindARestartedAgent)
{
    constexpr int64_t MAX_LEASE_MS = 20000;
    Deployment deployment(1, 2, PORT);
    FakeExecutor &lost = deployment.nodes[0]->executor;

    ASSERT_TRUE(deployment.wait([&] { return deployment.all_ready(); }));
    run_on_first_executor(deployment);
    lost.work_ms = -1;
    deployment.nodes[0]->max_lease_ms = MAX_LEASE_MS;
    deployment.restart_node(0);
    int polls = lost.polls;
    ASSERT_TRUE(deployment.wait([&] { return lost.polls > polls + 2; }));
    lost.gone = true;
    lost.running.clear();
    int64_t lost_ms = FakeExecutor::now_ms();
    EXPECT_TRUE(deployment.wait_state(0, "j", SCHED_JOB_COMPLETED));
    EXPECT_LT(FakeExecutor::now_ms() - lost_ms, MAX_LEASE_MS / 2);
    EXPECT_EQ(deployment.get_doubled(), std::vector<std::string>());
}

// Guards against an agent that loses track of running tasks when it restarts.
TEST(Deployment, KeepsRunsAcrossARestartOfTheAgent)
{
    Deployment deployment(1, 1, PORT);

    ASSERT_TRUE(deployment.wait([&] { return deployment.all_ready(); }));
    deployment.nodes[0]->executor.work_ms = 800;
    deployment.call(0, JOB_VERB_SUBMIT, "j", make_spec("j", {{}}));
    ASSERT_TRUE(deployment.wait(
        [&] { return deployment.count_starts("j.0.0.0") == 1; }));
    node_free(deployment.nodes[0]->node);
    deployment.run_ms(30);
    deployment.start_node(0);
    EXPECT_TRUE(deployment.wait_state(0, "j", SCHED_JOB_COMPLETED));
    EXPECT_EQ(deployment.count_starts("j.0.0.0"), 1);
}

/* Lets an executor carry out the start of task "j.0.0.0" late, and kills its
   agent meanwhile. Returns the number of the agent. */
int
kill_agent_after_late_start(Deployment &deployment)
{
    for (auto &node : deployment.nodes) {
        node->executor.late_starts = 1;
        node->executor.late_ms = 800;
        node->executor.work_ms = 600;
    }
    deployment.call(0, JOB_VERB_SUBMIT, "j", make_spec("j", {{}}));
    g_assert(deployment.wait([&] {
        return deployment.nodes[0]->executor.late_starts +
                   deployment.nodes[1]->executor.late_starts <
               2;
    }));
    int late = deployment.nodes[0]->executor.late_starts == 0 ? 0 : 1;
    deployment.nodes[1 - late]->executor.late_starts = 0;
    return late;
}

// Guards against a second run of a task whose start is carried out late: its
// agent was restarted and rejected the repeated start, as the executor leaves,
// without stopping the run.
TEST(Deployment, StopsALateStartBeforeItRejectsItAtALeavingExecutor)
{
    Deployment deployment(1, 2, PORT);

    ASSERT_TRUE(deployment.wait([&] { return deployment.all_ready(); }));
    int late = kill_agent_after_late_start(deployment);
    deployment.restart_node(late, true);
    EXPECT_TRUE(deployment.wait_state(0, "j", SCHED_JOB_COMPLETED));
    deployment.run_ms(1000);
    EXPECT_EQ(deployment.get_doubled(), std::vector<std::string>());
}

// Guards against the same at an executor that refuses the repeated start as
// busy.
TEST(Deployment, StopsALateStartBeforeItRejectsItAtABusyExecutor)
{
    Deployment deployment(1, 2, PORT);

    ASSERT_TRUE(deployment.wait([&] { return deployment.all_ready(); }));
    int late = kill_agent_after_late_start(deployment);
    deployment.nodes[late]->executor.busy_starts = 1;
    deployment.restart_node(late);
    EXPECT_TRUE(deployment.wait_state(0, "j", SCHED_JOB_COMPLETED));
    deployment.run_ms(1000);
    EXPECT_EQ(deployment.get_doubled(), std::vector<std::string>());
}

// Guards against a task that never runs: its executor left the start
// unanswered, and the order was lost when the agent was killed.
TEST(Deployment, RepeatsAStartThatWasLostWithItsAgent)
{
    Deployment deployment(1, 1, PORT);

    ASSERT_TRUE(deployment.wait([&] { return deployment.all_ready(); }));
    FakeExecutor &executor = deployment.nodes[0]->executor;
    deployment.run_ms(300);
    executor.unresponsive = true;
    deployment.call(0, JOB_VERB_SUBMIT, "j", make_spec("j", {{}}));
    /* Long enough for a report that names the pending run. */
    deployment.run_ms(200);
    executor.unresponsive = false;
    deployment.restart_node(0);
    EXPECT_TRUE(deployment.wait_state(0, "j", SCHED_JOB_COMPLETED));
    EXPECT_EQ(deployment.count_starts("j.0.0.0"), 1);
}

// Guards against a new incarnation of an executor that is mistaken for the one
// that crashed.
TEST(Deployment, DistinguishesIncarnationsOfAnExecutor)
{
    Deployment deployment(1, 1, PORT);

    ASSERT_TRUE(deployment.wait([&] { return deployment.all_ready(); }));
    deployment.nodes[0]->executor.work_ms = 60000;
    deployment.call(0, JOB_VERB_SUBMIT, "j", make_spec("j", {{}}));
    ASSERT_TRUE(deployment.wait(
        [&] { return deployment.count_starts("j.0.0.0") == 1; }));
    FakeExecutor &executor = deployment.nodes[0]->executor;
    executor.restart(200);
    executor.work_ms = 30;
    EXPECT_TRUE(deployment.announce(0, false, 200));
    deployment.announce(0, false, 100); /* delayed */
    EXPECT_TRUE(deployment.wait_state(0, "j", SCHED_JOB_COMPLETED));
    EXPECT_FALSE(deployment.announce(0, false, 100));
    EXPECT_EQ(deployment.count_starts("j.0.0.0"), 2);
}

// Guards against a second run of a task whose start reaches an executor that
// has restarted under its id: the run works on the later incarnation while the
// older one is reported as lost.
void
check_start_at_restarted_executor(int64_t born_ms)
{
    Deployment deployment(1, 2, PORT);

    ASSERT_TRUE(deployment.wait([&] { return deployment.all_ready(); }));
    for (auto &node : deployment.nodes) {
        node->executor.work_ms = 600;
        node->executor.poll_ms = 400;
    }
    deployment.run_ms(100);
    deployment.nodes[0]->executor.restart(born_ms);
    deployment.call(0, JOB_VERB_SUBMIT, "j", make_spec("j", {{.count = 2}}));
    ASSERT_TRUE(deployment.wait(
        [&] { return !deployment.nodes[0]->executor.starts.empty(); }));
    deployment.run_ms(200);
    /* It leaves, so that its task is placed elsewhere. */
    EXPECT_TRUE(deployment.announce(0, true, born_ms));
    EXPECT_TRUE(deployment.wait_state(0, "j", SCHED_JOB_COMPLETED));
    EXPECT_EQ(deployment.get_doubled(), std::vector<std::string>());
}

TEST(Deployment, StopsAStartAtARestartedExecutorBeforeTheTaskRunsElsewhere)
{
    check_start_at_restarted_executor(200);
}

// Guards against the same if the wall clock was set back before the restart.
TEST(Deployment, StopsAStartAtARestartedExecutorWithAnEarlierStartTime)
{
    check_start_at_restarted_executor(50);
}

// Guards against tasks that wait for ever for an executor that has restarted
// under its id and then ends before it announces itself.
TEST(Deployment, RunsTasksAgainIfARestartedExecutorEndsUnannounced)
{
    Deployment deployment(1, 2, PORT);

    ASSERT_TRUE(deployment.wait([&] { return deployment.all_ready(); }));
    run_on_first_executor(deployment);
    deployment.nodes[0]->executor.restart(200);
    deployment.run_ms(50);
    deployment.nodes[0]->executor.unresponsive = true;
    EXPECT_TRUE(deployment.wait_state(0, "j", SCHED_JOB_COMPLETED));
    EXPECT_EQ(deployment.get_doubled(), std::vector<std::string>());
}

// Guards against a task that crashes executor after executor: it was placed
// again for ever, and the tasks beside it lost their work each time.
TEST(Deployment, GivesUpATaskThatCrashesItsExecutors)
{
    Deployment deployment(1, 3, PORT);
    std::vector<int64_t> announced(3, 100);

    ASSERT_TRUE(deployment.wait([&] { return deployment.all_ready(); }));
    for (auto &node : deployment.nodes) {
        node->executor.deadly_task = "bad.0.0.0";
        node->executor.work_ms = 700;
    }
    deployment.call(0, JOB_VERB_SUBMIT, "good",
                    make_spec("good", {{.count = 6}}));
    deployment.call(0, JOB_VERB_SUBMIT, "bad",
                    make_spec("bad", {{.count = 2}}));
    for (int i = 0; i < 100; i++) {
        deployment.run_ms(100);
        for (int j = 0; j < 3; j++) {
            FakeExecutor &executor = deployment.nodes[j]->executor;

            if (executor.born_ms != announced[j]) {
                announced[j] = executor.born_ms;
                deployment.announce(j, false, executor.born_ms,
                                    executor.id.c_str());
            }
        }
    }
    EXPECT_EQ(deployment.count_starts("bad.0.0.0"), 3);
    EXPECT_TRUE(deployment.wait_state(0, "bad", SCHED_JOB_FAILED));
    EXPECT_TRUE(deployment.wait_state(0, "good", SCHED_JOB_COMPLETED));
}

// Guards against a second run of a task on an executor that has said that it
// ends, but stays for a while.
TEST(Deployment, KeepsTheRunsOfAnExecutorThatStaysAfterItsNotice)
{
    Deployment deployment(1, 2, PORT);

    ASSERT_TRUE(deployment.wait([&] { return deployment.all_ready(); }));
    for (auto &node : deployment.nodes) {
        node->executor.work_ms = 900;
    }
    deployment.call(0, JOB_VERB_SUBMIT, "j", make_spec("j", {{.count = 2}}));
    ASSERT_TRUE(deployment.wait(
        [&] { return !deployment.nodes[0]->executor.running.empty(); }));
    node_retire_executor(deployment.nodes[0]->node, "id");
    EXPECT_TRUE(deployment.wait_state(0, "j", SCHED_JOB_COMPLETED));
    EXPECT_EQ(deployment.get_doubled(), std::vector<std::string>());
}

// Guards against tasks that wait for the lease of an executor that has ended
// as announced.
TEST(Deployment, RunsTasksOfAnExecutorThatHasLeftAtOnce)
{
    Deployment deployment(1, 2, PORT);

    ASSERT_TRUE(deployment.wait([&] { return deployment.all_ready(); }));
    for (auto &node : deployment.nodes) {
        node->executor.work_ms = 200;
    }
    deployment.nodes[0]->executor.work_ms = -1;
    deployment.call(0, JOB_VERB_SUBMIT, "j", make_spec("j", {{.count = 2}}));
    ASSERT_TRUE(deployment.wait(
        [&] { return !deployment.nodes[0]->executor.running.empty(); }));
    int64_t left_ms = FakeExecutor::now_ms();
    node_retire_executor(deployment.nodes[0]->node, "id");
    deployment.nodes[0]->executor.running.clear();
    deployment.nodes[0]->executor.gone = true;
    EXPECT_TRUE(deployment.wait_state(0, "j", SCHED_JOB_COMPLETED));
    EXPECT_LT(FakeExecutor::now_ms() - left_ms, 1500);
}

// Guards against a job that fails as executors crashed that had not answered
// the starts of its task, and may never have begun them; seen on teddy, day
// deadly-late-orders (seed 2).
TEST(Deployment, CountsNoCrashOfAnExecutorThatDidNotConfirmTheStart)
{
    Deployment deployment(1, 1, PORT);
    FakeExecutor &executor = deployment.nodes[0]->executor;

    ASSERT_TRUE(deployment.wait([&] { return deployment.all_ready(); }));
    executor.late_ms = 60000;
    executor.late_starts = 1;
    deployment.call(0, JOB_VERB_SUBMIT, "j", make_spec("j", {{}}));
    for (int i = 0; i < 6; i++) {
        ASSERT_TRUE(
            deployment.wait([&] { return executor.late_starts == 0; }));
        executor.late_starts = 1;
        executor.id = "id" + std::to_string(i);
        executor.restart(200 + i);
        deployment.announce(0, false, 200 + i, executor.id.c_str());
    }
    executor.late_starts = 0;
    EXPECT_TRUE(deployment.wait_state(0, "j", SCHED_JOB_COMPLETED));
}

// Guards against an announcement of another writer with a clock far ahead, by
// which the lease of the executor seems never to expire: the tasks of an
// executor that fell silent waited for ever.
TEST(Deployment, RunsTasksAgainAfterAnAnnouncementWithAnOddClock)
{
    Deployment deployment(1, 2, PORT);
    FakeExecutor &executor = deployment.nodes[0]->executor;

    ASSERT_TRUE(deployment.wait([&] { return deployment.all_ready(); }));
    for (auto &node : deployment.nodes) {
        node->executor.poll_ms = 400;
    }
    executor.work_ms = -1;
    deployment.run_ms(100);
    deployment.nodes[0]->clock_ahead_ms = INT64_C(1) << 50;
    deployment.announce(0);
    deployment.call(0, JOB_VERB_SUBMIT, "j", make_spec("j", {{.count = 2}}));
    ASSERT_TRUE(deployment.wait([&] { return !executor.running.empty(); }));
    deployment.run_ms(500);
    executor.unresponsive = true;
    EXPECT_TRUE(deployment.wait_state(0, "j", SCHED_JOB_COMPLETED));
}

// Guards against an announcement of another writer, with the id and address of
// an executor, by which its lease is extended beyond what the leader knows.
TEST(Deployment, GrantsNoLeaseToAnIncarnationThatHasNotAnswered)
{
    Deployment deployment(1, 1, PORT);
    FakeExecutor &executor = deployment.nodes[0]->executor;

    ASSERT_TRUE(deployment.wait([&] { return deployment.all_ready(); }));
    ASSERT_TRUE(deployment.wait([&] { return executor.deadline_ms > 0; }));
    deployment.nodes[0]->clock_ahead_ms = INT64_C(1) << 40;
    deployment.announce(0, false, 500);
    deployment.run_ms(300);
    EXPECT_LE(executor.deadline_ms, FakeExecutor::now_ms() + 2000);
}

// Guards against a start that brings an executor over a capacity that shrank
// while it ran, and against room that is not used after it grew again.
TEST(Deployment, FollowsTheCapacityThatAnExecutorAnnounces)
{
    Deployment deployment(1, 1, PORT);

    ASSERT_TRUE(deployment.wait([&] { return deployment.all_ready(); }));
    deployment.call(0, JOB_VERB_SUBMIT, "first", make_spec("first", {{}}));
    EXPECT_TRUE(deployment.wait_state(0, "first", SCHED_JOB_COMPLETED));
    deployment.nodes[0]->cpu_milli = 500;
    EXPECT_TRUE(deployment.announce(0));
    deployment.run_ms(150);
    deployment.call(0, JOB_VERB_SUBMIT, "j", make_spec("j", {{}}));
    deployment.run_ms(500);
    EXPECT_EQ(deployment.count_starts("j.0.0.0"), 0);
    deployment.nodes[0]->cpu_milli = 8000;
    EXPECT_TRUE(deployment.announce(0));
    EXPECT_TRUE(deployment.wait_state(0, "j", SCHED_JOB_COMPLETED));
}

// Guards against an entry of another writer, with the address of an executor
// and a later start, that ends the executor: its tasks ran a second time
// elsewhere, and its own announcements were refused from then on.
TEST(Deployment, KeepsAnExecutorWhoseAddressAnotherEntryNames)
{
    Deployment deployment(1, 2, PORT);

    ASSERT_TRUE(deployment.wait([&] { return deployment.all_ready(); }));
    for (auto &node : deployment.nodes) {
        node->executor.work_ms = 800;
    }
    deployment.call(0, JOB_VERB_SUBMIT, "j", make_spec("j", {{.count = 2}}));
    ASSERT_TRUE(deployment.wait([&] {
        return deployment.count_starts("j.0.0.0") +
                   deployment.count_starts("j.0.0.1") ==
               2;
    }));
    for (int i = 0; i < 2; i++) {
        deployment.announce(i, false, INT64_MAX, "odd");
        deployment.run_ms(50);
        EXPECT_TRUE(deployment.announce(i));
    }
    EXPECT_TRUE(deployment.wait_state(0, "j", SCHED_JOB_COMPLETED));
    EXPECT_EQ(deployment.get_doubled(), std::vector<std::string>());
    EXPECT_EQ(deployment.count_starts("j.0.0.0"), 1);
    EXPECT_EQ(deployment.count_starts("j.0.0.1"), 1);
}

// Guards against tasks that keep running after their job was cancelled.
TEST(Deployment, StopsTheTasksOfACancelledJob)
{
    Deployment deployment(2, 1, PORT);

    ASSERT_TRUE(deployment.wait([&] { return deployment.all_ready(); }));
    deployment.nodes[0]->executor.work_ms = 60000;
    deployment.call(0, JOB_VERB_SUBMIT, "j", make_spec("j", {{.count = 2}}));
    ASSERT_TRUE(deployment.wait(
        [&] { return deployment.nodes[0]->executor.running.size() == 2; }));
    EXPECT_EQ(deployment.call(1, JOB_VERB_CANCEL, "j").outcome,
              (uint32_t)JOB_OUTCOME_DONE);
    EXPECT_TRUE(deployment.wait(
        [&] { return deployment.nodes[0]->executor.running.empty(); }));
    EXPECT_TRUE(deployment.wait_state(1, "j", SCHED_JOB_CANCELLED));
}

/* Runs the best-effort task f.0.0.0 beside s.0.0.0, whose latency target is
   10 ms. */
void
run_best_effort_beside_serving(Deployment &deployment)
{
    FakeExecutor &executor = deployment.nodes[0]->executor;

    ASSERT_TRUE(deployment.wait([&] { return deployment.all_ready(); }));
    executor.work_ms = 60000;
    deployment.call(0, JOB_VERB_SUBMIT, "f",
                    make_spec("f", {{.best_effort = true}}));
    ASSERT_TRUE(deployment.wait([&] { return executor.running.size() == 1; }));
    deployment.call(0, JOB_VERB_SUBMIT, "s",
                    make_spec("s", {{.long_running = true, .target_ms = 10}}));
    ASSERT_TRUE(deployment.wait([&] { return executor.running.size() == 2; }));
}

// Guards against best-effort tasks that are not throttled while a serving task
// misses its latency target.
TEST(Deployment, ThrottlesBestEffortTasksThatInterfere)
{
    Deployment deployment(1, 1, PORT);
    FakeExecutor &executor = deployment.nodes[0]->executor;

    ASSERT_NO_FATAL_FAILURE(run_best_effort_beside_serving(deployment));
    executor.running["s.0.0.0"].figure = 30;
    ASSERT_TRUE(deployment.wait([&] {
        return !executor.throttles.empty() &&
               executor.throttles.back().second == 0;
    }));
    executor.running["s.0.0.0"].figure = 3;
    EXPECT_TRUE(deployment.wait(
        [&] { return executor.throttles.back().second == 100; }));
}

// Guards against a restarted agent that neither throttles best-effort tasks
// nor lifts the throttling that its predecessor set.
TEST(Deployment, ThrottlesBestEffortTasksAfterARestartOfTheAgent)
{
    Deployment deployment(1, 1, PORT);
    FakeExecutor &executor = deployment.nodes[0]->executor;

    ASSERT_NO_FATAL_FAILURE(run_best_effort_beside_serving(deployment));
    node_free(deployment.nodes[0]->node);
    deployment.start_node(0);
    executor.running["s.0.0.0"].figure = 30;
    ASSERT_TRUE(deployment.wait([&] {
        return !executor.throttles.empty() &&
               executor.throttles.back().second == 0;
    }));
    node_free(deployment.nodes[0]->node);
    executor.throttles.clear();
    executor.running["s.0.0.0"].figure = 3;
    deployment.start_node(0);
    EXPECT_TRUE(deployment.wait([&] {
        return !executor.throttles.empty() &&
               executor.throttles.back().second == 100;
    }));
}

/* Connection to a scheduler that records the address count of each status. */
struct StatusReader {
    peer_handler_t handler = {};
    peer_t *peer = nullptr;
    bool open = false;
    std::vector<size_t> address_counts;

    StatusReader(loop_t *loop, const char *address)
    {
        peer_opts_t opts = {};

        handler.on_open = [](peer_t *, void *data) {
            static_cast<StatusReader *>(data)->open = true;
        };
        handler.on_message = [](peer_t *, const Teasel__Envelope *message,
                                void *data) {
            if (message->body_case == TEASEL__ENVELOPE__BODY_PEER_STATUS) {
                static_cast<StatusReader *>(data)->address_counts.push_back(
                    message->peer_status->n_schedulers);
            }
        };
        handler.on_close = [](peer_t *, const char *, void *data) {
            static_cast<StatusReader *>(data)->peer = nullptr;
        };
        opts.loop = loop;
        opts.clock = clock_system();
        opts.handler = &handler;
        opts.data = this;
        opts.max_queued_bytes = 1024 * 1024;
        opts.silence_ms = 5000;
        opts.ping_ms = 1000;
        peer = peer_connect(&opts, address, nullptr);
    }
    ~StatusReader()
    {
        if (peer != nullptr) {
            peer_close(peer);
        }
    }
};

// Guards against statuses between schedulers that grow with the number of
// schedulers, and against agents that do not receive the addresses.
TEST(Deployment, SendsSchedulerAddressesOnlyToAgents)
{
    Deployment deployment(3, 1, PORT);

    ASSERT_TRUE(deployment.wait([&] { return deployment.all_ready(); }));
    int other = (deployment.leader_index() + 1) % 3;
    StatusReader reader(deployment.loop,
                        deployment.schedulers[other]->address);
    Teasel__PeerStatus status = TEASEL__PEER_STATUS__INIT;
    Teasel__NodeReport report = TEASEL__NODE_REPORT__INIT;
    Teasel__Envelope envelope = TEASEL__ENVELOPE__INIT;
    char name[] = "";

    ASSERT_TRUE(deployment.wait([&] { return reader.open; }));
    status.name = name;
    status.leader_address = name;
    envelope.body_case = TEASEL__ENVELOPE__BODY_PEER_STATUS;
    envelope.peer_status = &status;
    peer_send(reader.peer, &envelope);
    ASSERT_TRUE(
        deployment.wait([&] { return reader.address_counts.size() == 1; }));
    EXPECT_EQ(reader.address_counts[0], 0U);
    envelope.body_case = TEASEL__ENVELOPE__BODY_NODE_REPORT;
    envelope.node_report = &report;
    peer_send(reader.peer, &envelope);
    ASSERT_TRUE(
        deployment.wait([&] { return reader.address_counts.size() == 2; }));
    EXPECT_EQ(reader.address_counts[1], 3U);
}

} // namespace
