/* Orders of the leader for the runs of an executor. */

#include "node/node_internal.h"

static void
drop_stored_ends(node_executor_t *executor)
{
    while (executor->ends->len > 0) {
        const Teasel__RunEnd *end = g_ptr_array_index(executor->ends, 0);

        if (end->number > executor->end_cursor) {
            return;
        }
        g_ptr_array_remove_index(executor->ends, 0);
        if (executor->ends_sent > 0) {
            executor->ends_sent--;
        }
    }
}

static void
set_traits(run_t *run, bool best_effort, uint32_t tail_effect_permille,
           uint32_t latency_target_ms)
{
    run->best_effort = best_effort;
    run_set_tail_effect(run, tail_effect_permille);
    run->latency_target_ms = latency_target_ms;
}

static void
apply_start(node_executor_t *executor, const Teasel__StartOrder *order)
{
    run_t *run = run_find(executor, order->task, order->run);

    if (run == NULL) {
        run = run_new(executor, order->task, order->run);
        run->throttle_known = true;
        run->payload = g_strdup(order->payload);
        run->checkpoint = g_strdup(order->checkpoint);
    }
    run_apply(run, order->resent ? RUN_EVENT_START_ORDER_REPEATED
                                 : RUN_EVENT_START_ORDER);
    run->alone = order->alone;
    set_traits(run, order->filler, order->tail_effect_permille,
               order->latency_target_ms);
}

static void
apply_traits(node_executor_t *executor, const Teasel__RunTraits *traits)
{
    run_t *run = run_find(executor, traits->task, traits->run);

    if (run != NULL) {
        set_traits(run, traits->filler, traits->tail_effect_permille,
                   traits->latency_target_ms);
    }
}

static void
apply_stop(node_executor_t *executor, const Teasel__RunRef *order)
{
    run_t *run = run_find(executor, order->task, order->run);

    if (run == NULL) {
        run = run_new(executor, order->task, order->run);
    }
    run_apply(run, RUN_EVENT_STOP_ORDER);
}

void
node_executor_order(node_executor_t *executor,
                    const Teasel__ExecutorOrders *orders)
{
    executor->end_cursor = MAX(executor->end_cursor, orders->end_cursor);
    drop_stored_ends(executor);
    for (size_t i = 0; i < orders->n_stops; i++) {
        apply_stop(executor, orders->stops[i]);
    }
    for (size_t i = 0; i < orders->n_starts; i++) {
        apply_start(executor, orders->starts[i]);
    }
    for (size_t i = 0; i < orders->n_traits; i++) {
        apply_traits(executor, orders->traits[i]);
    }
    node_executor_check(executor);
}
