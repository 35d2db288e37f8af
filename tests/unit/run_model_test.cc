/*
 * A model of one run on the platform (section 14 of docs/design.md): the code
 * of the leader and of the agents, with stand-ins for the store, the executors
 * and the connections, in virtual time. Each seed draws an interleaving of
 * orders, late executions, lost answers, lost connections, and restarts of
 * agents, executors and leaders. TEASEL_MODEL gives the first seed and the
 * number of seeds, as in "100:2000".
 */

#include <gtest/gtest.h>

#include <cstdarg>
#include <memory>

#include "fake_executor.h"
#include "fake_store.h"
#include "sched_fixture.h"
#include "seed_range.h"
#include "virtual_loop.h"

extern "C" {
#include "base/events.h"
#include "node/node.h"
#include "node/node_link.h"
#include "scheduler/leader.h"
}

namespace {

enum {
    EXECUTORS = 2,
    LEASE_MS = 2000,
    FAULT_MS = 3000,
    ANNOUNCE_MS = 240,
    ADVANCE_MS = 20,
    SUBMIT_MS = 200,
    RECONNECT_MS = 100,
    SILENCE_MS = 800,
    /* Time after the last fault within which all jobs have to be done, several
       times that of a lease. */
    RECOVERY_MS = 15000,
    /* Longest wait of a lasting task that seems to crash its executors. */
    LONGEST_WAIT_MS = 640000,
    CHECK_MS = 100,
    /* Time for which the state after it has to last; exceeds a lease. */
    LASTING_MS = 2500,
    TRACE_LINES = 150,
    NOT_KNOWN = -1, /* state of a job */
};

#define EVENT_NAME(id, number, level, name) name,
const char *const event_names[] = {EVENT_TABLE(EVENT_NAME)};
#undef EVENT_NAME

struct Trace {
    std::vector<std::string> lines;

    void
    add(const std::string &line)
    {
        lines.push_back(std::to_string(loop_t::now_ms()) + " " + line);
    }
    std::string
    format() const
    {
        std::string out = "\n";
        size_t from =
            lines.size() > TRACE_LINES ? lines.size() - TRACE_LINES : 0;

        for (size_t i = from; i < lines.size(); i++) {
            out += lines[i] + "\n";
        }
        return out;
    }
};

Trace *trace;

struct World;

} // namespace

/* A connection of an agent to a leader. Messages arrive in their order. */
struct peer {
    World *world;
    size_t node;
    size_t leader;
    bool agent_open = true;
    bool leader_open = true;
    bool broken = false;      /* messages that are sent get lost */
    bool agent_cut = false;   /* those on their way to the agent, too */
    bool leader_cut = false;  /* those on their way to the leader, too */
    int64_t agent_due_ms = 0; /* arrival of the newest message */
    int64_t leader_due_ms = 0;
};

struct node_link {
    node_link_opts_t opts;
    World *world;
    size_t node;
    peer_t *peer = nullptr;
    uint64_t epoch = 0;
};

namespace {

World *the_world; /* for node_link_new() */

struct Leader {
    World *world;
    std::unique_ptr<FakeStoreView> view;
    leader_t *leader = nullptr;
    uint64_t epoch;
    int64_t acked_ms = INT64_MAX; /* when the others last confirmed it */
};

struct Node {
    std::string name;
    node_settings_t settings = {};
    node_t *node = nullptr;
    node_link_t *link = nullptr;
};

struct Executor {
    FakeExecutor fake;
    std::string address;
    size_t node;
    uint64_t sequence = 0;
    int64_t silent_until_ms = 0;
    bool lost = false; /* for good */
    bool drains = false;
    int64_t leaves_ms = 0;
};

enum Fault {
    RESTART_SAME_ID,
    RESTART_OTHER_ID,
    LOSE_EXECUTOR,
    DRAIN_EXECUTOR,
    SILENCE_EXECUTOR,
    START_LATE,
    LOSE_START_ANSWERS,
    LOSE_STOP_ANSWERS,
    LOSE_POLL_ANSWERS,
    REFUSE_STARTS,
    KILL_NODE,
    BREAK_CONNECTION,
    REPLACE_LEADER,
    HARM_STORE,
    CANCEL_JOB,
    FAULT_COUNT,
};

const char *const fault_names[] = {
    "restarts under its id",
    "restarts under another id",
    "is lost for good",
    "leaves",
    "falls silent",
    "carries starts out late",
    "answers of starts get lost",
    "answers of stops get lost",
    "answers of polls get lost",
    "refuses starts",
    "its agent is killed",
    "the connection of its agent breaks",
    "the leader is replaced",
    "calls to the store get lost",
    "a job is cancelled",
};

struct Job {
    std::string id;
    std::vector<Step> steps;
    std::vector<std::string> tasks;
    bool lasting = false;
    bool accepted = false;
    bool cancelling = false;
    bool cancelled = false; /* the cancellation was answered */
    uint64_t questions = 0; /* for its state */
    int state = NOT_KNOWN;  /* answer to the newest question */
};

struct World {
    Trace lines;
    loop_t loop;
    FakeStore store;
    std::unique_ptr<GRand, decltype(&g_rand_free)> random{
        g_rand_new_with_seed(1), g_rand_free};
    std::vector<std::unique_ptr<peer_t>> peers;
    std::vector<std::unique_ptr<Leader>> leaders;
    std::vector<Node> nodes;
    std::vector<Executor> executors{EXECUTORS};
    std::vector<Job> jobs;
    std::map<std::string, int> crashes; /* executors restarted under a task */
    int64_t born_ms = 1000;
    size_t last_harmed = 0;
    std::vector<Fault> kinds; /* of this seed */
    bool faults = true;
    bool closing = false;

    explicit World(unsigned seed)
    {
        loop.random.seed(seed);
        loop_t::now_ms() = 1000000;
        trace = &lines;
        the_world = this;
        nodes.resize(1 + (size_t)draw(2));
        start_leader();
        for (size_t i = 0; i < nodes.size(); i++) {
            nodes[i].name = "n" + std::to_string(i);
            start_node(i);
        }
        for (size_t i = 0; i < executors.size(); i++) {
            start_executor(i);
        }
        draw_jobs();
        draw_faults();
    }
    World(const World &) = delete;
    ~World()
    {
        closing = true;
        for (auto &node : nodes) {
            node_free(node.node);
            node.node = nullptr;
        }
        for (auto &leader : leaders) {
            leader_free(leader->leader);
            leader->leader = nullptr;
        }
        /* A leader is freed when its pending write is answered. */
        loop.run_ms(1000);
        FakeExecutor::at().clear();
        trace = nullptr;
    }

    int
    draw(int below)
    {
        return (int)(loop.random() % (unsigned)below);
    }
    bool
    chance(int percent)
    {
        return faults && draw(100) < percent;
    }
    void
    note(const std::string &line)
    {
        lines.add(line);
    }

    /* The leaders. */

    static int64_t
    get_acked_ms(void *data)
    {
        return std::min(static_cast<Leader *>(data)->acked_ms,
                        loop_t::now_ms());
    }
    /* The others answer after a round trip. */
    static void
    request_acks(void *data)
    {
        auto *leader = static_cast<Leader *>(data);

        leader->world->loop.call_after(1, [=] {
            if (leader->leader != nullptr) {
                leader_answer_proven(leader->leader);
            }
        });
    }
    static void
    on_store_change(bool available, void *data)
    {
    }
    static void
    on_fenced(const char *reason, void *data)
    {
        auto *leader = static_cast<Leader *>(data);

        leader->world->loop.call_after(
            0, [=] { leader->world->kill_leader(*leader); });
    }
    Leader &
    newest_leader()
    {
        return *leaders.back();
    }
    void
    start_leader()
    {
        auto leader = std::make_unique<Leader>();
        leader_opts_t opts = {};

        leader->world = this;
        leader->epoch = leaders.size() + 1;
        leader->view = std::make_unique<FakeStoreView>(&store, &loop);
        opts.loop = &loop;
        opts.clock = clock_system();
        opts.store = &leader->view->base;
        opts.epoch = leader->epoch;
        opts.lease_ms = LEASE_MS;
        opts.retain_ms = 600000;
        opts.record_bytes = store.record_bytes;
        opts.random = random.get();
        opts.stop_ms = 100;
        opts.get_acked_ms = get_acked_ms;
        opts.max_storeless_ms = INT64_MAX;
        opts.get_view_acked_ms = get_acked_ms;
        opts.is_alone = [](void *) { return false; };
        opts.has_stale_leader = [](int64_t, void *) { return false; };
        opts.request_acks = request_acks;
        opts.on_store_change = on_store_change;
        opts.on_fenced = on_fenced;
        opts.data = leader.get();
        leader->leader = leader_new(&opts);
        leaders.push_back(std::move(leader));
    }
    void
    kill_leader(Leader &leader)
    {
        if (leader.leader == nullptr) {
            return;
        }
        note("MODEL leader of epoch " + std::to_string(leader.epoch) +
             " killed");
        leader_free(leader.leader);
        leader.leader = nullptr;
        for (auto &peer : peers) {
            if (leaders[peer->leader].get() == &leader && peer->leader_open) {
                peer->leader_open = false;
                break_peer(peer.get());
            }
        }
    }
    /* The next leader starts after some time, or while the older one is still
       alive. */
    void
    replace_leader()
    {
        Leader &older = newest_leader();

        if (older.leader == nullptr) {
            return;
        }
        if (draw(3) != 0) {
            kill_leader(older);
            loop.call_after(draw(500), [this] { start_leader(); });
            return;
        }
        note("MODEL a later leader starts");
        older.acked_ms = loop_t::now_ms();
        loop.call_after(draw(SILENCE_MS),
                        [this, &older] { kill_leader(older); });
        start_leader();
    }

    /* The connections. */

    void
    break_peer(peer_t *peer)
    {
        if (peer->broken) {
            return;
        }
        peer->broken = true;
        peer->agent_cut = draw(2) == 0;
        peer->leader_cut = draw(2) == 0;
        loop.call_after(draw(SILENCE_MS), [=] { close_at_agent(peer); });
        loop.call_after(draw(SILENCE_MS), [=] { close_at_leader(peer); });
    }
    void
    close_at_leader(peer_t *peer)
    {
        leader_t *leader = leaders[peer->leader]->leader;

        if (!closing && peer->leader_open && leader != nullptr) {
            peer->leader_open = false;
            leader_remove_peer(leader, peer);
        }
    }
    void
    close_at_agent(peer_t *peer)
    {
        node_link_t *link = nodes[peer->node].link;

        if (!peer->agent_open) {
            return;
        }
        peer->agent_open = false;
        link->peer = nullptr;
        link->opts.on_connection_changed(false, link->opts.data);
        connect_later(link);
        break_peer(peer);
    }
    void
    connect_later(node_link_t *link)
    {
        size_t node = link->node;

        loop.call_after(RECONNECT_MS + draw(100), [=] {
            if (nodes[node].link == link) {
                connect(link);
            }
        });
    }
    void
    connect(node_link_t *link)
    {
        if (link->peer != nullptr) {
            return;
        }
        if (newest_leader().leader == nullptr) {
            connect_later(link);
            return;
        }
        auto peer = std::make_unique<peer_t>();

        peer->world = this;
        peer->node = link->node;
        peer->leader = leaders.size() - 1;
        if (peer->leader > 0 && leaders[peer->leader - 1]->leader != nullptr &&
            chance(20)) {
            peer->leader--;
        }
        link->peer = peer.get();
        peers.push_back(std::move(peer));
        note("MODEL " + nodes[link->node].name + " connects");
        link->opts.on_connection_changed(true, link->opts.data);
    }
    int64_t
    get_arrival_ms(int64_t newest_ms)
    {
        int64_t delay_ms = chance(15) ? draw(250) : draw(3);

        return std::max(newest_ms, loop_t::now_ms() + delay_ms);
    }
    void
    send_to_agent(peer_t *peer, const Teasel__NodeOrders *orders)
    {
        std::string bytes(teasel__node_orders__get_packed_size(orders), '\0');

        if (peer->broken) {
            return;
        }
        teasel__node_orders__pack(orders,
                                  reinterpret_cast<uint8_t *>(bytes.data()));
        peer->agent_due_ms = get_arrival_ms(peer->agent_due_ms);
        loop.call_at(peer->agent_due_ms, [=] { receive_orders(peer, bytes); });
    }
    /* As node_link.c, an agent closes a connection with orders of an older
       epoch. */
    void
    receive_orders(peer_t *peer, const std::string &bytes)
    {
        Teasel__NodeOrders *orders;
        node_link_t *link;

        if (closing || !peer->agent_open || peer->agent_cut) {
            return;
        }
        link = nodes[peer->node].link;
        orders = teasel__node_orders__unpack(
            nullptr, bytes.size(),
            reinterpret_cast<const uint8_t *>(bytes.data()));
        if (orders->epoch < link->epoch) {
            close_at_agent(peer);
        }
        else {
            note_orders(*peer, orders);
            link->epoch = orders->epoch;
            link->opts.on_orders(orders, link->opts.data);
        }
        teasel__node_orders__free_unpacked(orders, nullptr);
    }
    void
    note_orders(const peer_t &peer, const Teasel__NodeOrders *orders)
    {
        for (size_t i = 0; i < orders->n_executors; i++) {
            const Teasel__ExecutorOrders *order = orders->executors[i];

            for (size_t j = 0; j < order->n_starts; j++) {
                note(
                    "MODEL " + nodes[peer.node].name + " receives start " +
                    format_run(order->starts[j]->task, order->starts[j]->run) +
                    " at " + order->key);
            }
            for (size_t j = 0; j < order->n_stops; j++) {
                note("MODEL " + nodes[peer.node].name + " receives stop " +
                     format_run(order->stops[j]->task, order->stops[j]->run) +
                     " at " + order->key);
            }
        }
    }
    static std::string
    format_run(const std::string &task, uint32_t run)
    {
        return task + " run " + std::to_string(run);
    }
    void
    send_to_leader(peer_t *peer, const Teasel__NodeReport *report)
    {
        std::string bytes(teasel__node_report__get_packed_size(report), '\0');

        if (peer->broken) {
            return;
        }
        teasel__node_report__pack(report,
                                  reinterpret_cast<uint8_t *>(bytes.data()));
        peer->leader_due_ms = get_arrival_ms(peer->leader_due_ms);
        loop.call_at(peer->leader_due_ms,
                     [=] { receive_report(peer, bytes); });
    }
    void
    receive_report(peer_t *peer, const std::string &bytes)
    {
        Teasel__NodeReport *report;
        leader_t *leader = leaders[peer->leader]->leader;

        if (closing || !peer->leader_open || peer->leader_cut ||
            leader == nullptr) {
            return;
        }
        report = teasel__node_report__unpack(
            nullptr, bytes.size(),
            reinterpret_cast<const uint8_t *>(bytes.data()));
        leader_handle_report(leader, peer, nodes[peer->node].name.c_str(),
                             report);
        teasel__node_report__free_unpacked(report, nullptr);
    }

    /* The agents. */

    void
    start_node(size_t i)
    {
        Node &node = nodes[i];
        node_opts_t opts = {};

        note("MODEL " + node.name + " starts");
        node.settings.name = node.name.data();
        node.settings.data_centre = const_cast<char *>("dc");
        node.settings.report_ms = 100;
        node.settings.silence_ms = SILENCE_MS;
        node.settings.poll_wait_ms = 500;
        node.settings.max_lease_ms = LEASE_MS;
        opts.loop = &loop;
        opts.clock = clock_system();
        opts.settings = &node.settings;
        opts.connect = FakeExecutor::connect;
        node.node = node_new(&opts, nullptr);
    }
    void
    kill_node(size_t i)
    {
        if (nodes[i].node == nullptr) {
            return;
        }
        note("MODEL " + nodes[i].name + " killed");
        node_free(nodes[i].node);
        nodes[i].node = nullptr;
        loop.call_after(30 + draw(300), [=] { start_node(i); });
    }

    /* The executors. */

    void
    start_executor(size_t i)
    {
        Executor &executor = executors[i];

        executor.address = "10.0.0." + std::to_string(i) + ":80";
        executor.node = i % nodes.size();
        executor.fake.loop = &loop;
        executor.fake.id = "e" + std::to_string(i);
        executor.fake.born_ms = born_ms++;
        executor.fake.work_ms = 30 + draw(400);
        executor.fake.poll_ms = 10 + draw(60);
        executor.fake.on_run = [=](const char *what, const std::string &task,
                                   uint32_t run) {
            note("MODEL executor " + std::to_string(i) + ": " +
                 format_run(task, run) + " " + what);
        };
        FakeExecutor::at()[executor.address] = &executor.fake;
        announce_regularly(i);
        advance_regularly(i);
    }
    void
    advance_regularly(size_t i)
    {
        executors[i].fake.advance();
        loop.call_after(ADVANCE_MS, [=] { advance_regularly(i); });
    }
    void
    announce_regularly(size_t i)
    {
        const FakeExecutor &fake = executors[i].fake;
        std::string id = fake.id;
        int64_t started_ms = fake.born_ms;
        int64_t clock_ms = FakeExecutor::now_ms();
        uint64_t sequence = ++executors[i].sequence;

        if (!fake.gone && !executors[i].lost && !chance(20)) {
            loop.call_after(chance(20) ? draw(300) : 1, [=] {
                announce(i, id, started_ms, clock_ms, sequence);
            });
        }
        loop.call_after(ANNOUNCE_MS, [=] { announce_regularly(i); });
    }
    void
    announce(size_t i, const std::string &id, int64_t started_ms,
             int64_t clock_ms, uint64_t sequence)
    {
        const Executor &executor = executors[i];
        node_t *node = nodes[executor.node].node;
        executor_info_t info = {};

        if (node == nullptr) {
            return;
        }
        info.id = id.c_str();
        info.started_ms = started_ms;
        info.address = executor.address.c_str();
        info.service = "service";
        info.data_centre = "dc";
        info.rack = "r1";
        info.draining = executor.drains;
        info.remaining_ms = executor.drains
                                ? (uint32_t)std::max<int64_t>(
                                      0, executor.leaves_ms - loop_t::now_ms())
                                : 0;
        info.cpu_milli = 4000;
        info.memory_mb = 8000;
        info.clock_ms = clock_ms;
        info.sequence = sequence;
        node_announce_executor(node, &info);
    }
    void
    restart_executor(size_t i, bool same_id, int64_t gone_ms)
    {
        Executor &executor = executors[i];
        FakeExecutor &fake = executor.fake;

        if (fake.gone || executor.lost) {
            return;
        }
        note("MODEL executor " + std::to_string(i) + " restarts after " +
             std::to_string(gone_ms) + " ms");
        count_crashes(fake);
        if (!same_id) {
            fake.id = "id" + std::to_string(born_ms);
        }
        fake.restart(born_ms++);
        fake.gone = gone_ms > 0;
        loop.call_after(gone_ms,
                        [&executor] { executor.fake.gone &= executor.lost; });
    }
    void
    count_crashes(const FakeExecutor &fake)
    {
        for (auto &[task, entry] : fake.running) {
            crashes[task]++;
        }
        for (auto &end : fake.ends) {
            crashes[end.task]++;
        }
    }
    /* An executor that is lost has ended, or runs on until its lease ends. */
    void
    lose_executor(size_t i)
    {
        for (auto &executor : executors) {
            if (executor.lost) {
                return;
            }
        }
        executors[i].lost = true;
        if (draw(2) == 0) {
            count_crashes(executors[i].fake);
            executors[i].fake.restart(born_ms++);
            executors[i].fake.gone = true;
        }
        else {
            executors[i].fake.unresponsive = true;
        }
    }
    void
    silence_executor(size_t i)
    {
        executors[i].fake.unresponsive = true;
        executors[i].silent_until_ms = loop_t::now_ms() + draw(1000);
    }
    /* An executor that leaves comes back as a later one. */
    void
    drain_executor(size_t i)
    {
        Executor &executor = executors[i];

        if (executor.drains || executor.lost) {
            return;
        }
        executor.drains = true;
        executor.leaves_ms = loop_t::now_ms() + 200 + draw(1500);
        loop.call_at(executor.leaves_ms, [=] {
            executors[i].drains = false;
            restart_executor(i, false, draw(500));
        });
    }
    void
    break_connection(size_t node)
    {
        node_link_t *link = nodes[node].link;

        if (link != nullptr && link->peer != nullptr) {
            break_peer(link->peer);
        }
    }
    void
    harm_store()
    {
        FakeStoreView &view = *newest_leader().view;

        if (draw(2) == 0) {
            view.lose_answers = 1 + draw(3);
            return;
        }
        view.silent = true;
        loop.call_after(draw(400), [&view] { view.silent = false; });
    }
    void
    draw_faults()
    {
        while (kinds.empty()) {
            for (int kind = 0; kind < FAULT_COUNT; kind++) {
                if (draw(2) == 0) {
                    kinds.push_back((Fault)kind);
                }
            }
        }
    }
    /* Faults of one executor often come in series. */
    void
    harm()
    {
        size_t i = draw(2) == 0 ? last_harmed : (size_t)draw(EXECUTORS);
        Fault fault = kinds[(size_t)draw((int)kinds.size())];

        last_harmed = i;
        note("MODEL fault at executor " + std::to_string(i) + ": " +
             fault_names[fault]);
        inflict(fault, i);
    }
    /* None in half of the cases. The two draws are in a fixed order, so that a
       seed means the same on all machines. */
    int
    draw_delay(int below_ms)
    {
        int some = draw(2);

        return some * draw(below_ms);
    }
    void
    inflict(Fault fault, size_t i)
    {
        FakeExecutor &fake = executors[i].fake;

        switch (fault) {
        case RESTART_SAME_ID:
            restart_executor(i, true, draw_delay(400));
            return;
        case RESTART_OTHER_ID:
            restart_executor(i, false, draw_delay(1500));
            return;
        case LOSE_EXECUTOR:
            lose_executor(i);
            return;
        case DRAIN_EXECUTOR:
            drain_executor(i);
            return;
        case SILENCE_EXECUTOR:
            silence_executor(i);
            return;
        case START_LATE:
            fake.late_starts = 1 + draw(3);
            fake.late_ms = 100 + draw(1200);
            return;
        case LOSE_START_ANSWERS:
            fake.lose_starts = 1 + draw(3);
            return;
        case LOSE_STOP_ANSWERS:
            fake.lose_stops = 1 + draw(3);
            return;
        case LOSE_POLL_ANSWERS:
            fake.lose_polls = 1 + draw(20);
            return;
        case REFUSE_STARTS:
            fake.busy_starts = 1 + draw(3);
            return;
        case KILL_NODE:
            kill_node(executors[i].node);
            return;
        case BREAK_CONNECTION:
            break_connection(executors[i].node);
            return;
        case REPLACE_LEADER:
            replace_leader();
            return;
        case HARM_STORE:
            harm_store();
            return;
        case CANCEL_JOB:
            cancel((size_t)draw((int)jobs.size()));
            return;
        default:
            g_assert_not_reached();
        }
    }
    void
    recover(bool all)
    {
        for (auto &executor : executors) {
            if (executor.lost) {
                continue;
            }
            if (all || loop_t::now_ms() >= executor.silent_until_ms) {
                executor.fake.unresponsive = false;
            }
        }
    }
    void
    end_faults()
    {
        note("MODEL end of the faults");
        faults = false;
        recover(true);
        for (auto &executor : executors) {
            executor.fake.late_starts = 0;
            executor.fake.lose_starts = 0;
            executor.fake.lose_stops = 0;
            executor.fake.lose_polls = 0;
            executor.fake.busy_starts = 0;
        }
        for (auto &leader : leaders) {
            leader->view->lose_answers = 0;
            leader->view->silent = false;
        }
    }
    void
    run_faults()
    {
        int64_t end_ms = loop_t::now_ms() + FAULT_MS;
        int longest_pause_ms = 50 + draw(600);

        while (loop_t::now_ms() < end_ms) {
            loop.run_ms(draw(longest_pause_ms));
            recover(false);
            harm();
        }
        end_faults();
    }

    /* The jobs. */

    void
    add_job(const std::string &id, const std::vector<Step> &steps,
            const std::vector<std::string> &tasks)
    {
        Job job;

        job.id = id;
        job.steps = steps;
        job.tasks = tasks;
        job.lasting = steps[0].long_running;
        for (auto &executor : executors) {
            if (job.lasting) {
                executor.fake.endless = id;
            }
        }
        jobs.push_back(job);
        loop.call_after(draw(FAULT_MS / 2),
                        [=, i = jobs.size() - 1] { submit(i); });
    }
    void
    draw_jobs()
    {
        int kinds = 1 + draw(7);

        if ((kinds & 1) != 0) {
            add_job("single", {{.count = 1}}, {"single.0.0.0"});
        }
        if ((kinds & 2) != 0) {
            add_job("gang", {{.count = 2, .gang = true}, {.after = {0}}},
                    {"gang.0.0.0", "gang.0.0.1", "gang.0.1.0"});
        }
        if ((kinds & 4) != 0) {
            add_job("lasting", {{.count = 1, .long_running = true}},
                    {"lasting.0.0.0"});
        }
    }
    static void
    on_submitted(const Teasel__JobAnswer *answer, void *data)
    {
        auto *job = static_cast<Job *>(data);

        job->accepted |= answer->outcome == JOB_OUTCOME_DONE;
    }
    /* A caller repeats its call until it is answered. */
    void
    submit(size_t i)
    {
        Job &job = jobs[i];

        if (job.accepted) {
            return;
        }
        loop.call_after(SUBMIT_MS, [=] { submit(i); });
        if (newest_leader().leader != nullptr) {
            Teasel__JobCall call = TEASEL__JOB_CALL__INIT;

            call.verb = JOB_VERB_SUBMIT;
            call.id = job.id.data();
            call.queue = const_cast<char *>("queue");
            call.spec = make_spec(job.id, job.steps, 50);
            leader_handle_call(newest_leader().leader, &call, on_submitted,
                               &job);
            teasel__job_spec__free_unpacked(call.spec, nullptr);
        }
    }
    static void
    on_cancelled(const Teasel__JobAnswer *answer, void *data)
    {
        auto *job = static_cast<Job *>(data);

        job->cancelled |= answer->outcome == JOB_OUTCOME_DONE;
    }
    void
    cancel(size_t i)
    {
        if (jobs[i].accepted && !jobs[i].cancelling) {
            jobs[i].cancelling = true;
            repeat_cancel(i);
        }
    }
    void
    repeat_cancel(size_t i)
    {
        Job &job = jobs[i];

        if (job.cancelled) {
            return;
        }
        loop.call_after(SUBMIT_MS, [=] { repeat_cancel(i); });
        if (newest_leader().leader != nullptr) {
            Teasel__JobCall call = TEASEL__JOB_CALL__INIT;

            call.verb = JOB_VERB_CANCEL;
            call.id = job.id.data();
            leader_handle_call(newest_leader().leader, &call, on_cancelled,
                               &job);
        }
    }
    static void
    on_state(const Teasel__JobAnswer *answer, void *data)
    {
        auto *job = static_cast<Job *>(data);

        if (answer->outcome == JOB_OUTCOME_DONE &&
            answer->call_id == job->questions) {
            job->state = (int)answer->state;
        }
    }
    /* A task under which two executors have crashed may be given up, or wait
       for longer if it is to last. */
    bool
    has_crashed_often(const Job &job)
    {
        for (auto &task : job.tasks) {
            if (crashes[task] >= 2) {
                return true;
            }
        }
        return false;
    }
    int
    count_running(const std::string &task, bool also_lost)
    {
        int count = 0;

        for (auto &executor : executors) {
            if (also_lost || !executor.lost) {
                count += executor.fake.is_running(task);
            }
        }
        return count;
    }
    bool
    is_as_expected(const Job &job, int state)
    {
        int running = 0;
        int running_well = 0;

        for (auto &task : job.tasks) {
            running += count_running(task, true);
            running_well += count_running(task, false);
        }
        if ((state == SCHED_JOB_FAILED && has_crashed_often(job) &&
             !job.lasting) ||
            (state == SCHED_JOB_CANCELLED && job.cancelling) ||
            (state == SCHED_JOB_COMPLETED && !job.lasting)) {
            return running == 0;
        }
        return state == SCHED_JOB_RUNNING && job.lasting && !job.cancelling &&
               running == 1 && running_well == 1;
    }
    /* A leader may answer later, once it has a proof that it still leads. */
    void
    ask_for_states()
    {
        leader_t *leader = newest_leader().leader;

        for (auto &job : jobs) {
            Teasel__JobCall call = TEASEL__JOB_CALL__INIT;

            job.state = NOT_KNOWN;
            call.verb = JOB_VERB_GET;
            call.id = job.id.data();
            call.call_id = ++job.questions;
            if (job.accepted && leader != nullptr && leader_is_ready(leader)) {
                leader_handle_call(leader, &call, on_state, &job);
            }
        }
    }
    /* Returns the jobs that are not as they have to be after the faults. */
    std::vector<std::string>
    find_stuck()
    {
        std::vector<std::string> stuck;

        for (auto &job : jobs) {
            if (!is_as_expected(job, job.state)) {
                stuck.push_back(job.id);
            }
        }
        return stuck;
    }
    int64_t
    get_recovery_ms()
    {
        for (auto &job : jobs) {
            if (job.lasting && has_crashed_often(job)) {
                return RECOVERY_MS + LONGEST_WAIT_MS;
            }
        }
        return RECOVERY_MS;
    }
    /* Waits until the state has been as it has to be for some time. */
    std::vector<std::string>
    wait_for_jobs()
    {
        int64_t end_ms = loop_t::now_ms() + get_recovery_ms();
        int64_t good_since_ms = loop_t::now_ms();
        std::vector<std::string> last_stuck;

        while (loop_t::now_ms() < end_ms) {
            std::vector<std::string> stuck;

            ask_for_states();
            loop.run_ms(CHECK_MS);
            stuck = find_stuck();
            if (!stuck.empty()) {
                good_since_ms = loop_t::now_ms();
                last_stuck = stuck;
            }
            if (loop_t::now_ms() - good_since_ms >= LASTING_MS) {
                return {};
            }
        }
        return last_stuck;
    }
    std::vector<std::string>
    get_doubled()
    {
        std::vector<std::string> out;

        for (auto &executor : executors) {
            out.insert(out.end(), executor.fake.doubled_after_loss.begin(),
                       executor.fake.doubled_after_loss.end());
        }
        return out;
    }
};

} // namespace

/* These take the place of base/events.c, node/node_link.c and wire/peer.c. */

void
event_log(event_id_t id, const char *format, ...)
{
    va_list arguments;
    char *text;

    if (trace == nullptr) {
        return;
    }
    va_start(arguments, format);
    text = g_strdup_vprintf(format, arguments);
    va_end(arguments);
    trace->add(std::string(event_names[id]) + " " + text);
    g_free(text);
}

bool
peer_send(peer_t *peer, const Teasel__Envelope *message)
{
    peer->world->send_to_agent(peer, message->node_orders);
    return true;
}

node_link_t *
node_link_new(const node_link_opts_t *opts)
{
    auto *link = new node_link_t;

    link->opts = *opts;
    link->world = the_world;
    for (size_t i = 0; i < the_world->nodes.size(); i++) {
        if (the_world->nodes[i].name == opts->name) {
            link->node = i;
        }
    }
    the_world->nodes[link->node].link = link;
    the_world->connect_later(link);
    return link;
}

void
node_link_free(node_link_t *link)
{
    if (link->peer != nullptr) {
        link->peer->agent_open = false;
        link->world->break_peer(link->peer);
    }
    link->world->nodes[link->node].link = nullptr;
    delete link;
}

bool
node_link_is_open(const node_link_t *link)
{
    return link->peer != nullptr;
}

bool
node_link_send(node_link_t *link, Teasel__NodeReport *report)
{
    if (link->peer == nullptr) {
        return false;
    }
    link->world->send_to_leader(link->peer, report);
    return true;
}

namespace {

using Names = std::vector<std::string>;

std::string
join(const Names &names)
{
    std::string out = "[";

    for (auto &name : names) {
        out += " " + name;
    }
    return out + " ]";
}

// Guards against tasks that run twice, again after their end, or never again,
// whichever orders, answers and processes are lost.
TEST(RunModel, RunsEachTaskOnceAndNeverGetsStuck)
{
    unsigned failures = 0;

    for (unsigned seed : get_seeds("TEASEL_MODEL", 1, 5000)) {
        World world(seed);
        Names stuck;
        Names doubled;

        world.run_faults();
        stuck = world.wait_for_jobs();
        doubled = world.get_doubled();
        if (stuck.empty() && doubled.empty()) {
            continue;
        }
        ADD_FAILURE() << "seed " << seed << ": stuck " << join(stuck)
                      << ", twice " << join(doubled)
                      << (failures++ == 0 ? world.lines.format() : "");
    }
}

} // namespace
