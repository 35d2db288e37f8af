/*
 * Throttles best-effort tasks to protect the tail latency of serving tasks on
 * the same executor. The executor reports the tail latency of each serving
 * task with a delay. The speed of all best-effort tasks is cut by a factor
 * while a latency target is missed, and rises in small steps while all targets
 * are met with headroom.
 */

#include "base/events.h"
#include "node/node_internal.h"

enum {
    /* Measured values are averages over 500 ms, and a throttle takes effect
       after 100 ms. */
    THROTTLE_INTERVAL_MS = 600,
    /* Bounds of the rise per interval, in percentage points. */
    MIN_RAISE_PERCENT = 10,
    MAX_RAISE_PERCENT = 30,
    /* Best-effort tasks are paused after a target was missed for this long. */
    PAUSE_AFTER_MISS_MS = 1500,
    PAUSED_PERCENT = 0,
    /* Work below this speed is not worth its memory; the tasks are paused. */
    MIN_USEFUL_PERCENT = 8,
    /* Share of the target below which best-effort tasks may speed up. */
    HEADROOM_PERCENT = 85,
};

typedef struct tail {
    bool has_target;    /* a serving task with a target runs */
    bool missed;        /* a target is missed */
    bool headroom;      /* all tails are below HEADROOM_PERCENT */
    double worst_ratio; /* highest ratio of tail latency to target */
} tail_t;

static tail_t
read_tail(node_executor_t *executor)
{
    tail_t tail = {.headroom = true};

    LIST_FOREACH (run, &executor->runs, run_t, link) {
        double ratio;

        if (run->latency_target_ms == 0 || run->phase != RUN_STARTED) {
            continue;
        }
        ratio = (double)run->measured / run->latency_target_ms;
        tail.has_target = true;
        tail.worst_ratio = MAX(tail.worst_ratio, ratio);
        tail.missed |= ratio > 1.0;
        tail.headroom &= ratio * 100 < HEADROOM_PERCENT;
    }
    return tail;
}

static void
on_throttled(executor_result_t result, const char *reason, void *data)
{
    run_call_t *call = data;
    uint32_t throttle_percent = call->throttle_percent;
    run_t *run = run_call_finish(call);

    if (run == NULL) {
        return;
    }
    run->throttle_pending = false;
    /* A call without an answer may have taken effect. */
    run->throttle_known = result == EXECUTOR_OK;
    if (result == EXECUTOR_OK) {
        run->throttle_percent = throttle_percent;
    }
}

static void
set_throttle(run_t *run, uint32_t throttle_percent)
{
    node_executor_t *executor = run->executor;
    run_call_t *call;

    if (run->throttle_pending ||
        (run->throttle_known && throttle_percent == run->throttle_percent)) {
        return;
    }
    call = run_call_new(run);
    call->throttle_percent = throttle_percent;
    run->throttle_pending = true;
    executor->api->vtbl->throttle(executor->api, run->task, run->run,
                                  throttle_percent, executor->node->epoch,
                                  on_throttled, call);
}

/* Typical ratio of tail latency to target without best-effort tasks. */
static const double BASELINE_RATIO = 0.45;
/* Ratio of tail latency to target that the throttle aims at. */
static const double TARGET_RATIO = 0.9;

/* Returns the factor for the speed of the best-effort tasks, to which the
   excess over BASELINE_RATIO is assumed to be proportional. */
static double
get_speed_factor(double worst_ratio)
{
    return (TARGET_RATIO - BASELINE_RATIO) /
           MAX(0.05, worst_ratio - BASELINE_RATIO);
}

static uint32_t
reduce_throttle_percent(uint32_t throttle_percent, double worst_ratio)
{
    uint32_t slower =
        (uint32_t)(throttle_percent *
                   CLAMP(get_speed_factor(worst_ratio), 0.3, 0.85));

    return slower < MIN_USEFUL_PERCENT ? PAUSED_PERCENT : slower;
}

static uint32_t
raise_throttle_percent(uint32_t throttle_percent, double worst_ratio)
{
    double faster = throttle_percent * get_speed_factor(worst_ratio);

    return (uint32_t)MIN(100,
                         CLAMP(faster, throttle_percent + MIN_RAISE_PERCENT,
                               throttle_percent + MAX_RAISE_PERCENT));
}

static uint32_t
choose_throttle(const node_executor_t *executor, const tail_t *tail,
                int64_t now_ms)
{
    if (!tail->has_target) {
        return 100;
    }
    if (tail->missed) {
        return now_ms - executor->target_missed_since_ms >= PAUSE_AFTER_MISS_MS
                   ? PAUSED_PERCENT
                   : reduce_throttle_percent(executor->throttle_percent,
                                             tail->worst_ratio);
    }
    if (tail->headroom) {
        return raise_throttle_percent(executor->throttle_percent,
                                      tail->worst_ratio);
    }
    return executor->throttle_percent;
}

void
throttle_update(node_executor_t *executor)
{
    tail_t tail = read_tail(executor);
    int64_t now_ms = node_now_ms(executor->node);

    if (!tail.missed) {
        executor->target_missed_since_ms = 0;
    }
    else if (executor->target_missed_since_ms == 0) {
        executor->target_missed_since_ms = now_ms;
    }
    if (now_ms - executor->throttle_updated_ms >= THROTTLE_INTERVAL_MS ||
        !tail.has_target) {
        executor->throttle_updated_ms = now_ms;
        executor->throttle_percent = choose_throttle(executor, &tail, now_ms);
    }
    LIST_FOREACH (run, &executor->runs, run_t, link) {
        if (run->best_effort && run->phase == RUN_STARTED) {
            set_throttle(run, executor->throttle_percent);
        }
    }
}
