/* Calls whose bytes move slowly, or not at all. */

#include <gtest/gtest.h>

#include <functional>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

extern "C" {
#include "base/http_client.h"
#include "base/socket.h"
}

#include "loop_wait.h"
#include "test_address.h"

namespace {

enum {
    STALL_MS = 200,
    LIMIT_MS = 20000,
    /* At 2 Mbit/s. */
    BYTES_PER_MS = 250,
};

/* A server whose bytes the test sends and receives by itself. */
struct Progress : public testing::Test {
    loop_t *loop = loop_new();
    http_client_t *client = nullptr;
    int listener = -1;
    int fd = -1;
    bool done = false;
    bool ok = false;
    error_kind_t kind = ERROR_INTERNAL;
    size_t length = 0;
    int64_t began_ms = FakeExecutor::now_ms();

    void
    SetUp() override
    {
        http_client_opts_t opts = {};
        char address[32];
        int receive_buffer = 256 * 1024;

        test_address(address, 3);
        listener = socket_listen(address, nullptr);
        ASSERT_GE(listener, 0);
        setsockopt(listener, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
                   sizeof(receive_buffer));
        opts.loop = loop;
        opts.address = address;
        opts.max_connections = 1;
        client = http_client_new(&opts, nullptr);
    }
    void
    TearDown() override
    {
        http_client_free(client);
        loop_run_once(loop, 10);
        loop_free(loop);
        close(fd);
        close(listener);
    }
    int64_t
    passed_ms()
    {
        return FakeExecutor::now_ms() - began_ms;
    }
    void
    send(const std::string &body, uint64_t timeout_ms = STALL_MS)
    {
        http_call_opts_t opts = {};

        opts.method = "POST";
        opts.target = "/";
        opts.body = body.data();
        opts.body_length = body.size();
        opts.timeout_ms = timeout_ms;
        opts.stall_ms = STALL_MS;
        opts.max_response = 1024 * 1024;
        began_ms = FakeExecutor::now_ms();
        http_client_send(
            client, &opts,
            [](const http_response_t *response, void *data) {
                auto *self = static_cast<Progress *>(data);

                self->done = true;
                self->ok = response->ok;
                self->kind = response->kind;
                self->length = response->body_length;
            },
            this);
    }
    void
    accept_connection()
    {
        ASSERT_TRUE(loop_wait(loop, LIMIT_MS, [&] {
            fd = accept4(listener, nullptr, nullptr, SOCK_NONBLOCK);
            return fd >= 0;
        }));
    }
    size_t
    receive(size_t limit)
    {
        std::string text(limit, '\0');
        ssize_t got = recv(fd, &text[0], limit, 0);

        return got > 0 ? (size_t)got : 0;
    }
    void
    reply(const std::string &text)
    {
        ASSERT_EQ(::send(fd, text.data(), text.size(), MSG_NOSIGNAL),
                  (ssize_t)text.size());
    }
    /* Runs until the call ends; returns after how many ms it did. */
    int64_t
    run(const std::function<void()> &step = [] {})
    {
        EXPECT_TRUE(loop_wait(loop, LIMIT_MS, [&] {
            step();
            return done;
        }));
        return passed_ms();
    }
};

std::string
head(size_t length)
{
    return "HTTP/1.1 200 OK\r\ncontent-length: " + std::to_string(length) +
           "\r\n\r\n";
}

// Guards against a response that is given up while it arrives, as it takes a
// slow link longer than the timeout.
TEST_F(Progress, TakesAResponseThatArrivesSlowly)
{
    const size_t size = 4 * STALL_MS * BYTES_PER_MS;
    size_t sent = 0;

    send("");
    accept_connection();
    reply(head(size));
    int64_t head_ms = FakeExecutor::now_ms();
    run([&] {
        size_t due = (size_t)(FakeExecutor::now_ms() - head_ms) * BYTES_PER_MS;

        if (MIN(due, size) > sent) {
            reply(std::string(MIN(due, size) - sent, 'x'));
            sent = MIN(due, size);
        }
    });
    EXPECT_TRUE(ok);
    EXPECT_EQ(length, size);
}

// Guards against a request that is given up while it is being sent.
TEST_F(Progress, SendsARequestThatTheLinkCarriesSlowly)
{
    const size_t size = 8 * 1024 * 1024;
    size_t received = 0;

    send(std::string(size, 'x'));
    accept_connection();
    run([&] {
        received += receive(64 * 1024);
        if (received > size) {
            reply(head(0));
        }
    });
    EXPECT_TRUE(ok);
    EXPECT_GT(passed_ms(), 2 * STALL_MS);
}

// Guards against calls that wait for a link that has stopped.
TEST_F(Progress, GivesUpAResponseThatStops)
{
    send("");
    accept_connection();
    reply(head(100000) + std::string(50000, 'x'));
    EXPECT_LT(run(), 3 * STALL_MS);
    EXPECT_FALSE(ok);
    EXPECT_EQ(kind, ERROR_TIMEOUT);
}

// Guards against calls that wait for a connection that is silent for good.
TEST_F(Progress, GivesUpARequestThatIsNotTaken)
{
    send(std::string(32 * 1024 * 1024, 'x'));
    accept_connection();
    EXPECT_LT(run(), 3 * STALL_MS);
    EXPECT_FALSE(ok);
    EXPECT_EQ(kind, ERROR_TIMEOUT);
}

// Guards against calls that last for as long as some byte arrives.
TEST_F(Progress, GivesUpAResponseThatDrips)
{
    send("");
    accept_connection();
    reply(head(100000));
    int64_t next_ms = 0;
    int64_t took_ms = run([&] {
        if (passed_ms() >= next_ms) {
            reply("x");
            next_ms += STALL_MS / 10;
        }
    });
    EXPECT_LT(took_ms, 3 * STALL_MS);
    EXPECT_FALSE(ok);
    EXPECT_EQ(kind, ERROR_TIMEOUT);
}

// Guards against a long poll that shields a response that has begun.
TEST_F(Progress, GivesUpAResponseThatStopsBeforeTheEndOfALongPoll)
{
    send("", LIMIT_MS);
    accept_connection();
    reply(head(100000) + std::string(50000, 'x'));
    EXPECT_LT(run(), 3 * STALL_MS);
    EXPECT_FALSE(ok);
}

// Guards against a long poll that ends early, as nothing moves meanwhile.
TEST_F(Progress, WaitsForTheFirstByteOfALongPoll)
{
    send("", 5 * STALL_MS);
    accept_connection();
    EXPECT_GE(run(), 5 * STALL_MS);
    EXPECT_FALSE(ok);
}

} // namespace
