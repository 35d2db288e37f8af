#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <list>

extern "C" {
#include "request/admission.h"
}

#include "fake_clock.h"

namespace {

struct Fixture {
    fake_clock_t clock;
    admission_t admission;

    Fixture(size_t limit, size_t max_queue)
    {
        fake_clock_init(&clock);
        admission_opts_t opts = {&clock.clock, limit, max_queue};
        admission_init(&admission, &opts);
    }

    admission_verdict_t
    offer(admission_item_t *item, int64_t ms, error_kind_t *kind)
    {
        item->deadline = timespec_add_ms(clock.now, ms);
        return admission_offer(&admission, item, kind);
    }
};

// Guards against more running or waiting items than allowed, against items
// that start after their deadline or out of deadline order, and against lost
// items.
TEST(Admission, KeepsLimitsAndOrder)
{
    EXPECT_TRUE(rc::check([] {
        Fixture fixture(2, 4);
        admission_t *admission = &fixture.admission;
        std::list<admission_item_t> items;
        size_t running = 0;
        size_t waiting = 0;
        error_kind_t kind;

        for (int step = 0; step < 60; step++) {
            int choice = *rc::gen::inRange(0, 4);

            fake_clock_advance_ms(&fixture.clock, *rc::gen::inRange(0, 30));
            if (choice == 0 && running > 0) {
                admission_finish(admission, *rc::gen::inRange(0, 20000));
                running--;
            }
            else if (choice > 1) {
                items.emplace_back();
                auto verdict = fixture.offer(
                    &items.back(), *rc::gen::inRange(-5, 200), &kind);
                running += verdict == ADMISSION_START;
                waiting += verdict == ADMISSION_QUEUED;
            }
            bool expired;
            struct timespec last = {};
            while (auto *item = admission_next(admission, &expired)) {
                waiting--;
                running += !expired;
                RC_ASSERT(expired == !timespec_is_before(fixture.clock.now,
                                                         item->deadline));
                RC_ASSERT(!timespec_is_before(item->deadline, last));
                last = item->deadline;
            }
            RC_ASSERT(running <= 2U);
            RC_ASSERT(waiting <= 4U);
            RC_ASSERT(admission->running == running);
            RC_ASSERT(admission->queued == waiting);
            RC_ASSERT(waiting == 0U || running == 2U);
        }
    }));
}

// Guards against queueing items that cannot start in time, and against
// refusing items because of a long average service time although a slot is
// free.
TEST(Admission, RefusesItemsThatCannotStartInTime)
{
    Fixture fixture(1, 10);
    admission_item_t items[4];
    error_kind_t kind;

    ASSERT_EQ(fixture.offer(&items[0], 1000, &kind), ADMISSION_START);
    admission_finish(&fixture.admission, 100 * 1000);
    ASSERT_EQ(fixture.offer(&items[0], 10, &kind), ADMISSION_START);
    EXPECT_EQ(fixture.offer(&items[1], 90, &kind), ADMISSION_REFUSED);
    EXPECT_EQ(kind, ERROR_OVERLOADED);
    EXPECT_EQ(fixture.offer(&items[1], 150, &kind), ADMISSION_QUEUED);
    EXPECT_EQ(fixture.offer(&items[2], 180, &kind), ADMISSION_REFUSED);
    EXPECT_EQ(fixture.offer(&items[2], 0, &kind), ADMISSION_REFUSED);
    EXPECT_EQ(kind, ERROR_EXPIRED);
    admission_cancel(&fixture.admission, &items[1]);
    EXPECT_EQ(fixture.admission.queued, 0U);
    admission_set_leaving(&fixture.admission, true);
    EXPECT_EQ(fixture.offer(&items[3], 900, &kind), ADMISSION_REFUSED);
    EXPECT_EQ(kind, ERROR_LEAVING);
}

} // namespace
