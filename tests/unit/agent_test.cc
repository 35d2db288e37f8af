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
}

#include "fake_entry.h"
#include "test_address.h"

namespace {

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
    std::vector<FakeEntry *> entries;
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

    // Answers one request at a time, so that the shutdown has to wait for
    // them.
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
        entries.push_back(new FakeEntry(loop, 505));
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

// Guards against agents that do not find a replacement entry while the log is
// unavailable, and against an agent that sends no reports to a new entry.
TEST_F(AgentTest, DiscoversEntriesFromHelloAcks)
{
    entries.push_back(new FakeEntry(loop, 506));
    entries.push_back(new FakeEntry(loop, 507));
    entries[0]->advertised_entries = {entries[1]->address, "nonsense"};
    entries[1]->advertised_entries = {entries[0]->address,
                                      entries[2]->address};
    start_agent(3);
    wait([&] { return entries[2]->reports > 1; });
    EXPECT_EQ(entries[0]->hellos, 1U);
}

// Guards against exceeding the executor's limits of requests and connections
// when several entries send requests at the same time, and against lost,
// duplicate or mixed-up answers.
TEST_F(AgentTest, LimitsSlotsAndConnectionsWithConcurrentEntries)
{
    entries.push_back(new FakeEntry(loop, 506));
    entries.push_back(new FakeEntry(loop, 507));
    entries[0]->advertised_entries = {entries[1]->address,
                                      entries[2]->address};
    start_agent(3, 16);
    for (uint64_t id = 1; id <= 60; id++) {
        entries[id % 3]->request(id, "/x", 60000, id % 2 == 0);
    }
    auto total = [&] {
        return entries[0]->answer_count + entries[1]->answer_count +
               entries[2]->answer_count;
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

// Guards against a wrong outcome of a failed request: NotRun is correct only
// if the connection to the executor was refused; after any later failure the
// outcome is Unknown.
TEST_F(AgentTest, ReportsExactOutcomes)
{
    start_agent(1);
    auto *entry = entries[0];

    entry->request(1, "/x", 50);
    wait([&] { return entry->answer_count == 1; });
    EXPECT_EQ(entry->answers[1][0].kind, TEASEL__ENVELOPE__BODY_UNKNOWN);
    EXPECT_EQ(entry->answers[1][0].error, ERROR_TIMEOUT);
    answer(0);
    const std::string cuts[] = {
        "", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"};
    for (uint64_t id = 3; id <= 4; id++) {
        entry->request(id, "/x", 60000);
        wait([&] { return held.size() == 1; });
        http_exchange_abort(held[0], cuts[id - 3].data(), cuts[id - 3].size());
        held.clear();
        wait([&] { return entry->answers.count(id) == 1; });
        EXPECT_EQ(entry->answers[id][0].kind, TEASEL__ENVELOPE__BODY_UNKNOWN);
    }
    EXPECT_EQ(entry->answers[3][0].error, ERROR_CONNECTION_LOST);
    EXPECT_EQ(entry->answers[4][0].error, ERROR_TRUNCATED);
    http_server_close_listener(server);
    loop_run_once(loop, 0);
    entry->request(2, "/x", 60000);
    wait([&] { return entry->answer_count == 4; });
    EXPECT_EQ(entry->answers[2][0].kind, TEASEL__ENVELOPE__BODY_NOT_RUN);
    EXPECT_EQ(entry->answers[2][0].error, ERROR_CONNECT);
    EXPECT_EQ(runs.count("2"), 0U);
}

// Guards against reusing a slot while the executor still works on a request
// whose deadline has passed or that was cancelled, and against starting
// cancelled or expired requests.
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
    wait([&] { return entry->answer_count == 3; });
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
    wait([&] { return entry->answer_count == 10; });
    EXPECT_EQ(runs.count("9") + runs.count("11"), 0U);
    EXPECT_EQ(entry->answers.count(2), 0U);
}

// Guards against a graceful shutdown that aborts accepted requests, accepts
// new ones, or never ends.
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
    wait([&] { return entry->answer_count == 1; });
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

// Guards against an answer that is sent on a later connection of the entry,
// and against running queued requests of a lost connection.
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
    wait([&] { return entry->answer_count == 1; });
    EXPECT_EQ(entry->answers[11][0].kind, TEASEL__ENVELOPE__BODY_REPLY);
    EXPECT_EQ(runs.count("9") + runs.count("10"), 0U);
}

} // namespace
