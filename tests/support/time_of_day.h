#ifndef TEASEL_TESTS_TIME_OF_DAY_H
#define TEASEL_TESTS_TIME_OF_DAY_H

/*
 * A time of day that steps when the test says so, for all code of the process
 * and its libraries. For the only source file of a test.
 */

#include <sys/syscall.h>
#include <sys/time.h>
#include <unistd.h>

extern "C" {
#include "base/clock.h"
}

/* By how much the time of day is ahead. */
static int64_t time_of_day_offset_ms;

extern "C" int
clock_gettime(clockid_t id, struct timespec *now) noexcept
{
    long result = syscall(SYS_clock_gettime, id, now);

    if (id == CLOCK_REALTIME) {
        *now = timespec_add_ms(*now, time_of_day_offset_ms);
    }
    return (int)result;
}

extern "C" int
gettimeofday(struct timeval *now, void *zone) noexcept
{
    struct timespec wall;
    int result = clock_gettime(CLOCK_REALTIME, &wall);

    now->tv_sec = wall.tv_sec;
    now->tv_usec = wall.tv_nsec / 1000;
    return result;
}

#endif
