/* Times after which refused callers try again. */

#include <gtest/gtest.h>

#include <set>

extern "C" {
#include "scheduler/retry_after.h"
}

namespace {

enum {
    DRAWS = 200,
    RETRIES = 4,
    USUAL_OUTAGE_MS = 8000,
};

struct RetryAfter : public testing::TestWithParam<int64_t> {
    GRand *random = g_rand_new_with_seed(7);

    ~RetryAfter() override
    {
        g_rand_free(random);
    }
    using Draw = uint32_t (*)(int64_t, GRand *);
    std::set<uint32_t>
    draw(Draw get)
    {
        std::set<uint32_t> values;

        for (int i = 0; i < DRAWS; i++) {
            values.insert(get(GetParam(), random));
        }
        return values;
    }
};

// Guards against a crowd of callers that is refused together and returns
// together, and against a header of no whole number of seconds.
TEST_P(RetryAfter, SpreadsCallersOverWholeSeconds)
{
    for (Draw get : {retry_after_get_outage_ms, retry_after_get_backlog_ms}) {
        std::set<uint32_t> values = draw(get);

        EXPECT_GE(values.size(), 2U);
        EXPECT_GE(*values.begin(), 1000U);
        for (uint32_t value : values) {
            EXPECT_EQ(value % 1000, 0U);
        }
    }
}

// Guards against times that have nothing to do with the length of the outage
// or of the backlog.
TEST_P(RetryAfter, IsCloseToTheTimeWithinItsLimits)
{
    int64_t outage_ms = CLAMP(GetParam(), 1000, 5000);
    int64_t drain_ms = CLAMP(GetParam(), 1000, 60000);

    for (uint32_t value : draw(retry_after_get_outage_ms)) {
        EXPECT_LE(std::abs((int64_t)value - outage_ms), outage_ms / 4 + 1000);
        EXPECT_LE(value, 5000U);
    }
    for (uint32_t value : draw(retry_after_get_backlog_ms)) {
        EXPECT_LE(std::abs((int64_t)value - drain_ms), drain_ms / 4 + 1000);
        EXPECT_LE(value, 60000U);
    }
}

// Guards against a caller that uses up its retries within an outage: with a
// constant second, four retries end before an outage of 5 s does.
TEST_P(RetryAfter, LetsMostCallersOutlastAUsualOutage)
{
    int outlasted = 0;

    for (int i = 0; i < DRAWS; i++) {
        int64_t now_ms = g_rand_int_range(random, 0, 2000);

        for (int retry = 0; retry < RETRIES; retry++) {
            now_ms += retry_after_get_outage_ms(now_ms, random);
        }
        outlasted += now_ms >= USUAL_OUTAGE_MS;
    }
    EXPECT_GE(outlasted, DRAWS * 9 / 10);
}

INSTANTIATE_TEST_SUITE_P(Times, RetryAfter,
                         testing::Values(-1, 0, 300, 1000, 1500, 2400, 4000,
                                         9000, 40000, INT64_C(1) << 40));

} // namespace
