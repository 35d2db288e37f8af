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
 * @checkpoint_percent: load from which a task is evicted once the cost of the
 *     time above this load reaches the cost of its unsaved work
 * @evict_percent: load from which they are evicted in any case
 * @hysteresis_percent: a step is undone this much below its threshold
 * @hold_ms: minimum time between two steps, so that the effect of a step is
 *     measured before the next
 * @tail_weight: cost of a millisecond above @checkpoint_percent
 * @eviction_weight: cost of a millisecond of unsaved work
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
 * struct pressure_task - a batch task on a worker that also serves interactive
 * requests
 * @level: its current level
 * @unsaved_ms: work since its last checkpoint, which an eviction loses
 */
typedef struct pressure_task {
    pressure_level_t level;
    uint64_t unsaved_ms;
} pressure_task_t;

/**
 * struct pressure_step - a change of the level of one task
 * @index: of the task
 * @level: its new level, one above or one below the current one
 */
typedef struct pressure_step {
    size_t index;
    pressure_level_t level;
} pressure_step_t;

/**
 * struct pressure - controller that throttles, suspends and evicts batch tasks
 * while interactive requests load the worker
 * @load_milli_percent: moving average of the load, in thousandths of a percent
 * @stepped: @last_step is set
 * @above_checkpoint: the average is at least @opts.checkpoint_percent
 * @above_checkpoint_since: valid while @above_checkpoint
 */
typedef struct pressure {
    pressure_opts_t opts;
    uint32_t load_milli_percent;
    bool stepped;
    struct timespec last_step;
    bool above_checkpoint;
    struct timespec above_checkpoint_since;
} pressure_t;

void pressure_init(pressure_t *pressure, const pressure_opts_t *opts);

/**
 * pressure_update() - add a measurement and choose the next step
 * @percent: interactive load, 100 is full
 * @step: set if true is returned
 *
 * As the load grows, all tasks are throttled, then all are suspended, then
 * tasks are evicted; on each level the task with the least unsaved work comes
 * first. Steps are undone in the reverse order.
 *
 * Return: false if there is no step.
 */
bool pressure_update(pressure_t *pressure, uint32_t percent,
                     const pressure_task_t *tasks, size_t count,
                     pressure_step_t *step);

#ifdef __cplusplus
}
#endif

#endif
