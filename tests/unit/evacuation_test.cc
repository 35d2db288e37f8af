/* The set of evacuated data centres, and its records. */

#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C" {
#include "sched/evacuation.h"
}

namespace {

struct Evacuation : public testing::Test {
    evacuation_t *set = evacuation_new();

    void
    TearDown() override
    {
        evacuation_free(set);
    }
    evacuation_change_t
    begin(const char *name, uint64_t offset, bool listed = false)
    {
        return evacuation_begin(set, name, offset, listed);
    }
    std::vector<std::string>
    finish_listing()
    {
        g_autoptr(GPtrArray) ended = evacuation_finish_listing(set);
        std::vector<std::string> names;

        for (guint i = 0; i < ended->len; i++) {
            names.emplace_back(
                static_cast<char *>(g_ptr_array_index(ended, i)));
        }
        return names;
    }
};

// Guards against evacuations that end each other.
TEST_F(Evacuation, HoldsSeveralDataCentres)
{
    EXPECT_EQ(begin("a", 1), EVACUATION_BEGUN);
    EXPECT_EQ(begin("b", 2), EVACUATION_BEGUN);
    EXPECT_TRUE(evacuation_covers(set, "a"));
    EXPECT_FALSE(evacuation_covers(set, "c"));
    EXPECT_FALSE(evacuation_covers(set, nullptr));
    EXPECT_EQ(evacuation_end(set, "a", 3), EVACUATION_ENDED);
    EXPECT_FALSE(evacuation_covers(set, "a"));
    EXPECT_TRUE(evacuation_covers(set, "b"));
    EXPECT_EQ(evacuation_count(set), 1U);
}

// Guards against a second record that is taken for a new evacuation, and
// against a record that is delivered again and reported as a second one.
TEST_F(Evacuation, TellsFurtherRecordsFromRepeatedOnes)
{
    begin("a", 5);
    EXPECT_EQ(begin("a", 5), EVACUATION_UNCHANGED);
    EXPECT_EQ(begin("a", 7), EVACUATION_REPEATED);
    EXPECT_EQ(begin("a", 7), EVACUATION_UNCHANGED);
    EXPECT_EQ(evacuation_get_offset(set, 0), 5U);
}

// Guards against an evacuation that is withdrawn by an older record, which is
// read after a listing that had the newer one.
TEST_F(Evacuation, IgnoresAnEndThatIsOutOfDate)
{
    begin("a", 12, true);
    finish_listing();
    EXPECT_EQ(begin("a", 10), EVACUATION_UNCHANGED);
    EXPECT_EQ(evacuation_end(set, "a", 11), EVACUATION_UNCHANGED);
    EXPECT_TRUE(evacuation_covers(set, "a"));
    EXPECT_EQ(evacuation_end(set, "b", 13), EVACUATION_UNCHANGED);
}

// Guards against an evacuation that lasts for ever, as the record that ended
// it was dropped from the history.
TEST_F(Evacuation, EndsWhatANewListingLacks)
{
    EXPECT_FALSE(evacuation_is_known(set));
    EXPECT_TRUE(finish_listing().empty());
    EXPECT_TRUE(evacuation_is_known(set));
    begin("a", 1);
    begin("b", 2);
    begin("c", 3);
    begin("a", 4, true);
    evacuation_keep(set, "c");
    begin("d", 5, true);
    EXPECT_EQ(finish_listing(), std::vector<std::string>({"b"}));
    EXPECT_TRUE(evacuation_covers(set, "a"));
    EXPECT_TRUE(evacuation_covers(set, "c"));
    EXPECT_TRUE(evacuation_covers(set, "d"));
    EXPECT_EQ(finish_listing().size(), 3U);
    EXPECT_EQ(evacuation_count(set), 0U);
}

// Guards against a deployment without an operator's topic that waits for one.
TEST(EvacuationOfNone, CoversNothing)
{
    EXPECT_TRUE(evacuation_is_known(nullptr));
    EXPECT_FALSE(evacuation_covers(nullptr, "a"));
    EXPECT_EQ(evacuation_count(nullptr), 0U);
}

} // namespace
