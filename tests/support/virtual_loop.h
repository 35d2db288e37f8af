#ifndef TEASEL_TESTS_VIRTUAL_LOOP_H
#define TEASEL_TESTS_VIRTUAL_LOOP_H

/*
 * A loop in virtual time: takes the place of base/loop.c and base/clock.c in a
 * test that includes it in its only source file. The linker does not use these
 * parts of the library then, as all their functions are defined already.
 */

#include <functional>
#include <map>
#include <random>
#include <utility>

extern "C" {
#include "base/clock.h"
#include "base/loop.h"
}

struct loop {
    using Key = std::pair<int64_t, uint64_t>; /* time, order of its start */

    std::mt19937 random;
    uint64_t started = 0;
    std::map<Key, std::function<void()>> queue;
    std::map<const loop_timer_t *, Key> timers;

    static int64_t &
    now_ms()
    {
        static int64_t now = 1000000;

        return now;
    }
    Key
    call_at(int64_t ms, std::function<void()> call)
    {
        Key key(ms, started++);

        queue[key] = std::move(call);
        return key;
    }
    void
    call_after(int64_t ms, std::function<void()> call)
    {
        call_at(now_ms() + ms, std::move(call));
    }
    void
    run_ms(int64_t ms)
    {
        int64_t end_ms = now_ms() + ms;

        while (!queue.empty() && queue.begin()->first.first <= end_ms) {
            auto first = queue.begin();
            auto call = std::move(first->second);

            now_ms() = first->first.first;
            queue.erase(first);
            call();
        }
        now_ms() = end_ms;
    }
};

void
loop_timer_init(loop_timer_t *timer, loop_t *loop, loop_timer_cb cb,
                void *data)
{
    *timer = {};
    timer->loop = loop;
    timer->cb = cb;
    timer->data = data;
}

/* Timers are late by up to 2 ms. */
void
loop_timer_start(loop_timer_t *timer, uint64_t ms)
{
    loop_t *loop = timer->loop;
    int64_t late_ms = ms == 0 ? 0 : (int64_t)(loop->random() % 3);

    loop_timer_stop(timer);
    loop->timers[timer] =
        loop->call_at(loop_t::now_ms() + (int64_t)ms + late_ms, [=] {
            loop->timers.erase(timer);
            timer->cb(timer);
        });
}

void
loop_timer_stop(loop_timer_t *timer)
{
    auto found = timer->loop->timers.find(timer);

    if (found != timer->loop->timers.end()) {
        timer->loop->queue.erase(found->second);
        timer->loop->timers.erase(found);
    }
}

bool
loop_timer_is_active(const loop_timer_t *timer)
{
    return timer->loop->timers.count(timer) != 0;
}

static void
read_virtual_clock(const clock_source_t *clock, struct timespec *now)
{
    *now = {loop_t::now_ms() / 1000, loop_t::now_ms() % 1000 * 1000000};
}

const clock_source_t *
clock_system(void)
{
    static const clock_vtbl_t vtbl = {read_virtual_clock, read_virtual_clock};
    static const clock_source_t clock = {&vtbl};

    return &clock;
}

#endif
