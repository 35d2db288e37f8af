#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

extern "C" {
#include "agent/agent.h"
#include "base/error.h"
#include "base/events.h"
#include "base/http_server.h"
#include "wire/peer.h"
}

#include "test_address.h"

namespace {

struct Answer {
    Teasel__Envelope__BodyCase kind;
    uint32_t error;
    uint32_t status;
    std::string body;
};

// An entry: accepts agents and keeps what they send.
struct Entry {
    loop_t *loop;
    char address[32];
    peer_listener_t *listener = nullptr;
    peer_handler_t handler = {};
    std::vector<peer_t *> peers;
    std::vector<std::string> known; // told to agents
    std::map<uint64_t, std::vector<Answer>> answers;
    size_t hellos = 0;
    size_t reports = 0;
    size_t leaves = 0;
    size_t total = 0;

    static void
    on_message(peer_t *peer, const Teasel__Envelope *message, void *data)
    {
        auto *self = static_cast<Entry *>(data);

        switch (message->body_case) {
        case TEASEL__ENVELOPE__BODY_HELLO:
            self->hellos++;
            self->send_ack(peer);
            break;
        case TEASEL__ENVELOPE__BODY_REPORT:
            self->reports++;
            break;
        case TEASEL__ENVELOPE__BODY_LEAVE:
            self->leaves++;
            break;
        case TEASEL__ENVELOPE__BODY_REPLY:
            self->add(message->reply->request_id,
                      {message->body_case, 0, message->reply->status,
                       std::string(
                           reinterpret_cast<char *>(message->reply->body.data),
                           message->reply->body.len)});
            break;
        case TEASEL__ENVELOPE__BODY_NOT_RUN:
            self->add(message->not_run->request_id,
                      {message->body_case, message->not_run->kind, 0, ""});
            break;
        case TEASEL__ENVELOPE__BODY_UNKNOWN:
            self->add(message->unknown->request_id,
                      {message->body_case, message->unknown->kind, 0, ""});
            break;
        default:
            break;
        }
    }

    static void
    on_close(peer_t *peer, const char *, void *data)
    {
        auto &peers = static_cast<Entry *>(data)->peers;

        peers.erase(std::remove(peers.begin(), peers.end(), peer),
                    peers.end());
    }

    static void
    on_accept(peer_t *peer, void *data)
    {
        static_cast<Entry *>(data)->peers.push_back(peer);
    }

    Entry(loop_t *the_loop, int port) : loop(the_loop)
    {
        peer_opts_t opts = {};

        test_address(address, port);
        handler.on_message = on_message;
        handler.on_close = on_close;
        opts.loop = loop;
        opts.clock = clock_system();
        opts.handler = &handler;
        opts.data = this;
        opts.max_queued_bytes = 64 << 20;
        opts.silence_ms = 5000;
        opts.ping_ms = 500;
        listener = peer_listen(&opts, address, on_accept, nullptr);
    }

    ~Entry()
    {
        peer_listener_free(listener);
    }

    void
    add(uint64_t id, const Answer &answer)
    {
        answers[id].push_back(answer);
        total++;
    }

    void
    send_ack(peer_t *peer)
    {
        Teasel__Envelope envelope = TEASEL__ENVELOPE__INIT;
        Teasel__HelloAck ack = TEASEL__HELLO_ACK__INIT;
        std::vector<char *> list;

        for (auto &one : known) {
            list.push_back(const_cast<char *>(one.c_str()));
        }
        ack.entries = list.data();
        ack.n_entries = list.size();
        envelope.body_case = TEASEL__ENVELOPE__BODY_HELLO_ACK;
        envelope.hello_ack = &ack;
        peer_send(peer, &envelope);
    }

    void
    request(uint64_t id, const char *target, uint32_t deadline_ms,
            bool idempotent = false)
    {
        Teasel__Envelope envelope = TEASEL__ENVELOPE__INIT;
        Teasel__Request message = TEASEL__REQUEST__INIT;
        std::string body = std::to_string(id);

        message.request_id = id;
        message.service = const_cast<char *>("previews");
        message.method = const_cast<char *>("POST");
        message.target = const_cast<char *>(target);
        message.body.data = reinterpret_cast<uint8_t *>(body.data());
        message.body.len = body.size();
        message.deadline_ms = deadline_ms;
        message.idempotent = idempotent;
        envelope.body_case = TEASEL__ENVELOPE__BODY_REQUEST;
        envelope.request = &message;
        peer_send(peers.at(0), &envelope);
    }

    void
    cancel(uint64_t id)
    {
        Teasel__Envelope envelope = TEASEL__ENVELOPE__INIT;
        Teasel__CancelRequest message = TEASEL__CANCEL_REQUEST__INIT;

        message.request_id = id;
        envelope.body_case = TEASEL__ENVELOPE__BODY_CANCEL_REQUEST;
        envelope.cancel_request = &message;
        peer_send(peers.at(0), &envelope);
    }
};

class AgentTest : public ::testing::Test {
  protected:
    loop_t *loop = loop_new();
    http_server_t *server = nullptr;
    std::vector<http_exchange_t *> held;
    std::map<std::string, int> runs;
    size_t max_held = 0;
    size_t max_connections = 0;
    agent_settings_t settings = {};
    agent_t *agent = nullptr;
    std::vector<Entry *> entries;
    std::string executor_address;
    loop_timer_t answer_timer;

    static void
    on_hold(http_exchange_t *exchange, void *data)
    {
        auto *self = static_cast<AgentTest *>(data);

        self->runs[std::string(exchange->body, exchange->body_length)]++;
        self->held.push_back(exchange);
        self->max_held = std::max(self->max_held, self->held.size());
        self->max_connections = std::max(
            self->max_connections, http_server_get_connections(self->server));
    }

    // Answers one request at a time, so that the stop has to wait for them.
    static void
    on_answer_timer(loop_timer_t *timer)
    {
        auto *self = static_cast<AgentTest *>(timer->data);

        loop_timer_start(timer, 20);
        if (!self->held.empty()) {
            self->answer(0);
        }
    }

    static std::string
    address(int port)
    {
        char text[32];

        test_address(text, port);
        return text;
    }

    void
    start_executor()
    {
        static const http_route_t routes[] = {{"/", on_hold},
                                              {nullptr, nullptr}};
        http_server_opts_t opts = {};

        executor_address = address(501);
        opts.loop = loop;
        opts.listen = executor_address.c_str();
        opts.max_body = 1 << 20;
        opts.routes = routes;
        opts.data = this;
        server = http_server_new(&opts, nullptr);
        ASSERT_NE(server, nullptr);
    }

    void
    start_agent(int connected, int connections = 64)
    {
        g_autoptr(GError) error = nullptr;
        g_autofree char *path = g_build_filename(
            g_get_tmp_dir(), ("teasel-" + address(0) + ".json").c_str(), NULL);
        std::string text =
            "{\"agent_id\": \"a1\", \"data_centre\": \"x\","
            "\"services\": [\"previews\"], \"queue\": 16,"
            "\"report_ms\": 20, \"leave_linger_ms\": 50,"
            "\"backoff_ms\": 5, \"candidate\": false,"
            "\"connections\": " +
            std::to_string(connections) + ", \"peer_listen\": \"" +
            address(502) + "\", \"http_listen\": \"" + address(503) +
            "\", \"log_address\": \"" + address(504) +
            "\", \"executor_address\": \"" + executor_address +
            "\", \"entries\": [\"" + entries[0]->address + "\"]}";

        ASSERT_TRUE(g_file_set_contents(path, text.c_str(), -1, nullptr));
        ASSERT_TRUE(agent_settings_load(path, &settings, &error))
            << error->message;
        agent = agent_new(loop, &settings, &error);
        ASSERT_NE(agent, nullptr) << error->message;
        wait([&] {
            size_t hellos = 0;
            for (auto *entry : entries) {
                hellos += entry->hellos;
            }
            return hellos >= static_cast<size_t>(connected);
        });
    }

    template <typename F>
    void
    wait(F condition)
    {
        while (!condition()) {
            loop_run_once(loop, 1000);
        }
    }

    void
    answer(size_t index, int status = 200)
    {
        auto *exchange = held.at(index);
        std::string body(exchange->body, exchange->body_length);

        held.erase(held.begin() + static_cast<long>(index));
        http_exchange_reply(exchange, status, nullptr, 0, body.data(),
                            body.size());
    }

    void
    SetUp() override
    {
        entries.push_back(new Entry(loop, 505));
        start_executor();
    }

    void
    TearDown() override
    {
        agent_free(agent);
        agent_settings_clear(&settings);
        while (!held.empty()) {
            answer(0);
        }
        for (auto *entry : entries) {
            delete entry;
        }
        loop_run_once(loop, 10);
        http_server_free(server);
        loop_free(loop);
    }
};

// Guards against a replacement entry that no agent finds while the log is
// down, and against an agent that keeps silent to a new entry.
TEST_F(AgentTest, FindsEntriesThroughEntries)
{
    entries.push_back(new Entry(loop, 506));
    entries.push_back(new Entry(loop, 507));
    entries[0]->known = {entries[1]->address, "nonsense"};
    entries[1]->known = {entries[0]->address, entries[2]->address};
    start_agent(3);
    wait([&] { return entries[2]->reports > 1; });
    EXPECT_EQ(entries[0]->hellos, 1U);
}

// Guards against more requests or connections at the executor than it allows
// when entries race for its last slots, and against a lost, doubled or
// exchanged answer.
TEST_F(AgentTest, KeepsSlotsAndConnectionsWithRacingEntries)
{
    entries.push_back(new Entry(loop, 506));
    entries.push_back(new Entry(loop, 507));
    entries[0]->known = {entries[1]->address, entries[2]->address};
    start_agent(3, 16);
    for (uint64_t id = 1; id <= 60; id++) {
        entries[id % 3]->request(id, "/x", 60000, id % 2 == 0);
    }
    auto total = [&] {
        return entries[0]->total + entries[1]->total + entries[2]->total;
    };
    while (total() < 60) {
        loop_run_once(loop, 1000);
        if (held.size() == 8 ||
            (!held.empty() && total() + held.size() >= 60)) {
            answer(held.size() / 2);
        }
    }
    EXPECT_EQ(max_held, 8U);
    EXPECT_LE(max_connections, 16U);
    size_t replies = 0;
    for (uint64_t id = 1; id <= 60; id++) {
        auto &list = entries[id % 3]->answers[id];
        std::string name = std::to_string(id);

        ASSERT_EQ(list.size(), 1U);
        if (list[0].kind == TEASEL__ENVELOPE__BODY_REPLY) {
            EXPECT_EQ(list[0].body, name);
            EXPECT_EQ(runs[name], 1);
            replies++;
        }
        else {
            EXPECT_EQ(list[0].kind, TEASEL__ENVELOPE__BODY_NOT_RUN);
            EXPECT_EQ(runs.count(name), 0U);
        }
    }
    EXPECT_GE(replies, 24U);
}

// Guards against an outcome that claims more than is known: a refused
// connection is not run, anything lost later is unknown.
TEST_F(AgentTest, TellsExactOutcomes)
{
    start_agent(1);
    auto *entry = entries[0];

    entry->request(1, "/x", 50);
    wait([&] { return entry->total == 1; });
    EXPECT_EQ(entry->answers[1][0].kind, TEASEL__ENVELOPE__BODY_UNKNOWN);
    EXPECT_EQ(entry->answers[1][0].error, ERROR_TIMEOUT);
    answer(0);
    http_server_close_listener(server);
    loop_run_once(loop, 0);
    entry->request(2, "/x", 60000);
    wait([&] { return entry->total == 2; });
    EXPECT_EQ(entry->answers[2][0].kind, TEASEL__ENVELOPE__BODY_NOT_RUN);
    EXPECT_EQ(entry->answers[2][0].error, ERROR_CONNECT);
    EXPECT_EQ(runs.count("2"), 0U);
}

// Guards against a slot that is given out again while the executor still
// works for a request whose deadline has passed or that was cancelled, and
// against starting cancelled or expired requests.
TEST_F(AgentTest, KeepsSlotUntilExecutorAnswers)
{
    start_agent(1);
    auto *entry = entries[0];

    for (uint64_t id = 1; id <= 8; id++) {
        entry->request(id, "/x", id == 1 ? 30 : 60000);
    }
    entry->request(9, "/x", 60000);
    entry->request(10, "/x", 60000);
    entry->request(11, "/x", 60);
    entry->cancel(2);
    entry->cancel(9);
    wait([&] { return entry->total == 3; });
    EXPECT_EQ(entry->answers[1][0].error, ERROR_TIMEOUT);
    EXPECT_EQ(entry->answers[9][0].kind, TEASEL__ENVELOPE__BODY_NOT_RUN);
    EXPECT_EQ(entry->answers[11][0].kind, TEASEL__ENVELOPE__BODY_NOT_RUN);
    EXPECT_EQ(entry->answers[11][0].error, ERROR_EXPIRED);
    EXPECT_EQ(held.size(), 8U);
    answer(0);
    wait([&] { return runs.count("10") == 1; });
    while (!held.empty()) {
        answer(0);
    }
    wait([&] { return entry->total == 10; });
    EXPECT_EQ(runs.count("9") + runs.count("11"), 0U);
    EXPECT_EQ(entry->answers.count(2), 0U);
}

// Guards against a planned stop that cuts off accepted requests, accepts new
// ones, or never ends.
TEST_F(AgentTest, FinishesAcceptedRequestsWhileLeaving)
{
    start_agent(1);
    auto *entry = entries[0];

    for (uint64_t id = 1; id <= 20; id++) {
        entry->request(id, "/x", 60000);
    }
    wait([&] { return held.size() == 8; });
    agent_leave(agent, "test");
    wait([&] { return entry->leaves == 1; });
    entry->request(21, "/x", 60000);
    wait([&] { return entry->total == 1; });
    EXPECT_EQ(entry->answers[21][0].error, ERROR_LEAVING);
    loop_timer_init(&answer_timer, loop, on_answer_timer, this);
    loop_timer_start(&answer_timer, 20);
    loop_run(loop); /* until the agent stops it */
    loop_timer_stop(&answer_timer);
    for (uint64_t id = 1; id <= 20; id++) {
        ASSERT_EQ(entry->answers[id].size(), 1U);
        EXPECT_EQ(entry->answers[id][0].kind, TEASEL__ENVELOPE__BODY_REPLY);
    }
}

// Guards against an answer that reaches a later connection of the entry, and
// against running what nobody waits for any more.
TEST_F(AgentTest, DropsRequestsOfALostConnection)
{
    start_agent(1);
    auto *entry = entries[0];

    for (uint64_t id = 1; id <= 10; id++) {
        entry->request(id, "/x", 60000);
    }
    wait([&] { return held.size() == 8; });
    peer_close(entry->peers.at(0));
    entry->peers.clear();
    wait([&] { return entry->hellos == 2; });
    while (!held.empty()) {
        answer(0);
    }
    entry->request(11, "/x", 60000);
    wait([&] { return held.size() == 1; });
    answer(0);
    wait([&] { return entry->total == 1; });
    EXPECT_EQ(entry->answers[11][0].kind, TEASEL__ENVELOPE__BODY_REPLY);
    EXPECT_EQ(runs.count("9") + runs.count("10"), 0U);
}

} // namespace
