/* Membership of schedulers and election of the leader. */

#include <gtest/gtest.h>

#include <climits>
#include <memory>
#include <string>
#include <vector>

#include "fake_clock.h"
#include "fake_store.h"
#include "test_address.h"

extern "C" {
#include "base/clock.h"
#include "cluster/cluster_internal.h"
#include "cluster/control.h"
}

namespace {

enum {
    PORT = 800,
    /* Within it late answers arrive, and a call that one of them causes. */
    ANSWERS_MS = 500,
    /* Longer than the time between the claims of two schedulers. */
    STILL_MS = 150,
    /* Shorter than that. */
    MAX_TURN_MS = 20,
};

constexpr uint32_t STRONG_MILLI = 500;
constexpr uint32_t WEAK_MILLI = 120;

/* The owner of a cluster. */
struct Owner {
    int elections = 0;
};

void
count_election(uint64_t, void *data)
{
    static_cast<Owner *>(data)->elections++;
}

void
ignore(void *)
{
}

const cluster_handler_t handler = {
    .on_elected = count_election,
    .on_deposed = ignore,
    .on_leader_ready = ignore,
    .on_status = ignore,
    .on_answer = [](const Teasel__JobAnswer *, void *) {},
    .on_call = [](peer_t *, const Teasel__JobCall *, void *) {},
    .on_report = [](peer_t *, const char *, const Teasel__NodeReport *,
                    void *) {},
    .on_peer_closed = [](peer_t *, void *) {},
};

/* Asks a leader that has just fenced its predecessors. */
bool
has_stale_leader(cluster_t *cluster)
{
    return cluster_has_stale_leader(cluster, cluster_now_ms(cluster));
}

/* Schedulers in one process that share a store. */
struct Schedulers {
    struct Process {
        std::string name;
        uint32_t cpu_milli;
        char address[32];
        std::unique_ptr<FakeStoreView> view;
        Owner owner;
        cluster_t *cluster = nullptr;
        uint64_t incarnation = 0;
    };
    fake_clock_t clock;
    int64_t clock_us = g_get_monotonic_time(); /* time up to which it shows */
    loop_t *loop;
    FakeStore store;
    std::vector<std::unique_ptr<Process>> processes;
    unsigned long still_ms = 0; /* the process stands still before each turn */

    explicit Schedulers(const std::vector<uint32_t> &cpu_milli)
    {
        fake_clock_init(&clock);
        loop = loop_new_on(&clock.clock);
        for (size_t i = 0; i < cpu_milli.size(); i++) {
            auto process = std::make_unique<Process>();

            process->name = "s" + std::to_string(10 + i);
            process->cpu_milli = cpu_milli[i];
            test_address(process->address, PORT + (int)i);
            processes.push_back(std::move(process));
            start(i);
        }
    }
    Schedulers(const Schedulers &) = delete;
    ~Schedulers()
    {
        for (auto &process : processes) {
            cluster_free(process->cluster);
        }
        processes.clear();
        loop_free(loop);
    }
    void
    start(size_t i)
    {
        Process &process = *processes[i];
        cluster_opts_t opts = {};
        g_autoptr(GError) error = nullptr;

        process.view = std::make_unique<FakeStoreView>(&store, loop);
        opts.loop = loop;
        opts.clock = &clock.clock;
        opts.store = &process.view->base;
        opts.name = process.name.c_str();
        opts.address = process.address;
        opts.incarnation = ++process.incarnation;
        opts.cpu_milli = process.cpu_milli;
        opts.silence_ms = 800;
        opts.status_ms = 100;
        opts.handler = &handler;
        opts.data = &process.owner;
        process.cluster = cluster_new(&opts, &error);
        g_assert_no_error(error);
    }
    /* The clock leaves out the time for which the process stands still, as the
       schedulers of a deployment don't all do so at once. */
    void
    turn()
    {
        int64_t passed_ms = (g_get_monotonic_time() - clock_us) / 1000;

        clock_us += passed_ms * 1000;
        fake_clock_advance_ms(&clock, MIN(passed_ms, MAX_TURN_MS));
        g_usleep(still_ms * 1000);
        loop_run_once(loop, 10);
    }
    int64_t
    now_ms()
    {
        return (int64_t)timespec_to_ms(clock.now);
    }
    void
    run_ms(int64_t ms)
    {
        int64_t end_ms = now_ms() + ms;

        while (now_ms() < end_ms) {
            turn();
        }
    }
    void
    kill(size_t i)
    {
        cluster_free(processes[i]->cluster);
        processes[i]->cluster = nullptr;
        /* The view must outlive its last pending call. */
        run_ms(50);
    }
    /* Ends the process while the store holds its answers, which arrive after
       that. */
    void
    kill_before_answers(size_t i)
    {
        cluster_free(processes[i]->cluster);
        processes[i]->cluster = nullptr;
        processes[i]->view->release();
        run_ms(ANSWERS_MS);
    }
    bool
    wait(const std::function<bool()> &done)
    {
        bool met = false;
        auto deadline = g_get_monotonic_time() + 10 * G_USEC_PER_SEC;

        while (!met && g_get_monotonic_time() < deadline) {
            turn();
            met = done();
        }
        return met;
    }
    int
    leader()
    {
        for (size_t i = 0; i < processes.size(); i++) {
            if (processes[i]->cluster != nullptr &&
                cluster_is_leading(processes[i]->cluster)) {
                return (int)i;
            }
        }
        return -1;
    }
    size_t
    count_open(size_t i)
    {
        size_t open = 0;

        LIST_FOREACH (member, &processes[i]->cluster->members, member_t,
                      link) {
            open += member->open;
        }
        return open;
    }
    /* Waits until the stored view of the leader covers all others. */
    bool
    wait_for_view(size_t leader)
    {
        const cluster_t *cluster = processes[leader]->cluster;

        return wait([&] {
            return cluster->view.stored &&
                   cluster->view.members_offset < cluster->view.stored_offset;
        });
    }
    bool
    all_follow(int expected)
    {
        for (auto &process : processes) {
            if (process->cluster != nullptr &&
                (!cluster_has_leader(process->cluster) ||
                 process->cluster->leader_name != processes[expected]->name)) {
                return false;
            }
        }
        return true;
    }
};

// Guards against a leader on a small instance while larger ones are up: it is
// slow to place tasks and to answer all schedulers and agents.
TEST(Cluster, ElectsASchedulerWithTheMostCpu)
{
    Schedulers schedulers(
        {WEAK_MILLI, WEAK_MILLI, STRONG_MILLI, WEAK_MILLI, STRONG_MILLI});

    ASSERT_TRUE(schedulers.wait([&] { return schedulers.leader() == 2; }));
    ASSERT_TRUE(schedulers.wait([&] { return schedulers.all_follow(2); }));
    schedulers.kill(2);
    schedulers.still_ms = STILL_MS;
    EXPECT_TRUE(schedulers.wait([&] { return schedulers.leader() >= 0; }));
    EXPECT_EQ(schedulers.leader(), 4);
}

// Guards against connections that grow with the square of the number of
// schedulers.
TEST(Cluster, ConnectsOnlyTheCandidatesToEachOther)
{
    Schedulers schedulers(std::vector<uint32_t>(12, WEAK_MILLI));

    ASSERT_TRUE(schedulers.wait([&] {
        return schedulers.leader() >= 0 &&
               schedulers.all_follow(schedulers.leader());
    }));
    auto leader = (size_t)schedulers.leader();
    EXPECT_TRUE(schedulers.wait([&] {
        for (size_t i = 0; i < 12; i++) {
            size_t expected = i == leader ? 11 : i < 7 ? 6 : 1;

            /* A leader that is no candidate is one more. */
            expected += i < 7 && i != leader && leader >= 7;
            if (schedulers.count_open(i) != expected) {
                return false;
            }
        }
        return true;
    }));
}

// Guards against schedulers that are not connected to the candidates, and so
// take themselves for the first in rank, which claim beside them. Found on a
// deployment with 55 schedulers, of which five claimed at once.
TEST(Cluster, LeavesTimeForTheCandidatesToSucceed)
{
    std::vector<uint32_t> cpu_milli(12, WEAK_MILLI);

    cpu_milli[11] = STRONG_MILLI;
    Schedulers schedulers(cpu_milli);
    ASSERT_TRUE(schedulers.wait([&] {
        return schedulers.leader() == 11 && schedulers.all_follow(11);
    }));
    /* The candidates cannot claim, which shows how long the others wait. */
    for (size_t i = 0; i < 6; i++) {
        schedulers.processes[i]->view->refuse = true;
    }
    int64_t resigned_ms = schedulers.now_ms();
    cluster_resign(schedulers.processes[11]->cluster, "test");
    ASSERT_TRUE(schedulers.wait([&] {
        int leader = schedulers.leader();

        return leader >= 6 && leader != 11;
    }));
    EXPECT_GE(schedulers.now_ms() - resigned_ms, 1000);
}

// Guards against a failed leader that is not replaced, because all candidates
// fail with it.
TEST(Cluster, ReplacesALeaderThatFailsWithAllCandidates)
{
    Schedulers schedulers(std::vector<uint32_t>(9, WEAK_MILLI));

    ASSERT_TRUE(schedulers.wait([&] {
        return schedulers.leader() >= 0 &&
               schedulers.all_follow(schedulers.leader());
    }));
    for (size_t i = 0; i < 7; i++) {
        schedulers.kill(i);
    }
    if (schedulers.leader() >= 0) {
        schedulers.kill((size_t)schedulers.leader());
    }
    EXPECT_TRUE(schedulers.wait([&] { return schedulers.leader() >= 7; }));
}

// Guards against schedulers that have left but stay members of the others,
// which dial them for ever.
TEST(Cluster, ForgetsASchedulerThatHasLeft)
{
    Schedulers schedulers({WEAK_MILLI, WEAK_MILLI, WEAK_MILLI});

    ASSERT_TRUE(schedulers.wait([&] {
        return schedulers.leader() >= 0 &&
               schedulers.all_follow(schedulers.leader());
    }));
    auto left = (size_t)schedulers.leader();
    size_t other = left == 0 ? 1 : 0;
    const char *name = schedulers.processes[left]->name.c_str();
    cluster_leave(schedulers.processes[left]->cluster);
    EXPECT_TRUE(schedulers.wait([&] {
        return cluster_find_member(schedulers.processes[other]->cluster,
                                   name) == nullptr;
    }));
    EXPECT_TRUE(schedulers.wait([&] {
        int leader = schedulers.leader();

        return leader >= 0 && leader != (int)left;
    }));
    schedulers.kill(left);
    schedulers.start(left);
    EXPECT_TRUE(schedulers.wait([&] {
        return cluster_find_member(schedulers.processes[other]->cluster,
                                   name) != nullptr;
    }));
}

// Guards against a leader that takes older acknowledgements, or the lack of
// other schedulers, for a confirmation.
TEST(Cluster, CountsAcknowledgementsOfAllOtherSchedulers)
{
    Schedulers schedulers({WEAK_MILLI, WEAK_MILLI});

    ASSERT_TRUE(schedulers.wait([&] {
        return schedulers.leader() >= 0 &&
               schedulers.all_follow(schedulers.leader());
    }));
    auto leader = (size_t)schedulers.leader();
    cluster_t *cluster = schedulers.processes[leader]->cluster;
    ASSERT_TRUE(
        schedulers.wait([&] { return cluster_get_acked_ms(cluster) > 0; }));
    EXPECT_FALSE(cluster_is_alone(cluster));
    schedulers.run_ms(5);
    int64_t asked_ms = cluster_now_ms(cluster);
    EXPECT_LT(cluster_get_acked_ms(cluster), asked_ms);
    cluster_request_acks(cluster);
    EXPECT_TRUE(schedulers.wait(
        [&] { return cluster_get_acked_ms(cluster) >= asked_ms; }));
    cluster_leave(schedulers.processes[1 - leader]->cluster);
    ASSERT_TRUE(schedulers.wait([&] { return cluster_is_alone(cluster); }));
    EXPECT_EQ(cluster_get_acked_ms(cluster), 0);
}

// Guards against tasks that run twice: a leader without the store takes itself
// for the only scheduler, and one that has connected since leads after its
// wait for the leases.
TEST(Cluster, IsNotAloneOnceAnUnknownSchedulerConnects)
{
    Schedulers schedulers({WEAK_MILLI, WEAK_MILLI});
    auto &first = *schedulers.processes[0];

    schedulers.kill(1);
    schedulers.store.remove(CONTROL_TOPIC, CONTROL_SCHEDULER_PREFIX +
                                               schedulers.processes[1]->name);
    ASSERT_TRUE(schedulers.wait([&] {
        return cluster_is_leading(first.cluster) &&
               cluster_is_alone(first.cluster);
    }));
    first.view->refuse = true;
    schedulers.run_ms(ANSWERS_MS);
    schedulers.start(1);
    ASSERT_TRUE(schedulers.wait(
        [&] { return schedulers.all_follow(schedulers.leader()); }));
    EXPECT_TRUE(
        schedulers.wait([&] { return !cluster_is_alone(first.cluster); }));
    EXPECT_EQ(cluster_get_acked_ms(first.cluster), 0);
    /* A scheduler that stops does not lead any more. */
    cluster_leave(schedulers.processes[1]->cluster);
    first.view->refuse = false;
    EXPECT_TRUE(
        schedulers.wait([&] { return cluster_is_alone(first.cluster); }));
}

// Guards against a task that runs twice: a scheduler that stopped as planned,
// and that the cut-off leader cannot know again, waited for one lease only.
TEST(Cluster, KnowsALeaderThatMayNotKnowIt)
{
    Schedulers schedulers({STRONG_MILLI, WEAK_MILLI});
    auto &first = *schedulers.processes[0];
    auto &second = *schedulers.processes[1];

    ASSERT_TRUE(schedulers.wait([&] { return schedulers.leader() == 0; }));
    ASSERT_TRUE(schedulers.wait_for_view(0));
    cluster_leave(second.cluster);
    ASSERT_TRUE(
        schedulers.wait([&] { return cluster_is_alone(first.cluster); }));
    schedulers.kill(1);
    /* One that is gone without a trace may as well be cut off. */
    schedulers.kill(0);
    schedulers.start(1);
    ASSERT_TRUE(schedulers.wait([&] { return schedulers.leader() == 1; }));
    EXPECT_TRUE(has_stale_leader(second.cluster));
    EXPECT_FALSE(cluster_is_alone(second.cluster));
    /* Its next process proves that the one before has ended. */
    schedulers.start(0);
    EXPECT_TRUE(
        schedulers.wait([&] { return !has_stale_leader(second.cluster); }));
}

// Guards against lost tasks that wait for long after each change of the
// leader.
TEST(Cluster, WaitsForNoLeaderThatKnewIt)
{
    Schedulers schedulers({STRONG_MILLI, WEAK_MILLI});
    auto &second = *schedulers.processes[1];

    ASSERT_TRUE(schedulers.wait([&] { return schedulers.leader() == 0; }));
    ASSERT_TRUE(schedulers.wait_for_view(0));
    schedulers.kill(0);
    ASSERT_TRUE(schedulers.wait([&] { return schedulers.leader() == 1; }));
    EXPECT_FALSE(has_stale_leader(second.cluster));
}

// Guards against the same after a restart without a planned stop: the leader
// needs the confirmation of the name, which only the next process can give.
TEST(Cluster, WaitsForNoLeaderThatKnewItsEarlierProcess)
{
    Schedulers schedulers({STRONG_MILLI, WEAK_MILLI});
    auto &second = *schedulers.processes[1];

    ASSERT_TRUE(schedulers.wait([&] { return schedulers.leader() == 0; }));
    ASSERT_TRUE(schedulers.wait_for_view(0));
    schedulers.kill(1);
    schedulers.kill(0);
    schedulers.start(1);
    ASSERT_TRUE(schedulers.wait([&] { return schedulers.leader() == 1; }));
    EXPECT_FALSE(has_stale_leader(second.cluster));
}

// Guards against the same after a leader that stopped as planned.
TEST(Cluster, WaitsForNoLeaderThatHasLeft)
{
    Schedulers schedulers({WEAK_MILLI});
    auto process = std::make_unique<Schedulers::Process>();

    ASSERT_TRUE(schedulers.wait([&] { return schedulers.leader() == 0; }));
    ASSERT_TRUE(schedulers.wait_for_view(0));
    cluster_leave(schedulers.processes[0]->cluster);
    schedulers.run_ms(ANSWERS_MS);
    schedulers.kill(0);
    process->name = "s30";
    process->cpu_milli = WEAK_MILLI;
    test_address(process->address, PORT + 30);
    schedulers.processes.push_back(std::move(process));
    schedulers.start(1);
    ASSERT_TRUE(schedulers.wait([&] { return schedulers.leader() == 1; }));
    EXPECT_FALSE(has_stale_leader(schedulers.processes[1]->cluster));
}

// Guards against a wait without an end for a leader that never comes back.
TEST(Cluster, WaitsForAnEarlierLeaderForALimitedTime)
{
    Schedulers schedulers({STRONG_MILLI, WEAK_MILLI});
    auto &second = *schedulers.processes[1];

    ASSERT_TRUE(schedulers.wait([&] { return schedulers.leader() == 0; }));
    ASSERT_TRUE(schedulers.wait_for_view(0));
    cluster_leave(second.cluster);
    schedulers.run_ms(ANSWERS_MS);
    schedulers.kill(1);
    schedulers.kill(0);
    schedulers.start(1);
    ASSERT_TRUE(schedulers.wait([&] { return schedulers.leader() == 1; }));
    int64_t fenced_ms = cluster_now_ms(second.cluster);
    fake_clock_advance_ms(&schedulers.clock, CLUSTER_STALE_LEADER_MS - 1);
    EXPECT_TRUE(cluster_has_stale_leader(second.cluster, fenced_ms));
    fake_clock_advance_ms(&schedulers.clock, 1);
    EXPECT_FALSE(cluster_has_stale_leader(second.cluster, fenced_ms));
}

// Guards against a leader that extends leases as the only scheduler before the
// store says so, on which a scheduler that starts then relies.
TEST(Cluster, IsNotAloneBeforeItsViewIsStored)
{
    Schedulers schedulers({WEAK_MILLI});
    auto &first = *schedulers.processes[0];

    ASSERT_TRUE(
        schedulers.wait([&] { return first.cluster->view.registered; }));
    ASSERT_TRUE(schedulers.wait([&] { return first.cluster->claiming; }));
    first.view->lose_answers = INT_MAX;
    ASSERT_TRUE(schedulers.wait([&] { return schedulers.leader() == 0; }));
    schedulers.run_ms(ANSWERS_MS);
    EXPECT_FALSE(cluster_is_alone(first.cluster));
    first.view->lose_answers = 0;
    EXPECT_TRUE(
        schedulers.wait([&] { return cluster_is_alone(first.cluster); }));
}

// Guards against work that ends in each later outage of the store, because a
// scheduler was lost for good; if it comes back, it has to wait.
TEST(Cluster, IsAloneOnceTheOthersAreLostForLong)
{
    Schedulers schedulers({STRONG_MILLI, WEAK_MILLI});
    auto &first = *schedulers.processes[0];
    auto &second = *schedulers.processes[1];

    ASSERT_TRUE(schedulers.wait([&] { return schedulers.leader() == 0; }));
    ASSERT_TRUE(schedulers.wait(
        [&] { return cluster_get_view_acked_ms(first.cluster) > 0; }));
    schedulers.kill(1);
    EXPECT_FALSE(cluster_is_alone(first.cluster));
    fake_clock_advance_ms(&schedulers.clock, 11000);
    ASSERT_TRUE(
        schedulers.wait([&] { return cluster_is_alone(first.cluster); }));
    EXPECT_EQ(cluster_get_acked_ms(first.cluster), 0);
    schedulers.kill(0);
    schedulers.start(1);
    ASSERT_TRUE(schedulers.wait([&] { return schedulers.leader() == 1; }));
    EXPECT_TRUE(has_stale_leader(second.cluster));
}

// Guards against leases that a cut-off leader extends though an agent told it
// of the next one, and against agents that it keeps from that one.
TEST(Cluster, ResignsWhenAnAgentFollowsALaterLeader)
{
    Schedulers schedulers({WEAK_MILLI});
    cluster_t *cluster = schedulers.processes[0]->cluster;
    Teasel__LeaderAddress later = TEASEL__LEADER_ADDRESS__INIT;

    ASSERT_TRUE(schedulers.wait([&] { return schedulers.leader() == 0; }));
    later.address = const_cast<char *>("127.0.0.1:1");
    later.epoch = cluster->epoch;
    cluster_note_later_leader(cluster, &later);
    EXPECT_TRUE(cluster_is_leading(cluster));
    later.epoch = cluster->epoch + 1;
    later.address = schedulers.processes[0]->address;
    cluster_note_later_leader(cluster, &later);
    EXPECT_TRUE(cluster_is_leading(cluster));
    later.address = const_cast<char *>("127.0.0.1:1");
    cluster_note_later_leader(cluster, &later);
    EXPECT_FALSE(cluster_is_leading(cluster));
    EXPECT_STREQ(cluster->reported_address, "127.0.0.1:1");
}

// Guards against all work that ends in each later outage of the store, because
// a scheduler that was killed before it could register counts for ever.
TEST(Cluster, ForgetsASchedulerThatWasKilledBeforeItRegistered)
{
    Schedulers schedulers({WEAK_MILLI, WEAK_MILLI});
    auto &first = *schedulers.processes[0];
    auto &second = *schedulers.processes[1];

    schedulers.kill(1);
    schedulers.store.remove(CONTROL_TOPIC,
                            CONTROL_SCHEDULER_PREFIX + second.name);
    ASSERT_TRUE(schedulers.wait([&] {
        return cluster_is_leading(first.cluster) &&
               cluster_is_alone(first.cluster);
    }));
    schedulers.start(1);
    loop_timer_stop(&second.cluster->register_timer);
    ASSERT_TRUE(
        schedulers.wait([&] { return !cluster_is_alone(first.cluster); }));
    schedulers.kill(1);
    EXPECT_TRUE(
        schedulers.wait([&] { return cluster_is_alone(first.cluster); }));
}

// Guards against a scheduler that others cannot find, because the removal by
// its predecessor took effect after its registration.
TEST(Cluster, RegistersAgainAfterALateRemoval)
{
    Schedulers schedulers({WEAK_MILLI, WEAK_MILLI});
    std::string key = CONTROL_SCHEDULER_PREFIX + schedulers.processes[1]->name;

    ASSERT_TRUE(schedulers.wait([&] {
        return schedulers.leader() >= 0 &&
               schedulers.all_follow(schedulers.leader());
    }));
    schedulers.store.remove(CONTROL_TOPIC, key);
    EXPECT_TRUE(schedulers.wait([&] {
        return !schedulers.store.newest(CONTROL_TOPIC, key).empty() &&
               cluster_find_member(schedulers.processes[0]->cluster,
                                   schedulers.processes[1]->name.c_str()) !=
                   nullptr;
    }));
}

// Guards against a scheduler that finds no leader and claims neither, as the
// newest record of the leader cannot be read or called.
TEST(Cluster, ElectsALeaderAfterAnOddRecordOfOne)
{
    for (const std::string &odd :
         {std::string("\xff\xff\xff"), std::string("\x0a\x00", 2),
          std::string("\x0a\x01x\x12\x0f"
                      "127.0.0.1:65536"),
          std::string("\x0a\x03s10\x12\x01x")}) {
        Schedulers schedulers({WEAK_MILLI, WEAK_MILLI});

        ASSERT_TRUE(schedulers.wait([&] {
            return schedulers.leader() >= 0 &&
                   schedulers.all_follow(schedulers.leader());
        }));
        schedulers.store.put(CONTROL_TOPIC, CONTROL_KEY_LEADER, odd);
        auto process = std::make_unique<Schedulers::Process>();
        process->name = "s30";
        process->cpu_milli = WEAK_MILLI;
        test_address(process->address, PORT + 30);
        schedulers.processes.push_back(std::move(process));
        schedulers.start(2);
        EXPECT_TRUE(schedulers.wait([&] {
            return schedulers.leader() >= 0 &&
                   schedulers.all_follow(schedulers.leader());
        })) << odd;
    }
}

// Guards against a scheduler that the others take for another one, as a record
// that is not its own gives its name.
TEST(Cluster, KeepsTheAddressOfASchedulerWhoseNameIsInAnotherRecord)
{
    Schedulers schedulers({WEAK_MILLI, WEAK_MILLI, WEAK_MILLI});
    cluster_t *cluster = schedulers.processes[0]->cluster;

    ASSERT_TRUE(schedulers.wait([&] {
        return schedulers.leader() >= 0 &&
               schedulers.all_follow(schedulers.leader());
    }));
    schedulers.store.put(CONTROL_TOPIC, CONTROL_SCHEDULER_PREFIX "x",
                         "\x0a\x03s11\x12\x0b"
                         "127.0.0.1:1");
    schedulers.store.put(CONTROL_TOPIC, CONTROL_SCHEDULER_PREFIX "y",
                         "\x0a\x01y\x12\x0f"
                         "127.0.0.1:65536");
    uint64_t end =
        schedulers.store.put(CONTROL_TOPIC, CONTROL_SCHEDULER_PREFIX, "") + 1;
    ASSERT_TRUE(schedulers.wait(
        [&] { return follower_get_next_offset(cluster->follower) >= end; }));
    member_t *member = cluster_find_member(cluster, "s11");
    ASSERT_NE(member, nullptr);
    EXPECT_STREQ(member->address, schedulers.processes[1]->address);
    EXPECT_EQ(cluster_find_member(cluster, "y"), nullptr);
    EXPECT_EQ(cluster_find_member(cluster, ""), nullptr);
}

// Guards against a scheduler that others that start later cannot find, as its
// record was replaced by one that cannot be read.
TEST(Cluster, RegistersAgainAfterAnOddRecord)
{
    Schedulers schedulers({WEAK_MILLI, WEAK_MILLI});
    std::string key = CONTROL_SCHEDULER_PREFIX + schedulers.processes[1]->name;

    ASSERT_TRUE(schedulers.wait([&] {
        return schedulers.leader() >= 0 &&
               schedulers.all_follow(schedulers.leader());
    }));
    std::string sound = schedulers.store.newest(CONTROL_TOPIC, key);
    schedulers.store.put(CONTROL_TOPIC, key, "\xff\xff\xff");
    EXPECT_TRUE(schedulers.wait(
        [&] { return schedulers.store.newest(CONTROL_TOPIC, key) == sound; }));
}

// Guards against an owner that is told to lead after it has freed its cluster,
// as the answer to the claim came late.
TEST(Cluster, IgnoresALateAnswerToAClaim)
{
    Schedulers schedulers({WEAK_MILLI});
    Schedulers::Process &process = *schedulers.processes[0];

    ASSERT_TRUE(schedulers.wait([&] {
        return process.cluster->view.registered && !process.cluster->claiming;
    }));
    process.view->hold = true;
    ASSERT_TRUE(schedulers.wait([&] { return process.cluster->claiming; }));
    schedulers.kill_before_answers(0);
    EXPECT_NE(schedulers.store.newest(CONTROL_TOPIC, CONTROL_KEY_LEADER), "");
    EXPECT_EQ(process.owner.elections, 0);
}

// Guards against a status that is sent by a cluster that was freed before the
// answer to its probe came.
TEST(Cluster, IgnoresALateAnswerToAProbe)
{
    Schedulers schedulers({WEAK_MILLI});
    Schedulers::Process &process = *schedulers.processes[0];

    ASSERT_TRUE(schedulers.wait([&] { return schedulers.leader() == 0; }));
    process.view->hold = true;
    cluster_probe_store(process.cluster);
    ASSERT_TRUE(process.cluster->probing);
    schedulers.kill_before_answers(0);
    EXPECT_TRUE(process.view->readers.empty());
}

// Guards against a registration that is repeated by a cluster that was freed
// before the answer to the first one came.
TEST(Cluster, IgnoresALateAnswerToARegistration)
{
    Schedulers schedulers({WEAK_MILLI});
    Schedulers::Process &process = *schedulers.processes[0];

    process.view->lose_answers = 1;
    /* It registers once it has read the topic. */
    ASSERT_TRUE(schedulers.wait(
        [&] { return follower_is_caught_up(process.cluster->follower); }));
    process.view->hold = true;
    ASSERT_TRUE(schedulers.wait([&] { return schedulers.store.appends > 0; }));
    schedulers.kill_before_answers(0);
    EXPECT_EQ(schedulers.store.appends, 1U);
}

} // namespace
