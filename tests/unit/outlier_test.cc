#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <vector>

extern "C" {
#include "base/clock.h"
#include "request/outlier.h"
}

namespace {

const outlier_opts_t opts = {5, 1000, 30000};

struct Members {
    outlier_set_t set;
    std::vector<outlier_t> members;
    struct timespec now = {1000, 0};

    explicit Members(size_t count) : members(count)
    {
        outlier_set_init(&set, &opts);
        for (outlier_t &member : members) {
            outlier_join(&set, &member);
        }
    }

    void
    finish(size_t i, bool failed)
    {
        if (outlier_is_allowed(&members[i], now)) {
            bool probe = outlier_begin(&members[i]);

            outlier_end(&set, &members[i], probe, failed, now);
        }
    }

    void
    advance(int64_t ms)
    {
        now = timespec_add_ms(now, ms);
    }

    /* Ejects a member by failures and returns the duration of the ejection. */
    int64_t
    measure_ejection(size_t i)
    {
        int64_t ms = 0;

        for (int n = 0; n < 5; n++) {
            finish(i, true);
        }
        while (!outlier_is_allowed(&members[i], now)) {
            advance(100);
            ms += 100;
        }
        return ms;
    }
};

// Guards against ejecting more members than the cap allows, and against a
// count that differs from the states.
RC_GTEST_PROP(Outlier, EjectsAtMostOneThird, (std::vector<uint32_t> steps))
{
    Members fixture(*rc::gen::inRange<size_t>(1, 12));

    for (uint32_t step : steps) {
        fixture.finish(step % fixture.members.size(), step % 5 != 0);
        fixture.advance(step % 7 * 100);
        unsigned out = 0;
        for (const outlier_t &member : fixture.members) {
            out += member.state != OUTLIER_ACTIVE;
        }
        RC_ASSERT(out == fixture.set.ejected);
        RC_ASSERT(out * 3 <= fixture.members.size());
    }
}

// Guards against retrying a failing member at a constant rate.
TEST(Outlier, DoublesRepeatedEjections)
{
    Members fixture(3);

    EXPECT_EQ(fixture.measure_ejection(0), 1000);
    EXPECT_EQ(fixture.measure_ejection(0), 2000);
    EXPECT_EQ(fixture.measure_ejection(0), 4000);
    fixture.finish(0, false);
    fixture.advance(60000);
    EXPECT_EQ(fixture.measure_ejection(0), 1000);
}

// Guards against a burst of requests to a member that may still fail.
TEST(Outlier, SendsOneProbe)
{
    Members fixture(3);

    fixture.measure_ejection(0);
    ASSERT_TRUE(outlier_begin(&fixture.members[0]));
    EXPECT_FALSE(outlier_is_allowed(&fixture.members[0], fixture.now));
    outlier_abandon_probe(&fixture.members[0]);
    EXPECT_TRUE(outlier_is_allowed(&fixture.members[0], fixture.now));
    fixture.finish(0, false);
    EXPECT_EQ(fixture.members[0].state, OUTLIER_ACTIVE);
}

// Guards against long ejections after a failure of all executors: all members
// must receive requests within 2 s after the executors have recovered.
TEST(Outlier, DoesNotProlongEjectionsForCommonCause)
{
    Members fixture(11);

    for (int step = 0; step < 1000; step++) {
        for (size_t i = 0; i < 11; i++) {
            fixture.finish(i, true);
        }
        fixture.advance(10);
    }
    EXPECT_EQ(fixture.set.ejected, 3U);
    fixture.advance(1000);
    for (size_t i = 0; i < 11; i++) {
        fixture.finish(i, false);
        EXPECT_EQ(fixture.members[i].state, OUTLIER_ACTIVE);
    }
}

} // namespace
