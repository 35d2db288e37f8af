#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C" {
#include "base/http_server.h"
#include "stream/plog_http.h"
}

#include "test_address.h"
#include "test_server.h"

namespace {

/* Responds to each request with the configured status, headers and body; not
   at all if the status is 0. */
struct Fixture : public ::testing::Test {
    loop_t *loop = loop_new();
    http_server_t *server = nullptr;
    plog_t *log = nullptr;
    int status = 200;
    std::string body;
    std::string target;
    int done = 0;
    plog_outcome_t outcome = PLOG_ACCEPTED;
    uint64_t offset = 0;
    plog_read_t read = {};
    std::vector<std::string> records;

    static void
    on_request(http_exchange_t *exchange, void *data)
    {
        auto *self = static_cast<Fixture *>(data);
        http_header_t headers[] = {{"log-first", "3"}, {"log-next", "9"}};

        self->target = exchange->target;
        if (self->status != 0) {
            http_exchange_reply(exchange, self->status, headers, 2,
                                self->body.data(), self->body.size());
        }
    }

    static void
    on_append(plog_outcome_t outcome, uint64_t offset, const char *detail,
              void *data)
    {
        auto *self = static_cast<Fixture *>(data);

        self->done++;
        self->outcome = outcome;
        self->offset = offset;
    }

    static void
    on_read(const plog_read_t *result, void *data)
    {
        auto *self = static_cast<Fixture *>(data);

        self->done++;
        self->read = *result;
        self->records.clear();
        for (size_t i = 0; i < result->count; i++) {
            self->records.emplace_back((const char *)result->records[i].data,
                                       result->records[i].length);
        }
    }

    void
    SetUp() override
    {
        static const http_route_t routes[] = {{"/streams/", on_request},
                                              {nullptr, nullptr}};
        plog_http_opts_t opts = {};
        GError *error = nullptr;
        char address[32];

        test_address(address, 310);
        server = new_test_server(loop, address, 1024, routes, this);
        ASSERT_NE(server, nullptr);
        opts.loop = loop;
        opts.address = address;
        opts.append_timeout_ms = 100;
        log = plog_http_new(&opts, &error);
        ASSERT_NE(log, nullptr);
    }

    void
    TearDown() override
    {
        log->vtbl->free(log);
        loop_run_once(loop, 10);
        http_server_free(server);
        loop_free(loop);
    }

    void
    wait_for(int count)
    {
        while (done < count) {
            loop_run_once(loop, 1000);
        }
    }

    plog_outcome_t
    append_with(int with_status, const std::string &with_body)
    {
        status = with_status;
        body = with_body;
        done = 0;
        log->vtbl->append(log, "config", (const uint8_t *)"r", 1, on_append,
                          this);
        wait_for(1);
        return outcome;
    }

    bool
    read_with(int with_status, const std::string &with_body)
    {
        status = with_status;
        body = with_body;
        done = 0;
        log->vtbl->read(log, "config", 5, 0, on_read, this);
        wait_for(1);
        return read.ok;
    }
};

// Guards against reporting an append that may have been written as refused, or
// the reverse.
TEST_F(Fixture, ClassifiesAppends)
{
    EXPECT_EQ(append_with(200, "{\"offset\": 7}"), PLOG_ACCEPTED);
    EXPECT_EQ(offset, 7U);
    EXPECT_EQ(target, "/streams/config/records");
    EXPECT_EQ(append_with(503, ""), PLOG_REFUSED);
    EXPECT_EQ(append_with(500, ""), PLOG_UNKNOWN);
    EXPECT_EQ(append_with(200, "not json"), PLOG_UNKNOWN);
    EXPECT_EQ(append_with(0, ""), PLOG_UNKNOWN);
    http_server_close_listener(server);
    http_server_shutdown(server);
    loop_run_once(loop, 10);
    EXPECT_EQ(append_with(200, ""), PLOG_REFUSED);
}

// Guards against lost, truncated or shifted records, and against treating a
// malformed response as an empty one.
TEST_F(Fixture, ParsesReads)
{
    std::string one("\0\0\0\0\0\0\0\5\0\0\0\2ab", 14);
    std::string two("\0\0\0\0\0\0\0\6\0\0\0\0", 12);

    EXPECT_TRUE(read_with(200, one + two));
    EXPECT_EQ(target, "/streams/config/records?from=5&wait_ms=0");
    EXPECT_EQ(records, (std::vector<std::string>{"ab", ""}));
    EXPECT_EQ(read.first, 3U);
    EXPECT_EQ(read.next, 9U);
    EXPECT_FALSE(read_with(200, one.substr(0, 13)));
    EXPECT_FALSE(read_with(200, one + "\1"));
    EXPECT_FALSE(read_with(503, ""));
    EXPECT_TRUE(read_with(410, ""));
    EXPECT_TRUE(read.trimmed);
}

// Guards against callbacks into freed memory, and against appends without a
// result, when the client is freed.
TEST_F(Fixture, FreeEndsAppendsAsUnknown)
{
    status = 0;
    log->vtbl->append(log, "config", (const uint8_t *)"r", 1, on_append, this);
    log->vtbl->free(log);
    EXPECT_EQ(outcome, PLOG_UNKNOWN);
    EXPECT_EQ(done, 1);
    plog_http_opts_t opts = {loop, "127.0.0.1:1", 10};
    log = plog_http_new(&opts, nullptr);
}

} // namespace
