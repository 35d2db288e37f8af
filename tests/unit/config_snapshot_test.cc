#include <gtest/gtest.h>

extern "C" {
#include "config/config_snapshot.h"
}

namespace {

bool
is_due(uint64_t next, uint64_t first, uint64_t covered)
{
    config_snapshot_view_t view = {next, first, covered};

    return config_snapshot_is_due(&view);
}

// Guards against snapshots without new records, and against the log trimming
// records that the newest snapshot does not cover.
TEST(ConfigSnapshot, IsDueAfterRecordsOrBeforeTrimming)
{
    EXPECT_FALSE(is_due(1, 1, 0));
    EXPECT_FALSE(is_due(500, 1, 0));
    EXPECT_TRUE(is_due(501, 1, 0));
    EXPECT_FALSE(is_due(501, 1, 500));
    EXPECT_FALSE(is_due(1000, 1, 500));
    EXPECT_TRUE(is_due(1001, 1, 500));
    /* 100 records are retained; the snapshot ends in their newer or older
       half */
    EXPECT_FALSE(is_due(301, 201, 260));
    EXPECT_TRUE(is_due(301, 201, 240));
    /* all records were trimmed */
    EXPECT_TRUE(is_due(301, 301, 299));
    EXPECT_FALSE(is_due(301, 301, 300));
    /* the log was not read yet */
    EXPECT_FALSE(is_due(1, 0, 0));
}

} // namespace
