/* A follower whose owner frees it inside one of its callbacks. */

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "fake_store.h"

extern "C" {
#include "base/clock.h"
#include "store/follower.h"
}

namespace {

constexpr char TOPIC[] = "topic";

enum {
    LIMIT_MS = 5000,
    QUIET_MS = 200, /* several times the first retry interval */
};

struct Owner {
    loop_t *loop = loop_new();
    FakeStore store;
    std::unique_ptr<FakeStoreView> view =
        std::make_unique<FakeStoreView>(&store, loop);
    follower_t *follower;
    std::string last; /* callback in which the follower is freed */
    std::vector<std::string> calls;

    explicit Owner(std::string last) : last(std::move(last))
    {
        follower_opts_t opts = {};

        store.put(TOPIC, "a", "1");
        store.put(TOPIC, "b", "2");
        opts.loop = loop;
        opts.clock = clock_system();
        opts.store = &view->base;
        opts.topic = TOPIC;
        opts.wait_ms = 1000;
        opts.on_record = [](const store_record_t *, void *data) {
            static_cast<Owner *>(data)->note("record");
        };
        opts.on_caught_up = [](void *data) {
            static_cast<Owner *>(data)->note("caught up");
        };
        opts.on_available = [](bool available, void *data) {
            static_cast<Owner *>(data)->note(available ? "back" : "lost");
        };
        opts.data = this;
        follower = follower_new(&opts);
    }
    Owner(const Owner &) = delete;
    ~Owner()
    {
        follower_free(follower);
        view.reset();
        loop_free(loop);
    }
    void
    note(const std::string &call)
    {
        calls.push_back(call);
        if (call == last) {
            follower_free(follower);
            follower = nullptr;
        }
    }
    /* Runs the loop until the owner was called this often, but not for longer
       than the limit. */
    void
    run(size_t expected_calls, int64_t limit_ms)
    {
        auto end_us = g_get_monotonic_time() + limit_ms * 1000;

        while (calls.size() < expected_calls &&
               g_get_monotonic_time() < end_us) {
            loop_run_once(loop, 10);
        }
    }
};

// Guards against a follower that reads on, and calls its owner, after the
// owner has freed it inside a callback.
TEST(Follower, DoesNothingAfterItWasFreedInACallback)
{
    const std::vector<std::string> all = {"lost", "back", "record", "record",
                                          "caught up"};

    for (const char *last : {"lost", "back", "record", "caught up"}) {
        Owner owner(last);
        std::vector<std::string> expected(
            all.begin(), std::find(all.begin(), all.end(), last) + 1);

        owner.view->refuse = true;
        owner.run(1, LIMIT_MS);
        owner.view->refuse = false;
        owner.run(expected.size(), LIMIT_MS);
        owner.run(SIZE_MAX, QUIET_MS);
        EXPECT_EQ(owner.calls, expected);
        EXPECT_TRUE(owner.view->calls.empty()) << last;
        EXPECT_TRUE(owner.view->readers.empty()) << last;
    }
}

} // namespace
