#ifndef TEASEL_BASE_FREEZE_GUARD_H
#define TEASEL_BASE_FREEZE_GUARD_H

#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct freeze_guard - detector of times in which the process did not run,
 * for example because it or its machine was suspended
 * @last: time of the latest check
 * @limit_ms: a longer gap between two checks counts as a freeze, so checks
 *     must be more frequent than this
 */
typedef struct freeze_guard {
    const clock_source_t *clock;
    struct timespec last;
    uint64_t limit_ms;
} freeze_guard_t;

static inline void
freeze_guard_init(freeze_guard_t *guard, const clock_source_t *clock,
                  uint64_t limit_ms)
{
    guard->clock = clock;
    guard->limit_ms = limit_ms;
    guard->last = clock_get_monotonic(clock);
}

/**
 * freeze_guard_check() - detect a freeze since the latest check
 *
 * Must be called before a message or a timer is handled.
 *
 * Return: length of the gap in ms if it exceeds the limit, else 0.
 */
static inline uint64_t
freeze_guard_check(freeze_guard_t *guard)
{
    struct timespec now = clock_get_monotonic(guard->clock);
    int64_t gap = timespec_diff_ms(now, guard->last);

    guard->last = now;
    return gap > (int64_t)guard->limit_ms ? (uint64_t)gap : 0;
}

#ifdef __cplusplus
}
#endif

#endif
