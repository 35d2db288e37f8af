#include "base/clock.h"

static void
system_get_monotonic(const clock_source_t *clock, struct timespec *now)
{
    /* CLOCK_MONOTONIC stops while a virtual machine is suspended, but leases
       must expire in that time. */
    clock_gettime(CLOCK_BOOTTIME, now);
}

static void
system_get_wall(const clock_source_t *clock, struct timespec *now)
{
    clock_gettime(CLOCK_REALTIME, now);
}

static const clock_vtbl_t system_vtbl = {
    .get_monotonic = system_get_monotonic,
    .get_wall = system_get_wall,
};

static const clock_source_t system_clock = {.vtbl = &system_vtbl};

const clock_source_t *
clock_system(void)
{
    return &system_clock;
}
