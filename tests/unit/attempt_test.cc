#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <vector>

extern "C" {
#include "request/attempt.h"
#include "request/retry_budget.h"
}

namespace {

const struct timespec start = {1000, 0};

// Guards against a second run of a non-idempotent request, and against "not
// run" being reported for a request that may have run.
RC_GTEST_PROP(Attempt, RunsAtMostOnceAndReportsPossibleRuns,
              (bool idempotent, std::vector<uint8_t> outcomes))
{
    retry_budget_t budget;
    attempt_t attempt;
    unsigned possible_runs = 0;
    bool answered = false;

    retry_budget_init(&budget, 10, 10);
    attempt_init(&attempt, idempotent, 5, timespec_add_ms(start, 100),
                 &budget);
    for (uint8_t byte : outcomes) {
        auto outcome = (attempt_outcome_t)(byte % 3);
        struct timespec now = timespec_add_ms(start, byte / 2);

        if (!attempt_begin(&attempt, now)) {
            break;
        }
        RC_ASSERT(idempotent || possible_runs == 0);
        RC_ASSERT(attempt_may_have_run(&attempt));
        possible_runs += outcome != ATTEMPT_NOT_RUN;
        answered = answered || outcome == ATTEMPT_ANSWERED;
        if (attempt_end(&attempt, outcome, ERROR_TIMEOUT, now) ==
            ATTEMPT_REPLY) {
            RC_ASSERT(!attempt_begin(&attempt, start));
            break;
        }
    }
    RC_ASSERT(attempt_may_have_run(&attempt) == (possible_runs > 0));
    RC_ASSERT(attempt.answered == answered);
    RC_ASSERT(attempt.count <= 5);
}

// Guards against a retry while the first attempt may still run.
TEST(Attempt, AbandonedWhileRunningIsUnknown)
{
    retry_budget_t budget;
    attempt_t attempt;

    retry_budget_init(&budget, 10, 10);
    attempt_init(&attempt, false, 3, timespec_add_ms(start, 100), &budget);
    EXPECT_FALSE(attempt_may_have_run(&attempt));
    ASSERT_TRUE(attempt_begin(&attempt, start));
    attempt_abandon(&attempt, ERROR_TIMEOUT);
    EXPECT_TRUE(attempt_may_have_run(&attempt));
    EXPECT_FALSE(attempt_begin(&attempt, start));
    EXPECT_EQ(attempt.kind, ERROR_TIMEOUT);
}

// Guards against retries multiplying the load when every attempt fails.
RC_GTEST_PROP(RetryBudget, BoundsRetries, (std::vector<uint8_t> demands))
{
    retry_budget_t budget;
    uint64_t requests = 0;
    uint64_t retries = 0;

    retry_budget_init(&budget, 10, 10);
    for (uint8_t demand : demands) {
        retry_budget_deposit(&budget);
        requests++;
        for (int i = 0; i < demand % 8; i++) {
            retries += retry_budget_withdraw(&budget);
        }
        RC_ASSERT(retries * 10 <= 100 + requests);
    }
}

} // namespace
