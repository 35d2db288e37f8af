/* Records of the operator's topic about evacuations, and what schedulers and
   agents make of them. */

#include <gtest/gtest.h>

#include "deployment.h"
#include "log_lines.h"

extern "C" {
#include "config_feed.h"
}

namespace {

enum {
    PORT = 860,
    SOON_MS = 3000,
};

const char *const TOPIC = "op";
const char *const KEY = "evacuate/dc";

struct ConfigFeed : public testing::Test {
    std::unique_ptr<Deployment> deployment;
    std::vector<config_feed_t *> feeds;

    void
    begin(int schedulers)
    {
        keep_log_lines();
        deployment = std::make_unique<Deployment>(schedulers, 1, PORT);
        for (auto &scheduler : deployment->schedulers) {
            feeds.push_back(config_feed_new(deployment->loop, clock_system(),
                                            &scheduler->view->base,
                                            scheduler->scheduler));
        }
        ASSERT_TRUE(deployment->wait([&] { return deployment->all_ready(); }));
    }
    void
    TearDown() override
    {
        for (auto *feed : feeds) {
            config_feed_free(feed);
        }
        deployment->run_ms(50); /* the views must outlive their last calls */
        deployment.reset();
    }
    /* Waits until an event has been logged so many times. */
    bool
    becomes(const std::string &event, size_t count)
    {
        return loop_wait(deployment->loop, SOON_MS,
                         [&] { return lines_of(event).size() == count; });
    }
    bool
    has_started(const std::string &id)
    {
        return deployment->count_starts(id + ".0.0.0") > 0;
    }
    void
    submit(int scheduler, const std::string &id)
    {
        EXPECT_EQ(
            deployment
                ->call(scheduler, JOB_VERB_SUBMIT, id, make_spec(id, {{}}))
                .outcome,
            (uint32_t)JOB_OUTCOME_DONE);
    }
};

// Guards against an evacuation that the records of the topic do not begin or
// end, and against records without effect that nobody hears of.
TEST_F(ConfigFeed, FollowsTheRecordsOfEvacuations)
{
    begin(1);
    FakeStore &store = deployment->store;

    store.put(TOPIC, "evacuate", "{}");
    store.put(TOPIC, "evacuate/", "{}");
    store.put(TOPIC, KEY, "[]");
    EXPECT_TRUE(becomes("evacuation-invalid", 2));
    EXPECT_TRUE(lines_of("evacuation-begun").empty());
    store.put(TOPIC, KEY, "{}");
    EXPECT_TRUE(becomes("evacuation-begun", 1));
    EXPECT_EQ(lines_of("evacuation-begun")[0],
              "evacuation-begun data_centre=dc offset=3");
    store.put(TOPIC, KEY, "{}");
    store.put(TOPIC, KEY, "x");
    EXPECT_TRUE(becomes("evacuation-invalid", 4));
    submit(0, "held");
    deployment->run_ms(300);
    EXPECT_FALSE(has_started("held"));
    store.remove(TOPIC, KEY);
    EXPECT_TRUE(becomes("evacuation-ended", 1));
    EXPECT_TRUE(deployment->wait_state(0, "held", SCHED_JOB_COMPLETED));
    EXPECT_EQ(lines_of("evacuation-begun").size(), 1U);
    EXPECT_EQ(lines_of("evacuation-invalid").size(), 4U);
}

// Guards against an evacuation that lasts for ever, as its end was dropped
// from the history before a scheduler read it, and against one that a listing
// ends.
TEST_F(ConfigFeed, TakesOverANewListing)
{
    begin(1);
    FakeStore &store = deployment->store;
    FakeStoreView &view = *deployment->schedulers[0]->view;

    store.put(TOPIC, KEY, "{}");
    store.put(TOPIC, "evacuate/a", "{}");
    store.put(TOPIC, "evacuate/b", "{}");
    ASSERT_TRUE(becomes("evacuation-begun", 3));
    submit(0, "held");
    view.refuse = true;
    deployment->run_ms(800); /* longer than a read waits */
    store.remove(TOPIC, KEY);
    store.put(TOPIC, "evacuate/b", "x");
    store.put(TOPIC, "evacuate/c", "{}");
    store.topics[TOPIC].first = store.topics[TOPIC].records.size();
    view.refuse = false;
    EXPECT_TRUE(becomes("evacuation-begun", 4));
    ASSERT_TRUE(becomes("evacuation-ended", 1));
    EXPECT_NE(lines_of("evacuation-ended")[0].find("data_centre=dc "),
              std::string::npos);
    EXPECT_TRUE(deployment->wait_state(0, "held", SCHED_JOB_COMPLETED));
}

// Guards against a leader that starts work in a data centre whose evacuation
// its predecessor knew of.
TEST_F(ConfigFeed, HoldsUnderTheNextLeader)
{
    begin(2);
    int leader = deployment->leader_index();

    deployment->store.put(TOPIC, KEY, "{}");
    ASSERT_TRUE(becomes("evacuation-begun", 2));
    submit(1 - leader, "held");
    config_feed_free(feeds[leader]);
    feeds[leader] = nullptr;
    deployment->kill_scheduler(leader);
    ASSERT_TRUE(deployment->wait(
        [&] { return deployment->leader_index() == 1 - leader; }));
    submit(1 - leader, "next");
    deployment->run_ms(1000);
    EXPECT_FALSE(has_started("held"));
    EXPECT_FALSE(has_started("next"));
    deployment->store.put(TOPIC, KEY, ""); /* removed, as some list it */
    EXPECT_TRUE(
        deployment->wait_state(1 - leader, "held", SCHED_JOB_COMPLETED));
    EXPECT_TRUE(
        deployment->wait_state(1 - leader, "next", SCHED_JOB_COMPLETED));
}

} // namespace
