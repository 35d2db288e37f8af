/* Calls to executors, and the incarnations that they reach. */

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "log_lines.h"
#include "loop_wait.h"
#include "test_address.h"
#include "test_server.h"

extern "C" {
#include "base/http_server.h"
#include "executor_http.h"
}

namespace {

enum {
    PORT = 740,
};

constexpr int64_t BORN_MS = 1700000000000;

/* An executor of which incarnations follow each other at one address. */
struct ExecutorHttp : public testing::Test {
    struct Call {
        std::string target;
        std::string body;
    };
    loop_t *loop = loop_new();
    http_server_t *server = nullptr;
    executor_api_t *executor = nullptr;
    char address[32];
    int64_t born_ms = BORN_MS;
    int status = 200;
    bool hold = false; /* the next call gets no answer */
    http_exchange_t *held = nullptr;
    std::vector<Call> calls; /* that the server has received */
    size_t most_connections = 0;
    std::vector<executor_result_t> results;

    static void
    on_request(http_exchange_t *exchange, void *data)
    {
        auto *self = static_cast<ExecutorHttp *>(data);
        std::string body =
            "{\"ClockMs\":7,\"born\":" + std::to_string(self->born_ms) +
            ",\"Running\":[],\"Ended\":[]}";

        self->calls.push_back(
            {exchange->target,
             std::string(exchange->body, exchange->body_length)});
        self->most_connections = std::max(
            self->most_connections, http_server_get_connections(self->server));
        if (self->hold) {
            self->hold = false;
            self->held = exchange;
            return;
        }
        http_exchange_reply(exchange, self->status, nullptr, 0, body.data(),
                            body.size());
    }
    void
    start_server()
    {
        static const http_route_t routes[] = {{"/", on_request},
                                              {nullptr, nullptr}};

        server = new_test_server(loop, address, 65536, routes, this);
        ASSERT_NE(server, nullptr);
    }
    void
    SetUp() override
    {
        keep_log_lines();
        test_address(address, PORT);
        start_server();
        executor = executor_http_new(loop, address, "i-1", BORN_MS, nullptr);
    }
    void
    TearDown() override
    {
        executor->vtbl->free(executor);
        loop_run_once(loop, 10);
        http_server_free(server);
        loop_free(loop);
    }
    /* The incarnation ends with its connections, and a later one starts. */
    void
    restart()
    {
        http_server_shutdown(server);
        loop_run_ms(loop, 20);
        http_server_free(server);
        born_ms += 5000;
        start_server();
    }
    static void
    on_done(executor_result_t result, const char *, void *data)
    {
        static_cast<ExecutorHttp *>(data)->results.push_back(result);
    }
    static void
    on_polled(executor_result_t result, const executor_poll_reply_t *,
              void *data)
    {
        on_done(result, nullptr, data);
    }
    void
    start()
    {
        executor_start_t order = {};

        order.task = "j.0.0.0";
        order.run = 1;
        order.deadline_ms = 486000;
        order.fencing_token = 7;
        executor->vtbl->start(executor, &order, on_done, this);
    }
    void
    poll(int64_t deadline_ms, uint64_t cursor)
    {
        executor_poll_t order = {};

        order.deadline_ms = deadline_ms;
        order.cursor = cursor;
        order.fencing_token = 7;
        executor->vtbl->poll(executor, &order, on_polled, this);
    }
    executor_result_t
    wait()
    {
        size_t before = results.size();

        EXPECT_TRUE(
            loop_wait(loop, 5000, [&] { return results.size() > before; }));
        return results.back();
    }
    std::vector<std::string>
    targets()
    {
        std::vector<std::string> out;

        for (const Call &call : calls) {
            out.push_back(call.target);
        }
        return out;
    }
    /* Whether a call came that may do harm at another incarnation. */
    bool
    got_lease_or_cursor()
    {
        for (const Call &call : calls) {
            if (call.body.find("DeadlineMs") != std::string::npos ||
                call.body.find("\"AckCursor\":57") != std::string::npos) {
                return true;
            }
        }
        return false;
    }
};

using Targets = std::vector<std::string>;

// Guards against a lease that reaches a later incarnation under the same id,
// which holds it for longer than the leader knows: its tasks run twice.
TEST_F(ExecutorHttp, SendsAStartOnlyWhereItsIncarnationHasAnswered)
{
    born_ms += 5000;
    start();
    EXPECT_EQ(wait(), EXECUTOR_RESTARTED);
    EXPECT_EQ(targets(), Targets({"/api/hold"}));
    EXPECT_FALSE(got_lease_or_cursor());
}

// Guards against the same where the earlier incarnation has answered calls,
// and against a cursor that makes a later one forget ends that nobody has
// read.
TEST_F(ExecutorHttp, SendsNoLeaseOrCursorAfterARestart)
{
    start();
    EXPECT_EQ(wait(), EXECUTOR_OK);
    poll(486000, 0);
    EXPECT_EQ(wait(), EXECUTOR_OK);
    restart();
    calls.clear();
    poll(486000, 57);
    EXPECT_EQ(wait(), EXECUTOR_RESTARTED);
    start();
    EXPECT_EQ(wait(), EXECUTOR_RESTARTED);
    poll(0, 57);
    EXPECT_EQ(wait(), EXECUTOR_RESTARTED);
    EXPECT_FALSE(got_lease_or_cursor());
}

// Guards against a connection on which another incarnation has answered and
// that counts as one of the right incarnation.
TEST_F(ExecutorHttp, ChecksAConnectionAgainAfterAnUnexpectedAnswer)
{
    born_ms += 5000;
    poll(0, 0);
    EXPECT_EQ(wait(), EXECUTOR_RESTARTED);
    start();
    EXPECT_EQ(wait(), EXECUTOR_RESTARTED);
    status = 421;
    poll(0, 0);
    EXPECT_EQ(wait(), EXECUTOR_WRONG_INCARNATION);
    start();
    EXPECT_EQ(wait(), EXECUTOR_WRONG_INCARNATION);
    EXPECT_FALSE(got_lease_or_cursor());
}

// Guards against a start that is reported as perhaps carried out though only
// the check of its connection had no answer.
TEST_F(ExecutorHttp, AStartBehindAnUnansweredCheckWasNotSent)
{
    status = 500;
    start();
    EXPECT_EQ(wait(), EXECUTOR_NOT_SENT);
    poll(486000, 0);
    EXPECT_EQ(wait(), EXECUTOR_NO_ANSWER);
    EXPECT_FALSE(got_lease_or_cursor());
}

// Guards against a check for each call, or a connection for each check.
TEST_F(ExecutorHttp, ChecksEachConnectionOnce)
{
    start();
    EXPECT_EQ(wait(), EXECUTOR_OK);
    start();
    EXPECT_EQ(wait(), EXECUTOR_OK);
    poll(486000, 57);
    EXPECT_EQ(wait(), EXECUTOR_OK);
    EXPECT_EQ(targets(), Targets({"/api/hold", "/api/run-start",
                                  "/api/run-start", "/api/hold"}));
    EXPECT_EQ(most_connections, 1U);
}

// Guards against the same where many starts come at once.
TEST_F(ExecutorHttp, ChecksNoMoreConnectionsThanCalls)
{
    const size_t starts = 8;

    for (size_t i = 0; i < starts; i++) {
        start();
    }
    EXPECT_TRUE(
        loop_wait(loop, 5000, [&] { return results.size() == starts; }));
    EXPECT_LE(calls.size(), 2 * starts);
    EXPECT_LE(most_connections, starts);
}

// Guards against connections that are closed and checked anew with each call
// that an executor leaves unanswered, though it answers others.
TEST_F(ExecutorHttp, KeepsConnectionsThatWereAnsweredMeanwhile)
{
    start();
    EXPECT_EQ(wait(), EXECUTOR_OK);
    hold = true;
    start();
    loop_run_ms(loop, 20);
    poll(486000, 0);
    EXPECT_EQ(wait(), EXECUTOR_OK);
    EXPECT_EQ(wait(), EXECUTOR_NO_ANSWER);
    http_exchange_reply(held, 200, nullptr, 0, "{}", 2);
    calls.clear();
    start();
    EXPECT_EQ(wait(), EXECUTOR_OK);
    EXPECT_EQ(targets(), Targets({"/api/run-start"}));
}

// Guards against calls that go on to time out on connections that have all
// fallen silent.
TEST_F(ExecutorHttp, ClosesIdleConnectionsWhenNothingIsAnswered)
{
    start();
    start();
    EXPECT_TRUE(loop_wait(loop, 5000, [&] { return results.size() == 2; }));
    loop_run_ms(loop, 20);
    hold = true;
    start();
    EXPECT_EQ(wait(), EXECUTOR_NO_ANSWER);
    http_exchange_reply(held, 200, nullptr, 0, "{}", 2);
    calls.clear();
    start();
    EXPECT_EQ(wait(), EXECUTOR_OK);
    EXPECT_EQ(targets(), Targets({"/api/hold", "/api/run-start"}));
}

// Guards against an executor that never gets a call as it keeps no connection
// open.
TEST_F(ExecutorHttp, CallsAnExecutorThatClosesItsConnections)
{
    http_server_announce_shutdown(server);
    start();
    EXPECT_EQ(wait(), EXECUTOR_OK);
    EXPECT_EQ(lines_of("connections-closed").size(), 1U);
    calls.clear();
    start();
    EXPECT_EQ(wait(), EXECUTOR_OK);
    EXPECT_EQ(targets(), Targets({"/api/run-start"}));
}

} // namespace
