/*
 * Slows down fillers that disturb serving tasks on the same executor. The
 * executor reports the tail latency of each serving task with a lag; the pace
 * of all fillers falls by a factor while a target is missed, and rises in
 * small steps while all are met with a reserve.
 */

#include "base/events.h"
#include "node/node_internal.h"

enum {
    /* The figures are averages of half a second, and a pace takes effect
       after 100 ms. */
    PACE_INTERVAL_MS = 600,
    PACE_STEP_PERCENT = 10, /* least rise */
    PACE_MAX_STEP_PERCENT = 30,
    /* Fillers stand still after a target was missed for this long. */
    STOP_MS = 1500,
    PACE_MIN_PERCENT = 0,
    /* A pace of less than this is no work worth its memory; 0 at once. */
    PACE_LEAST_USEFUL = 8,
    /* Share of the target up to which fillers may speed up. */
    RESERVE_PERCENT = 85,
};

typedef struct tail {
    bool any;
    bool missed;
    bool reserve; /* all tails are well below their target */
    double worst; /* highest tail over target */
} tail_t;

static tail_t
read_tail(node_executor_t *executor)
{
    tail_t tail = {.reserve = true};

    LIST_FOREACH (run, &executor->runs, run_t, link) {
        double ratio;

        if (run->latency_target_ms == 0 || run->phase != RUN_STARTED) {
            continue;
        }
        ratio = (double)run->figure / run->latency_target_ms;
        tail.any = true;
        tail.worst = MAX(tail.worst, ratio);
        tail.missed |= ratio > 1.0;
        tail.reserve &= ratio * 100 < RESERVE_PERCENT;
    }
    return tail;
}

static void
on_paced(executor_result_t result, const char *reason, void *data)
{
    run_call_t *call = data;
    uint32_t pace = call->pace;
    run_t *run = run_call_finish(call);

    if (run == NULL) {
        return;
    }
    run->pacing = false;
    /* A call without answer may have had an effect. */
    run->pace_known = result == EXECUTOR_OK;
    if (result == EXECUTOR_OK) {
        run->pace = pace;
    }
}

static void
set_pace(run_t *run, uint32_t pace)
{
    node_executor_t *executor = run->executor;
    run_call_t *call;

    if (run->pacing || (run->pace_known && pace == run->pace)) {
        return;
    }
    call = run_call_new(run);
    call->pace = pace;
    run->pacing = true;
    executor->api->vtbl->pace(executor->api, run->task, run->run, pace,
                              executor->node->epoch, on_paced, call);
}

/* The part of a tail over target that fillers do not cause, as a rule. */
static const double OWN_SHARE = 0.45;
/* Tail over target that the pace aims at. */
static const double AIM = 0.9;

/* The part that fillers cause is taken to be proportional to their pace. */
static double
get_ratio(double worst)
{
    return (AIM - OWN_SHARE) / MAX(0.05, worst - OWN_SHARE);
}

static uint32_t
slow_down(uint32_t pace, double worst)
{
    uint32_t slower = (uint32_t)(pace * CLAMP(get_ratio(worst), 0.3, 0.85));

    return slower < PACE_LEAST_USEFUL ? PACE_MIN_PERCENT : slower;
}

static uint32_t
speed_up(uint32_t pace, double worst)
{
    double faster = pace * get_ratio(worst);

    return (uint32_t)MIN(100, CLAMP(faster, pace + PACE_STEP_PERCENT,
                                    pace + PACE_MAX_STEP_PERCENT));
}

static uint32_t
choose_pace(const node_executor_t *executor, const tail_t *tail,
            int64_t now_ms)
{
    if (!tail->any) {
        return 100;
    }
    if (tail->missed) {
        return now_ms - executor->harmed_ms >= STOP_MS
                   ? PACE_MIN_PERCENT
                   : slow_down(executor->pace, tail->worst);
    }
    if (tail->reserve) {
        return speed_up(executor->pace, tail->worst);
    }
    return executor->pace;
}

void
pace_check(node_executor_t *executor)
{
    tail_t tail = read_tail(executor);
    int64_t now_ms = node_now_ms(executor->node);

    if (!tail.missed) {
        executor->harmed_ms = 0;
    }
    else if (executor->harmed_ms == 0) {
        executor->harmed_ms = now_ms;
    }
    if (now_ms - executor->paced_ms >= PACE_INTERVAL_MS || !tail.any) {
        executor->paced_ms = now_ms;
        executor->pace = choose_pace(executor, &tail, now_ms);
    }
    LIST_FOREACH (run, &executor->runs, run_t, link) {
        if (run->filler && run->phase == RUN_STARTED) {
            set_pace(run, executor->pace);
        }
    }
}
