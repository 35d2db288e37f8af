#include "batch/pressure.h"

#include <string.h>
#include <sys/param.h>

enum {
    /* The newest measurement counts 1/4 in the moving average. */
    LOAD_AVERAGE_DIVISOR = 4
};

void
pressure_init(pressure_t *pressure, const pressure_opts_t *opts)
{
    memset(pressure, 0, sizeof(*pressure));
    pressure->opts = *opts;
}

static void
update_load(pressure_t *pressure, uint32_t percent, struct timespec now)
{
    /* The measurement is capped, so that the average falls soon after a deep
       queue of requests has been served. */
    uint32_t highest =
        pressure->opts.evict_percent + pressure->opts.hysteresis_percent;
    int64_t change = (int64_t)MIN(percent, highest) * 1000 -
                     (int64_t)pressure->load_milli_percent;
    bool above_checkpoint;

    pressure->load_milli_percent += change / LOAD_AVERAGE_DIVISOR;
    above_checkpoint = pressure->load_milli_percent >=
                       pressure->opts.checkpoint_percent * 1000;
    if (above_checkpoint && !pressure->above_checkpoint) {
        pressure->above_checkpoint_since = now;
    }
    pressure->above_checkpoint = above_checkpoint;
}

static uint32_t
get_threshold(const pressure_t *pressure, pressure_level_t level)
{
    const uint32_t thresholds[PRESSURE_LEVELS] = {
        [PRESSURE_NONE] = 0,
        [PRESSURE_THROTTLED] = pressure->opts.throttle_percent,
        [PRESSURE_SUSPENDED] = pressure->opts.suspend_percent,
        [PRESSURE_EVICTED] = pressure->opts.checkpoint_percent,
    };

    return thresholds[level] * 1000;
}

static bool
is_worth_evicting(const pressure_t *pressure, const pressure_task_t *task,
                  struct timespec now)
{
    uint64_t overload_ms =
        (uint64_t)timespec_diff_ms(now, pressure->above_checkpoint_since);

    if (pressure->load_milli_percent >= pressure->opts.evict_percent * 1000) {
        return true;
    }
    return overload_ms * pressure->opts.tail_weight >=
           task->unsaved_ms * pressure->opts.eviction_weight;
}

/* Prefers the lowest level, then the least unsaved work. */
static const pressure_task_t *
find_escalation(const pressure_task_t *tasks, size_t count)
{
    const pressure_task_t *best = NULL;

    for (size_t i = 0; i < count; i++) {
        const pressure_task_t *task = &tasks[i];

        if (task->level == PRESSURE_EVICTED) {
            continue;
        }
        if (best == NULL || task->level < best->level ||
            (task->level == best->level &&
             task->unsaved_ms < best->unsaved_ms)) {
            best = task;
        }
    }
    return best;
}

/* Prefers the highest level, then the most unsaved work. */
static const pressure_task_t *
find_relaxation(const pressure_task_t *tasks, size_t count)
{
    const pressure_task_t *best = NULL;

    for (size_t i = 0; i < count; i++) {
        const pressure_task_t *task = &tasks[i];

        if (task->level == PRESSURE_EVICTED || task->level == PRESSURE_NONE) {
            continue;
        }
        if (best == NULL || task->level > best->level ||
            (task->level == best->level &&
             task->unsaved_ms > best->unsaved_ms)) {
            best = task;
        }
    }
    return best;
}

static bool
should_escalate(const pressure_t *pressure, const pressure_task_t *task,
                struct timespec now)
{
    pressure_level_t next;

    if (task == NULL) {
        return false;
    }
    next = task->level + 1;
    if (pressure->load_milli_percent < get_threshold(pressure, next)) {
        return false;
    }
    return next != PRESSURE_EVICTED || is_worth_evicting(pressure, task, now);
}

static bool
should_relax(const pressure_t *pressure, const pressure_task_t *task)
{
    return task != NULL && pressure->load_milli_percent +
                                   pressure->opts.hysteresis_percent * 1000 <
                               get_threshold(pressure, task->level);
}

bool
pressure_update(pressure_t *pressure, uint32_t percent,
                const pressure_task_t *tasks, size_t count,
                pressure_step_t *step)
{
    struct timespec now = clock_get_monotonic(pressure->opts.clock);
    const pressure_task_t *task;

    update_load(pressure, percent, now);
    if (pressure->stepped && timespec_diff_ms(now, pressure->last_step) <
                                 (int64_t)pressure->opts.hold_ms) {
        return false;
    }
    task = find_escalation(tasks, count);
    if (should_escalate(pressure, task, now)) {
        step->level = task->level + 1;
    }
    else {
        task = find_relaxation(tasks, count);
        if (!should_relax(pressure, task)) {
            return false;
        }
        step->level = task->level - 1;
    }
    step->index = (size_t)(task - tasks);
    pressure->stepped = true;
    pressure->last_step = now;
    return true;
}
