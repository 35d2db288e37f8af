#include <gtest/gtest.h>

#include <functional>
#include <sys/socket.h>
#include <vector>

extern "C" {
#include "base/clock.h"
#include "base/loop.h"
}

#include "fake_clock.h"
#include "time_of_day.h"

namespace {

constexpr int64_t STEP_MS = 15000;
constexpr int64_t DELAY_MS = 200;
constexpr int64_t LATE_MS = 1000;

int64_t
now_ms()
{
    return timespec_to_ms(clock_get_monotonic(clock_system()));
}

struct Loop : public ::testing::Test {
    loop_t *loop = loop_new();
    loop_timer_t timer;
    int64_t started_ms;
    int64_t fired_ms = -1;

    Loop()
    {
        time_of_day_offset_ms = 0;
        loop_timer_init(&timer, loop, on_timer, this);
    }

    ~Loop() override
    {
        loop_timer_stop(&timer);
        loop_free(loop);
    }

    static void
    on_timer(loop_timer_t *timer)
    {
        static_cast<Loop *>(timer->data)->fired_ms = now_ms();
    }

    /* Return how long after its start the timer runs out, or -1. */
    int64_t
    wait(int64_t step_ms)
    {
        loop_run_once(loop, 0);
        started_ms = now_ms();
        loop_timer_start(&timer, DELAY_MS);
        loop_run_once(loop, 10);
        time_of_day_offset_ms += step_ms;
        while (fired_ms < 0 && now_ms() < started_ms + DELAY_MS + LATE_MS) {
            loop_run_once(loop, 10);
        }
        return fired_ms < 0 ? -1 : fired_ms - started_ms;
    }
};

} // namespace

/* After a step back all timers stood still for as long. */
TEST_F(Loop, RunsATimerOutInTimeAfterAStepBack)
{
    int64_t waited_ms = wait(-STEP_MS);

    EXPECT_GE(waited_ms, DELAY_MS);
}

/* A step ahead made calls time out and members be lost. */
TEST_F(Loop, RunsNoTimerOutEarlyAfterAStepAhead)
{
    int64_t waited_ms = wait(STEP_MS);

    EXPECT_GE(waited_ms, DELAY_MS);
}

namespace {

struct LoopOnFakeClock : public ::testing::Test {
    fake_clock_t clock;
    loop_t *loop = nullptr;
    loop_timer_t timers[3];
    std::function<void(size_t)> react;
    std::vector<size_t> fired;

    LoopOnFakeClock()
    {
        time_of_day_offset_ms = 0;
        fake_clock_init(&clock);
        loop = loop_new_on(&clock.clock);
        for (auto &timer : timers) {
            loop_timer_init(&timer, loop, on_timer, this);
        }
    }

    ~LoopOnFakeClock() override
    {
        loop_free(loop);
    }

    static void
    on_timer(loop_timer_t *timer)
    {
        auto self = static_cast<LoopOnFakeClock *>(timer->data);
        size_t i = timer - self->timers;

        self->fired.push_back(i);
        if (self->react) {
            self->react(i);
        }
    }

    void
    pass(int64_t ms)
    {
        fake_clock_advance_ms(&clock, ms);
        loop_run_once(loop, 0);
    }
};

using Fired = std::vector<size_t>;

} // namespace

/* Small steps that NTP makes again and again must not add up. */
TEST_F(LoopOnFakeClock, KeepsAPeriodWhileTheTimeOfDayStepsEachSecond)
{
    for (int64_t step_ms : {-300, 300}) {
        fired.clear();
        react = [&](size_t i) { loop_timer_start(&timers[i], 100); };
        loop_timer_start(&timers[0], 100);
        for (int i = 1; i <= 6000; i++) {
            pass(10);
            time_of_day_offset_ms += i % 100 == 0 ? step_ms : 0;
        }
        EXPECT_EQ(fired.size(), 600u);
        loop_timer_stop(&timers[0]);
    }
}

/* A process that stood still runs its timers late, each of them once. */
TEST_F(LoopOnFakeClock, RunsTimersInOrderAfterAPause)
{
    loop_timer_start(&timers[0], 300);
    loop_timer_start(&timers[1], 100);
    loop_timer_start(&timers[2], 100);
    pass(99);
    EXPECT_EQ(fired, Fired());
    pass(60000);
    EXPECT_EQ(fired, Fired({1, 2, 0}));
    pass(60000);
    EXPECT_EQ(fired.size(), 3u);
}

/* A timer that starts itself without a delay must not keep the sockets out. */
TEST_F(LoopOnFakeClock, LeavesTimersThatACallbackStartsForTheNextIteration)
{
    react = [&](size_t i) { loop_timer_start(&timers[i], 0); };
    loop_timer_start(&timers[0], 0);
    pass(0);
    EXPECT_EQ(fired, Fired({0}));
    pass(0);
    EXPECT_EQ(fired, Fired({0, 0}));
}

/* A callback may free the owner of another timer that is due. */
TEST_F(LoopOnFakeClock, RunsNoTimerThatACallbackStops)
{
    react = [&](size_t i) { loop_timer_stop(&timers[1]); };
    loop_timer_start(&timers[0], 10);
    loop_timer_start(&timers[1], 10);
    loop_timer_start(&timers[2], 10);
    pass(10);
    EXPECT_EQ(fired, Fired({0, 2}));
    EXPECT_FALSE(loop_timer_is_active(&timers[1]));
}

/* A timer that is started anew counts from then on only. */
TEST_F(LoopOnFakeClock, ForgetsTheFormerDelayOfATimerThatIsStartedAnew)
{
    loop_timer_start(&timers[0], 100);
    pass(50);
    loop_timer_start(&timers[0], 100);
    pass(99);
    EXPECT_EQ(fired, Fired());
    EXPECT_TRUE(loop_timer_is_active(&timers[0]));
    pass(1);
    EXPECT_EQ(fired, Fired({0}));
}

namespace {

void
on_written(h2o_socket_t *socket, const char *error)
{
    *static_cast<bool *>(socket->data) = true;
}

} // namespace

/* h2o frees closed sockets before its next wait, also those with a write that
   it has not reported yet: a process went round in its list of them, or
   crashed, after a callback of a timer had written to a socket and closed
   it. */
TEST_F(LoopOnFakeClock, ReportsTheWritesOfACallbackBeforeTheNextIteration)
{
    int pair[2];
    bool written = false;
    char text[] = "x";
    h2o_iovec_t buffer = h2o_iovec_init(text, 1);

    ASSERT_EQ(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, pair), 0);
    h2o_socket_t *socket =
        h2o_evloop_socket_create(loop_get_h2o(loop), pair[0], 0);
    socket->data = &written;
    react = [&](size_t) { h2o_socket_write(socket, &buffer, 1, on_written); };
    loop_timer_start(&timers[0], 10);
    pass(10);
    EXPECT_TRUE(written);
    h2o_socket_close(socket);
    close(pair[1]);
}
