#include <gtest/gtest.h>

extern "C" {
#include "scheduler/write_limit.h"
}

namespace {

enum {
    SLOW_BYTES_PER_MS = 250,   /* 2 Mbit/s */
    FAST_BYTES_PER_MS = 25000, /* 200 Mbit/s */
    STORE_MS = 240,            /* the slowest answer */
    MAX_BYTES = 1024 * 1024,
};

struct WriteLimit : public testing::Test {
    write_limit_t limit;

    WriteLimit()
    {
        write_limit_init(&limit);
    }
    /* Writes as much as the limit allows; returns how long it took. */
    int64_t
    write(size_t bytes_per_ms, int64_t store_ms)
    {
        int64_t took_ms = (int64_t)(limit.bytes / bytes_per_ms) + store_ms;

        write_limit_note_written(&limit, limit.bytes, took_ms);
        return took_ms;
    }
};

// Guards against writes that take a slow link so long that they are given up.
TEST_F(WriteLimit, KeepsWritesShortOnASlowLink)
{
    for (int i = 0; i < 20; i++) {
        EXPECT_LT(write(SLOW_BYTES_PER_MS, 4), 600);
    }
    for (int i = 0; i < 20; i++) {
        EXPECT_LT(write(SLOW_BYTES_PER_MS, STORE_MS), 600);
    }
}

// Guards against many short writes where a link carries long ones, and against
// a limit that stays low after an outage.
TEST_F(WriteLimit, GrowsOnAFastLink)
{
    for (int i = 0; i < 20; i++) {
        write_limit_note_timeout(&limit, limit.bytes);
    }
    EXPECT_GT(limit.bytes, 0U);
    for (int i = 0; i < 10; i++) {
        write(FAST_BYTES_PER_MS, 4);
    }
    EXPECT_EQ(limit.bytes, (size_t)MAX_BYTES);
}

// Guards against a limit that follows writes which say nothing of the link.
TEST_F(WriteLimit, TakesNoNoteOfSmallWrites)
{
    size_t before = limit.bytes;

    write_limit_note_written(&limit, 100, 4);
    write_limit_note_written(&limit, 100, 2000);
    write_limit_note_timeout(&limit, 100);
    EXPECT_EQ(limit.bytes, before);
}

} // namespace
