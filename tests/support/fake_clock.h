#ifndef TEASEL_TESTS_FAKE_CLOCK_H
#define TEASEL_TESTS_FAKE_CLOCK_H

#include "base/clock.h"

/* Clock that advances only in fake_clock_advance_ms(). */
typedef struct fake_clock {
    clock_source_t clock;
    struct timespec now;
} fake_clock_t;

static inline void
fake_clock_get(const clock_source_t *clock, struct timespec *now)
{
    *now = ((const fake_clock_t *)clock)->now;
}

static inline void
fake_clock_init(fake_clock_t *fake)
{
    static const clock_vtbl_t vtbl = {fake_clock_get, fake_clock_get};

    fake->clock.vtbl = &vtbl;
    fake->now.tv_sec = 1000;
    fake->now.tv_nsec = 0;
}

static inline void
fake_clock_advance_ms(fake_clock_t *fake, int64_t ms)
{
    fake->now = timespec_add_ms(fake->now, ms);
}

#endif
