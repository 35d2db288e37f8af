/* Entries of other writers: fields of another type, out of range, nested too
   deeply, or bytes that cannot be read. */

#include <gtest/gtest.h>

#include <cstring>
#include <functional>
#include <string>
#include <vector>

extern "C" {
#include "announcements.h"
#include "base/http_client.h"
#include "cluster/control.h"
#include "executor_http.h"
#include "node/node.h"
#include "node/node_link.h"
#include "store/follower.h"
#include "store_http.h"
#include "wire/peer.h"
}

#include "fake_executor.h"
#include "fake_store.h"
#include "log_lines.h"
#include "test_address.h"
#include "test_server.h"

namespace {

enum {
    PORT = 900,
};

/* Keeps the log of the tests of this file. */
struct LoopTest : public ::testing::Test {
    loop_t *loop = loop_new();

    void
    SetUp() override
    {
        keep_log_lines();
    }
    void
    TearDown() override
    {
        loop_run_once(loop, 10);
        loop_free(loop);
    }
    bool
    wait(const std::function<bool()> &done, int64_t limit_ms = 3000)
    {
        auto deadline = g_get_monotonic_time() + limit_ms * 1000;

        while (!done() && g_get_monotonic_time() < deadline) {
            loop_run_once(loop, 10);
        }
        return done();
    }
};

std::string
nested(size_t levels)
{
    return std::string(levels, '[') + std::string(levels, ']');
}

const std::vector<std::string> odd_numbers = {
    "9223372036854775807",
    "18446744073709551615",
    "18446744073709551616",
    "9007199254740992",
    "1e999",
    "-1e999",
    "1e300",
    "NaN",
    "Infinity",
    "-Infinity",
    "-1",
    "null",
    "\"482113\"",
    "[]",
    "{}",
    "true",
};

/* Sends announcements to a node agent, as executors and other writers do. */
struct OddAnnouncements : public LoopTest {
    FakeStore store;
    FakeStoreView view{&store, loop};
    FakeExecutor executor;
    node_settings_t settings = {};
    node_t *node = nullptr;
    http_server_t *server = nullptr;
    http_client_t *client = nullptr;
    int responses = 0;
    int status = 0;

    static std::vector<std::string> &
    connected()
    {
        static std::vector<std::string> keys;

        return keys;
    }
    static executor_api_t *
    connect(loop_t *loop, const char *address, const char *id,
            int64_t started_ms, GError **error)
    {
        connected().push_back(std::string(address) + " " + id + " " +
                              std::to_string(started_ms));
        return FakeExecutor::connect(loop, "any", id, started_ms, error);
    }
    static void
    on_response(const http_response_t *response, void *data)
    {
        auto *self = static_cast<OddAnnouncements *>(data);

        self->responses++;
        self->status = response->ok ? response->status : 0;
    }
    void
    SetUp() override
    {
        node_opts_t opts = {};
        http_client_opts_t client_opts = {};
        char address[32];
        GError *error = nullptr;

        LoopTest::SetUp();
        connected().clear();
        FakeExecutor::at()["any"] = &executor;
        executor.loop = loop;
        settings.name = const_cast<char *>("n");
        settings.data_centre = const_cast<char *>("z");
        settings.report_ms = 100;
        settings.silence_ms = 800;
        opts.loop = loop;
        opts.clock = clock_system();
        opts.store = &view.base;
        opts.settings = &settings;
        opts.connect = connect;
        node = node_new(&opts, &error);
        test_address(address, PORT);
        server = announcements_new(loop, address, node, &error);
        ASSERT_NE(server, nullptr) << error->message;
        client_opts.loop = loop;
        client_opts.address = address;
        client_opts.max_connections = 4;
        client = http_client_new(&client_opts, &error);
    }
    void
    TearDown() override
    {
        http_client_free(client);
        node_free(node);
        /* The view must outlive its last pending call. */
        for (int i = 0; i < 10; i++) {
            loop_run_once(loop, 5);
        }
        http_server_free(server);
        LoopTest::TearDown();
    }
    int
    put(const std::string &id, const std::string &body)
    {
        http_call_opts_t opts = {};
        std::string target = "/api/executors/" + id;
        int before = responses;

        opts.method = "PUT";
        opts.target = target.c_str();
        opts.body = body.data();
        opts.body_length = body.size();
        opts.timeout_ms = 2000;
        opts.max_response = 4096;
        http_client_send(client, &opts, on_response, this);
        EXPECT_TRUE(wait([&] { return responses > before; }));
        return status;
    }
    /* An odd entry gets 400 and one line, and starts no executor. */
    void
    expect_refused(const std::string &id, const std::string &body)
    {
        SCOPED_TRACE(id.substr(0, 40) + " " + body.substr(0, 300));
        log_lines().clear();
        connected().clear();
        EXPECT_EQ(put(id, body), 400);
        EXPECT_EQ(lines_of("announcement-invalid").size(), 1U);
        EXPECT_TRUE(connected().empty());
    }
};

const char *const entry =
    R"({"Service":"s","Address":"127.0.0.1:8080","Zone":"z","Version":"v1",)"
    R"("Slots":8,"State":"ready","ColdRemainingMs":0,)"
    R"("Capacity":{"Cpu":16000,"MemMb":32768,"Gpu":0},)"
    R"("Labels":["a","r1-3"],"ClockMs":482113,"Sequence":4,)"
    R"("RemainingMs":0,"born":1700000000000})";

/* Returns the entry with another value of a field. */
std::string
with(const std::string &key, const std::string &old_value,
     const std::string &new_value)
{
    std::string text = entry;
    std::string from = "\"" + key + "\":" + old_value;
    size_t at = text.find(from);

    EXPECT_NE(at, std::string::npos) << key;
    return text.replace(at, from.size(), "\"" + key + "\":" + new_value);
}

std::string
without(const std::string &key, const std::string &value)
{
    std::string text = entry;
    std::string field = "\"" + key + "\":" + value + ",";
    size_t at = text.find(field);

    EXPECT_NE(at, std::string::npos) << key;
    return text.replace(at, field.size(), "");
}

// Guards against an executor that is refused together with the odd entries.
TEST_F(OddAnnouncements, AcceptsASoundEntry)
{
    EXPECT_EQ(put("i-1", entry), 200);
    EXPECT_EQ(connected(),
              std::vector<std::string>{"127.0.0.1:8080 i-1 1700000000000"});
    EXPECT_TRUE(lines_of("announcement-invalid").empty());
    EXPECT_EQ(put("i-2", without("Address", "\"127.0.0.1:8080\"")), 400);
}

// Guards against the refusal of an executor that does not say when it started.
TEST_F(OddAnnouncements, AcceptsAnEntryWithoutItsStart)
{
    std::string text = entry;
    std::string born = ",\"born\":1700000000000";

    EXPECT_EQ(put("i-1", text.replace(text.find(born), born.size(), "")), 200);
}

// Guards against an executor whose end is not confirmed, as it is late.
TEST_F(OddAnnouncements, AcceptsAnEntryWhoseRemainingTimeIsOver)
{
    EXPECT_EQ(put("i-1", with("RemainingMs", "0", "-1")), 200);
    EXPECT_EQ(put("i-1", with("RemainingMs", "0", "-70000.5")), 200);
}

// Guards against numbers that are clamped, wrapped or overflow when a lease is
// added: an entry with the largest sequence number makes the agent ignore all
// later ones of that executor.
TEST_F(OddAnnouncements, RefusesNumbersOutOfRange)
{
    for (const std::string &number : odd_numbers) {
        expect_refused("i-1", with("born", "1700000000000", number));
        expect_refused("i-1", with("ClockMs", "482113", number));
        expect_refused("i-1", with("Sequence", "4", number));
        if (number != "-1") {
            expect_refused("i-1", with("RemainingMs", "0", number));
        }
        expect_refused("i-1", with("Cpu", "16000", number));
        expect_refused("i-1", with("MemMb", "32768", number));
        expect_refused("i-1", with("Gpu", "0", number));
    }
    expect_refused("i-1", with("Cpu", "16000", "4294967296"));
    expect_refused("i-1", with("RemainingMs", "0", "4294967296"));
    expect_refused("i-1", with("born", "1700000000000", "1700000000000.5"));
    expect_refused("i-1", with("Sequence", "4", "4.5"));
}

// Guards against an address that cannot be called, or that another address
// hides in.
TEST_F(OddAnnouncements, RefusesAddressesThatCannotBeCalled)
{
    for (const char *address :
         {"127.0.0.1:0", "127.0.0.1:65536", "127.0.0.1:99999999999",
          "127.0.0.1:-1", "127.0.0.1:+80", "127.0.0.1:", "127.0.0.1", "",
          ":8080", "localhost:8080", "127.0.0.1:8080/i-2/7", "127.0.0.1:8080 ",
          "127.0.0.1:8080\\u0000x", "127.0.0.1:08080"}) {
        expect_refused("i-1", with("Address", "\"127.0.0.1:8080\"",
                                   "\"" + std::string(address) + "\""));
    }
}

// Guards against nesting that ends the process, and against an executor that
// is refused for the nesting of a field that nobody reads.
TEST_F(OddAnnouncements, RefusesDeepNesting)
{
    EXPECT_EQ(put("i-1", with("Slots", "8", nested(30))), 200);
    expect_refused("i-1", with("Slots", "8", nested(32)));
    expect_refused("i-1", with("Slots", "8", nested(33)));
    expect_refused("i-1", with("Slots", "8", nested(100000)));
    expect_refused("i-1", nested(100000));
    expect_refused("i-1", std::string(100000, '['));
    expect_refused("i-1", std::string(100000, '{'));
}

// Guards against entries that are read in part.
TEST_F(OddAnnouncements, RefusesBytesThatAreNoEntry)
{
    std::string half(entry, strlen(entry) / 2);

    for (const std::string &body :
         {std::string(), std::string("[]"), std::string("\"x\""),
          std::string("7"), std::string("null"), std::string("\0", 1),
          std::string("\xff\xfe"), half, entry + std::string("x"),
          entry + std::string(entry), entry + std::string("\0{", 2)}) {
        expect_refused("i-1", body);
    }
    EXPECT_EQ(put("i-1", entry + std::string(" \r\n")), 200);
}

// Guards against texts that are cut off at a zero byte, that break the lines
// of the log, or that fill the reports to the leader.
TEST_F(OddAnnouncements, RefusesTextsThatCannotBeUsed)
{
    for (const std::string &text :
         {std::string("7"), std::string("null"), std::string("[]"),
          std::string("\"\""), std::string("\"s\\u0000t\""),
          std::string("\"\xff\""), std::string("\"s\\n\""),
          "\"" + std::string(300, 's') + "\"",
          "\"" + std::string(3000000, 's') + "\""}) {
        expect_refused("i-1", with("Service", "\"s\"", text));
        expect_refused("i-1", with("Zone", "\"z\"", text));
        expect_refused("i-1", with("State", "\"ready\"", text));
        if (text != "[]") {
            expect_refused("i-1", with("Labels", "[\"a\",\"r1-3\"]", text));
        }
        if (text != "\"\"") {
            expect_refused("i-1", with("Labels", "[\"a\",\"r1-3\"]",
                                       "[\"a\"," + text + "]"));
        }
    }
    expect_refused("i-1", with("State", "\"ready\"", "\"vanished\""));
    expect_refused("i-1", with("Capacity",
                               "{\"Cpu\":16000,\"MemMb\":32768,\"Gpu\":0}",
                               "[16000,32768,0]"));
    expect_refused("i-1", without("Sequence", "4"));
    expect_refused("i-1", without("ClockMs", "482113"));
    expect_refused("i-1", without("Service", "\"s\""));
    expect_refused("i-1", without("Labels", "[\"a\",\"r1-3\"]"));
}

// Guards against an id that is taken for a part of the key of an executor, or
// that cannot be sent in a header.
TEST_F(OddAnnouncements, RefusesIdsThatCannotBeUsed)
{
    for (const std::string &id :
         {std::string(), std::string("a/b"), std::string("i-1/7"),
          std::string("i%2d1"), std::string("i-\xff"), std::string("i\"1"),
          std::string(300, 'i')}) {
        expect_refused(id, entry);
    }
}

// Guards against a real executor that another writer moves elsewhere, or makes
// deaf by a sequence number that its own do not reach.
TEST_F(OddAnnouncements, RefusesWhatContradictsAKnownExecutor)
{
    EXPECT_EQ(put("i-1", entry), 200);
    expect_refused("i-1", with("Service", "\"s\"", "\"t\""));
    expect_refused("i-1", with("Zone", "\"z\"", "\"y\""));
    expect_refused("i-1",
                   with("Labels", "[\"a\",\"r1-3\"]", "[\"a\",\"r9\"]"));
    expect_refused("i-1", with("Sequence", "4", "9007199254740991"));
    EXPECT_EQ(put("i-1", with("Sequence", "4", "5")), 200);
    EXPECT_EQ(put("i-1", with("Sequence", "4", "3")), 200);
}

/* Serves one body to all calls. */
struct Answers : public LoopTest {
    http_server_t *server = nullptr;
    char address[32];
    int status = 200;
    std::string body;
    std::vector<std::string> targets;

    static void
    on_request(http_exchange_t *exchange, void *data)
    {
        auto *self = static_cast<Answers *>(data);

        self->targets.push_back(exchange->target);
        http_exchange_reply(exchange, self->status, nullptr, 0,
                            self->body.data(), self->body.size());
    }
    void
    SetUp() override
    {
        static const http_route_t routes[] = {{"/", on_request},
                                              {nullptr, nullptr}};

        LoopTest::SetUp();
        test_address(address, PORT + 1);
        server = new_test_server(loop, address, 65536, routes, this);
        ASSERT_NE(server, nullptr);
    }
    void
    TearDown() override
    {
        loop_run_once(loop, 10);
        http_server_free(server);
        LoopTest::TearDown();
    }
};

/* Returns the template with each $ replaced by the text. */
std::string
fill(const std::string &from, const std::string &text)
{
    std::string out;

    for (char c : from) {
        out += c == '$' ? text : std::string(1, c);
    }
    return out;
}

/* Reads the answers of an executor. */
struct OddAnswers : public Answers {
    executor_api_t *executor = nullptr;
    int results = 0;
    executor_result_t result = EXECUTOR_OK;
    int64_t clock_ms = 0;
    std::vector<std::string> running;
    std::vector<std::string> ended;
    bool more_ends = false;

    void
    SetUp() override
    {
        GError *error = nullptr;

        Answers::SetUp();
        executor =
            executor_http_new(loop, address, "i-1", 1700000000000, &error);
    }
    void
    TearDown() override
    {
        executor->vtbl->free(executor);
        Answers::TearDown();
    }
    static void
    on_done(executor_result_t result, const char *, void *data)
    {
        auto *self = static_cast<OddAnswers *>(data);

        self->results++;
        self->result = result;
    }
    static void
    on_polled(executor_result_t result, const executor_poll_reply_t *reply,
              void *data)
    {
        auto *self = static_cast<OddAnswers *>(data);

        on_done(result, nullptr, data);
        if (result != EXECUTOR_OK) {
            return;
        }
        self->clock_ms = reply->clock_ms;
        self->more_ends = reply->more_ends;
        for (size_t i = 0; i < reply->running_count; i++) {
            self->running.push_back(reply->running[i]->task);
        }
        for (size_t i = 0; i < reply->ended_count; i++) {
            self->ended.push_back(reply->ended[i]->task);
        }
    }
    executor_result_t
    poll(const std::string &text)
    {
        executor_poll_t poll = {};
        int before = results;

        body = text;
        running.clear();
        ended.clear();
        log_lines().clear();
        executor->vtbl->poll(executor, &poll, on_polled, this);
        EXPECT_TRUE(wait([&] { return results > before; }));
        return result;
    }
    executor_result_t
    stop(const std::string &text)
    {
        int before = results;

        body = text;
        log_lines().clear();
        executor->vtbl->stop(executor, "j.0.0.0", 1, 7, on_done, this);
        EXPECT_TRUE(wait([&] { return results > before; }));
        return result;
    }
    std::string
    lists(const std::string &clock, const std::string &born,
          const std::string &running_rows = "[]",
          const std::string &ended_rows = "[]")
    {
        return "{\"ClockMs\":" + clock + ",\"born\":" + born +
               ",\"Running\":" + running_rows + ",\"Ended\":" + ended_rows +
               "}";
    }
};

// Guards against a list of ends that is taken for complete though the executor
// has cut it, also if some of its rows cannot be read: runs whose ends follow
// would count as never started.
TEST_F(OddAnswers, AFullListOfEndsMayBeCut)
{
    std::string row = "[1,\"j.0.0.0\",1,\"done\",\"\"]";
    std::string rows = "7";

    for (int i = 1; i < 499; i++) {
        rows += "," + row;
    }
    EXPECT_EQ(poll(lists("7", "1700000000000", "[]", "[" + rows + "]")),
              EXECUTOR_OK);
    EXPECT_EQ(ended.size(), 498U);
    EXPECT_FALSE(more_ends);
    EXPECT_EQ(
        poll(lists("7", "1700000000000", "[]", "[" + rows + "," + row + "]")),
        EXECUTOR_OK);
    EXPECT_EQ(ended.size(), 499U);
    EXPECT_TRUE(more_ends);
}

// Guards against an odd start time that is taken for another incarnation: the
// agent then gives up the executor, and its tasks run a second time elsewhere.
TEST_F(OddAnswers, AnOddStartTimeIsNoOtherIncarnation)
{
    std::vector<std::string> numbers = odd_numbers;

    EXPECT_EQ(poll(lists("7", "1700000000000")), EXECUTOR_OK);
    EXPECT_EQ(poll(lists("7", "1700000000001")), EXECUTOR_RESTARTED);
    EXPECT_EQ(stop(lists("7", "1700000000001")), EXECUTOR_RESTARTED);
    numbers.push_back("1700000000000.5");
    for (const std::string &number : numbers) {
        SCOPED_TRACE(number);
        EXPECT_EQ(poll(lists("7", number)), EXECUTOR_NO_ANSWER);
        EXPECT_EQ(lines_of("answer-invalid").size(), 1U);
        /* The stop itself has to be answered so, not the check before it. */
        EXPECT_EQ(poll(lists("7", "1700000000000")), EXECUTOR_OK);
        EXPECT_EQ(stop(lists("7", number)), EXECUTOR_NO_ANSWER);
        EXPECT_EQ(lines_of("answer-invalid").size(), 1U);
    }
}

// Guards against a clock near the largest number, to which the agent adds the
// rest of a lease.
TEST_F(OddAnswers, AnOddClockIsNoAnswer)
{
    EXPECT_EQ(poll(lists("482113.5", "1700000000000")), EXECUTOR_OK);
    EXPECT_EQ(clock_ms, 482113);
    for (const std::string &number : odd_numbers) {
        SCOPED_TRACE(number);
        EXPECT_EQ(poll(lists(number, "1700000000000")), EXECUTOR_NO_ANSWER);
        EXPECT_EQ(lines_of("answer-invalid").size(), 1U);
    }
}

// Guards against answers that end the process or that are read in part.
TEST_F(OddAnswers, TextThatIsNoAnswerIsNoAnswer)
{
    std::string sound = lists("7", "1700000000000");

    for (const std::string &text :
         {std::string(), std::string("[]"), std::string("7"),
          sound.substr(0, 20), sound + "x", nested(100000),
          lists("7", "1700000000000", "7"),
          lists("7", "1700000000000", "[]", "{}"),
          lists("7", "1700000000000", nested(100000))}) {
        SCOPED_TRACE(text.substr(0, 100));
        EXPECT_EQ(poll(text), EXECUTOR_NO_ANSWER);
        EXPECT_EQ(lines_of("answer-invalid").size(), 1U);
    }
}

// Guards against the number of a run that is clamped to the largest one: the
// agent then stops that run, and the executor refuses all later ones of the
// task. Guards against the number of an end that is clamped to the largest
// one, after which no end is taken note of.
TEST_F(OddAnswers, RowsWithNumbersOutOfRangeAreLeftOut)
{
    for (const std::string &number : std::vector<std::string>{
             "0", "-1", "4294967295", "4294967296", "18446744073709551616",
             "1e999", "NaN", "2.5", "null", "\"2\""}) {
        SCOPED_TRACE(number);
        EXPECT_EQ(poll(lists(
                      "7", "1700000000000",
                      fill(R"([["odd",$,"",0,0],["good",1,"",0,0]])", number),
                      fill(R"([[3,"odd",$,"done",""],[4,"good",1,"done",""]])",
                           number))),
                  EXECUTOR_OK);
        EXPECT_EQ(running, std::vector<std::string>{"good"});
        EXPECT_EQ(ended, std::vector<std::string>{"good"});
        EXPECT_EQ(lines_of("run-row-invalid").size(), 2U);
    }
    for (const std::string &number : odd_numbers) {
        SCOPED_TRACE(number);
        EXPECT_EQ(poll(lists(
                      "7", "1700000000000", "[]",
                      fill(R"([[$,"odd",1,"done",""],[4,"good",1,"done",""]])",
                           number))),
                  EXECUTOR_OK);
        EXPECT_EQ(ended, std::vector<std::string>{"good"});
        EXPECT_EQ(lines_of("run-row-invalid").size(), 1U);
    }
}

// Guards against a name or a checkpoint that is cut off at a zero byte, and
// against one that no record can hold.
TEST_F(OddAnswers, RowsWithTextsThatCannotBeUsedAreLeftOut)
{
    for (const std::string &text :
         {std::string("c\\u0000d"), std::string(5000, 'x')}) {
        SCOPED_TRACE(text.substr(0, 20));
        EXPECT_EQ(poll(lists("7", "1700000000000",
                             fill(R"([["odd",1,"$",0,0],["$",1,"",0,0],)"
                                  R"(["good",1,"c",0,0]])",
                                  text),
                             fill(R"([[3,"odd",1,"done","$"],)"
                                  R"([4,"$",1,"done",""],)"
                                  R"([5,"good",1,"done","c"]])",
                                  text))),
                  EXECUTOR_OK);
        EXPECT_EQ(running, std::vector<std::string>{"good"});
        EXPECT_EQ(ended, std::vector<std::string>{"good"});
    }
}

// Guards against a run that is left out, and then stopped, for a measured
// value that cannot be read.
TEST_F(OddAnswers, RowsWithOddMeasurementsHold)
{
    for (const std::string &number : odd_numbers) {
        SCOPED_TRACE(number);
        EXPECT_EQ(poll(lists("7", "1700000000000",
                             fill(R"([["good",1,"",$,$]])", number))),
                  EXECUTOR_OK);
        EXPECT_EQ(running, std::vector<std::string>{"good"});
    }
}

std::string
pack(const Teasel__LeaderRecord &record)
{
    std::string out(teasel__leader_record__get_packed_size(&record), 0);

    teasel__leader_record__pack(&record,
                                reinterpret_cast<uint8_t *>(out.data()));
    return out;
}

std::string
pack(const Teasel__SchedulerRecord &record)
{
    std::string out(teasel__scheduler_record__get_packed_size(&record), 0);

    teasel__scheduler_record__pack(&record,
                                   reinterpret_cast<uint8_t *>(out.data()));
    return out;
}

std::string
leader_record(const char *name, const std::string &address)
{
    Teasel__LeaderRecord record = TEASEL__LEADER_RECORD__INIT;

    record.name = const_cast<char *>(name);
    record.address = const_cast<char *>(address.c_str());
    record.incarnation = 7;
    return pack(record);
}

std::string
scheduler_record(const char *name, const std::string &address)
{
    Teasel__SchedulerRecord record = TEASEL__SCHEDULER_RECORD__INIT;

    record.name = const_cast<char *>(name);
    record.address = const_cast<char *>(address.c_str());
    record.incarnation = 7;
    record.cpu_milli = 100;
    return pack(record);
}

const std::vector<std::string> odd_addresses = {
    "",
    "x",
    "127.0.0.1",
    "127.0.0.1:0",
    "127.0.0.1:65536",
    "127.0.0.1:99999999999",
    "127.0.0.1:-1",
    "\xff\xfe",
    std::string(100000, '9'),
};

/* An agent that looks for a scheduler that accepts connections. */
struct OddControlRecords : public LoopTest {
    FakeStore store;
    FakeStoreView view{&store, loop};
    peer_listener_t *listener = nullptr;
    node_link_t *link = nullptr;
    char address[32];

    static void
    on_accept(peer_t *, void *)
    {
    }
    void
    SetUp() override
    {
        static const peer_handler_t handler = {
            .on_open = nullptr,
            .on_message = [](peer_t *, const Teasel__Envelope *, void *) {},
            .on_close = [](peer_t *, const char *, void *) {},
        };
        peer_opts_t opts = {};
        GError *error = nullptr;

        LoopTest::SetUp();
        test_address(address, PORT + 2);
        opts.loop = loop;
        opts.clock = clock_system();
        opts.handler = &handler;
        opts.max_queued_bytes = 65536;
        opts.silence_ms = 60000;
        opts.ping_ms = 60000;
        listener = peer_listen(&opts, address, on_accept, &error);
        ASSERT_NE(listener, nullptr) << error->message;
    }
    void
    TearDown() override
    {
        stop();
        peer_listener_free(listener);
        LoopTest::TearDown();
    }
    void
    start()
    {
        node_link_opts_t opts = {};

        opts.loop = loop;
        opts.clock = clock_system();
        opts.store = &view.base;
        opts.name = "n";
        opts.silence_ms = 800;
        opts.on_orders = [](const Teasel__NodeOrders *, void *) {};
        opts.on_connection_changed = [](bool, void *) {};
        link = node_link_new(&opts);
    }
    void
    stop()
    {
        node_link_free(link);
        link = nullptr;
        /* The view must outlive its last pending call. */
        for (int i = 0; i < 10; i++) {
            loop_run_once(loop, 5);
        }
    }
};

// Guards against an agent that gives up when the address of the leader cannot
// be called, until another leader is elected.
TEST_F(OddControlRecords, AnAgentLooksForSchedulersBesideAnOddLeader)
{
    for (const std::string &odd : odd_addresses) {
        SCOPED_TRACE(odd.substr(0, 40));
        store.topics.clear();
        log_lines().clear();
        store.put(CONTROL_TOPIC, "scheduler/odd",
                  scheduler_record("odd", odd));
        store.put(CONTROL_TOPIC, "scheduler/s1",
                  scheduler_record("s1", address));
        store.put(CONTROL_TOPIC, "scheduler/s2", "\xff\xff\xff");
        store.put(CONTROL_TOPIC, "other", "x");
        store.put(CONTROL_TOPIC, "leader", leader_record("odd", odd));
        start();
        EXPECT_TRUE(wait([&] { return node_link_is_open(link); }));
        EXPECT_EQ(lines_of("record-malformed").size(), 3U);
        stop();
    }
}

/* Reads answers of the store. */
struct OddStoreAnswers : public Answers {
    store_t *store = nullptr;
    int results = 0;
    store_status_t status_read = STORE_OK;
    std::vector<std::string> keys;
    uint64_t offset = 0;

    void
    SetUp() override
    {
        GError *error = nullptr;

        Answers::SetUp();
        store = store_http_new(loop, address, &error);
    }
    void
    TearDown() override
    {
        store_http_free(store);
        Answers::TearDown();
    }
    static void
    on_page(store_status_t status, const store_page_t *page, void *data)
    {
        auto *self = static_cast<OddStoreAnswers *>(data);

        self->results++;
        self->status_read = status;
        self->keys.clear();
        for (size_t i = 0; i < page->count; i++) {
            self->keys.emplace_back(page->records[i].key);
        }
    }
    static void
    on_appended(store_status_t status, uint64_t offset, void *data)
    {
        auto *self = static_cast<OddStoreAnswers *>(data);

        self->results++;
        self->status_read = status;
        self->offset = offset;
    }
    store_status_t
    list(const std::string &text)
    {
        int before = results;

        body = text;
        store_list(store, "control", nullptr, on_page, this);
        EXPECT_TRUE(wait([&] { return results > before; }));
        return status_read;
    }
    store_status_t
    read(const std::string &text)
    {
        int before = results;

        body = text;
        store_read(store, "control", 5, 0, on_page, this);
        EXPECT_TRUE(wait([&] { return results > before; }));
        return status_read;
    }
    store_status_t
    append(const std::string &text)
    {
        store_append_t append = {};
        int before = results;

        body = text;
        append.topic = "control";
        store_append(store, &append, on_appended, this);
        EXPECT_TRUE(wait([&] { return results > before; }));
        return status_read;
    }
};

std::string
big_endian(uint64_t value, int bytes)
{
    std::string out;

    for (int i = bytes - 1; i >= 0; i--) {
        out += static_cast<char>(value >> (8 * i));
    }
    return out;
}

std::string
keyed(const std::string &key, const std::string &value)
{
    std::string content =
        std::string(1, static_cast<char>(key.size())) + key + value;

    return big_endian(content.size(), 4) + content;
}

// Guards against a key that is cut off at a zero byte and so is taken for the
// record of the leader.
TEST_F(OddStoreAnswers, AKeyWithAZeroByteIsNoOtherKey)
{
    std::string odd("leader\0x", 8);

    EXPECT_EQ(list(R"({"items":[{"Key":"leader\u0000x","Value":"eA==",)"
                   R"("Offset":3},{"Key":"leader","Value":"eA==",)"
                   R"("Offset":4}],"HasMore":false,"End":9})"),
              STORE_OK);
    EXPECT_EQ(keys, (std::vector<std::string>{"", "leader"}));
    EXPECT_EQ(read(big_endian(7, 8) + big_endian(0, 8) + keyed(odd, "v") +
                   keyed("leader", "v")),
              STORE_OK);
    EXPECT_EQ(keys, (std::vector<std::string>{"", "leader"}));
    EXPECT_EQ(lines_of("record-malformed").size(), 2U);
}

// Guards against records that are no keyed records, behind which a reader
// would stop.
TEST_F(OddStoreAnswers, ReadsPastRecordsThatHaveNoKey)
{
    EXPECT_EQ(read(big_endian(9, 8) + big_endian(0, 8) + big_endian(0, 4) +
                   big_endian(1, 4) + "\xff" + big_endian(3, 4) + "\xffxy" +
                   keyed(std::string(255, 'k'), "") + keyed("\xff\xfe", "v") +
                   keyed("good", "v")),
              STORE_OK);
    EXPECT_EQ(keys,
              (std::vector<std::string>{"", "", "", std::string(255, 'k'),
                                        "\xff\xfe", "good"}));
    EXPECT_EQ(lines_of("record-malformed").size(), 3U);
}

// Guards against an answer that is read as the end of a topic, from which the
// reader then follows nothing, or asks again at once for ever.
TEST_F(OddStoreAnswers, AnswersThatCannotBeReadAreNoPages)
{
    for (const std::string &number : odd_numbers) {
        SCOPED_TRACE(number);
        EXPECT_EQ(
            list(fill(R"({"items":[],"HasMore":false,"End":$})", number)),
            STORE_UNKNOWN);
        EXPECT_EQ(append(fill(R"({"Offset":$,"End":7})", number)),
                  STORE_UNKNOWN);
    }
    EXPECT_EQ(list(R"({"items":null,"HasMore":false,"End":0})"), STORE_OK);
    EXPECT_EQ(list(R"({"items":[],"HasMore":true,"End":1})"), STORE_UNKNOWN);
    EXPECT_EQ(list(nested(100000)), STORE_UNKNOWN);
    EXPECT_EQ(list(fill(R"({"items":[],"HasMore":false,"End":1,"x":$})",
                        nested(100000))),
              STORE_UNKNOWN);
    EXPECT_EQ(read(""), STORE_UNKNOWN);
    EXPECT_EQ(read(big_endian(7, 8)), STORE_UNKNOWN);
    EXPECT_EQ(read(big_endian(7, 8) + big_endian(0, 8) + big_endian(99, 4) +
                   "short"),
              STORE_UNKNOWN);
}

// Guards against a listing that starts again at the same key for ever, so that
// the reader never catches up and calls the store without a pause.
TEST_F(OddStoreAnswers, AListingContinuesBehindAnOddKey)
{
    for (const char *key : {"k\\u0000x", "k", "\xff"}) {
        follower_opts_t opts = {};
        SCOPED_TRACE(key);

        targets.clear();
        body = fill(R"({"items":[{"Key":"$","Value":"eA==","Offset":3}],)"
                    R"("HasMore":true,"End":9})",
                    key);
        opts.loop = loop;
        opts.clock = clock_system();
        opts.store = store;
        opts.topic = "control";
        opts.wait_ms = 100;
        opts.on_record = [](const store_record_t *, void *) {};
        follower_t *follower = follower_new(&opts);
        EXPECT_TRUE(wait([&] { return follower_is_caught_up(follower); }));
        ASSERT_GE(targets.size(), 2U);
        EXPECT_NE(targets[1].find(key[1] == '\\'  ? "After=k%00x"
                                  : key[0] == 'k' ? "After=k"
                                                  : "After=%FF"),
                  std::string::npos)
            << targets[1];
        follower_free(follower);
        loop_run_once(loop, 20);
    }
}

} // namespace
