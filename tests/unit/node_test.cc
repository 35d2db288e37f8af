/* A node agent with an executor in memory; the test acts as its leader. */

#include <gtest/gtest.h>

#include <set>

#include "fake_executor.h"
#include "fake_store.h"
#include "loop_wait.h"
#include "sched_fixture.h"
#include "test_address.h"

extern "C" {
#include "cluster/control.h"
#include "node/node.h"
#include "wire/peer.h"
}

namespace {

enum {
    PORT = 780,
};

/* The system's clock, which leaps if the process was paused. */
struct LeapingClock {
    clock_source_t base;
    int64_t leap_ms = 0;

    LeapingClock()
    {
        static const clock_vtbl_t vtbl = {get, get};

        base.vtbl = &vtbl;
    }
    static void
    get(const clock_source_t *clock, struct timespec *now)
    {
        auto *self = reinterpret_cast<const LeapingClock *>(clock);

        *now = timespec_add_ms(clock_get_monotonic(clock_system()),
                               self->leap_ms);
    }
};

struct Node : public testing::Test {
    LeapingClock clock;
    loop_t *loop = loop_new();
    FakeStore store;
    FakeStoreView view{&store, loop};
    FakeExecutor executor;
    node_settings_t settings = {};
    node_t *node = nullptr;
    peer_listener_t *listener = nullptr;
    peer_t *peer = nullptr;
    uint64_t epoch = 1000;              /* of the leader */
    uint64_t heartbeat_us = 0;          /* sent_us of the newest report */
    std::vector<std::string> heartbeat; /* executors that it contains */
    std::map<TaskRun, bool> crashed;    /* reported; whether confirmed */
    std::set<std::string> gone;         /* executors reported as such */
    uint32_t longest_lease_ms = 0;      /* that any leader grants */
    bool send_lists = false;            /* asked for with orders */
    bool knows_evacuation = false;      /* the leader; named with orders */
    std::vector<std::string> evacuated; /* data centres */
    std::map<TaskRun, bool> running;    /* reported; whether settled */
    std::set<TaskRun> begun;            /* reported as no longer pending */
    std::set<TaskRun> ended;            /* reported */
    std::set<TaskRun> rejected;         /* reported */
    std::set<std::string> reasons;      /* of these */
    uint32_t held_ms = 0;               /* of the executor reported last */
    uint64_t end_cursor = 0;            /* sent with orders */
    uint64_t sequence = 0;              /* of the newest announcement */
    bool draining = false;              /* announced */
    std::string known;                  /* to the leader; see describe() */
    uint64_t later_epoch = 0;           /* of a later leader; reported */
    std::string later_address;          /* of that one */
    char leader_address[32];
    char executor_address[32];

    void
    SetUp() override
    {
        static const peer_handler_t handler = {
            .on_open = nullptr,
            .on_message = on_message,
            .on_close = on_close,
        };
        peer_opts_t peer_opts = {};
        node_opts_t opts = {};
        g_autoptr(GError) error = nullptr;

        test_address(leader_address, PORT);
        test_address(executor_address, PORT + 1);
        executor.loop = loop;
        FakeExecutor::at()[executor_address] = &executor;
        peer_opts.loop = loop;
        peer_opts.clock = clock_system();
        peer_opts.handler = &handler;
        peer_opts.data = this;
        peer_opts.max_queued_bytes = 1024 * 1024;
        peer_opts.silence_ms = 60000;
        peer_opts.ping_ms = 100;
        listener = peer_listen(&peer_opts, leader_address, on_accept, &error);
        ASSERT_NE(listener, nullptr) << error->message;
        store.put(CONTROL_TOPIC, CONTROL_KEY_LEADER, leader_record());
        settings.name = const_cast<char *>("n");
        settings.data_centre = const_cast<char *>("dc");
        settings.report_ms = 100;
        settings.silence_ms = 60000;
        settings.poll_wait_ms = 50;
        settings.max_lease_ms = 2000;
        opts.loop = loop;
        opts.clock = &clock.base;
        opts.store = &view.base;
        opts.settings = &settings;
        opts.connect = FakeExecutor::connect;
        node = node_new(&opts, nullptr);
    }
    void
    TearDown() override
    {
        node_free(node);
        run_ms(50); /* the view must outlive its last pending call */
        peer_listener_free(listener);
        FakeExecutor::at().erase(executor_address);
        loop_free(loop);
    }
    std::string
    leader_record()
    {
        Teasel__LeaderRecord record = TEASEL__LEADER_RECORD__INIT;
        std::string out;

        record.name = const_cast<char *>("leader");
        record.address = leader_address;
        out.resize(teasel__leader_record__get_packed_size(&record));
        teasel__leader_record__pack(&record,
                                    reinterpret_cast<uint8_t *>(out.data()));
        return out;
    }
    static void
    on_accept(peer_t *peer, void *data)
    {
        static_cast<Node *>(data)->peer = peer;
    }
    void
    note_executor(const Teasel__ExecutorReport *report)
    {
        for (size_t i = 0; i < report->n_running; i++) {
            const Teasel__RunStatus *run = report->running[i];

            running[{run->task, run->run}] = run->settled;
            if (!run->pending) {
                begun.insert({run->task, run->run});
            }
        }
        for (size_t i = 0; i < report->n_ended; i++) {
            ended.insert({report->ended[i]->task, report->ended[i]->run});
        }
        for (size_t i = 0; i < report->n_rejected; i++) {
            rejected.insert(
                {report->rejected[i]->task, report->rejected[i]->run});
            reasons.insert(report->rejected[i]->reason);
        }
        if (report->gone) {
            gone.insert(report->key);
            return;
        }
        held_ms = report->held_ms;
    }
    static void
    on_message(peer_t *, const Teasel__Envelope *message, void *data)
    {
        auto *self = static_cast<Node *>(data);

        if (message->body_case != TEASEL__ENVELOPE__BODY_NODE_REPORT) {
            return;
        }
        if (message->node_report->later_leader != nullptr) {
            self->later_epoch = message->node_report->later_leader->epoch;
            self->later_address = message->node_report->later_leader->address;
        }
        for (size_t i = 0; i < message->node_report->n_crashed; i++) {
            const Teasel__CrashedRun *run = message->node_report->crashed[i];

            self->crashed[{run->task, run->run}] = !run->unconfirmed;
        }
        for (size_t i = 0; i < message->node_report->n_executors; i++) {
            self->note_executor(message->node_report->executors[i]);
            if (!message->node_report->executors[i]->gone) {
                self->note_traits(message->node_report->executors[i]);
            }
        }
        if (message->node_report->sent_us == 0) {
            return;
        }
        self->heartbeat_us = message->node_report->sent_us;
        self->heartbeat.clear();
        for (size_t i = 0; i < message->node_report->n_executors; i++) {
            self->heartbeat.push_back(message->node_report->executors[i]->key);
        }
    }
    /* What the newest report says of the executor. */
    static std::string
    describe(const Teasel__ExecutorReport *report)
    {
        std::string text = report->service;

        text += std::string(" ") + report->data_centre + " " + report->rack;
        for (size_t i = 0; i < report->n_labels; i++) {
            text += std::string(" ") + report->labels[i];
        }
        text += " " + std::to_string(report->capacity->cpu_milli);
        return text + (report->draining ? " draining" : " ready");
    }
    /* The leader takes a changed service, data centre, rack or label only from
       a complete list, see sched_apply_report(). */
    void
    note_traits(const Teasel__ExecutorReport *report)
    {
        std::string text = describe(report);

        if (report->listed || known.empty() ||
            traits_of(text) == traits_of(known)) {
            known = text;
        }
    }
    /* A description without the capacity and the state. */
    static std::string
    traits_of(const std::string &text)
    {
        return text.substr(0, text.rfind(' ', text.rfind(' ') - 1));
    }
    static void
    on_close(peer_t *, const char *, void *data)
    {
        static_cast<Node *>(data)->peer = nullptr;
    }
    void
    run_ms(int64_t ms)
    {
        loop_run_ms(loop, ms);
    }
    /* Runs the loop until the condition holds; returns false after 10 s. */
    bool
    wait(const std::function<bool()> &condition)
    {
        return loop_wait(loop, 10000, condition);
    }
    executor_info_t
    make_info(uint64_t number)
    {
        executor_info_t info = {};

        info.id = executor.id.c_str();
        info.started_ms = executor.born_ms;
        info.address = executor_address;
        info.service = "service";
        info.data_centre = "dc";
        info.rack = "r1";
        info.cpu_milli = 4000;
        info.memory_mb = 4000;
        info.clock_ms = FakeExecutor::now_ms() + executor.clock_offset_ms;
        info.sequence = number;
        info.draining = draining;
        return info;
    }
    /* Announces an incarnation at the address of the executor. */
    bool
    announce_as(const std::string &id, int64_t started_ms)
    {
        executor_info_t info = make_info(++sequence);

        info.id = id.c_str();
        info.started_ms = started_ms;
        return node_announce_executor(node, &info);
    }
    void
    announce()
    {
        ASSERT_TRUE(announce_as(executor.id, executor.born_ms));
    }
    bool
    has_failed_polls()
    {
        g_autoptr(GString) metrics = g_string_new(nullptr);

        node_write_metrics(node, metrics);
        return strstr(metrics->str, "teasel_poll_failures_total 0\n") ==
               nullptr;
    }
    /* Announces the executor again and again, as it does itself. */
    void
    announce_seconds(int seconds, uint64_t *number)
    {
        for (int i = 0; i < seconds; i++) {
            executor_info_t info = make_info(++*number);

            clock.leap_ms += 1000;
            node_announce_executor(node, &info);
        }
    }
    /* Announces the executor, and lets the leader learn of it. */
    void
    join()
    {
        ASSERT_TRUE(wait([&] { return heartbeat_us != 0; }));
        grant(heartbeat_us, 60000);
        announce();
        ASSERT_TRUE(wait([&] { return known == "service dc r1 4000 ready"; }));
    }
    bool
    becomes_known(const std::string &text)
    {
        return loop_wait(loop, 2000, [&] { return known == text; });
    }
    /* Grants a lease that is counted from a heartbeat, and orders starts at
       the first executor that it contained. */
    void
    grant(uint64_t echo_us, uint32_t lease_ms,
          std::vector<TaskRun> starts = {})
    {
        Teasel__NodeOrders orders = TEASEL__NODE_ORDERS__INIT;
        Teasel__ExecutorOrders executor_orders = TEASEL__EXECUTOR_ORDERS__INIT;
        Teasel__ExecutorOrders *executors[] = {&executor_orders};
        Teasel__Envelope envelope = TEASEL__ENVELOPE__INIT;
        std::vector<Teasel__StartOrder> messages(starts.size());
        std::vector<Teasel__StartOrder *> pointers;
        Teasel__Evacuation evacuation = TEASEL__EVACUATION__INIT;
        std::vector<char *> names;

        for (size_t i = 0; i < starts.size(); i++) {
            teasel__start_order__init(&messages[i]);
            messages[i].task = starts[i].first.data();
            messages[i].run = starts[i].second;
            pointers.push_back(&messages[i]);
        }
        if (!starts.empty() || end_cursor != 0) {
            executor_orders.key = heartbeat[0].data();
            executor_orders.end_cursor = end_cursor;
            executor_orders.n_starts = pointers.size();
            executor_orders.starts = pointers.data();
            orders.n_executors = 1;
            orders.executors = executors;
        }
        orders.epoch = epoch;
        orders.echo_us = echo_us;
        orders.lease_ms = lease_ms;
        orders.longest_lease_ms = longest_lease_ms;
        orders.send_lists = send_lists;
        for (std::string &name : evacuated) {
            names.push_back(name.data());
        }
        evacuation.n_data_centres = names.size();
        evacuation.data_centres = names.data();
        orders.evacuation = knows_evacuation ? &evacuation : nullptr;
        envelope.body_case = TEASEL__ENVELOPE__BODY_NODE_ORDERS;
        envelope.node_orders = &orders;
        peer_send(peer, &envelope);
    }
};

// Guards against an executor that runs its tasks on after the leader has given
// them to others: its agent extended its lease before the leader knew that it
// was still there.
TEST_F(Node, ExtendsNoLeaseBeforeTheLeaderKnowsTheExecutor)
{
    ASSERT_TRUE(wait([&] { return heartbeat_us != 0; }));
    EXPECT_TRUE(heartbeat.empty());
    uint64_t before_us = heartbeat_us;
    grant(before_us, 60000);
    announce();
    ASSERT_TRUE(wait([&] { return !heartbeat.empty(); }));
    for (int i = 0; i < 5; i++) {
        grant(before_us, 60000);
        run_ms(50);
    }
    EXPECT_GT(executor.polls, 2);
    EXPECT_EQ(executor.deadline_ms, 0);
    grant(heartbeat_us, 1500);
    EXPECT_TRUE(wait([&] { return executor.deadline_ms != 0; }));
    EXPECT_LE(executor.deadline_ms, (int64_t)(heartbeat_us / 1000) + 1500);
}

// Guards against an agent that was paused until its lease had ended, and then
// carries out an order that had waited for it.
TEST_F(Node, SendsNoStartAfterAPauseBeyondItsLease)
{
    ASSERT_TRUE(wait([&] { return heartbeat_us != 0; }));
    grant(heartbeat_us, 1000);
    announce();
    ASSERT_TRUE(wait([&] { return !heartbeat.empty(); }));
    executor.work_ms = -1;
    grant(heartbeat_us, 1000, {{"j.0.0.0", 1}});
    ASSERT_TRUE(wait([&] { return executor.starts.size() == 1; }));
    uint64_t before_us = heartbeat_us;
    grant(before_us, 1000, {{"j.0.0.1", 1}});
    clock.leap_ms = 3000;
    run_ms(300);
    EXPECT_EQ(executor.starts.count("j.0.0.1"), 0U);
    EXPECT_GT(heartbeat_us, before_us);
    grant(heartbeat_us, 1000);
    EXPECT_TRUE(wait([&] { return executor.starts.count("j.0.0.1") == 1; }));
}

/* Expects that the agent has dropped the start of j.0.0.1: it sends none with
   the lease of a later leader, only with the order of it. */
void
expect_start_on_order(Node &test)
{
    test.epoch++;
    test.grant(test.heartbeat_us, 1000);
    test.run_ms(300);
    EXPECT_EQ(test.executor.starts.count("j.0.0.1"), 0U);
    test.grant(test.heartbeat_us, 1000, {{"j.0.0.1", 1}});
    EXPECT_TRUE(
        test.wait([&] { return test.executor.starts.count("j.0.0.1") == 1; }));
}

// Guards against a start that an agent kept while it stood still, and sends
// with a lease of the next leader, which may have cancelled the job since.
TEST_F(Node, SendsNoKeptStartAfterANewConnection)
{
    ASSERT_TRUE(wait([&] { return heartbeat_us != 0; }));
    grant(heartbeat_us, 1000);
    announce();
    ASSERT_TRUE(wait([&] { return !heartbeat.empty(); }));
    executor.work_ms = -1;
    grant(heartbeat_us, 1000, {{"j.0.0.0", 1}});
    ASSERT_TRUE(wait([&] { return executor.starts.size() == 1; }));
    grant(heartbeat_us, 1000, {{"j.0.0.1", 1}});
    clock.leap_ms = 3000;
    run_ms(300);
    ASSERT_EQ(executor.starts.count("j.0.0.1"), 0U);
    peer_close(peer);
    peer = nullptr;
    running.clear();
    ASSERT_TRUE(wait([&] { return !running.empty(); }));
    EXPECT_EQ(running.count({"j.0.0.1", 1}), 0U);
    expect_start_on_order(*this);
}

// Guards against the same start behind a leader that was deposed and elected
// again while the agent stood still, on the same connection.
TEST_F(Node, SendsNoKeptStartOfAnEarlierEpoch)
{
    ASSERT_TRUE(wait([&] { return heartbeat_us != 0; }));
    grant(heartbeat_us, 1000);
    announce();
    ASSERT_TRUE(wait([&] { return !heartbeat.empty(); }));
    grant(heartbeat_us, 0, {{"j.0.0.1", 1}});
    clock.leap_ms = 3000;
    run_ms(300);
    ASSERT_EQ(executor.starts.count("j.0.0.1"), 0U);
    expect_start_on_order(*this);
}

// Guards against tasks that wait longer for an executor that was lost, as its
// agent has extended the lease while it did not answer any more.
TEST_F(Node, CountsALeaseFromTheLastAnswerAtMost)
{
    constexpr uint32_t LEASE_MS = 1000;

    settings.max_lease_ms = 30000;
    longest_lease_ms = LEASE_MS;
    ASSERT_TRUE(wait([&] { return heartbeat_us != 0; }));
    grant(heartbeat_us, LEASE_MS);
    announce();
    ASSERT_TRUE(wait([&] { return !heartbeat.empty(); }));
    grant(heartbeat_us, LEASE_MS);
    ASSERT_TRUE(wait([&] { return executor.asked_deadline_ms != 0; }));
    executor.unresponsive = true;
    int64_t before_ms = executor.asked_deadline_ms;
    for (int i = 0; i < 10; i++) {
        grant(heartbeat_us, LEASE_MS);
        run_ms(100);
    }
    EXPECT_GT(executor.asked_deadline_ms, before_ms);
    EXPECT_LE(executor.asked_deadline_ms, executor.answered_ms + LEASE_MS);
}

/* Loses an executor just after the agent has found it, as an agent does that
   has restarted, and returns whether it is reported as gone once the longest
   lease that a leader grants has passed. */
bool
is_gone_after_longest_lease(Node &test, int64_t age_ms)
{
    test.longest_lease_ms = 1000;
    test.executor.clock_offset_ms = age_ms - FakeExecutor::now_ms();
    g_assert(test.wait([&] { return test.heartbeat_us != 0; }));
    test.grant(test.heartbeat_us, 1000);
    test.announce();
    g_assert(test.wait([&] { return !test.heartbeat.empty(); }));
    test.executor.gone = true;
    test.clock.leap_ms = 1900;
    test.run_ms(2500);
    return !test.gone.empty();
}

// Guards against tasks that wait for a lease that no leader has granted, after
// their executor was lost behind a restarted agent.
TEST_F(Node, WaitsForTheLongestLeaseOfALeaderAfterARestart)
{
    settings.max_lease_ms = 30000;
    EXPECT_TRUE(is_gone_after_longest_lease(*this, 3600 * 1000));
}

// Guards against a second run beside a lease that a young executor has taken
// from a call that was meant for its predecessor, whose clock was ahead.
TEST_F(Node, WaitsForTheLongestAcceptedLeaseOfAYoungExecutor)
{
    settings.max_lease_ms = 30000;
    EXPECT_FALSE(is_gone_after_longest_lease(*this, 3000));
    clock.leap_ms = 32000;
    EXPECT_TRUE(wait([&] { return !gone.empty(); }));
}

// Guards against a leader that counts a shorter lease than a restarted
// executor holds: a call for its predecessor may extend it at any time while
// it is young.
TEST_F(Node, ReportsTheLeaseThatARestartedExecutorMayHold)
{
    settings.max_lease_ms = 30000;
    longest_lease_ms = 1000;
    executor.clock_offset_ms = 3600 * 1000;
    join();
    grant(heartbeat_us, 1000);
    run_ms(300);
    EXPECT_EQ(held_ms, 0U);
    executor.restart(200);
    executor.clock_offset_ms = -FakeExecutor::now_ms();
    ASSERT_TRUE(wait([&] {
        announce_as(executor.id, executor.born_ms);
        return held_ms > 0;
    }));
    run_ms(2000);
    EXPECT_GT(held_ms, 29000U);
    clock.leap_ms += 61000;
    executor.clock_offset_ms += 61000;
    ASSERT_TRUE(wait([&] { return held_ms == 0; }));
}

// Guards against a job that is given up for crashes under a run that never
// began: its start had no answer, and the agent reported it as begun while it
// waited for the confirmation of the stop.
TEST_F(Node, ReportsAnUnconfirmedRunThatIsBeingStoppedAsPending)
{
    constexpr int MANY = 1000;
    const TaskRun run = {"j.0.0.0", 1};

    ASSERT_TRUE(wait([&] { return heartbeat_us != 0; }));
    grant(heartbeat_us, 5000);
    announce();
    ASSERT_TRUE(wait([&] { return !heartbeat.empty(); }));
    executor.late_starts = MANY;
    executor.late_ms = 60000;
    executor.lose_stops = MANY;
    grant(heartbeat_us, 5000, {run});
    ASSERT_TRUE(wait([&] { return executor.lose_stops < MANY; }));
    running.clear();
    EXPECT_TRUE(wait([&] { return running.count(run) == 1; }));
    EXPECT_EQ(begun.count(run), 0U);
}

// Guards against an agent that carries out orders of a leader after it has
// heard from the next one.
TEST_F(Node, IgnoresOrdersOfAnEarlierLeader)
{
    ASSERT_TRUE(wait([&] { return heartbeat_us != 0; }));
    grant(heartbeat_us, 5000);
    announce();
    ASSERT_TRUE(wait([&] { return !heartbeat.empty(); }));
    epoch = 1001;
    grant(heartbeat_us, 5000, {{"j.0.0.0", 1}});
    ASSERT_TRUE(wait([&] { return executor.starts.size() == 1; }));
    epoch = 1000;
    grant(heartbeat_us, 5000, {{"j.0.0.1", 1}});
    run_ms(300);
    EXPECT_EQ(executor.starts.count("j.0.0.1"), 0U);
}

// Guards against a task that runs twice: a leader that was cut off from the
// store went on extending leases, though agents that left it knew the next
// one.
TEST_F(Node, TellsALeaderThatItLeavesOfALaterOne)
{
    ASSERT_TRUE(wait([&] { return heartbeat_us != 0; }));
    epoch = 1; /* as its record is the first one */
    grant(heartbeat_us, 5000);
    run_ms(100);
    EXPECT_EQ(later_epoch, 0U);
    test_address(leader_address, PORT + 2);
    uint64_t offset =
        store.put(CONTROL_TOPIC, CONTROL_KEY_LEADER, leader_record());
    store.remove(CONTROL_TOPIC, "wake"); /* ends the read that waits */
    ASSERT_TRUE(wait([&] { return peer == nullptr; }));
    EXPECT_EQ(later_epoch, offset + 1);
    EXPECT_EQ(later_address, leader_address);
}

// Guards against a task that is never suspected of crashes, as its executors
// crash after starts that they leave unanswered; seen on grown teddy, day
// deadly-late-orders.
TEST_F(Node, ReportsACrashAfterAStartWithoutAnswer)
{
    ASSERT_TRUE(wait([&] { return heartbeat_us != 0; }));
    grant(heartbeat_us, 5000);
    announce();
    ASSERT_TRUE(wait([&] { return !heartbeat.empty(); }));
    executor.late_starts = 1;
    executor.late_ms = 60000;
    executor.work_ms = 60000;
    grant(heartbeat_us, 5000, {{"late.0.0.0", 1}, {"begun.0.0.0", 1}});
    ASSERT_TRUE(wait([&] { return !executor.running.empty(); }));
    run_ms(20);
    executor.id = "later";
    executor.restart(200);
    announce();
    ASSERT_TRUE(wait([&] { return !crashed.empty(); }));
    EXPECT_EQ(crashed, (std::map<TaskRun, bool>{{{"begun.0.0.0", 1}, true},
                                                {{"late.0.0.0", 1}, false}}));
}

// Guards against crashes that the next leader never counts, as they were sent
// to the one before.
TEST_F(Node, ReportsCrashesAgainOnANewConnection)
{
    ASSERT_TRUE(wait([&] { return heartbeat_us != 0; }));
    grant(heartbeat_us, 5000);
    announce();
    ASSERT_TRUE(wait([&] { return !heartbeat.empty(); }));
    executor.work_ms = 60000;
    grant(heartbeat_us, 5000, {{"j.0.0.0", 1}});
    ASSERT_TRUE(wait([&] { return !executor.running.empty(); }));
    executor.id = "later";
    executor.restart(200);
    announce();
    ASSERT_TRUE(wait([&] { return !crashed.empty(); }));
    run_ms(50);
    crashed.clear();
    peer_close(peer);
    peer = nullptr;
    EXPECT_TRUE(wait([&] { return crashed.count({"j.0.0.0", 1}) == 1; }));
}

/* Loses an executor for good, and returns its key once it is reported as
   gone. */
std::string
lose_executor(Node &test)
{
    std::string key;

    test.longest_lease_ms = 500;
    test.join();
    key = test.heartbeat[0];
    test.executor.gone = true;
    g_assert(test.wait([&] { return test.gone.count(key) == 1; }));
    test.run_ms(50);
    test.gone.clear();
    return key;
}

// Guards against tasks that wait for the lease of an executor whose end was
// told to a leader that was killed before it had stored the effect.
TEST_F(Node, ReportsTheEndOfAnExecutorAgainOnANewConnection)
{
    std::string key = lose_executor(*this);

    peer_close(peer);
    peer = nullptr;
    EXPECT_TRUE(wait([&] { return gone.count(key) == 1; }));
}

// Guards against tasks that wait for the lease of an executor whose end was
// told to a leader that was still loading.
TEST_F(Node, ReportsTheEndOfAnExecutorAgainWithCompleteLists)
{
    std::string key = lose_executor(*this);

    send_lists = true;
    grant(heartbeat_us, 5000);
    EXPECT_TRUE(wait([&] { return gone.count(key) == 1; }));
}

// Guards against a second run of tasks whose executor was given up, answers
// again, and is reported as gone to the next leader.
TEST_F(Node, ReportsNoEndOfAnExecutorThatAnswersAgain)
{
    std::string key;

    longest_lease_ms = 500;
    join();
    grant(heartbeat_us, 500);
    key = heartbeat[0];
    executor.unresponsive = true;
    ASSERT_TRUE(wait([&] { return gone.count(key) == 1; }));
    executor.unresponsive = false;
    heartbeat.clear();
    announce();
    ASSERT_TRUE(wait([&] { return !heartbeat.empty(); }));
    gone.clear();
    heartbeat.clear();
    peer_close(peer);
    peer = nullptr;
    ASSERT_TRUE(wait([&] { return !heartbeat.empty(); }));
    run_ms(200);
    EXPECT_EQ(gone, std::set<std::string>());
}

// Guards against a second run of a task whose start was on its way when its
// executor was reported as gone, and which arrives when it answers again.
TEST_F(Node, TakesNoOrderFromBeforeTheLeaderKnowsThatAnExecutorAnswersAgain)
{
    uint64_t before_us;

    longest_lease_ms = 500;
    join();
    grant(heartbeat_us, 500);
    before_us = heartbeat_us;
    executor.unresponsive = true;
    ASSERT_TRUE(wait([&] { return gone.size() == 1; }));
    executor.unresponsive = false;
    executor.work_ms = -1;
    heartbeat.clear();
    announce();
    ASSERT_TRUE(wait([&] { return !heartbeat.empty(); }));
    ASSERT_EQ(gone.count(heartbeat[0]), 1U);
    grant(before_us, 500, {{"j.0.0.0", 1}});
    grant(heartbeat_us, 500);
    run_ms(300);
    EXPECT_EQ(executor.starts.count("j.0.0.0"), 0U);
    grant(heartbeat_us, 500, {{"j.0.0.1", 1}});
    EXPECT_TRUE(wait([&] { return executor.starts.count("j.0.0.1") == 1; }));
}

// Guards against a second run of the tasks of a live executor that seems to be
// older than the one whose end is reported again, as the clock was set back.
TEST_F(Node, ReportsNoEndAgainWhereALaterIncarnationAnswers)
{
    std::string key;

    join();
    key = heartbeat[0];
    executor.id = "later";
    executor.restart(executor.born_ms - 50);
    ASSERT_TRUE(wait([&] { return gone.count(key) == 1; }));
    heartbeat.clear();
    announce();
    ASSERT_TRUE(wait([&] { return !heartbeat.empty(); }));
    gone.clear();
    heartbeat.clear();
    peer_close(peer);
    peer = nullptr;
    ASSERT_TRUE(wait([&] { return !heartbeat.empty(); }));
    run_ms(200);
    EXPECT_EQ(gone, std::set<std::string>());
}

// Guards against a task that stays on trial, and its executor closed, though
// the run has outlived its start.
TEST_F(Node, ReportsARunThatHasOutlivedItsStart)
{
    const TaskRun run = {"j.0.0.0", 1};

    ASSERT_TRUE(wait([&] { return heartbeat_us != 0; }));
    grant(heartbeat_us, 5000);
    announce();
    ASSERT_TRUE(wait([&] { return !heartbeat.empty(); }));
    executor.work_ms = 60000;
    grant(heartbeat_us, 5000, {run});
    ASSERT_TRUE(wait([&] { return running.count(run) == 1; }));
    EXPECT_FALSE(running[run]);
    EXPECT_TRUE(wait([&] { return running[run]; }));
}

// Guards against tasks that run again though they are done: the leader cannot
// store their ends, and the executor lists only the first ones of these.
TEST_F(Node, RejectsNoRunWhoseEndMayFollowTheListedOnes)
{
    const TaskRun first = {"j.0.0.0", 1};
    const TaskRun second = {"j.0.0.1", 1};

    executor.ends_per_answer = 1;
    join();
    grant(heartbeat_us, 60000, {first, second});
    ASSERT_TRUE(wait([&] { return executor.done.size() == 2; }));
    ASSERT_TRUE(wait([&] { return ended.size() == 1; }));
    run_ms(2500); /* longer than a run may be missing in a complete list */
    EXPECT_EQ(rejected, std::set<TaskRun>());
    end_cursor = 1;
    grant(heartbeat_us, 60000);
    EXPECT_TRUE(wait([&] { return ended.size() == 2; }));
    EXPECT_EQ(rejected, std::set<TaskRun>());
}

// Guards against a task that waits for ever for a run that does not exist, as
// the executor could not list all ends when the run was stopped.
TEST_F(Node, RejectsAStoppedRunOnceAllEndsAreListed)
{
    const TaskRun ends = {"j.0.0.0", 1};
    const TaskRun lost = {"j.0.0.1", 1};

    executor.ends_per_answer = 1;
    join();
    grant(heartbeat_us, 60000, {ends});
    ASSERT_TRUE(wait([&] { return executor.done.size() == 1; }));
    executor.work_ms = -1;
    grant(heartbeat_us, 60000, {lost});
    ASSERT_TRUE(wait([&] { return executor.running.count(lost.first) == 1; }));
    executor.running.clear();
    run_ms(2500);
    EXPECT_EQ(rejected, std::set<TaskRun>());
    end_cursor = 1;
    grant(heartbeat_us, 60000);
    EXPECT_TRUE(wait([&] { return rejected.count(lost) == 1; }));
}

// Guards against an end that is discarded unread, so that its task runs again:
// the executor has restarted since a poll without answer, and is told that the
// ends of its earlier incarnation are stored.
TEST_F(Node, AcknowledgesNoEndsToAnExecutorThatMayHaveRestarted)
{
    ASSERT_TRUE(wait([&] { return heartbeat_us != 0; }));
    grant(heartbeat_us, 5000);
    announce();
    ASSERT_TRUE(wait([&] { return !heartbeat.empty(); }));
    grant(heartbeat_us, 5000, {{"early.0.0.0", 1}});
    ASSERT_TRUE(wait([&] { return ended.count({"early.0.0.0", 1}) == 1; }));
    end_cursor = 1;
    grant(heartbeat_us, 5000);
    ASSERT_TRUE(wait([&] { return executor.noted.count("early.0.0.0"); }));
    executor.unresponsive = true;
    ASSERT_TRUE(wait([&] { return has_failed_polls(); }));
    executor.restart(200);
    executor.running["late.0.0.0"].run = 1;
    executor.end("late.0.0.0", SCHED_END_DONE);
    int polls = executor.polls;
    executor.unresponsive = false;
    ASSERT_TRUE(wait([&] { return executor.polls > polls; }));
    EXPECT_EQ(executor.noted.count("late.0.0.0"), 0U);
    announce();
    EXPECT_TRUE(wait([&] { return ended.count({"late.0.0.0", 1}) == 1; }));
}

// Guards against an executor that is refused for as long as another entry
// names its address with a later start, though nothing has answered as that
// incarnation.
TEST_F(Node, AcceptsAnExecutorBesideALaterOneThatHasNotAnswered)
{
    ASSERT_TRUE(wait([&] { return heartbeat_us != 0; }));
    grant(heartbeat_us, 5000);
    executor.unresponsive = true;
    EXPECT_TRUE(announce_as("odd", 500));
    ASSERT_TRUE(wait([&] { return has_failed_polls(); }));
    EXPECT_TRUE(announce_as(executor.id, executor.born_ms));
    executor.unresponsive = false;
    EXPECT_TRUE(wait([&] { return !heartbeat.empty(); }));
}

// Guards against an executor that is given up, and its tasks run again, when
// it can't be reached for a moment: a late notice of an earlier incarnation
// under its id was taken for its own.
TEST_F(Node, KeepsAnExecutorThatAnnouncesItselfAfterANotice)
{
    ASSERT_TRUE(wait([&] { return heartbeat_us != 0; }));
    grant(heartbeat_us, 5000);
    announce();
    ASSERT_TRUE(wait([&] { return !heartbeat.empty(); }));
    node_retire_executor(node, executor.id.c_str());
    run_ms(20);
    announce();
    run_ms(400);
    executor.gone = true;
    ASSERT_TRUE(wait([&] { return has_failed_polls(); }));
    run_ms(200);
    executor.gone = false;
    run_ms(300);
    EXPECT_EQ(heartbeat.size(), 1U);
}

// Guards against tasks that wait for the lease of an executor that has ended
// as announced, and against a crash that is counted for it.
TEST_F(Node, GivesUpALeavingExecutorThatAnnouncesItselfAfterItsNotice)
{
    ASSERT_TRUE(wait([&] { return heartbeat_us != 0; }));
    grant(heartbeat_us, 60000);
    announce();
    ASSERT_TRUE(wait([&] { return !heartbeat.empty(); }));
    executor.work_ms = 60000;
    grant(heartbeat_us, 60000, {{"j.0.0.0", 1}});
    ASSERT_TRUE(wait([&] { return !executor.running.empty(); }));
    draining = true;
    announce();
    node_retire_executor(node, executor.id.c_str());
    run_ms(20);
    announce();
    executor.gone = true;
    EXPECT_TRUE(wait([&] { return heartbeat.empty(); }));
    EXPECT_EQ(crashed.size(), 0U);
}

// Guards against another writer that moves a real executor to another
// service, data centre or rack, which it keeps as long as it lives.
TEST_F(Node, KeepsAnExecutorWhereItAnnouncedItself)
{
    const char *const labels[] = {"gpu"};
    uint64_t sequence = 1;
    join();
    for (int i = 0; i < 4; i++) {
        executor_info_t info = make_info(++sequence);

        info.service = i == 0 ? "other" : "service";
        info.data_centre = i == 1 ? "dc9" : "dc";
        info.rack = i == 2 ? "r9" : "r1";
        info.labels = labels;
        info.label_count = i == 3 ? 1 : 0;
        EXPECT_FALSE(node_announce_executor(node, &info)) << i;
        clock.leap_ms += 1000;
    }
    run_ms(300);
    EXPECT_EQ(known, "service dc r1 4000 ready");
    executor_info_t info = make_info(2);
    info.cpu_milli = 3000;
    EXPECT_TRUE(node_announce_executor(node, &info));
    EXPECT_TRUE(becomes_known("service dc r1 3000 ready")) << known;
}

// Guards against an executor that is never heard again, as another writer
// announced it with a sequence number that its own do not reach.
TEST_F(Node, HearsAnExecutorAfterASequenceThatLeaps)
{
    executor_info_t odd = make_info((uint64_t)1 << 53);
    join();
    odd.cpu_milli = 1;
    EXPECT_FALSE(node_announce_executor(node, &odd));
    executor_info_t info = make_info(2);
    info.cpu_milli = 3000;
    EXPECT_TRUE(node_announce_executor(node, &info));
    EXPECT_TRUE(becomes_known("service dc r1 3000 ready")) << known;
}

// Guards against the same with a sequence number that its own ones might
// have reached.
TEST_F(Node, HearsAnExecutorAgainBehindALaterSequence)
{
    executor_info_t odd = make_info(50);
    uint64_t sequence = 1;
    join();
    odd.cpu_milli = 1;
    EXPECT_TRUE(node_announce_executor(node, &odd));
    EXPECT_TRUE(becomes_known("service dc r1 1 ready")) << known;
    announce_seconds(4, &sequence);
    EXPECT_TRUE(becomes_known("service dc r1 4000 ready")) << known;
}

// Guards against an executor that keeps what another writer said of it
// before it announced itself.
TEST_F(Node, BelievesAnExecutorThatAnotherWriterAnnouncedFirst)
{
    executor_info_t odd = make_info(1);
    uint64_t sequence = 1;
    ASSERT_TRUE(wait([&] { return heartbeat_us != 0; }));
    grant(heartbeat_us, 60000);
    odd.service = "other";
    EXPECT_TRUE(node_announce_executor(node, &odd));
    ASSERT_TRUE(becomes_known("other dc r1 4000 ready")) << known;
    announce_seconds(4, &sequence);
    EXPECT_TRUE(becomes_known("service dc r1 4000 ready")) << known;
}

// Guards against an executor that is given tasks while it leaves, as what
// it announced before arrives late: in a burst, singly, or between newer
// ones.
TEST_F(Node, LateAnnouncementsDoNotEndDraining)
{
    const std::string expected = "service dc r1 4000 draining";
    executor_info_t leaving = make_info(30);
    join();
    leaving.draining = true;
    EXPECT_TRUE(node_announce_executor(node, &leaving));
    EXPECT_TRUE(becomes_known(expected)) << known;
    for (uint64_t sequence = 2; sequence < 20; sequence++) {
        executor_info_t late = make_info(sequence);

        EXPECT_TRUE(node_announce_executor(node, &late));
    }
    run_ms(150);
    EXPECT_EQ(known, expected);
    clock.leap_ms += 5000;
    executor_info_t single = make_info(25);
    EXPECT_TRUE(node_announce_executor(node, &single));
    run_ms(150);
    EXPECT_EQ(known, expected);
    for (uint64_t sequence = 2; sequence < 10; sequence++) {
        executor_info_t late = make_info(sequence);

        leaving.sequence++;
        clock.leap_ms += 1000;
        EXPECT_TRUE(node_announce_executor(node, &late));
        run_ms(20);
        EXPECT_EQ(known, expected);
        EXPECT_TRUE(node_announce_executor(node, &leaving));
    }
}

void
evacuate(Node &test, const std::vector<std::string> &names)
{
    test.knows_evacuation = true;
    test.evacuated = names;
    test.grant(test.heartbeat_us, 60000);
}

// Guards against a start that waits at the agent, here for the first lease of
// its executor, and is sent after the evacuation has begun.
TEST_F(Node, RejectsAHeldStartInAnEvacuatedDataCentre)
{
    ASSERT_TRUE(wait([&] { return heartbeat_us != 0; }));
    grant(heartbeat_us, 0);
    announce();
    ASSERT_TRUE(wait([&] { return !heartbeat.empty(); }));
    grant(heartbeat_us, 0, {{"j.0.0.0", 1}});
    run_ms(200);
    ASSERT_EQ(rejected.count({"j.0.0.0", 1}), 0U);
    evacuate(*this, {"other", "dc"});
    EXPECT_TRUE(wait([&] { return rejected.count({"j.0.0.0", 1}) == 1; }));
    EXPECT_EQ(reasons, std::set<std::string>({"evacuated"}));
    EXPECT_TRUE(executor.starts.empty());
}

// Guards against the same of an order that follows, against a leader without
// knowledge that ends an evacuation, and against one that is never ended.
TEST_F(Node, StartsAgainOnceAnEvacuationIsWithdrawn)
{
    join();
    executor.work_ms = -1;
    evacuate(*this, {"dc"});
    knows_evacuation = false;
    epoch++;
    grant(heartbeat_us, 60000, {{"j.0.0.0", 1}});
    EXPECT_TRUE(wait([&] { return rejected.count({"j.0.0.0", 1}) == 1; }));
    evacuate(*this, {});
    grant(heartbeat_us, 60000, {{"j.0.0.0", 2}});
    EXPECT_TRUE(wait([&] { return executor.starts["j.0.0.0"] == 1; }));
}

// Guards against a start without an answer that is sent once more in an
// evacuated data centre, and against its run, which may begin late.
TEST_F(Node, StopsInsteadOfResendingAStart)
{
    join();
    executor.work_ms = -1;
    executor.late_starts = 1;
    executor.late_ms = 5000;
    grant(heartbeat_us, 60000, {{"j.0.0.0", 1}});
    run_ms(20);
    evacuate(*this, {"dc"});
    EXPECT_TRUE(wait([&] { return rejected.count({"j.0.0.0", 1}) == 1; }));
    EXPECT_EQ(executor.starts.count("j.0.0.0"), 0U);
}

// Guards against the end of work that was begun before.
TEST_F(Node, KeepsRunsAtWorkInAnEvacuatedDataCentre)
{
    join();
    executor.work_ms = -1;
    grant(heartbeat_us, 60000, {{"j.0.0.0", 1}});
    ASSERT_TRUE(wait([&] { return begun.count({"j.0.0.0", 1}) == 1; }));
    evacuate(*this, {"dc"});
    run_ms(500);
    EXPECT_TRUE(executor.is_running("j.0.0.0"));
    EXPECT_TRUE(rejected.empty());
}

// Guards against a start that an agent without a leader sends or resends,
// while a data centre is evacuated without its knowledge.
TEST_F(Node, SendsNoStartLongAfterTheNewestOrders)
{
    join();
    executor.work_ms = -1;
    executor.late_starts = 1;
    executor.late_ms = 60000;
    grant(heartbeat_us, 60000, {{"j.0.0.0", 1}});
    ASSERT_TRUE(wait([&] { return executor.late.size() == 1; }));
    clock.leap_ms += 2100;
    run_ms(800);
    EXPECT_EQ(executor.starts.count("j.0.0.0"), 0U);
    grant(heartbeat_us, 60000);
    EXPECT_TRUE(wait([&] { return executor.starts["j.0.0.0"] == 1; }));
}

} // namespace
