/* Schedulers and node agents together, with faults of the store, of the
   executors and of the processes. */

#include <gtest/gtest.h>

#include "deployment.h"

extern "C" {
#include "wire/peer.h"
}

namespace {

enum {
    PORT = 700,
};

// Guards against a path from a caller to an executor and back that is broken
// anywhere, through a scheduler that does not lead.
TEST(Deployment, RunsAJobFromAnyScheduler)
{
    Deployment all(3, 2, PORT);

    ASSERT_TRUE(all.wait([&] { return all.all_ready(); }));
    for (int i = 0; i < 3; i++) {
        std::string id = "job" + std::to_string(i);
        auto answer = all.call(i, JOB_VERB_SUBMIT, id,
                               make_spec(id, {{.count = 3}, {.after = {0}}}));

        EXPECT_EQ(answer.outcome, (uint32_t)JOB_OUTCOME_DONE);
        EXPECT_TRUE(all.wait_state((i + 1) % 3, id, SCHED_JOB_COMPLETED));
        EXPECT_EQ(all.count_starts(id + ".0.0.0"), 1);
        EXPECT_EQ(all.count_starts(id + ".0.1.0"), 1);
    }
    EXPECT_EQ(all.count_elections(), 1);
    EXPECT_EQ(all.call(0, JOB_VERB_GET, "unknown").outcome,
              (uint32_t)JOB_OUTCOME_NOT_FOUND);
}

// Guards against jobs that are lost or run twice when the leader dies.
TEST(Deployment, GoesOnWithAnotherLeader)
{
    Deployment all(3, 2, PORT);

    ASSERT_TRUE(all.wait([&] { return all.all_ready(); }));
    for (auto &one : all.nodes) {
        one->executor.work_ms = 400;
    }
    all.call(0, JOB_VERB_SUBMIT, "j", make_spec("j", {{.count = 4}}));
    int old = all.leader_index();
    ASSERT_TRUE(all.wait([&] { return all.count_starts("j.0.0.3") == 1; }));
    all.kill_scheduler(old);
    int other = (old + 1) % 3;
    EXPECT_TRUE(all.wait_state(other, "j", SCHED_JOB_COMPLETED));
    EXPECT_NE(all.leader_index(), old);
    for (int i = 0; i < 4; i++) {
        EXPECT_EQ(all.count_starts("j.0.0." + std::to_string(i)), 1);
    }
}

// Guards against schedulers that depose each other in turn after all were
// restarted: a status that was sent before its sender was elected was taken
// for a resignation (leafpress scale-1, seed 892916789928).
TEST(Deployment, ElectsOneLeaderAfterAllAreRestarted)
{
    Deployment all(3, 1, PORT);

    ASSERT_TRUE(all.wait([&] { return all.all_ready(); }));
    for (int round = 0; round < 3; round++) {
        int before = all.count_elections();

        for (int i = 0; i < 3; i++) {
            all.kill_scheduler(i);
        }
        for (int i = 0; i < 3; i++) {
            all.start_scheduler(i);
        }
        ASSERT_TRUE(all.wait([&] {
            return all.count_elections() > before && all.all_ready();
        }));
        all.run_ms(1000);
        EXPECT_TRUE(all.all_ready());
        EXPECT_LE(all.count_elections(), before + 2);
    }
}

// Guards against a leader that keeps the role although only it is turned away
// by the store.
TEST(Deployment, ResignsIfOnlyTheLeaderIsTurnedAway)
{
    Deployment all(3, 1, PORT);

    ASSERT_TRUE(all.wait([&] { return all.all_ready(); }));
    int old = all.leader_index();
    all.schedulers[old]->view->refuse = true;
    ASSERT_TRUE(all.wait([&] { return all.leader_index() != old; }));
    int other = all.leader_index();
    ASSERT_TRUE(all.wait(
        [&] { return scheduler_is_ready(all.schedulers[other]->scheduler); }));
    EXPECT_EQ(
        all.call(other, JOB_VERB_SUBMIT, "j", make_spec("j", {{}})).outcome,
        (uint32_t)JOB_OUTCOME_DONE);
    EXPECT_TRUE(all.wait_state(other, "j", SCHED_JOB_COMPLETED));
}

// Guards against a leader that resigns while nobody can take over, and against
// refusals that come late or are not true.
TEST(Deployment, RefusesJobsWhileTheStoreIsAway)
{
    Deployment all(2, 1, PORT);

    ASSERT_TRUE(all.wait([&] { return all.all_ready(); }));
    all.nodes[0]->executor.work_ms = 6000;
    all.call(0, JOB_VERB_SUBMIT, "long", make_spec("long", {{}}));
    ASSERT_TRUE(all.wait([&] { return all.count_starts("long.0.0.0") == 1; }));
    int leader = all.leader_index();
    for (auto &one : all.schedulers) {
        one->view->refuse = true;
    }
    Deployment::Answer answer;
    std::string refused;
    for (int i = 0; i < 100 && answer.retry_after_ms == 0; i++) {
        refused = "refused" + std::to_string(i);
        answer = all.call(leader, JOB_VERB_SUBMIT, refused,
                          make_spec(refused, {{}}));
        all.run_ms(50);
    }
    EXPECT_EQ(answer.outcome, (uint32_t)JOB_OUTCOME_REFUSED);
    EXPECT_GT(answer.retry_after_ms, 0U);
    all.run_ms(2500);
    EXPECT_EQ(all.leader_index(), leader);
    /* Nobody could have taken over, so the run went on past its lease. */
    EXPECT_EQ(all.nodes[0]->executor.ends.size(), 0U);
    EXPECT_EQ(all.nodes[0]->executor.running.count("long.0.0.0"), 1U);
    for (auto &one : all.schedulers) {
        one->view->refuse = false;
    }
    EXPECT_TRUE(all.wait_state(leader, "long", SCHED_JOB_COMPLETED));
    EXPECT_EQ(all.count_starts("long.0.0.0"), 1);
    /* What was refused is unknown, and has not run. */
    EXPECT_EQ(all.call(leader, JOB_VERB_GET, refused).outcome,
              (uint32_t)JOB_OUTCOME_NOT_FOUND);
    EXPECT_EQ(all.count_starts(refused + ".0.0.0"), 0);
}

// Guards against a job that is stored twice, or not at all, when the answer of
// the store is lost.
TEST(Deployment, RepeatsAWriteWhoseAnswerIsLost)
{
    Deployment all(2, 1, PORT);

    ASSERT_TRUE(all.wait([&] { return all.all_ready(); }));
    int leader = all.leader_index();
    all.schedulers[leader]->view->lose_answers = 3;
    EXPECT_EQ(
        all.call(leader, JOB_VERB_SUBMIT, "j", make_spec("j", {{}})).outcome,
        (uint32_t)JOB_OUTCOME_DONE);
    EXPECT_TRUE(all.wait_state(leader, "j", SCHED_JOB_COMPLETED));
    EXPECT_EQ(all.count_starts("j.0.0.0"), 1);
    EXPECT_EQ(all.leader_index(), leader);
}

// Guards against a lost answer that holds up all decisions for the longest
// time that an answer may take, and against repeats that press on a slow
// store.
TEST(Deployment, RepeatsALostWriteSoonThenLater)
{
    Deployment all(1, 1, PORT);

    ASSERT_TRUE(all.wait([&] { return all.all_ready(); }));
    FakeStoreView &view = *all.schedulers[0]->view;
    view.lose_answers = 5;
    all.call(0, JOB_VERB_SUBMIT, "j", make_spec("j", {{}}));
    ASSERT_EQ(view.lost_timeouts.size(), 5U);
    EXPECT_GT(view.lost_timeouts[0], 0U);
    EXPECT_LT(view.lost_timeouts[0], view.lost_timeouts[1]);
    EXPECT_LT(view.lost_timeouts[1], view.lost_timeouts[2]);
    EXPECT_EQ(view.lost_timeouts[4], 1000U);
}

// Guards against a claim whose answer is lost, so that nobody leads.
TEST(Deployment, LeadsAfterALostAnswerToItsClaim)
{
    Deployment all(1, 1, PORT);

    all.schedulers[0]->view->lose_answers = 2;
    ASSERT_TRUE(all.wait([&] { return all.all_ready(); }));
    EXPECT_EQ(all.call(0, JOB_VERB_SUBMIT, "j", make_spec("j", {{}})).outcome,
              (uint32_t)JOB_OUTCOME_DONE);
}

// Guards against a planned stop of the leader that cuts callers off.
TEST(Deployment, HandsTheRoleOverBeforeAPlannedStop)
{
    Deployment all(2, 1, PORT);
    Deployment::Answer answer;

    ASSERT_TRUE(all.wait([&] { return all.all_ready(); }));
    int leader = all.leader_index();
    all.send(leader, JOB_VERB_SUBMIT, "j", make_spec("j", {{}}), &answer);
    scheduler_leave(all.schedulers[leader]->scheduler);
    EXPECT_FALSE(scheduler_is_ready(all.schedulers[leader]->scheduler));
    ASSERT_TRUE(all.wait([&] { return all.schedulers[leader]->left; }));
    EXPECT_TRUE(answer.arrived);
    EXPECT_EQ(answer.outcome, (uint32_t)JOB_OUTCOME_DONE);
    all.kill_scheduler(leader);
    int other = 1 - leader;
    EXPECT_TRUE(all.wait([&] { return all.leader_index() == other; }));
    EXPECT_TRUE(all.wait_state(other, "j", SCHED_JOB_COMPLETED));
}

// Guards against a start that is given up although it is carried out.
TEST(Deployment, FindsOutAboutAStartWithoutAnswer)
{
    Deployment all(1, 2, PORT);

    ASSERT_TRUE(all.wait([&] { return all.all_ready(); }));
    for (auto &one : all.nodes) {
        one->executor.lose_starts = 1;
        one->executor.work_ms = 300;
    }
    all.call(0, JOB_VERB_SUBMIT, "j", make_spec("j", {{.count = 4}}));
    EXPECT_TRUE(all.wait_state(0, "j", SCHED_JOB_COMPLETED));
    for (int i = 0; i < 4; i++) {
        EXPECT_EQ(all.count_starts("j.0.0." + std::to_string(i)), 1);
    }
}

// Guards against starts that an executor refuses and nobody repeats.
TEST(Deployment, PlacesARefusedStartElsewhere)
{
    Deployment all(1, 2, PORT);

    ASSERT_TRUE(all.wait([&] { return all.all_ready(); }));
    all.nodes[0]->executor.reject = "room";
    all.nodes[1]->executor.busy = 2;
    all.call(0, JOB_VERB_SUBMIT, "j", make_spec("j", {{.count = 3}}));
    EXPECT_TRUE(all.wait_state(0, "j", SCHED_JOB_COMPLETED));
}

// Guards against tasks that are stuck on an executor that went silent, and
// against a second run before its lease has run out.
TEST(Deployment, RunsTasksOfASilentExecutorAgain)
{
    Deployment all(1, 2, PORT);

    ASSERT_TRUE(all.wait([&] { return all.all_ready(); }));
    for (auto &one : all.nodes) {
        one->executor.work_ms = 600;
    }
    all.call(0, JOB_VERB_SUBMIT, "j", make_spec("j", {{.count = 2}}));
    ASSERT_TRUE(all.wait([&] {
        return all.count_starts("j.0.0.0") + all.count_starts("j.0.0.1") == 2;
    }));
    FakeExecutor &silent = all.nodes[0]->executor.running.empty()
                               ? all.nodes[1]->executor
                               : all.nodes[0]->executor;
    silent.work_ms = -1;
    silent.mute = true;
    std::string task = silent.running.begin()->first;
    ASSERT_TRUE(all.wait([&] { return all.count_starts(task) == 2; }));
    EXPECT_GT(FakeExecutor::now_ms(), silent.deadline_ms);
    EXPECT_TRUE(all.wait_state(0, "j", SCHED_JOB_COMPLETED));
}

// Guards against an agent that forgets what runs when it is restarted.
TEST(Deployment, KeepsRunsOverARestartOfTheAgent)
{
    Deployment all(1, 1, PORT);

    ASSERT_TRUE(all.wait([&] { return all.all_ready(); }));
    all.nodes[0]->executor.work_ms = 800;
    all.call(0, JOB_VERB_SUBMIT, "j", make_spec("j", {{}}));
    ASSERT_TRUE(all.wait([&] { return all.count_starts("j.0.0.0") == 1; }));
    node_free(all.nodes[0]->node);
    all.run_ms(30);
    all.start_node(0);
    EXPECT_TRUE(all.wait_state(0, "j", SCHED_JOB_COMPLETED));
    EXPECT_EQ(all.count_starts("j.0.0.0"), 1);
}

// Guards against a later life that is taken for the one that crashed.
TEST(Deployment, TellsTheLivesOfAnExecutorApart)
{
    Deployment all(1, 1, PORT);

    ASSERT_TRUE(all.wait([&] { return all.all_ready(); }));
    all.nodes[0]->executor.work_ms = 60000;
    all.call(0, JOB_VERB_SUBMIT, "j", make_spec("j", {{}}));
    ASSERT_TRUE(all.wait([&] { return all.count_starts("j.0.0.0") == 1; }));
    FakeExecutor &executor = all.nodes[0]->executor;
    executor.running.clear();
    executor.ends.clear();
    executor.past.clear();
    executor.next_end = 1;
    executor.deadline_ms = 0;
    executor.work_ms = 30;
    EXPECT_TRUE(all.announce(0, false, 200));
    EXPECT_FALSE(all.announce(0, false, 100));
    EXPECT_TRUE(all.wait_state(0, "j", SCHED_JOB_COMPLETED));
}

// Guards against cancelled tasks that run on.
TEST(Deployment, StopsTheTasksOfACancelledJob)
{
    Deployment all(2, 1, PORT);

    ASSERT_TRUE(all.wait([&] { return all.all_ready(); }));
    all.nodes[0]->executor.work_ms = 60000;
    all.call(0, JOB_VERB_SUBMIT, "j", make_spec("j", {{.count = 2}}));
    ASSERT_TRUE(
        all.wait([&] { return all.nodes[0]->executor.running.size() == 2; }));
    EXPECT_EQ(all.call(1, JOB_VERB_CANCEL, "j").outcome,
              (uint32_t)JOB_OUTCOME_DONE);
    EXPECT_TRUE(
        all.wait([&] { return all.nodes[0]->executor.running.empty(); }));
    EXPECT_TRUE(all.wait_state(1, "j", SCHED_JOB_CANCELLED));
}

/* Task f.0.0.0 fills beside s.0.0.0, whose target is 10 ms. */
void
run_filler_beside_serving(Deployment &all)
{
    FakeExecutor &executor = all.nodes[0]->executor;

    ASSERT_TRUE(all.wait([&] { return all.all_ready(); }));
    executor.work_ms = 60000;
    all.call(0, JOB_VERB_SUBMIT, "f", make_spec("f", {{.best_effort = true}}));
    ASSERT_TRUE(all.wait([&] { return executor.running.size() == 1; }));
    all.call(0, JOB_VERB_SUBMIT, "s",
             make_spec("s", {{.long_running = true, .target_ms = 10}}));
    ASSERT_TRUE(all.wait([&] { return executor.running.size() == 2; }));
}

// Guards against fillers that work on while a serving task misses its target.
TEST(Deployment, SlowsDownFillersThatDisturb)
{
    Deployment all(1, 1, PORT);
    FakeExecutor &executor = all.nodes[0]->executor;

    ASSERT_NO_FATAL_FAILURE(run_filler_beside_serving(all));
    executor.running["s.0.0.0"].figure = 30;
    ASSERT_TRUE(all.wait([&] {
        return !executor.paces.empty() && executor.paces.back().second == 0;
    }));
    executor.running["s.0.0.0"].figure = 3;
    EXPECT_TRUE(all.wait([&] { return executor.paces.back().second == 100; }));
}

// Guards against an agent that, once restarted, neither slows down fillers nor
// lets those work again that its predecessor slowed down.
TEST(Deployment, PacesFillersAfterARestartOfTheAgent)
{
    Deployment all(1, 1, PORT);
    FakeExecutor &executor = all.nodes[0]->executor;

    ASSERT_NO_FATAL_FAILURE(run_filler_beside_serving(all));
    node_free(all.nodes[0]->node);
    all.start_node(0);
    executor.running["s.0.0.0"].figure = 30;
    ASSERT_TRUE(all.wait([&] {
        return !executor.paces.empty() && executor.paces.back().second == 0;
    }));
    node_free(all.nodes[0]->node);
    executor.paces.clear();
    executor.running["s.0.0.0"].figure = 3;
    all.start_node(0);
    EXPECT_TRUE(all.wait([&] {
        return !executor.paces.empty() && executor.paces.back().second == 100;
    }));
}

/* A connection to a scheduler that notes the statuses it gets. */
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

// Guards against statuses between schedulers that grow with their number, and
// against agents that do not learn where the schedulers are.
TEST(Deployment, TellsAddressesOnlyToAgents)
{
    Deployment all(3, 1, PORT);

    ASSERT_TRUE(all.wait([&] { return all.all_ready(); }));
    int other = (all.leader_index() + 1) % 3;
    StatusReader reader(all.loop, all.schedulers[other]->address);
    Teasel__PeerStatus status = TEASEL__PEER_STATUS__INIT;
    Teasel__NodeReport report = TEASEL__NODE_REPORT__INIT;
    Teasel__Envelope envelope = TEASEL__ENVELOPE__INIT;
    char name[] = "";

    ASSERT_TRUE(all.wait([&] { return reader.open; }));
    status.name = name;
    status.leader_address = name;
    envelope.body_case = TEASEL__ENVELOPE__BODY_PEER_STATUS;
    envelope.peer_status = &status;
    peer_send(reader.peer, &envelope);
    ASSERT_TRUE(all.wait([&] { return reader.address_counts.size() == 1; }));
    EXPECT_EQ(reader.address_counts[0], 0U);
    envelope.body_case = TEASEL__ENVELOPE__BODY_NODE_REPORT;
    envelope.node_report = &report;
    peer_send(reader.peer, &envelope);
    ASSERT_TRUE(all.wait([&] { return reader.address_counts.size() == 2; }));
    EXPECT_EQ(reader.address_counts[1], 3U);
}

} // namespace
