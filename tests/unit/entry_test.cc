#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

extern "C" {
#include "base/http_client.h"
#include "entry/entry.h"
#include "wire/peer.h"
}

#include "test_address.h"

namespace {

/* A request that an agent received. */
struct Delivery {
    uint64_t id;
    std::string body;
    std::string target;
    std::string headers; /* "name=value;" for each header */
};

/* An agent that answers only when the test makes it answer. */
struct Agent {
    peer_t *peer = nullptr;
    std::vector<Delivery> deliveries;
    std::vector<uint64_t> cancelled;
    bool acknowledged = false;
    bool closed = false;
    uint64_t sequence = 1;

    void
    send(const Teasel__Envelope &envelope)
    {
        peer_send(peer, &envelope);
    }

    void
    hello(const char *id, uint64_t incarnation)
    {
        Teasel__Envelope envelope = TEASEL__ENVELOPE__INIT;
        Teasel__Hello hello = TEASEL__HELLO__INIT;
        Teasel__Load load = TEASEL__LOAD__INIT;
        char *services[] = {(char *)"preview"};

        load.sequence = sequence;
        hello.agent_id = (char *)id;
        hello.incarnation = incarnation;
        hello.data_centre = (char *)"accra";
        hello.n_services = 1;
        hello.services = services;
        hello.load = &load;
        envelope.body_case = TEASEL__ENVELOPE__BODY_HELLO;
        envelope.hello = &hello;
        send(envelope);
    }

    void
    reply(uint64_t id, const std::string &body, uint32_t status = 200)
    {
        Teasel__Envelope envelope = TEASEL__ENVELOPE__INIT;
        Teasel__Reply reply = TEASEL__REPLY__INIT;

        reply.request_id = id;
        reply.status = status;
        reply.body.data = (uint8_t *)body.data();
        reply.body.len = body.size();
        envelope.body_case = TEASEL__ENVELOPE__BODY_REPLY;
        envelope.reply = &reply;
        send(envelope);
    }

    void
    not_run(uint64_t id, error_kind_t kind = ERROR_OVERLOADED)
    {
        Teasel__Envelope envelope = TEASEL__ENVELOPE__INIT;
        Teasel__NotRun not_run = TEASEL__NOT_RUN__INIT;

        not_run.request_id = id;
        not_run.kind = kind;
        envelope.body_case = TEASEL__ENVELOPE__BODY_NOT_RUN;
        envelope.not_run = &not_run;
        send(envelope);
    }

    void
    unknown(uint64_t id)
    {
        Teasel__Envelope envelope = TEASEL__ENVELOPE__INIT;
        Teasel__Unknown unknown = TEASEL__UNKNOWN__INIT;

        unknown.request_id = id;
        unknown.kind = ERROR_TRUNCATED;
        envelope.body_case = TEASEL__ENVELOPE__BODY_UNKNOWN;
        envelope.unknown = &unknown;
        send(envelope);
    }

    void
    leave()
    {
        Teasel__Envelope envelope = TEASEL__ENVELOPE__INIT;
        Teasel__Leave leave = TEASEL__LEAVE__INIT;

        envelope.body_case = TEASEL__ENVELOPE__BODY_LEAVE;
        envelope.leave = &leave;
        send(envelope);
    }

    void
    drop()
    {
        peer_close(peer);
        peer = nullptr;
        closed = true;
    }
};

struct Caller {
    int answers = 0;
    int status = 0;
    std::string body;
};

struct EntryTest : public ::testing::Test {
    loop_t *loop = loop_new();
    entry_settings_t settings = {};
    int64_t retry_reserve = 1000;
    char http[32] = "";
    char peer[32] = "";
    char no_log[32] = "";
    entry_t *entry = nullptr;
    http_client_t *client = nullptr;
    std::vector<std::unique_ptr<Agent>> agents;
    std::vector<std::unique_ptr<Caller>> callers;

    static void
    on_message(peer_t *peer, const Teasel__Envelope *message, void *data)
    {
        auto *agent = static_cast<Agent *>(data);

        if (message->body_case == TEASEL__ENVELOPE__BODY_REQUEST) {
            const Teasel__Request *request = message->request;
            std::string headers;

            for (size_t i = 0; i < request->n_headers; i++) {
                headers += std::string(request->headers[i]->name) + "=" +
                           request->headers[i]->value + ";";
            }
            agent->deliveries.push_back(
                {request->request_id,
                 std::string((const char *)request->body.data,
                             request->body.len),
                 request->target, headers});
        }
        else if (message->body_case == TEASEL__ENVELOPE__BODY_CANCEL_REQUEST) {
            agent->cancelled.push_back(message->cancel_request->request_id);
        }
        else if (message->body_case == TEASEL__ENVELOPE__BODY_HELLO_ACK) {
            agent->acknowledged = true;
        }
    }

    static void
    on_close(peer_t *peer, const char *reason, void *data)
    {
        static_cast<Agent *>(data)->peer = nullptr;
        static_cast<Agent *>(data)->closed = true;
    }

    static void
    on_answer(const http_response_t *response, void *data)
    {
        auto *caller = static_cast<Caller *>(data);

        caller->answers++;
        caller->status = response->ok ? response->status : -1;
        caller->body.assign(response->body, response->body_length);
    }

    void
    SetUp() override
    {
        g_autoptr(GError) error = nullptr;
        http_client_opts_t client_opts = {};

        test_address(http, 30);
        test_address(peer, 31);
        test_address(no_log, 32);
        settings.entry_id = (char *)"entry-1";
        settings.data_centre = (char *)"accra";
        settings.route = (char *)"p3c";
        settings.http_listen = settings.http_address = http;
        settings.peer_listen = settings.peer_address = peer;
        settings.log_address = no_log;
        settings.fresh_ms = settings.keep_ms = 600000;
        settings.silence_ms = 600000;
        settings.ping_ms = 300000;
        settings.announce_ms = 600000;
        settings.append_timeout_ms = 1000;
        settings.max_body_bytes = 1 << 20;
        settings.max_in_flight = 1000;
        settings.max_attempts = 3;
        settings.retry_percent = 10;
        settings.retry_reserve = retry_reserve;
        settings.park_ms = 60000;
        settings.eject_failures = 1000;
        settings.eject_ms = settings.max_eject_ms = 1000;
        settings.stop_timeout_ms = 60000;
        settings.leave_delay_ms = 50;
        entry = entry_new(loop, &settings, &error);
        ASSERT_NE(entry, nullptr) << error->message;
        client_opts.loop = loop;
        client_opts.address = http;
        client_opts.max_connections = 8;
        client = http_client_new(&client_opts, nullptr);
    }

    void
    TearDown() override
    {
        http_client_free(client);
        for (auto &agent : agents) {
            peer_close(agent->peer);
        }
        loop_run_once(loop, 10);
        entry_free(entry);
        loop_free(loop);
    }

    template <typename Condition>
    void
    wait_for(Condition condition)
    {
        while (!condition()) {
            loop_run_once(loop, 1000);
        }
    }

    Agent *
    connect(const char *id, uint64_t incarnation)
    {
        static const peer_handler_t handler = {nullptr, on_message, on_close};
        peer_opts_t opts = {};
        auto *agent = new Agent();

        agents.emplace_back(agent);
        opts.loop = loop;
        opts.clock = clock_system();
        opts.handler = &handler;
        opts.data = agent;
        opts.max_queued_bytes = 1 << 24;
        opts.silence_ms = opts.ping_ms = 600000;
        agent->peer = peer_connect(&opts, peer, nullptr);
        agent->hello(id, incarnation);
        wait_for([&] { return agent->acknowledged || agent->closed; });
        return agent;
    }

    Caller *
    call(const std::string &body, const char *idempotent, uint32_t timeout_ms)
    {
        std::string timeout = std::to_string(timeout_ms);
        http_header_t headers[] = {{"teasel-timeout-ms", timeout.c_str()},
                                   {"teasel-idempotent", idempotent}};
        http_call_opts_t opts = {};

        callers.emplace_back(new Caller());
        opts.method = "POST";
        opts.target = "/svc/preview/x?y=1";
        opts.headers = headers;
        opts.header_count = 2;
        opts.body = body.data();
        opts.body_length = body.size();
        opts.timeout_ms = 60000;
        opts.max_response = 1 << 20;
        http_client_send(client, &opts, on_answer, callers.back().get());
        return callers.back().get();
    }

    size_t
    count_answered()
    {
        size_t count = 0;

        for (auto &caller : callers) {
            count += caller->answers != 0;
        }
        return count;
    }

    bool
    all_answered()
    {
        return count_answered() == callers.size();
    }
};

// Guards against an answer that is delivered to the wrong caller. The agent
// answers in reverse order, repeats its answers, and answers unknown requests.
TEST_F(EntryTest, AnswersReachTheirOwnCallers)
{
    Agent *agent = connect("agent-1", 1);

    for (int i = 0; i < 50; i++) {
        call("plate " + std::to_string(i), "no", 60000);
    }
    wait_for([&] { return agent->deliveries.size() == 50; });
    for (size_t i = 50; i-- > 0;) {
        const Delivery &delivery = agent->deliveries[i];

        agent->reply(delivery.id + 1000, "nobody");
        agent->reply(delivery.id, delivery.body);
        agent->reply(delivery.id, "twice");
        agent->unknown(delivery.id);
    }
    wait_for([&] { return all_answered(); });
    for (int i = 0; i < 50; i++) {
        EXPECT_EQ(callers[i]->body, "plate " + std::to_string(i));
        EXPECT_EQ(callers[i]->answers, 1);
    }
}

// Guards against accepting an answer from a connection over which the request
// was not sent, as can arrive after an agent has restarted.
TEST_F(EntryTest, IgnoresAnswersOfOtherConnections)
{
    Agent *agent = connect("agent-1", 1);
    Caller *caller = call("plate", "no", 60000);

    wait_for([&] { return agent->deliveries.size() == 1; });
    Agent *other = connect("agent-2", 1);
    other->reply(agent->deliveries[0].id, "wrong");
    other->not_run(agent->deliveries[0].id);
    connect("agent-3", 1); /* the entry has now handled the messages above */
    EXPECT_EQ(caller->answers, 0);
    agent->reply(agent->deliveries[0].id, "right");
    wait_for([&] { return all_answered(); });
    EXPECT_EQ(caller->body, "right");
}

// Guards against two live incarnations of an agent. The newer one must replace
// the older one, whose requests end as unknown and which cannot reconnect.
TEST_F(EntryTest, NewerIncarnationReplacesTheOlder)
{
    Agent *old_agent = connect("agent-1", 1);
    Caller *caller = call("plate", "no", 60000);

    wait_for([&] { return old_agent->deliveries.size() == 1; });
    Agent *new_agent = connect("agent-1", 2);
    wait_for([&] { return old_agent->closed && all_answered(); });
    EXPECT_EQ(caller->status, 502);
    EXPECT_NE(caller->body.find("\"executed\":\"unknown\""),
              std::string::npos);
    EXPECT_EQ(new_agent->deliveries.size(), 0U);
    EXPECT_TRUE(connect("agent-1", 1)->closed);
    EXPECT_FALSE(new_agent->closed);
}

// Guards against a member that keeps a pointer to a connection which names
// another agent meanwhile: the next request for it used freed memory once the
// connection was closed.
TEST_F(EntryTest, RefusesASecondHelloOfAnotherAgent)
{
    Agent *agent = connect("agent-1", 1);

    agent->hello("agent-2", 1);
    wait_for([&] { return agent->closed; });
    Agent *next = connect("agent-3", 1);
    Caller *caller = call("plate", "no", 60000);
    wait_for([&] { return next->deliveries.size() == 1; });
    next->reply(next->deliveries[0].id, "done");
    wait_for([&] { return all_answered(); });
    EXPECT_EQ(caller->status, 200);
}

// Guards against forwarding hop-by-hop headers to the executor, and against
// changing the request target.
TEST_F(EntryTest, ForwardsTargetAndEndToEndHeaders)
{
    http_header_t headers[] = {{"connection", "x-hop, close"},
                               {"x-hop", "1"},
                               {"te", "trailers"},
                               {"x-end", "2"},
                               {"teasel-timeout-ms", "60000"}};
    http_call_opts_t opts = {};
    Caller caller;
    Agent *agent = connect("agent-1", 1);

    opts.method = "GET";
    opts.target = "/svc/preview/a%20b/c?d=e";
    opts.headers = headers;
    opts.header_count = 5;
    opts.timeout_ms = 60000;
    opts.max_response = 1024;
    http_client_send(client, &opts, on_answer, &caller);
    wait_for([&] { return agent->deliveries.size() == 1; });
    const Delivery &delivery = agent->deliveries[0];
    EXPECT_EQ(delivery.target, "/a%20b/c?d=e");
    EXPECT_EQ(delivery.headers.substr(0, 8), "x-end=2;");
    EXPECT_NE(delivery.headers.find(";teasel-request-id=entry-1-"),
              std::string::npos);
    EXPECT_EQ(delivery.headers.find("host="), std::string::npos);
    agent->reply(delivery.id, "answer");
    wait_for([&] { return caller.answers == 1; });
    EXPECT_EQ(caller.body, "answer");
}

// Guards against running a request with an invalid option header.
TEST_F(EntryTest, RefusesInvalidOptions)
{
    static const http_header_t invalid[] = {
        {"teasel-timeout-ms", "0"},
        {"teasel-timeout-ms", "5s"},
        {"teasel-idempotent", "maybe"},
        {"idempotency-key", ""},
    };
    Agent *agent = connect("agent-1", 1);

    for (const http_header_t &header : invalid) {
        http_call_opts_t opts = {};
        Caller caller;

        opts.method = "GET";
        opts.target = "/svc/preview/x";
        opts.headers = &header;
        opts.header_count = 1;
        opts.timeout_ms = 60000;
        opts.max_response = 1024;
        http_client_send(client, &opts, on_answer, &caller);
        wait_for([&] { return caller.answers == 1; });
        EXPECT_EQ(caller.status, 400) << header.name << header.value;
        EXPECT_NE(caller.body.find("\"executed\":\"no\""), std::string::npos);
    }
    EXPECT_EQ(agent->deliveries.size(), 0U);
}

struct FaultCase {
    /* One letter per delivery, the action of the agent: n(ot run), u(nknown),
       i(nvalid answer), d(isconnect), r(eply), t(imeout: no answer). */
    const char *steps;
    const char *idempotent;
    size_t deliveries;
    int status;
    const char *body;
};

// Guards against reporting "not run" for a request that may have run, against
// running a non-idempotent request twice, and against not retrying a request
// that is safe to retry, for each way in which an attempt can fail.
TEST_F(EntryTest, ReportsTheOutcomeOfEachFaultCorrectly)
{
    static const FaultCase cases[] = {
        {"nnn", "no", 3, 503, "\"executed\":\"no\""},
        {"nnr", "no", 3, 200, "answer"},
        {"u", "no", 1, 502, "\"executed\":\"unknown\""},
        {"nu", "no", 2, 502, "\"executed\":\"unknown\""},
        {"i", "no", 1, 502, "\"executed\":\"unknown\""},
        {"d", "no", 1, 502, "\"executed\":\"unknown\""},
        {"t", "no", 1, 504, "\"executed\":\"unknown\""},
        {"nnn", "yes", 3, 503, "\"executed\":\"no\""},
        {"ur", "yes", 2, 200, "answer"},
        {"dr", "yes", 2, 200, "answer"},
        {"ir", "yes", 2, 200, "answer"},
        {"unn", "yes", 3, 502, "\"executed\":\"unknown\""},
        {"t", "yes", 1, 504, "\"executed\":\"unknown\""},
    };

    for (const FaultCase &fault : cases) {
        SCOPED_TRACE(std::string(fault.steps) + " " + fault.idempotent);
        std::vector<Agent *> live;
        for (const char *id : {"agent-1", "agent-2", "agent-3"}) {
            live.push_back(connect(id, agents.size() + 1));
        }
        bool times_out = strchr(fault.steps, 't') != nullptr;
        Caller *caller =
            call("plate", fault.idempotent, times_out ? 50 : 60000);
        size_t deliveries = 0;
        while (caller->answers == 0) {
            loop_run_once(loop, 1000);
            for (Agent *agent : live) {
                for (const Delivery &delivery : agent->deliveries) {
                    ASSERT_LT(deliveries, strlen(fault.steps));
                    switch (fault.steps[deliveries++]) {
                    case 'n':
                        agent->not_run(delivery.id);
                        break;
                    case 'u':
                        agent->unknown(delivery.id);
                        break;
                    case 'i':
                        agent->reply(delivery.id, "cut", 0);
                        break;
                    case 'd':
                        agent->drop();
                        break;
                    case 'r':
                        agent->reply(delivery.id, "answer");
                        break;
                    default:
                        break;
                    }
                }
                agent->deliveries.clear();
            }
        }
        EXPECT_EQ(deliveries, fault.deliveries);
        EXPECT_EQ(caller->status, fault.status);
        EXPECT_NE(caller->body.find(fault.body), std::string::npos)
            << caller->body;
    }
}

// Guards against sending new requests to a leaving agent, and against losing
// its answers to earlier requests.
TEST_F(EntryTest, LeavingAgentGetsNoNewRequests)
{
    Agent *leaving = connect("agent-1", 1);
    Caller *early = call("early", "no", 60000);

    wait_for([&] { return leaving->deliveries.size() == 1; });
    leaving->leave();
    Agent *staying = connect("agent-2", 1);
    for (int i = 0; i < 20; i++) {
        call("late", "no", 60000);
    }
    wait_for([&] { return staying->deliveries.size() == 20; });
    leaving->reply(leaving->deliveries[0].id, "done");
    for (const Delivery &delivery : staying->deliveries) {
        staying->reply(delivery.id, delivery.body);
    }
    wait_for([&] { return all_answered(); });
    EXPECT_EQ(early->body, "done");
    EXPECT_EQ(leaving->deliveries.size(), 1U);
}

struct SmallBudgetTest : public EntryTest {
    SmallBudgetTest()
    {
        retry_reserve = 2;
    }
};

// Guards against refusing callers in a planned stop of one agent, of which the
// entry hears only when it has sent it more requests than the retry budget has
// tokens, and against a budget that other refusals don't spend after that.
TEST_F(SmallBudgetTest, RetriesEachRefusalOfALeavingAgent)
{
    const size_t requests = 20;
    Agent *leaving = connect("agent-1", 1);
    Agent *staying;

    for (size_t i = 0; i < requests; i++) {
        call("late", "no", 60000);
    }
    wait_for([&] { return leaving->deliveries.size() == requests; });
    leaving->leave();
    staying = connect("agent-2", 1);
    for (const Delivery &delivery : leaving->deliveries) {
        leaving->not_run(delivery.id, ERROR_LEAVING);
    }
    wait_for([&] {
        return staying->deliveries.size() + count_answered() == requests;
    });
    ASSERT_EQ(staying->deliveries.size(), requests);
    for (size_t i = 0; i < requests; i++) {
        staying->not_run(staying->deliveries[i].id);
    }
    wait_for([&] {
        return staying->deliveries.size() + count_answered() == 2 * requests;
    });
    EXPECT_EQ(staying->deliveries.size(), requests + 2);
}

// Guards against failing requests that reach a new entry before the first
// agent has connected.
TEST_F(EntryTest, HoldsRequestsUntilAnAgentConnects)
{
    Caller *caller = call("plate", "no", 60000);

    loop_run_once(loop, 20);
    Agent *agent = connect("agent-1", 1);
    wait_for([&] { return agent->deliveries.size() == 1; });
    agent->reply(agent->deliveries[0].id, "answer");
    wait_for([&] { return all_answered(); });
    EXPECT_EQ(caller->body, "answer");
}

// Guards against a graceful shutdown that aborts a request in flight or that
// keeps accepting connections.
TEST_F(EntryTest, StopsGracefully)
{
    Agent *agent = connect("agent-1", 1);
    Caller *caller = call("plate", "no", 60000);
    http_call_opts_t health = {};
    Caller probe;
    Caller refused;

    wait_for([&] { return agent->deliveries.size() == 1; });
    entry_leave(entry, "test");
    health.method = "GET";
    health.target = "/healthz";
    health.timeout_ms = 60000;
    health.max_response = 1024;
    http_client_send(client, &health, on_answer, &probe);
    wait_for([&] { return probe.answers == 1; });
    EXPECT_EQ(probe.body, "leaving\n");
    health.fresh_connection = true;
    while (refused.status != -1) {
        refused.answers = 0;
        http_client_send(client, &health, on_answer, &refused);
        wait_for([&] { return refused.answers == 1; });
    }
    EXPECT_EQ(caller->answers, 0);
    agent->reply(agent->deliveries[0].id, "answer");
    loop_run(loop); /* returns when the entry has shut down */
    loop_run_once(loop, 10);
    EXPECT_EQ(caller->body, "answer");
}

} // namespace
