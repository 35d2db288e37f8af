#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>
#include <string>
#include <vector>

extern "C" {
#include "entry/directory.h"
}

#include "fake_clock.h"

namespace {

struct Directory {
    fake_clock_t clock;
    directory_t *directory;

    Directory()
    {
        directory_opts_t opts = {};

        fake_clock_init(&clock);
        opts.clock = &clock.clock;
        opts.own_address = "127.0.0.1:1000";
        opts.expiry_ms = 30000;
        directory = directory_new(&opts);
    }

    ~Directory()
    {
        directory_free(directory);
    }

    bool
    announce(int port, uint64_t incarnation, bool leaving)
    {
        Teasel__EntryAnnounce announce = TEASEL__ENTRY_ANNOUNCE__INIT;
        std::string address = "127.0.0.1:" + std::to_string(port);

        announce.peer_address = address.data();
        announce.incarnation = incarnation;
        announce.leaving = leaving;
        return directory_handle_announce(directory, &announce);
    }

    std::set<std::string>
    list(directory_scope_t scope = DIRECTORY_ALL)
    {
        std::set<std::string> out;
        g_auto(GStrv) entries = directory_list(directory, scope);

        for (char **entry = entries; *entry; entry++) {
            EXPECT_TRUE(out.insert(*entry).second);
        }
        return out;
    }
};

// Guards against agents that are not notified of a change of the list, and
// against a late announcement that lists a leaving entry again.
RC_GTEST_PROP(Directory, ReportsEachChange, (std::vector<uint16_t> steps))
{
    Directory fixture;
    std::set<std::string> before = fixture.list();
    uint64_t newest[4] = {};
    bool left[4] = {};

    for (uint16_t step : steps) {
        int entry = step % 4;
        uint64_t incarnation = step / 4 % 4 + 1;
        bool leaving = step / 16 % 2 != 0;
        bool changed = fixture.announce(1000 + entry, incarnation, leaving);
        std::set<std::string> after = fixture.list();

        RC_ASSERT(changed == (before != after));
        if (incarnation > newest[entry]) {
            newest[entry] = incarnation;
            left[entry] = leaving;
        }
        else if (incarnation == newest[entry]) {
            left[entry] = left[entry] || leaving;
        }
        bool listed =
            after.count("127.0.0.1:" + std::to_string(1000 + entry)) == 1;
        RC_ASSERT(listed == (entry == 0 || !left[entry]));
        before = after;
    }
}

// Guards against crashed entries that stay listed, also when two entries keep
// reporting them to each other, and against listing an invalid address.
TEST(Directory, RemovesEntriesThatStopAnnouncing)
{
    Directory fixture;

    EXPECT_TRUE(fixture.announce(1001, 1, false));
    EXPECT_FALSE(directory_add_address(fixture.directory, "nowhere"));
    EXPECT_TRUE(directory_add_address(fixture.directory, "127.0.0.1:1002"));
    EXPECT_EQ(fixture.list(DIRECTORY_ANNOUNCED).count("127.0.0.1:1002"), 0U);
    fake_clock_advance_ms(&fixture.clock, 20000);
    fixture.announce(1001, 1, false);
    fake_clock_advance_ms(&fixture.clock, 10000);
    EXPECT_TRUE(directory_expire(fixture.directory));
    EXPECT_EQ(fixture.list(),
              (std::set<std::string>{"127.0.0.1:1000", "127.0.0.1:1001"}));
}

} // namespace
