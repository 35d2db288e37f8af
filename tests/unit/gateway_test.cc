/* Calls that find no leader. */

#include <gtest/gtest.h>

#include "fake_clock.h"
#include "loop_wait.h"

extern "C" {
#include "scheduler/gateway.h"
}

namespace {

enum {
    ANSWER_MS = 1000,
    LEADERLESS_MS = 4000,
};

struct Gateway : public testing::Test {
    loop_t *loop = loop_new();
    GRand *random = g_rand_new_with_seed(1);
    fake_clock_t clock;
    gateway_t *gateway;

    Gateway()
    {
        fake_clock_init(&clock);
        gateway = gateway_new(loop, &clock.clock, nullptr, random);
    }
    ~Gateway() override
    {
        gateway_free(gateway);
        loop_free(loop);
        g_rand_free(random);
    }
    /* Returns the time after which a refused caller tries again. */
    uint32_t
    get_retry_ms()
    {
        Teasel__JobCall call = TEASEL__JOB_CALL__INIT;
        uint32_t retry_ms = 0;
        auto on_answer = [](const Teasel__JobAnswer *answer, void *data) {
            EXPECT_EQ(answer->outcome, (uint32_t)JOB_OUTCOME_CALL_REFUSED);
            *static_cast<uint32_t *>(data) = answer->retry_after_ms;
        };

        call.id = const_cast<char *>("j");
        gateway_call(gateway, &call, on_answer, &retry_ms);
        fake_clock_advance_ms(&clock, 100);
        EXPECT_TRUE(loop_wait(loop, ANSWER_MS, [&] { return retry_ms != 0; }));
        return retry_ms;
    }
};

// Guards against callers that use up their retries before a leader is elected,
// which no scheduler can be while the store is unavailable.
TEST_F(Gateway, SendsCallersAwayForLongerTheLongerThereIsNoLeader)
{
    EXPECT_LE(get_retry_ms(), 2000U);
    fake_clock_advance_ms(&clock, LEADERLESS_MS);
    EXPECT_GE(get_retry_ms(), 3000U);
}

} // namespace
