#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <memory>
#include <string>
#include <vector>

extern "C" {
#include "base/clock.h"
#include "entry/key_guard.h"
}

#include "fake_plog.h"

namespace {

struct Call {
    std::string id;
    std::string body;
    http_header_t header = {};
    int runs = 0;
    int ends = 0;
    attempt_outcome_t outcome = ATTEMPT_UNKNOWN;
    error_kind_t kind = ERROR_INTERNAL;
    int status = 0;
};

/* The key guards of several entries that share a log. run() stands in for the
   forwarder. */
struct Entries {
    loop_t *loop = loop_new();
    FakePlog log{loop};
    std::vector<key_guard_t *> guards;
    std::vector<std::unique_ptr<Call>> calls;
    attempt_outcome_t outcome = ATTEMPT_ANSWERED;
    std::string answer = "plates";
    int runs = 0;

    static void
    run(void *data, const forward_request_t *request, forward_cb cb,
        void *cb_data)
    {
        auto *self = static_cast<Entries *>(data);
        forward_result_t result = {};

        self->runs++;
        self->calls[std::stoul(request->headers[0].value)]->runs++;
        result.outcome = self->outcome;
        result.kind = ERROR_TIMEOUT;
        result.status = 201;
        result.body = self->answer.data();
        result.body_length = self->answer.size();
        cb(&result, cb_data);
    }

    static void
    on_end(const forward_result_t *result, void *data)
    {
        auto *call = static_cast<Call *>(data);

        call->ends++;
        call->outcome = result->outcome;
        call->kind = result->kind;
        call->status = result->status;
        call->body.assign((const char *)result->body, result->body_length);
    }

    explicit Entries(int count)
    {
        for (int i = 0; i < count; i++) {
            key_guard_opts_t opts = {};

            opts.loop = loop;
            opts.clock = clock_system();
            opts.log = log.plog();
            opts.submit = run;
            opts.submit_data = this;
            opts.entry_id = opts.writer = "entry";
            opts.append_timeout_ms = 10;
            guards.push_back(key_guard_new(&opts));
        }
        run_loop(5);
    }

    ~Entries()
    {
        for (key_guard_t *guard : guards) {
            key_guard_free(guard);
        }
        loop_run_once(loop, 0);
    }

    void
    run_loop(int count)
    {
        for (int i = 0; i < count; i++) {
            loop_run_once(loop, 1);
        }
    }

    Call *
    submit(size_t entry, const char *key, uint64_t hash, uint32_t timeout_ms)
    {
        forward_request_t request = {};
        auto *call = new Call();

        call->id = std::to_string(calls.size());
        calls.emplace_back(call);
        call->header = {"id", call->id.c_str()};
        request.service = "plates";
        request.headers = &call->header;
        request.header_count = 1;
        request.timeout_ms = timeout_ms;
        key_guard_submit(guards[entry], key, hash, &request, on_end, call);
        return call;
    }

    void
    wait()
    {
        for (auto &call : calls) {
            while (call->ends == 0) {
                loop_run_once(loop, 100);
            }
        }
    }
};

// Guards against running a request twice when its key is used at two entries
// concurrently, and against reporting "not run" for a request that was run, if
// appends are refused, dropped, late or repeated or their answers are lost.
RC_GTEST_PROP(KeyGuard, RunsOnceUnderFaults, (std::vector<uint8_t> steps))
{
    Entries entries(2);

    if (steps.size() > 12) {
        steps.resize(12);
    }
    for (uint8_t step : steps) {
        switch (step % 8) {
        case 0:
            entries.log.refuse_appends++;
            break;
        case 1:
            entries.log.lose_answers++;
            break;
        case 2:
            entries.log.drop_appends++;
            break;
        case 3:
            entries.log.delayed_appends++;
            break;
        case 4:
            entries.log.duplicate_appends++;
            break;
        case 5:
            entries.log.write_delayed();
            break;
        default:
            entries.submit(step % 2, "k", 1, 20);
            break;
        }
        entries.run_loop(step % 3);
    }
    entries.wait();
    RC_ASSERT(entries.runs <= 1);
    for (auto &call : entries.calls) {
        bool refused = call->outcome == ATTEMPT_NOT_RUN;
        bool complete = call->body == "plates";

        RC_ASSERT(call->ends == 1);
        RC_ASSERT(!(refused && call->runs > 0));
        RC_ASSERT((call->outcome == ATTEMPT_ANSWERED) == complete);
    }
}

// Guards against running two concurrent requests with the same key, and
// against a duplicate that does not get the answer of the request that ran.
TEST(KeyGuard, ConcurrentDuplicateGetsTheRecordedAnswer)
{
    Entries entries(2);
    Call *first = entries.submit(0, "k", 1, 60000);
    Call *second = entries.submit(1, "k", 1, 60000);

    entries.wait();
    EXPECT_EQ(entries.runs, 1);
    EXPECT_EQ(first->body + second->body, "platesplates");
    EXPECT_EQ(second->status, 201);
}

// Guards against running a request whose claim is not on the log.
TEST(KeyGuard, RefusesRequestsWhileTheLogIsUnavailable)
{
    Entries entries(1);

    entries.log.outage = true;
    entries.log.refuse_appends = 1;
    Call *call = entries.submit(0, "k", 1, 60000);
    entries.wait();
    EXPECT_EQ(call->outcome, ATTEMPT_NOT_RUN);
    EXPECT_EQ(call->kind, ERROR_LOG_UNAVAILABLE);
    EXPECT_EQ(entries.runs, 0);
}

// Guards against a claim that is written after its request was refused. It
// must neither run the request nor hold the key forever.
TEST(KeyGuard, ReleasesTheKeyOfALateClaim)
{
    Entries entries(2);

    entries.log.delayed_appends = 1;
    Call *late = entries.submit(0, "k", 1, 60000);
    entries.wait();
    EXPECT_EQ(late->outcome, ATTEMPT_NOT_RUN);
    entries.log.write_delayed();
    Call *next = entries.submit(1, "k", 1, 60000);
    entries.wait();
    EXPECT_EQ(next->outcome, ATTEMPT_ANSWERED);
    EXPECT_EQ(late->runs, 0);
    EXPECT_EQ(entries.runs, 1);
}

// Guards against a second run after an unknown outcome, and against replaying
// a truncated answer or the answer to another request.
TEST(KeyGuard, ReplaysOnlyCompleteAnswersOfTheSameRequest)
{
    Entries entries(2);

    entries.outcome = ATTEMPT_UNKNOWN;
    entries.submit(0, "unknown", 1, 60000);
    entries.wait();
    entries.outcome = ATTEMPT_ANSWERED;
    Call *unknown = entries.submit(1, "unknown", 1, 60000);
    entries.answer = std::string(70000, 'x');
    entries.submit(0, "large", 1, 60000);
    entries.wait();
    Call *large = entries.submit(1, "large", 1, 60000);
    Call *other = entries.submit(1, "large", 2, 60000);
    entries.wait();
    EXPECT_EQ(unknown->outcome, ATTEMPT_UNKNOWN);
    EXPECT_EQ(large->outcome, ATTEMPT_UNKNOWN);
    EXPECT_EQ(other->outcome, ATTEMPT_NOT_RUN);
    EXPECT_EQ(other->kind, ERROR_CONFLICT);
    EXPECT_EQ(entries.runs, 2);
}

// Guards against a key that stays claimed although its request was not run.
TEST(KeyGuard, NotRunReleasesTheKey)
{
    Entries entries(2);

    entries.outcome = ATTEMPT_NOT_RUN;
    entries.submit(0, "k", 1, 60000);
    entries.wait();
    entries.outcome = ATTEMPT_ANSWERED;
    Call *again = entries.submit(1, "k", 1, 60000);
    entries.wait();
    EXPECT_EQ(again->outcome, ATTEMPT_ANSWERED);
}

} // namespace
