#include <gtest/gtest.h>

#include <map>
#include <string>

extern "C" {
#include "sched/sched.h"
#include "scheduler/cancelled_ids.h"
}

namespace {

enum {
    RETAIN_MS = 10000
};

struct CancelledIds : public testing::Test {
    cancelled_ids_t *ids = cancelled_ids_new(RETAIN_MS);
    std::map<std::string, std::string> records; /* key -> value */

    ~CancelledIds()
    {
        cancelled_ids_free(ids);
    }
    /* Takes the changes and applies them to the records. */
    size_t
    take(int64_t now_ms)
    {
        g_autoptr(GPtrArray) changes = sched_changes_new();

        cancelled_ids_take_changes(ids, now_ms, changes);
        for (guint i = 0; i < changes->len; i++) {
            auto *change =
                static_cast<sched_change_t *>(g_ptr_array_index(changes, i));

            records.erase(change->key);
            if (change->value != nullptr) {
                records[change->key] =
                    std::string(reinterpret_cast<char *>(change->value->data),
                                change->value->len);
            }
        }
        return changes->len;
    }
    /* Writes until nothing is left to write. */
    void
    write_all(int64_t now_ms)
    {
        while (take(now_ms) > 0) {
            cancelled_ids_commit(ids);
        }
    }
    bool
    load(const std::string &key, const std::string &value)
    {
        store_record_t record = {};

        record.key = key.c_str();
        record.value = reinterpret_cast<const uint8_t *>(value.data());
        record.length = value.size();
        return cancelled_ids_load(ids, &record);
    }
};

// Guards against memory that grows with each cancelled id, or is not free for
// new ones after the old ones have expired.
TEST_F(CancelledIds, RemembersABoundedNumberForSomeTime)
{
    int added = 0;

    while (cancelled_ids_add(ids, std::to_string(added).c_str(), 1000)) {
        added++;
    }
    EXPECT_EQ(added, 16384);
    EXPECT_FALSE(cancelled_ids_contains(ids, "x"));
    EXPECT_TRUE(cancelled_ids_add(ids, "0", 1000));
    write_all(10999);
    EXPECT_TRUE(cancelled_ids_contains(ids, "0"));
    EXPECT_EQ(records.size(), 16384U);
    write_all(11000);
    EXPECT_FALSE(cancelled_ids_contains(ids, "0"));
    EXPECT_TRUE(records.empty());
    EXPECT_TRUE(cancelled_ids_add(ids, "x", 11000));
    EXPECT_TRUE(cancelled_ids_contains(ids, "x"));
}

// Guards against a cancelling that is answered before it is stored.
TEST_F(CancelledIds, IsStoredOnlyAfterTheCommit)
{
    cancelled_ids_add(ids, "x", 1000);
    EXPECT_FALSE(cancelled_ids_is_stored(ids, "x"));
    EXPECT_EQ(take(1000), 1U);
    EXPECT_FALSE(cancelled_ids_is_stored(ids, "x"));
    cancelled_ids_commit(ids);
    EXPECT_TRUE(cancelled_ids_is_stored(ids, "x"));
    EXPECT_FALSE(cancelled_ids_is_stored(ids, "y"));
}

// Guards against an id that is lost if it is cancelled again while its record
// is being written or removed.
TEST_F(CancelledIds, KeepsAnIdThatIsCancelledAgainDuringAWrite)
{
    cancelled_ids_add(ids, "x", 1000);
    EXPECT_EQ(take(1000), 1U);
    cancelled_ids_add(ids, "x", 2000);
    cancelled_ids_commit(ids);
    EXPECT_FALSE(cancelled_ids_is_stored(ids, "x"));
    write_all(2000);
    EXPECT_TRUE(cancelled_ids_is_stored(ids, "x"));
    EXPECT_EQ(take(2000 + RETAIN_MS), 1U);
    EXPECT_TRUE(records.empty());
    cancelled_ids_add(ids, "x", 2000 + RETAIN_MS);
    cancelled_ids_commit(ids);
    EXPECT_TRUE(cancelled_ids_contains(ids, "x"));
    write_all(2000 + RETAIN_MS);
    EXPECT_EQ(records.size(), 1U);
}

// Guards against ids that a later leader doesn't know, or retains for ever.
TEST_F(CancelledIds, LoadsWhatWasStored)
{
    cancelled_ids_add(ids, "x", 1000);
    write_all(1000);
    cancelled_ids_free(ids);
    ids = cancelled_ids_new(RETAIN_MS);
    auto stored = records;
    for (auto &[key, value] : stored) {
        EXPECT_TRUE(load(key, value));
    }
    EXPECT_TRUE(cancelled_ids_is_stored(ids, "x"));
    EXPECT_EQ(take(1000 + RETAIN_MS - 1), 0U);
    EXPECT_EQ(take(1000 + RETAIN_MS), 1U);
    EXPECT_FALSE(load(CANCELLED_KEY_PREFIX "y", "\xff\xff"));
    EXPECT_FALSE(cancelled_ids_contains(ids, "y"));
}

// Guards against records that are retained too long behind one whose leader
// had a wall clock that was ahead.
TEST_F(CancelledIds, RemovesRecordsBehindOneOfAClockThatWasAhead)
{
    cancelled_ids_add(ids, "ahead", 3600000);
    write_all(3600000);
    cancelled_ids_add(ids, "x", 1000);
    write_all(1000);
    write_all(1000 + RETAIN_MS);
    EXPECT_FALSE(cancelled_ids_contains(ids, "x"));
}

} // namespace
