#include <gtest/gtest.h>

#include <map>
#include <string>

extern "C" {
#include "base/clock.h"
#include "base/http_client.h"
#include "caller/job_handler.h"
}

#include "cell_records.h"
#include "fake_plog.h"
#include "test_address.h"

namespace {

const char *const small_job = "{\"team\": \"press\", \"class\": \"a\", "
                              "\"cpu_milli\": 500, "
                              "\"memory_mb\": 64, \"run_ms\": 1000}";
const char *const other_job = "{\"team\": \"press\", \"class\": \"b\", "
                              "\"cpu_milli\": 500, "
                              "\"memory_mb\": 64, \"run_ms\": 1000}";

struct Answer {
    bool done = false;
    int status = 0;
    std::string body;
};

class JobHandlerTest : public ::testing::Test {
  protected:
    loop_t *loop = loop_new();
    FakePlog log{loop};
    metrics_t metrics;
    job_handler_t *handler = nullptr;
    http_server_t *server = nullptr;
    http_client_t *client = nullptr;

    static void
    on_job(http_exchange_t *exchange, void *data)
    {
        job_handler_on_job(static_cast<JobHandlerTest *>(data)->handler,
                           exchange);
    }

    static void
    on_answer(const http_response_t *response, void *data)
    {
        auto *answer = static_cast<Answer *>(data);

        answer->done = true;
        answer->status = response->status;
        answer->body.assign(response->body, response->body_length);
    }

    void
    SetUp() override
    {
        static const http_route_t routes[] = {{"/jobs/", on_job},
                                              {nullptr, nullptr}};
        job_handler_opts_t opts = {};
        http_server_opts_t server_opts = {};
        http_client_opts_t client_opts = {};
        char address[32];

        test_address(address, 40);
        metrics_init(&metrics);
        opts.loop = loop;
        opts.clock = clock_system();
        opts.log = log.plog();
        opts.metrics = &metrics;
        opts.cell = "cell-0";
        opts.entry_id = "entry-1";
        opts.deadline_ms = 100;
        handler = job_handler_new(&opts);
        server_opts.loop = loop;
        server_opts.listen = address;
        server_opts.max_body = 1 << 20;
        server_opts.routes = routes;
        server_opts.data = this;
        server = http_server_new(&server_opts, nullptr);
        client_opts.loop = loop;
        client_opts.address = address;
        client_opts.max_connections = 8;
        client = http_client_new(&client_opts, nullptr);
        while (!job_handler_is_ready(handler)) {
            loop_run_once(loop, 100);
        }
    }

    void
    TearDown() override
    {
        http_client_free(client);
        loop_run_once(loop, 10);
        http_server_free(server);
        job_handler_free(handler);
        loop_run_once(loop, 0);
    }

    void
    send(const char *method, const std::string &id, const std::string &body,
         Answer *answer)
    {
        std::string target = "/jobs/" + id;
        http_call_opts_t opts = {};

        opts.method = method;
        opts.target = target.c_str();
        opts.body = body.data();
        opts.body_length = body.size();
        opts.timeout_ms = 10000;
        opts.max_response = 1 << 20;
        http_client_send(client, &opts, on_answer, answer);
    }

    Answer
    call(const char *method, const std::string &id,
         const std::string &body = "")
    {
        Answer answer;

        send(method, id, body, &answer);
        while (!answer.done) {
            loop_run_once(loop, 1000);
        }
        return answer;
    }
};

// Guards against acknowledging a job that is not on the log, submitting it
// twice for a repeated request, and replacing it by a job with another body.
TEST_F(JobHandlerTest, AcceptsAJobOnce)
{
    EXPECT_EQ(call("PUT", "a", small_job).status, 201);
    EXPECT_EQ(log.streams["cell-0"].records.size(), 1U);
    EXPECT_EQ(call("PUT", "a", small_job).status, 200);
    EXPECT_EQ(call("PUT", "a", other_job).status, 409);
    EXPECT_EQ(log.streams["cell-0"].records.size(), 1U);
    EXPECT_NE(call("GET", "a").body.find("\"queued\""), std::string::npos);
    EXPECT_EQ(call("GET", "b").status, 404);
}

// Guards against reporting "not run" for a job that is on the log, and against
// losing a job whose append was not answered.
TEST_F(JobHandlerTest, ReportsTheOutcomeOfLogFaultsCorrectly)
{
    Answer answer;

    log.refuse_appends = 1;
    answer = call("PUT", "a", small_job);
    EXPECT_EQ(answer.status, 503);
    EXPECT_NE(answer.body.find("\"executed\":\"no\""), std::string::npos)
        << answer.body;
    EXPECT_EQ(log.streams["cell-0"].records.size(), 0U);

    log.lose_answers = 1;
    EXPECT_EQ(call("PUT", "b", small_job).status, 201);

    log.delayed_appends = 1;
    answer = call("PUT", "c", small_job);
    EXPECT_EQ(answer.status, 504);
    EXPECT_NE(answer.body.find("\"executed\":\"unknown\""), std::string::npos);
    log.write_delayed();
    EXPECT_EQ(call("PUT", "c", small_job).status, 200);

    log.duplicate_appends = 1;
    EXPECT_EQ(call("PUT", "d", small_job).status, 201);
    EXPECT_EQ(call("PUT", "d", small_job).status, 200);
}

struct InvalidCase {
    const char *id;
    std::string body;
    int status;
    const char *reported; /* part of the answer, names the invalid value */
};

// Guards against an invalid job that is accepted, crashes the entry, or is
// refused without naming the invalid value.
TEST_F(JobHandlerTest, RefusesInvalidJobs)
{
    const InvalidCase cases[] = {
        {"a", "{\"team\": \"press\"", 400, ""},
        {"a", "", 400, ""},
        {"a", std::string(20000, ' '), 413, "20000"},
        {"a%00b", small_job, 400, "a%00b"},
        {"a",
         "{\"team\": \"press\", \"class\": \"a\", "
         "\"cpu_milli\": -5, \"memory_mb\": 1, \"run_ms\": 1}",
         400, "-5"},
        {"a",
         "{\"team\": \"press\", \"class\": \"a\", "
         "\"cpu_milli\": 99999999999999999999, \"memory_mb\": 1, "
         "\"run_ms\": 1}",
         400, "cpu_milli"},
    };

    for (const InvalidCase &invalid : cases) {
        Answer answer = call("PUT", invalid.id, invalid.body);

        EXPECT_EQ(answer.status, invalid.status) << invalid.body;
        EXPECT_NE(answer.body.find(invalid.reported), std::string::npos)
            << answer.body;
        EXPECT_NE(answer.body.find("\"executed\":\"no\""), std::string::npos);
    }
    EXPECT_EQ(log.streams["cell-0"].records.size(), 0U);
}

// Guards against one append for each cancellation of a burst, and against
// losing a cancellation.
TEST_F(JobHandlerTest, CancelsABurstInFewAppends)
{
    std::map<std::string, Answer> answers;
    size_t submitted;

    for (int i = 0; i < 200; i++) {
        send("PUT", "job" + std::to_string(i), small_job,
             &answers["put" + std::to_string(i)]);
    }
    while (job_handler_get_next_offset(handler) <= 200) {
        loop_run_once(loop, 1000);
    }
    submitted = log.streams["cell-0"].records.size();
    for (int i = 0; i < 200; i++) {
        send("DELETE", "job" + std::to_string(i), "",
             &answers["del" + std::to_string(i)]);
    }
    for (auto &[name, answer] : answers) {
        while (!answer.done) {
            loop_run_once(loop, 1000);
        }
        EXPECT_EQ(answer.status, name[0] == 'p' ? 201 : 200) << name;
    }
    EXPECT_LT(log.streams["cell-0"].records.size() - submitted, 50U);
    EXPECT_NE(call("GET", "job7").body.find("\"cancelled\""),
              std::string::npos);
}

} // namespace
