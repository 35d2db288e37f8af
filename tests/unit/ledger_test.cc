#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <vector>

extern "C" {
#include "request/ledger.h"
}

namespace {

ledger_amount_t
amount(uint64_t a, uint64_t b, uint64_t c)
{
    return {{a, b, c, 0, 0}};
}

// Guards against reservations beyond the capacity, also with amounts near
// UINT64_MAX, and against partial reservations.
TEST(Ledger, NeverExceedsCapacity)
{
    EXPECT_TRUE(rc::check([] {
        ledger_t ledger;
        auto capacity = amount(8, 64, 32000);
        std::vector<ledger_amount_t> held;

        ledger_init(&ledger, &capacity);
        for (int step = 0; step < 50; step++) {
            ledger_amount_t before = ledger.reserved;

            if (!held.empty() && *rc::gen::inRange(0, 3) == 0) {
                RC_ASSERT(ledger_release(&ledger, &held.back()));
                held.pop_back();
                continue;
            }
            ledger_amount_t wanted =
                amount(*rc::gen::inRange(0, 4), *rc::gen::inRange(0, 20),
                       *rc::gen::oneOf(rc::gen::inRange<uint64_t>(0, 20000),
                                       rc::gen::just(UINT64_MAX),
                                       rc::gen::just(UINT64_MAX - 100)));
            if (ledger_reserve(&ledger, &wanted, nullptr)) {
                held.push_back(wanted);
            }
            else {
                RC_ASSERT(memcmp(&before, &ledger.reserved, sizeof(before)) ==
                          0);
            }
            for (int kind = 0; kind < LEDGER_KIND_COUNT; kind++) {
                uint64_t sum = 0;

                for (auto &one : held) {
                    sum += one.units[kind];
                }
                RC_ASSERT(sum == ledger.reserved.units[kind]);
                RC_ASSERT(sum <= capacity.units[kind]);
            }
        }
    }));
}

// Guards against the free amount wrapping around when the capacity shrinks
// below the reservations, and against releasing more than was reserved.
TEST(Ledger, GrantsNothingWhileOvercommitted)
{
    ledger_t ledger;
    auto capacity = amount(8, 8, 8);
    auto smaller = amount(4, 4, 4);
    auto six = amount(6, 6, 6);
    auto one = amount(0, 0, 1);
    ledger_kind_t missing = LEDGER_SLOTS;

    ledger_init(&ledger, &capacity);
    ASSERT_TRUE(ledger_reserve(&ledger, &six, nullptr));
    ledger_set_capacity(&ledger, &smaller);
    EXPECT_EQ(ledger_get_free(&ledger, LEDGER_CPU_MILLI), 0U);
    EXPECT_FALSE(ledger_reserve(&ledger, &one, &missing));
    EXPECT_STREQ(ledger_kind_to_string(missing), "cpu_milli");
    EXPECT_FALSE(ledger_release(&ledger, &capacity));
    EXPECT_TRUE(ledger_release(&ledger, &six));
    EXPECT_TRUE(ledger_reserve(&ledger, &one, nullptr));
}

} // namespace
