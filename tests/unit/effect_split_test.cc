/* Split of the allowed effect on serving tasks between best-effort tasks. */

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <numeric>

extern "C" {
#include "node/effect_split.h"
}

namespace {

std::vector<double>
split(const std::vector<double> &effects, double limit)
{
    std::vector<double> speeds(effects.size());

    effect_split(effects.data(), speeds.data(), effects.size(), limit);
    return speeds;
}

// Guards against one task with a large effect that slows down the tasks beside
// it, which hardly disturb the serving tasks.
TEST(EffectSplit, SlowsOnlyTheTaskWithALargeEffect)
{
    std::vector<double> speeds = split({0.05, 0.8, 0.05}, 0.3);

    EXPECT_DOUBLE_EQ(speeds[0], 1.0);
    EXPECT_NEAR(speeds[1], 0.25, 0.001);
    EXPECT_DOUBLE_EQ(speeds[2], 1.0);
}

// Guards against tasks that work on while a target is missed for long.
TEST(EffectSplit, StopsAllTasksAtALimitOfZero)
{
    EXPECT_EQ(split({0.1, 0.001}, 0), (std::vector<double>{0.0, 0.0}));
}

// Guards against a sum of effects above the limit, capacity that stays unused
// below it, and a task that is slower than one with a larger effect.
RC_GTEST_PROP(EffectSplit, UsesTheLimitWithTheLargestEffectsSlowest, ())
{
    auto permille = *rc::gen::nonEmpty(
        rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 1000)));
    double limit = *rc::gen::inRange(0, 3000) / 1000.0;
    std::vector<double> effects(permille.begin(), permille.end());
    double used = 0;

    for (double &effect : effects) {
        effect /= 1000.0;
    }
    std::vector<double> speeds = split(effects, limit);
    double total = std::accumulate(effects.begin(), effects.end(), 0.0);
    for (size_t i = 0; i < effects.size(); i++) {
        RC_ASSERT(speeds[i] >= 0 && speeds[i] <= 1);
        used += effects[i] * speeds[i];
        for (size_t j = 0; j < effects.size(); j++) {
            RC_ASSERT(effects[i] > effects[j] || speeds[i] >= speeds[j]);
        }
    }
    RC_ASSERT(used <= limit + 1e-9);
    RC_ASSERT(used >= std::min(limit, total) - 1e-3);
}

} // namespace
