/* Decoders of what callers, executors and operators send. */

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>

extern "C" {
#include "config_feed.h"
#include "job_decode.h"
#include "json.h"
#include "run_rows.h"
#include "wire/sched.pb-c.h"
}

namespace {

const char *const lists_text =
    R"({"Running":[["j.0.0.0",2,"c",41,17],["j.0.0.1",1,"",0,0]],)"
    R"("Ended":[[58,"j.0.0.2",1,"done",""]]})";
const char *const config_text =
    R"({"Version":7,"Routes":[{"Name":"q","Host":"h.example",)"
    R"("PathPrefix":"/q/","Service":"s","MaxAttempts":3,"Priority":2,)"
    R"("TargetLatencyMs":1000,"SlackFactor":1.5}]})";
const char *const job_text =
    R"({"Spec":"text","Phases":[{"Count":4,"Cpu":500,"MemMb":256},)"
    R"({"Count":2,"After":[0],"Checkpointing":true}]})";

/* Replaces one value of a text by one of another type or size. */
std::string
damage(std::string text)
{
    static const std::vector<std::string> values = {
        "null", "{}", "[]", "\"x\"", "-1", "1e300", "4294967296", "true"};
    size_t from = *rc::gen::inRange<size_t>(0, text.size());
    size_t length = *rc::gen::inRange<size_t>(0, 12);

    return text.replace(from, length, *rc::gen::elementOf(values));
}

void
read_lists(const std::string &text)
{
    json_object *body = json_parse_object(text.data(), text.size());

    for (const char *key : {"Running", "Ended"}) {
        json_object *rows = body ? json_get_list(body, key) : nullptr;
        GPtrArray *running = run_rows_read_running(rows);
        GPtrArray *ended = run_rows_read_ended(rows);

        g_ptr_array_unref(running);
        g_ptr_array_unref(ended);
    }
    json_object_put(body);
}

void
read_config(const std::string &text)
{
    queue_table_t *table = config_feed_decode(text.data(), text.size());

    if (table != nullptr) {
        queue_table_free(table);
    }
}

void
read_job(const std::string &text)
{
    queue_t queue = {};
    Teasel__JobSpec *job;

    queue.name = const_cast<char *>("q");
    queue.service = const_cast<char *>("s");
    job = job_decode(text.data(), text.size(), "0123456789abcdef", &queue);
    if (job != nullptr) {
        teasel__job_spec__free_unpacked(job, nullptr);
    }
}

// Guards against one malformed message that ends the process.
RC_GTEST_PROP(PlatformDecoders, SurviveDamagedText, ())
{
    read_lists(damage(lists_text));
    read_config(damage(config_text));
    read_job(damage(job_text));
}

// Guards against a row of another type, which aborted the agent, and against
// the loss of the rows beside it.
TEST(PlatformDecoders, LeavesOutRowsThatCannotBeRead)
{
    json_object *rows = json_tokener_parse(
        R"([7,null,{"a":1},["j.0.0.0",2,"c",41,17],["no run"],[1,2],)"
        R"(["j.0.0.1",-3,"",0,0],[9,"j.0.0.2",1,"done",""],)"
        R"([10,"j.0.0.3",1,"vanished",""],[-4,"j.0.0.4",1,"done",""]])");
    g_autoptr(GPtrArray) running = run_rows_read_running(rows);
    g_autoptr(GPtrArray) ended = run_rows_read_ended(rows);

    ASSERT_EQ(running->len, 1U);
    auto *status =
        static_cast<Teasel__RunStatus *>(g_ptr_array_index(running, 0));
    EXPECT_STREQ(status->task, "j.0.0.0");
    EXPECT_EQ(status->run, 2U);
    EXPECT_EQ(status->percent, 41U);
    EXPECT_EQ(status->figure, 17U);
    ASSERT_EQ(ended->len, 1U);
    auto *end = static_cast<Teasel__RunEnd *>(g_ptr_array_index(ended, 0));
    EXPECT_EQ(end->number, 9U);
    EXPECT_STREQ(end->task, "j.0.0.2");
    json_object_put(rows);
}

// Guards against numbers out of range that wrap around to small ones: a job
// that needs 2^32 MB would be placed as one that needs none.
TEST(PlatformDecoders, ClampsNumbersOutOfRange)
{
    json_object *body = json_tokener_parse(
        R"({"big":4294967296,"negative":-1,"real":2.5,"text":"7"})");

    EXPECT_EQ(json_get_count(body, "big"), UINT32_MAX);
    EXPECT_EQ(json_get_count(body, "negative"), 0U);
    EXPECT_EQ(json_get_count(body, "real"), 2U);
    EXPECT_EQ(json_get_count(body, "text"), 0U);
    EXPECT_EQ(json_get_count(body, "missing"), 0U);
    json_object_put(body);
}

bool
is_job(const std::string &phase, const std::string &rest = "")
{
    std::string text =
        "{\"Spec\":\"t\"" + rest + ",\"Phases\":[" + phase + "]}";
    queue_t queue = {};
    Teasel__JobSpec *job;

    queue.name = const_cast<char *>("q");
    queue.service = const_cast<char *>("s");
    job = job_decode(text.data(), text.size(), "0123456789abcdef", &queue);
    if (job == nullptr) {
        return false;
    }
    teasel__job_spec__free_unpacked(job, nullptr);
    return true;
}

// Guards against a job that is accepted and then run in another way than its
// caller asked for: a step that waits for no other, one that needs nothing, or
// another text.
TEST(PlatformDecoders, RefusesJobsWithOddFields)
{
    EXPECT_TRUE(is_job(R"({"Count":1,"After":null,"Image":null})"));
    EXPECT_TRUE(is_job(R"({"Count":1,"EstimatedMs":900.5})"));
    for (const char *value : {"-1", "4294967296", "18446744073709551616",
                              "1e999", "NaN", "\"0\"", "true", "{}", "[]"}) {
        std::string text = value;

        for (const char *key :
             {"Count", "Cpu", "MemMb", "Gpu", "EstimatedMs", "AntiAffinity",
              "TargetMs", "MaxUnavailable"}) {
            EXPECT_FALSE(is_job("{\"" + std::string(key) + "\":" + text + "}"))
                << key << " " << text;
        }
        EXPECT_FALSE(is_job("{\"Count\":1,\"After\":[" + text + "]}")) << text;
        EXPECT_FALSE(is_job(R"({"Count":1})", ",\"RepeatCount\":" + text))
            << text;
    }
    for (const char *value :
         {"-1", "9223372036854775807", "1e999", "NaN", "\"0\""}) {
        std::string text = value;

        EXPECT_FALSE(is_job(R"({"Count":1})", ",\"StartMs\":" + text)) << text;
        EXPECT_FALSE(is_job(R"({"Count":1})", ",\"IntervalMs\":" + text))
            << text;
    }
    for (const char *value : {"\"a\\u0000b\"", "7", "[]", "{}", "true"}) {
        std::string text = value;

        for (const char *key : {"Requirements", "Affinity", "Image"}) {
            EXPECT_FALSE(is_job("{\"Count\":1,\"" + std::string(key) +
                                "\":" + text + "}"))
                << key << " " << text;
        }
        EXPECT_FALSE(is_job(R"({"Count":1})", ",\"Spec\":" + text)) << text;
    }
    for (const char *key : {"Checkpointing", "Gang", "SameRack",
                            "AllowDuplicates", "LongRunning", "Fills"}) {
        EXPECT_FALSE(is_job("{\"Count\":1,\"" + std::string(key) + "\":1}"))
            << key;
    }
    EXPECT_FALSE(is_job(R"({"Count":1,"After":0})"));
    EXPECT_FALSE(is_job("7"));
    EXPECT_FALSE(is_job("null"));
    EXPECT_FALSE(is_job("[]"));
}

// Guards against a job whose record the store refuses, behind which no other
// job is stored.
TEST(PlatformDecoders, RefusesJobsThatNoRecordCanHold)
{
    std::string after = "0";

    for (int i = 0; i < 100000; i++) {
        after += ",0";
    }
    EXPECT_TRUE(is_job(R"({"Count":1})",
                       ",\"Spec\":\"" + std::string(4000, 'x') + "\""));
    EXPECT_FALSE(is_job(R"({"Count":1})",
                        ",\"Spec\":\"" + std::string(1000000, 'x') + "\""));
    EXPECT_FALSE(is_job("{\"Count\":1,\"Image\":\"" +
                        std::string(1000000, 'x') + "\"}"));
    EXPECT_FALSE(
        is_job("{\"Count\":1},{\"Count\":1,\"After\":[" + after + "]}"));
}

// Guards against nesting that ends the process.
TEST(PlatformDecoders, RefusesDeepNesting)
{
    for (size_t levels : {20, 31, 32, 33, 100000}) {
        std::string nested =
            std::string(levels, '[') + std::string(levels, ']');

        EXPECT_EQ(is_job("{\"Count\":1,\"x\":" + nested + "}"), levels == 20)
            << levels;
        read_config("{\"Version\":1,\"Routes\":" + nested + "}");
    }
}

// Guards against a share of the slack that is no number.
TEST(PlatformDecoders, ReadsConfigurationsWithOddNumbers)
{
    for (const char *value : {"NaN", "Infinity", "-1e999", "1e300", "null"}) {
        std::string text =
            R"({"Version":1,"Routes":[{"Host":"h","PathPrefix":"/",)"
            R"("Service":"s","SlackFactor":)" +
            std::string(value) + "}]}";
        queue_table_t *table = config_feed_decode(text.data(), text.size());

        ASSERT_NE(table, nullptr);
        const queue_t *queue = queue_table_find(table, "h", "/");
        ASSERT_NE(queue, nullptr);
        EXPECT_TRUE(queue->slack_percent == 100 ||
                    queue->slack_percent == 100000000)
            << value;
        queue_table_free(table);
    }
}

} // namespace
