#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <string>
#include <vector>

extern "C" {
#include "request/route.h"
}

#include "fake_clock.h"

namespace {

struct Table {
    fake_clock_t clock;
    member_table_t *table;
    std::vector<int> connections = std::vector<int>(64);

    Table()
    {
        member_table_opts_t opts = {};

        fake_clock_init(&clock);
        opts.clock = &clock.clock;
        opts.data_centre = "accra";
        opts.fresh_ms = 2000;
        opts.keep_ms = 60000;
        opts.outlier = {5, 1000, 30000};
        table = member_table_new(&opts);
    }

    ~Table()
    {
        member_table_free(table);
    }

    member_t *
    join(int id, uint64_t incarnation, const char *data_centre,
         uint32_t service_time_us, int connection, void **replaced)
    {
        static const char *const services[] = {"preview"};
        std::string name = "agent-" + std::to_string(id);
        member_hello_t hello = {};

        hello.agent_id = name.c_str();
        hello.incarnation = incarnation;
        hello.data_centre = data_centre;
        hello.rack = "r1";
        hello.services = services;
        hello.service_count = 1;
        hello.load.service_time_us = service_time_us;
        hello.load.slots = 8;
        hello.load.sequence = 1;
        return member_table_join(table, &hello, &connections[connection],
                                 replaced);
    }

    member_t *
    add(int id, const char *data_centre, uint32_t service_time_us)
    {
        void *replaced;

        return join(id, 1, data_centre, service_time_us, id, &replaced);
    }
};

struct Router : public Table {
    route_t *route;
    route_query_t query = {};

    explicit Router(const char *policy)
    {
        route_opts_t opts = {};

        opts.table = table;
        opts.policy = policy;
        opts.link_cost_us = 10000;
        opts.seed = 20261204;
        route = route_new(&opts);
        query.service = "preview";
    }

    ~Router()
    {
        route_free(route);
    }

    member_t *
    choose()
    {
        query.now = clock.now;
        return route_choose(route, &query);
    }
};

// Guards against an older incarnation replacing a newer one.
RC_GTEST_PROP(Member, NewestIncarnationStays,
              (std::vector<uint8_t> incarnations))
{
    Table fixture;
    uint64_t newest = 0;
    void *live = nullptr;

    for (size_t i = 0; i < incarnations.size(); i++) {
        void *replaced = nullptr;
        int connection = (int)(i % 64);
        member_t *member = fixture.join(1, incarnations[i], "accra", 1000,
                                        connection, &replaced);

        bool joined = member != nullptr;

        RC_ASSERT(joined == (incarnations[i] >= newest));
        if (member != nullptr) {
            bool same = live == &fixture.connections[connection];
            bool closed = replaced == live;

            RC_ASSERT(closed || same);
            live = &fixture.connections[connection];
            newest = incarnations[i];
            bool connected = member->connection == live;
            RC_ASSERT(connected);
        }
    }
}

// Guards against a delayed report hiding that a member is leaving.
TEST(Member, IgnoresOlderReports)
{
    Table fixture;
    member_t *member = fixture.add(1, "accra", 1000);
    member_load_t load = {};

    load.sequence = 5;
    load.leaving = true;
    ASSERT_TRUE(member_table_update_load(fixture.table, member, &load));
    load.sequence = 4;
    load.leaving = false;
    EXPECT_FALSE(member_table_update_load(fixture.table, member, &load));
    EXPECT_FALSE(member_is_usable(fixture.table, member, fixture.clock.now));
}

// Guards against requests to members without recent reports, and to leaving,
// drained or disconnected members.
TEST(Member, IsUsableOnlyWhileFreshAndStaying)
{
    Table fixture;
    member_t *member = fixture.add(1, "accra", 1000);
    auto usable = [&] {
        return member_is_usable(fixture.table, member, fixture.clock.now);
    };

    EXPECT_TRUE(usable());
    fake_clock_advance_ms(&fixture.clock, 2000);
    EXPECT_FALSE(usable());
    member = fixture.add(1, "accra", 1000);
    EXPECT_TRUE(usable());
    member->drained = true;
    EXPECT_FALSE(usable());
    member->drained = false;
    member->has_left = true;
    EXPECT_FALSE(usable());
    void *replaced;
    member = fixture.join(1, 2, "accra", 1000, 2, &replaced);
    EXPECT_EQ(replaced, &fixture.connections[1]);
    EXPECT_TRUE(usable());
    member_table_disconnect(fixture.table, member);
    EXPECT_FALSE(usable());
    fake_clock_advance_ms(&fixture.clock, 59999);
    member_table_expire(fixture.table);
    EXPECT_NE(member_table_find(fixture.table, "agent-1"), nullptr);
    fake_clock_advance_ms(&fixture.clock, 1);
    member_table_expire(fixture.table);
    EXPECT_EQ(member_table_find(fixture.table, "agent-1"), nullptr);
}

// Guards against a policy choosing an unusable member, or none although one is
// usable.
RC_GTEST_PROP(Route, FindsUsableMembers, (std::vector<uint8_t> states))
{
    for (const char *const *name = route_policy_names; *name; name++) {
        Router fixture(*name);
        unsigned usable = 0;

        for (size_t i = 0; i < states.size() && i < 64; i++) {
            member_t *member = fixture.add(
                (int)i, states[i] & 2 ? "accra" : "tema", 1000 + states[i]);

            member->has_left = (states[i] & 1) != 0;
            usable += !member->has_left;
        }
        for (int i = 0; i < 10; i++) {
            member_t *member = fixture.choose();

            bool found = member != nullptr;
            bool leaving = found && member->has_left;

            RC_ASSERT(found == (usable > 0));
            RC_ASSERT(!leaving);
        }
    }
}

// Guards against an equal share of requests for a slow executor: the cost
// includes the service time.
TEST(Route, SendsLessToSlowMember)
{
    Router fixture("p3c");
    std::map<std::string, int> chosen;

    for (int i = 0; i < 11; i++) {
        fixture.add(i, "accra", i == 0 ? 40000 : 10000);
    }
    for (int i = 0; i < 1000; i++) {
        member_t *member = fixture.choose();

        member->in_flight++;
        chosen[member->agent_id]++;
    }
    EXPECT_LT(chosen["agent-0"] * 2, chosen["agent-1"]);
}

// Guards against needless requests to another data centre, and against an
// overloaded data centre while another one is idle.
TEST(Route, SpillsOnlyWhenTheLinkIsCheaper)
{
    Router fixture("p3c");
    member_t *local = fixture.add(1, "accra", 10000);
    member_t *remote = fixture.add(2, "tema", 10000);

    local->in_flight = 7;
    EXPECT_EQ(fixture.choose(), local);
    local->in_flight = 40;
    EXPECT_EQ(fixture.choose(), remote);
    remote->has_left = true;
    EXPECT_EQ(fixture.choose(), local);
}

// Guards against a retry at the member that has just failed.
TEST(Route, PrefersUntriedMembers)
{
    Router fixture("p3c");
    member_t *first = fixture.add(1, "accra", 10000);
    member_t *second = fixture.add(2, "accra", 90000);
    const member_t *tried[] = {first};

    fixture.query.tried = tried;
    fixture.query.tried_count = 1;
    EXPECT_EQ(fixture.choose(), second);
    second->has_left = true;
    EXPECT_EQ(fixture.choose(), first);
}

// Guards against an agent that has just started and gets all requests, until
// it refuses most of them: its service time is not known yet.
TEST(Router, SendsANewMemberNoMoreThanTheOthers)
{
    Router fixture("p3c");
    std::map<std::string, int> chosen;

    for (int i = 0; i < 3; i++) {
        fixture.add(i, "accra", i == 0 ? 0 : 20000);
    }
    for (int i = 0; i < 60; i++) {
        member_t *member = fixture.choose();

        member->in_flight++;
        chosen[member->agent_id]++;
    }
    EXPECT_EQ(chosen["agent-0"], 20);
}

} // namespace
