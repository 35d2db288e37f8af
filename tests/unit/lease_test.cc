#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>

extern "C" {
#include "batch/lease.h"
}

#include "fake_clock.h"

namespace {

// Guards against a lease that lasts longer than the newest coordinator
// granted, counted from the time the heartbeat was sent, in any order of
// arrival.
TEST(Lease, EndsWithItsLongestGrant)
{
    EXPECT_TRUE(rc::check([] {
        fake_clock_t clock;
        lease_t lease;
        std::map<uint64_t, struct timespec> sent;
        std::map<uint64_t, uint64_t> longest; // epoch -> end in ms
        uint64_t newest = 0;
        uint64_t granted = 0;

        fake_clock_init(&clock);
        lease_init(&lease, &clock.clock);
        for (uint64_t sequence = 1; sequence < 60; sequence++) {
            fake_clock_advance_ms(&clock, *rc::gen::inRange(0, 3000));
            lease_note_heartbeat(&lease, sequence);
            sent[sequence] = clock.now;
            fake_clock_advance_ms(&clock, *rc::gen::inRange(0, 3000));
            uint64_t epoch = *rc::gen::inRange(1, 6) + sequence / 10;
            uint64_t answered = *rc::gen::inRange<uint64_t>(0, sequence + 2);
            uint64_t ms = *rc::gen::inRange(0, 15000);
            auto result = lease_renew(&lease, epoch, answered, ms);
            bool known = answered > 0 && answered <= sequence &&
                         sequence - answered < LEASE_HEARTBEATS;

            RC_ASSERT((result == LEASE_STALE) == (epoch < newest));
            newest = std::max(newest, epoch);
            if (result != LEASE_STALE) {
                RC_ASSERT((result == LEASE_RENEWED) == known);
            }
            if (result == LEASE_RENEWED) {
                uint64_t end = timespec_to_ms(sent[answered]) + ms;
                longest[epoch] = std::max(longest[epoch], end);
                granted = epoch;
            }
            uint64_t now = timespec_to_ms(clock.now);
            uint64_t end = granted ? longest[granted] : 0;
            RC_ASSERT(lease_get_remaining_ms(&lease) ==
                      (end > now ? end - now : 0));
        }
    }));
}

// Guards against messages of an older epoch that are accepted after a newer
// one, and against an older lease that outlasts the first one of the new
// epoch.
TEST(Lease, NewEpochReplacesOldGrants)
{
    fake_clock_t clock;
    lease_t lease;

    fake_clock_init(&clock);
    lease_init(&lease, &clock.clock);
    EXPECT_FALSE(lease_accept_epoch(&lease, 0));
    lease_note_heartbeat(&lease, 1);
    ASSERT_EQ(lease_renew(&lease, 5, 1, 15000), LEASE_RENEWED);
    EXPECT_TRUE(lease_accept_epoch(&lease, 9));
    EXPECT_FALSE(lease_accept_epoch(&lease, 5));
    lease_note_heartbeat(&lease, 2);
    ASSERT_EQ(lease_renew(&lease, 9, 2, 4000), LEASE_RENEWED);
    EXPECT_EQ(lease_get_remaining_ms(&lease), 4000U);
    fake_clock_advance_ms(&clock, 4000);
    EXPECT_FALSE(lease_is_live(&lease));
}

} // namespace
