/* Limit of the effect of best-effort tasks on serving tasks. */

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <cmath>

extern "C" {
#include "node/effect_limit.h"
}

namespace {

/* Serving tasks that need this share of their target by themselves. */
const double BASELINE = 0.45;

/* Plays intervals with one best-effort task whose effect at full speed is
   @actual times the predicted one, and returns how many intervals miss the
   target. */
int
count_missed(double predicted, double actual, int intervals)
{
    effect_limit_input_t input = {
        .has_target = true,
        .worst_ratio = BASELINE,
        .missed_ms = 0,
        .limit = INFINITY,
        .current = predicted,
        .total = predicted,
    };
    int missed = 0;

    for (int i = 0; i < intervals; i++) {
        input.worst_ratio = BASELINE + actual * input.current;
        missed += effect_limit_is_missed(input.worst_ratio);
        input.limit = effect_limit_choose(&input);
        input.current = std::fmin(input.limit, input.total);
    }
    return missed;
}

// Guards against a best-effort task that disturbs ten times more than expected
// and is slowed down in several small steps, while the target stays missed.
TEST(EffectLimit, MeetsTheTargetAfterOneCut)
{
    EXPECT_EQ(count_missed(0.25, 10.0, 4), 1);
}

// Guards against a cut that ends the work of tasks which disturb a little more
// than the target allows.
TEST(EffectLimit, KeepsWorkThatDisturbsALittleTooMuch)
{
    effect_limit_input_t input = {
        .has_target = true,
        .worst_ratio = 1.05,
        .missed_ms = 0,
        .limit = INFINITY,
        .current = 0.6,
        .total = 0.6,
    };

    EXPECT_GE(effect_limit_choose(&input), 0.5 * input.current);
}

// Guards against tasks that work on while a target is missed for long.
TEST(EffectLimit, PausesAllTasksAfterALongMiss)
{
    effect_limit_input_t input = {
        .has_target = true,
        .worst_ratio = 1.2,
        .missed_ms = 1500,
        .limit = 0.2,
        .current = 0.2,
        .total = 0.8,
    };

    EXPECT_EQ(effect_limit_choose(&input), 0.0);
}

// Guards against a limit that rises while a target is missed, or falls while
// all are met.
RC_GTEST_PROP(EffectLimit, FollowsTheMeasurements, ())
{
    double total = *rc::gen::inRange(1, 500) / 100.0;
    double current = total * *rc::gen::inRange(0, 101) / 100.0;
    effect_limit_input_t input = {
        .has_target = true,
        .worst_ratio = *rc::gen::inRange(0, 500) / 100.0,
        .missed_ms = *rc::gen::inRange(0, 3000),
        .limit = current,
        .current = current,
        .total = total,
    };
    double limit = effect_limit_choose(&input);

    if (effect_limit_is_missed(input.worst_ratio)) {
        RC_ASSERT(limit <= current);
    }
    else {
        RC_ASSERT(limit >= current);
    }
}

} // namespace
