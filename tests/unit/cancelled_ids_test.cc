#include <gtest/gtest.h>

extern "C" {
#include "scheduler/cancelled_ids.h"
}

namespace {

// Guards against memory that grows with each cancelled id, or is not free for
// new ones after the old ones have expired.
TEST(CancelledIds, RemembersABoundedNumberForSomeTime)
{
    cancelled_ids_t *ids = cancelled_ids_new();
    int added = 0;

    while (cancelled_ids_add(ids, std::to_string(added).c_str(), 1000)) {
        added++;
    }
    EXPECT_EQ(added, 16384);
    EXPECT_TRUE(cancelled_ids_contains(ids, "0", 10999));
    EXPECT_FALSE(cancelled_ids_contains(ids, "0", 11000));
    EXPECT_FALSE(cancelled_ids_contains(ids, "x", 1000));
    EXPECT_TRUE(cancelled_ids_add(ids, "x", 11000));
    EXPECT_TRUE(cancelled_ids_contains(ids, "x", 11000));
    cancelled_ids_free(ids);
}

} // namespace
