#ifndef TEASEL_BATCH_PRESSURE_H
#define TEASEL_BATCH_PRESSURE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef enum pressure_level {
    PRESSURE_NONE,
    PRESSURE_THROTTLED,
    PRESSURE_SUSPENDED,
    PRESSURE_EVICTED,
    PRESSURE_LEVELS
} pressure_level_t;

/**
 * struct pressure_opts - options of pressure_init()
 * @throttle_percent: interactive load from which tasks are throttled
 * @suspend_percent: load from which they are suspended
 * @checkpoint_percent: load from which they are evicted if the harm done to
 *     the services outweighs the lost work
 * @evict_percent: load from which they are evicted in any case
 * @hysteresis_percent: a step is taken back this much below its threshold
 * @hold_ms: time between two steps, so that the effect of a step is measured
 *     before the next
 * @tail_weight: cost of a millisecond above @checkpoint_percent
 * @eviction_weight: cost of a millisecond of lost work
 */
typedef struct pressure_opts {
    const clock_source_t *clock;
    uint32_t throttle_percent;
    uint32_t suspend_percent;
    uint32_t checkpoint_percent;
    uint32_t evict_percent;
    uint32_t hysteresis_percent;
    uint64_t hold_ms;
    uint32_t tail_weight;
    uint32_t eviction_weight;
} pressure_opts_t;

/**
 * struct pressure_task - a batch task of the instance
 * @level: what was done to it so far
 * @unsaved_ms: work since its last checkpoint
 */
typedef struct pressure_task {
    pressure_level_t level;
    uint64_t unsaved_ms;
} pressure_task_t;

/**
 * struct pressure_step - what to do next
 * @index: of the task
 * @level: its new level, one above or one below the present one
 */
typedef struct pressure_step {
    size_t index;
    pressure_level_t level;
} pressure_step_t;

/**
 * struct pressure - how far batch tasks give way to interactive requests
 * @milli_percent: moving average of the load
 */
typedef struct pressure {
    pressure_opts_t opts;
    uint32_t milli_percent;
    bool stepped;
    struct timespec last_step;
    bool harmful; /* load is above @checkpoint_percent */
    struct timespec harmful_since;
} pressure_t;

void pressure_init(pressure_t *pressure, const pressure_opts_t *opts);

/**
 * pressure_update() - take in a measurement and choose the next step
 * @percent: interactive load, 100 is full
 *
 * Escalation: throttle all, then suspend all, then evict, least lost work
 * first. Steps are taken back in the reverse order.
 *
 * Return: false if nothing is to be done.
 */
bool pressure_update(pressure_t *pressure, uint32_t percent,
                     const pressure_task_t *tasks, size_t count,
                     pressure_step_t *step);

#ifdef __cplusplus
}
#endif

#endif
