#ifndef TEASEL_TESTS_LOOP_WAIT_H
#define TEASEL_TESTS_LOOP_WAIT_H

#include <functional>

#include "fake_executor.h"

inline void
loop_run_ms(loop_t *loop, int64_t ms)
{
    int64_t end_ms = FakeExecutor::now_ms() + ms;

    while (FakeExecutor::now_ms() < end_ms) {
        loop_run_once(loop, 10);
    }
}

/* Runs the loop until the condition holds; returns false after the limit. */
inline bool
loop_wait(loop_t *loop, int64_t limit_ms,
          const std::function<bool()> &condition)
{
    int64_t end_ms = FakeExecutor::now_ms() + limit_ms;

    while (!condition()) {
        if (FakeExecutor::now_ms() > end_ms) {
            return false;
        }
        loop_run_once(loop, 10);
    }
    return true;
}

#endif
