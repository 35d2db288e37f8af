/*
 * Throttles best-effort tasks to protect the tail latency of serving tasks on
 * the same executor. The executor reports the tail latency of each serving
 * task with a delay. The sum of the effects of the best-effort tasks on the
 * tail latency is cut by a factor while a latency target is missed, and rises
 * in small steps while all targets are met with headroom. Within that sum, the
 * tasks with the largest effects are slowed down first.
 */

#include "base/events.h"
#include "node/effect_limit.h"
#include "node/effect_split.h"
#include "node/node_internal.h"

enum {
    /* Measured values are averages over 500 ms, and a throttle takes effect
       after 100 ms. */
    THROTTLE_INTERVAL_MS = 600,
    PAUSED_PERCENT = 0,
    /* Work below this speed is not worth its memory; the tasks are paused. */
    MIN_USEFUL_PERCENT = 8,
};

typedef struct tail {
    bool has_target;    /* a serving task with a target runs */
    double worst_ratio; /* highest ratio of tail latency to target */
} tail_t;

static tail_t
read_tail(node_executor_t *executor)
{
    tail_t tail = {0};

    LIST_FOREACH (run, &executor->runs, run_t, link) {
        double ratio;

        if (run->latency_target_ms == 0 || run->state.phase != RUN_STARTED) {
            continue;
        }
        ratio = (double)run->measured / run->latency_target_ms;
        tail.has_target = true;
        tail.worst_ratio = MAX(tail.worst_ratio, ratio);
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

/**
 * struct effects - best-effort runs of an executor
 * @total: sum of their effects at full speed
 * @current: sum of their effects at their present speeds
 */
typedef struct effects {
    GPtrArray *runs; /* run_t */
    GArray *values;  /* double */
    double total;
    double current;
} effects_t;

static void
add_effect(effects_t *effects, run_t *run)
{
    g_ptr_array_add(effects->runs, run);
    g_array_append_val(effects->values, run->tail_effect);
    effects->total += run->tail_effect;
    effects->current += run->tail_effect * run->throttle_percent / 100.0;
}

static double
choose_limit(const node_executor_t *executor, const effects_t *effects,
             const tail_t *tail, int64_t now_ms)
{
    effect_limit_input_t input = {
        .has_target = tail->has_target,
        .worst_ratio = tail->worst_ratio,
        .limit = executor->effect_limit,
        .current = effects->current,
        .total = effects->total,
    };

    if (executor->target_missed_since_ms != 0) {
        input.missed_ms = now_ms - executor->target_missed_since_ms;
    }
    return effect_limit_choose(&input);
}

static uint32_t
to_percent(double speed)
{
    uint32_t percent = (uint32_t)(speed * 100.0 + 0.5);

    return percent < MIN_USEFUL_PERCENT ? PAUSED_PERCENT : percent;
}

static void
set_speeds(const node_executor_t *executor, const effects_t *effects)
{
    g_autofree double *speeds = g_new0(double, effects->runs->len + 1);

    effect_split((const double *)effects->values->data, speeds,
                 effects->runs->len, executor->effect_limit);
    for (guint i = 0; i < effects->runs->len; i++) {
        set_throttle(g_ptr_array_index(effects->runs, i),
                     to_percent(speeds[i]));
    }
}

static void
update_miss(node_executor_t *executor, const tail_t *tail, int64_t now_ms)
{
    if (!effect_limit_is_missed(tail->worst_ratio)) {
        executor->target_missed_since_ms = 0;
    }
    else if (executor->target_missed_since_ms == 0) {
        executor->target_missed_since_ms = now_ms;
    }
}

void
throttle_update(node_executor_t *executor)
{
    tail_t tail = read_tail(executor);
    int64_t now_ms = node_now_ms(executor->node);
    effects_t effects = {
        .runs = g_ptr_array_new(),
        .values = g_array_new(FALSE, FALSE, sizeof(double)),
    };

    update_miss(executor, &tail, now_ms);
    LIST_FOREACH (run, &executor->runs, run_t, link) {
        if (run->best_effort && run->state.phase == RUN_STARTED) {
            add_effect(&effects, run);
        }
    }
    if (now_ms - executor->throttle_updated_ms >= THROTTLE_INTERVAL_MS ||
        !tail.has_target) {
        executor->throttle_updated_ms = now_ms;
        executor->effect_limit =
            choose_limit(executor, &effects, &tail, now_ms);
    }
    set_speeds(executor, &effects);
    g_ptr_array_unref(effects.runs);
    g_array_unref(effects.values);
}
