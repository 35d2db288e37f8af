#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

#include <sys/socket.h>
#include <unistd.h>

extern "C" {
#include "base/socket.h"
#include "wire/peer.h"
}

#include "test_address.h"

namespace {

struct Fixture : public ::testing::Test {
    loop_t *loop = loop_new();
    peer_listener_t *listener = nullptr;
    peer_opts_t opts = {};
    peer_handler_t handler = {};
    char address[32] = "";
    std::vector<peer_t *> accepted;
    std::vector<uint64_t> received;
    std::vector<std::string> closed;
    bool opened = false;
    bool close_in_message = false;

    static void
    on_open(peer_t *peer, void *data)
    {
        static_cast<Fixture *>(data)->opened = true;
    }

    static void
    on_message(peer_t *peer, const Teasel__Envelope *message, void *data)
    {
        auto *self = static_cast<Fixture *>(data);

        self->received.push_back(message->cancel_request->request_id);
        if (self->close_in_message) {
            peer_close(peer);
            self->accepted.clear();
        }
    }

    static void
    on_close(peer_t *peer, const char *reason, void *data)
    {
        auto *self = static_cast<Fixture *>(data);

        self->closed.emplace_back(reason);
        auto &peers = self->accepted;

        peers.erase(std::remove(peers.begin(), peers.end(), peer),
                    peers.end());
    }

    static void
    on_accept(peer_t *peer, void *data)
    {
        static_cast<Fixture *>(data)->accepted.push_back(peer);
    }

    void
    SetUp() override
    {
        g_autoptr(GError) error = nullptr;

        test_address(address, 10);
        handler = {on_open, on_message, on_close};
        opts.loop = loop;
        opts.clock = clock_system();
        opts.handler = &handler;
        opts.data = this;
        opts.max_queued_bytes = 1 << 20;
        opts.silence_ms = 60000;
        opts.ping_ms = 30000;
        listener = peer_listen(&opts, address, on_accept, &error);
        ASSERT_NE(listener, nullptr) << error->message;
    }

    void
    TearDown() override
    {
        for (peer_t *peer : accepted) {
            peer_close(peer);
        }
        peer_listener_free(listener);
        loop_free(loop);
    }

    static bool
    send(peer_t *peer, uint64_t id)
    {
        Teasel__Envelope envelope = TEASEL__ENVELOPE__INIT;
        Teasel__CancelRequest cancel = TEASEL__CANCEL_REQUEST__INIT;

        cancel.request_id = id;
        envelope.body_case = TEASEL__ENVELOPE__BODY_CANCEL_REQUEST;
        envelope.cancel_request = &cancel;
        return peer_send(peer, &envelope);
    }

    int
    connect_raw()
    {
        struct sockaddr_in name;
        int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

        socket_resolve(address, &name, nullptr);
        EXPECT_EQ(connect(fd, (struct sockaddr *)&name, sizeof(name)), 0);
        return fd;
    }

    template <typename Condition>
    void
    wait_for(Condition condition)
    {
        while (!condition()) {
            loop_run_once(loop, 1000);
        }
    }
};

// Guards against lost or reordered messages, including those that are queued
// before the connection is established.
TEST_F(Fixture, DeliversInOrder)
{
    peer_t *peer = peer_connect(&opts, address, nullptr);

    for (uint64_t i = 0; i < 1000; i++) {
        ASSERT_TRUE(send(peer, i));
    }
    wait_for([&] { return received.size() == 1000; });
    for (uint64_t i = 0; i < 1000; i++) {
        ASSERT_EQ(received[i], i);
    }
    EXPECT_TRUE(opened);
    peer_close(peer);
}

// Guards against a malformed frame that affects other connections.
TEST_F(Fixture, MalformedFrameClosesOnlyItsConnection)
{
    peer_t *good = peer_connect(&opts, address, nullptr);
    int bad = connect_raw();

    ASSERT_EQ(write(bad, "\0\0\0\0", 4), 4);
    wait_for([&] { return closed.size() == 1; });
    EXPECT_EQ(closed[0], "frame length 0 is not between 1 and 16777216");
    send(good, 7);
    wait_for([&] { return received.size() == 1; });
    peer_close(good);
    close(bad);
}

// Guards against treating a connection that ends inside a frame as closed
// normally.
TEST_F(Fixture, ReportsTruncatedFrame)
{
    int bad = connect_raw();

    ASSERT_EQ(write(bad, "\0\0\0\5x", 5), 5);
    close(bad);
    wait_for([&] { return closed.size() == 1; });
    EXPECT_EQ(closed[0], "connection closed inside a frame");
}

// Guards against keeping half-open connections forever, and against closing
// idle ones that work: the raw socket is the only one that sends no Ping.
TEST_F(Fixture, ClosesSilentConnection)
{
    int silent;

    peer_listener_free(listener);
    opts.silence_ms = 400;
    opts.ping_ms = 50;
    listener = peer_listen(&opts, address, on_accept, nullptr);
    peer_t *idle = peer_connect(&opts, address, nullptr);
    silent = connect_raw();
    wait_for([&] { return closed.size() == 1; });
    EXPECT_EQ(closed[0].substr(0, 6), "silent");
    EXPECT_EQ(accepted.size(), 1U);
    EXPECT_GT(peer_get_bytes_received(idle), 0U);
    peer_close(idle);
    close(silent);
}

// Guards against unbounded memory use when the other side does not read.
TEST_F(Fixture, LimitsUnsentBytes)
{
    int fd = connect_raw();
    uint64_t sent = 0;

    wait_for([&] { return accepted.size() == 1; });
    while (send(accepted[0], sent)) {
        ASSERT_LT(++sent, 1U << 20);
    }
    wait_for([&] { return closed.size() == 1; });
    EXPECT_EQ(closed[0], "too many unsent bytes");
    close(fd);
}

// Guards against use after free when a peer is closed in its own callback, and
// against delivering further messages to it.
TEST_F(Fixture, MayBeClosedInItsCallback)
{
    peer_t *peer = peer_connect(&opts, address, nullptr);

    close_in_message = true;
    send(peer, 1);
    send(peer, 2);
    wait_for([&] { return closed.size() == 1; });
    EXPECT_EQ(received.size(), 1U);
}

// Guards against a refused connection that is not reported.
TEST_F(Fixture, ReportsRefusedConnection)
{
    char unused[32];

    test_address(unused, 11);
    ASSERT_NE(peer_connect(&opts, unused, nullptr), nullptr);
    wait_for([&] { return closed.size() == 1; });
    EXPECT_FALSE(opened);
}

} // namespace
