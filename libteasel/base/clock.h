#ifndef TEASEL_BASE_CLOCK_H
#define TEASEL_BASE_CLOCK_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef struct clock_source clock_source_t;

/**
 * struct clock_vtbl - operations of a clock
 * @get_monotonic: read the clock for deadlines and leases; it keeps running
 *     while the machine is suspended
 * @get_wall: read the time of day, for timestamps that people read
 */
typedef struct clock_vtbl {
    void (*get_monotonic)(const clock_source_t *clock, struct timespec *now);
    void (*get_wall)(const clock_source_t *clock, struct timespec *now);
} clock_vtbl_t;

struct clock_source {
    const clock_vtbl_t *vtbl;
};

/**
 * clock_system() - return the clock of the operating system
 */
const clock_source_t *clock_system(void);

static inline struct timespec
clock_get_monotonic(const clock_source_t *clock)
{
    struct timespec now;

    clock->vtbl->get_monotonic(clock, &now);
    return now;
}

static inline struct timespec
clock_get_wall(const clock_source_t *clock)
{
    struct timespec now;

    clock->vtbl->get_wall(clock, &now);
    return now;
}

static inline struct timespec
timespec_add_ms(struct timespec time, int64_t ms)
{
    time.tv_sec += ms / 1000;
    time.tv_nsec += (ms % 1000) * 1000000;
    if (time.tv_nsec >= 1000000000) {
        time.tv_sec += 1;
        time.tv_nsec -= 1000000000;
    }
    else if (time.tv_nsec < 0) {
        time.tv_sec -= 1;
        time.tv_nsec += 1000000000;
    }
    return time;
}

static inline int64_t
timespec_diff_us(struct timespec later, struct timespec earlier)
{
    return (int64_t)(later.tv_sec - earlier.tv_sec) * 1000000 +
           (later.tv_nsec - earlier.tv_nsec) / 1000;
}

static inline int64_t
timespec_diff_ms(struct timespec later, struct timespec earlier)
{
    return timespec_diff_us(later, earlier) / 1000;
}

static inline bool
timespec_is_before(struct timespec a, struct timespec b)
{
    return a.tv_sec != b.tv_sec ? a.tv_sec < b.tv_sec : a.tv_nsec < b.tv_nsec;
}

static inline int64_t
timespec_to_us(struct timespec time)
{
    return (int64_t)time.tv_sec * 1000000 + time.tv_nsec / 1000;
}

static inline uint64_t
timespec_to_ms(struct timespec time)
{
    return (uint64_t)time.tv_sec * 1000 + (uint64_t)time.tv_nsec / 1000000;
}

#ifdef __cplusplus
}
#endif

#endif
