#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <vector>

extern "C" {
#include "batch/pressure.h"
}

#include "fake_clock.h"

namespace {

struct Fixture {
    fake_clock_t clock;
    pressure_t pressure;
    std::vector<pressure_task_t> tasks;

    Fixture(uint32_t tail_weight, uint32_t eviction_weight)
    {
        fake_clock_init(&clock);
        pressure_opts_t opts = {&clock.clock, 70,          80,
                                90,           150,         10,
                                2000,         tail_weight, eviction_weight};
        pressure_init(&pressure, &opts);
    }

    bool
    update(uint32_t percent, pressure_step_t *step)
    {
        fake_clock_advance_ms(&clock, 1000);
        bool stepped = pressure_update(&pressure, percent, tasks.data(),
                                       tasks.size(), step);
        if (stepped) {
            tasks[step->index].level = step->level;
        }
        return stepped;
    }
};

// Guards against skipped or repeated steps, a step within hold_ms of the last
// one, suspension or eviction of a task while another is at a lower level, and
// a step for a task with more unsaved work than another at its level.
TEST(Pressure, StepsInOrder)
{
    EXPECT_TRUE(rc::check([] {
        Fixture fixture(50, 50);
        int count = *rc::gen::inRange(1, 5);
        int since_step = 100;

        for (int i = 0; i < count; i++) {
            fixture.tasks.push_back(
                {PRESSURE_NONE, *rc::gen::inRange<uint64_t>(0, 100000)});
        }
        for (int i = 0; i < 80; i++) {
            auto before = fixture.tasks;
            pressure_step_t step;

            since_step++;
            if (!fixture.update(*rc::gen::inRange(0, 250), &step)) {
                continue;
            }
            const auto &old = before[step.index];
            bool up = step.level > old.level;

            RC_ASSERT(since_step >= 2);
            since_step = 0;
            RC_ASSERT(step.level == old.level + (up ? 1 : -1));
            RC_ASSERT(old.level != PRESSURE_EVICTED);
            for (const auto &other : before) {
                if (other.level == PRESSURE_EVICTED) {
                    continue;
                }
                const auto &first = up ? old : other;
                const auto &second = up ? other : old;
                RC_ASSERT(first.level <= second.level);
                RC_ASSERT(other.level != old.level ||
                          first.unsaved_ms <= second.unsaved_ms);
            }
        }
    }));
}

// Guards against oscillation while the load stays within the hysteresis.
TEST(Pressure, HoldsWithinHysteresis)
{
    Fixture fixture(50, 50);
    pressure_step_t step;

    fixture.tasks = {{PRESSURE_NONE, 0}};
    for (int i = 0; i < 40; i++) {
        fixture.update(75, &step);
    }
    EXPECT_EQ(fixture.tasks[0].level, PRESSURE_THROTTLED);
    for (int i = 0; i < 40; i++) {
        EXPECT_FALSE(fixture.update(i % 2 ? 62 : 74, &step));
    }
    for (int i = 0; i < 40; i++) {
        fixture.update(50, &step);
    }
    EXPECT_EQ(fixture.tasks[0].level, PRESSURE_NONE);
}

// Guards against tasks that are suspended or evicted long after a deep queue
// of requests has been served.
TEST(Pressure, OverloadEndsSoonAfterTheQueue)
{
    Fixture fixture(50, 50);
    pressure_step_t step;

    fixture.tasks.resize(20, {PRESSURE_NONE, 0});
    for (int i = 0; i < 20; i++) {
        fixture.update(900, &step);
    }
    for (int i = 0; i < 3; i++) {
        fixture.update(0, &step);
    }
    for (int i = 0; i < 20; i++) {
        if (fixture.update(0, &step)) {
            EXPECT_EQ(step.level, PRESSURE_NONE);
        }
    }
}

// Guards against weights without effect: a task with much unsaved work is
// evicted later when evictions weigh more than tail latency.
TEST(Pressure, WeighsUnsavedWorkAgainstLatency)
{
    int waited[2];
    const uint32_t weights[2][2] = {{100, 10}, {10, 100}};

    for (int run = 0; run < 2; run++) {
        Fixture fixture(weights[run][0], weights[run][1]);
        pressure_step_t step;

        fixture.tasks = {{PRESSURE_SUSPENDED, 20000}};
        waited[run] = 0;
        while (fixture.tasks[0].level != PRESSURE_EVICTED &&
               waited[run] < 1000) {
            fixture.update(100, &step);
            waited[run]++;
        }
    }
    EXPECT_LT(waited[0], 15);
    EXPECT_GT(waited[1], 190);
    EXPECT_LT(waited[1], 1000);
}

} // namespace
