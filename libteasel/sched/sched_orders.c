/* Builds the messages to agents: starts, stops and cursors whose effect is
   stored. */

#include "sched/sched_internal.h"

static char *
new_task_name(const sched_task_t *task)
{
    char name[SCHED_TASK_NAME_SIZE];

    sched_task_format_name(task, name);
    return g_strdup(name);
}

static uint32_t
get_effect_permille(const sched_task_t *task)
{
    return (uint32_t)(CLAMP(task->tail_effect, 0.0, 1000.0) * 1000.0);
}

static Teasel__StartOrder *
new_start(const sched_task_t *task)
{
    Teasel__StartOrder *start = g_new(Teasel__StartOrder, 1);
    const Teasel__StepSpec *step = task->step->spec;

    teasel__start_order__init(start);
    start->task = new_task_name(task);
    start->run = task->run;
    start->payload = g_strdup(sched_task_get_job(task)->spec->payload);
    start->checkpoint = g_strdup(task->checkpoint ? task->checkpoint : "");
    start->latency_target_ms = step->latency_target_ms;
    start->filler = step->filler;
    start->tail_effect_permille = get_effect_permille(task);
    start->resent = task->start_sent;
    start->alone = task->on_trial;
    return start;
}

static Teasel__RunRef *
new_stop(char *task, uint32_t run)
{
    Teasel__RunRef *stop = g_new(Teasel__RunRef, 1);

    teasel__run_ref__init(stop);
    stop->task = task;
    stop->run = run;
    return stop;
}

static Teasel__RunTraits *
new_traits(const sched_task_t *task)
{
    Teasel__RunTraits *traits = g_new(Teasel__RunTraits, 1);
    const Teasel__StepSpec *step = task->step->spec;

    teasel__run_traits__init(traits);
    traits->task = new_task_name(task);
    traits->run = task->run;
    traits->latency_target_ms = step->latency_target_ms;
    traits->filler = step->filler;
    traits->tail_effect_permille = get_effect_permille(task);
    return traits;
}

/* An agent that was restarted reports runs whose start orders it has not seen,
   so it needs their traits. */
static void
add_traits(sched_executor_t *executor, GPtrArray *traits)
{
    if (!executor->traits_unsent) {
        return;
    }
    executor->traits_unsent = false;
    LIST_FOREACH (task, &executor->tasks, sched_task_t, executor_link) {
        const Teasel__StepSpec *step = task->step->spec;

        if (task->start_sent &&
            (step->filler || step->latency_target_ms > 0)) {
            g_ptr_array_add(traits, new_traits(task));
        }
    }
}

static void
add_order(sched_task_t *task, GPtrArray *starts, GPtrArray *stops)
{
    run_view_decision_t decision = sched_task_decide(
        task, (run_view_event_t){.kind = RUN_VIEW_ORDER_DUE});

    if (decision.action == RUN_VIEW_SEND_STOP) {
        g_ptr_array_add(stops, new_stop(new_task_name(task), task->run));
    }
    else if (decision.action == RUN_VIEW_SEND_START) {
        g_ptr_array_add(starts, new_start(task));
    }
    sched_task_set_view(task, &decision.view);
}

/* Returns whether an order is a start that must not be sent. */
static bool
is_kept_back(const sched_t *sched, const sched_task_t *task)
{
    return task->phase != SCHED_TASK_STOPPING &&
           (!evacuation_is_known(sched->opts.evacuation) ||
            sched_is_evacuated(sched, task->executor));
}

static bool
has_orders(const sched_t *sched, const sched_executor_t *executor)
{
    LIST_FOREACH (task, &executor->orders, sched_task_t, order_link) {
        if (!is_kept_back(sched, task)) {
            return true;
        }
    }
    return false;
}

static bool
has_orphan_stops(const sched_executor_t *executor)
{
    for (guint i = 0; i < executor->orphans->len; i++) {
        const sched_orphan_t *orphan = g_ptr_array_index(executor->orphans, i);

        if (orphan->stop_due) {
            return true;
        }
    }
    return false;
}

static void
add_orphan_stops(sched_executor_t *executor, GPtrArray *stops)
{
    for (guint i = 0; i < executor->orphans->len; i++) {
        sched_orphan_t *orphan = g_ptr_array_index(executor->orphans, i);

        if (orphan->stop_due) {
            orphan->stop_due = false;
            g_ptr_array_add(stops,
                            new_stop(g_strdup(orphan->task), orphan->run));
        }
    }
}

Teasel__ExecutorOrders *
sched_take_orders(const sched_t *sched, sched_executor_t *executor)
{
    GPtrArray *starts;
    GPtrArray *stops;
    GPtrArray *traits;
    Teasel__ExecutorOrders *orders;

    if (!has_orders(sched, executor) && !has_orphan_stops(executor) &&
        !executor->traits_unsent &&
        executor->end_sent == executor->end_stored) {
        return NULL;
    }
    starts = g_ptr_array_new();
    stops = g_ptr_array_new();
    traits = g_ptr_array_new();
    add_traits(executor, traits);
    LIST_FOREACH_SAFE (task, &executor->orders, sched_task_t, order_link) {
        if (!is_kept_back(sched, task)) {
            list_remove(&task->order_link);
            add_order(task, starts, stops);
        }
    }
    add_orphan_stops(executor, stops);
    executor->end_sent = executor->end_stored;
    orders = g_new(Teasel__ExecutorOrders, 1);
    teasel__executor_orders__init(orders);
    orders->key = g_strdup(executor->key);
    orders->end_cursor = executor->end_stored;
    orders->n_starts = starts->len;
    orders->starts = (Teasel__StartOrder **)g_ptr_array_free(starts, FALSE);
    orders->n_stops = stops->len;
    orders->stops = (Teasel__RunRef **)g_ptr_array_free(stops, FALSE);
    orders->n_traits = traits->len;
    orders->traits = (Teasel__RunTraits **)g_ptr_array_free(traits, FALSE);
    return orders;
}

void
sched_orders_free(Teasel__ExecutorOrders *orders)
{
    for (size_t i = 0; i < orders->n_starts; i++) {
        g_free(orders->starts[i]->task);
        g_free(orders->starts[i]->payload);
        g_free(orders->starts[i]->checkpoint);
        g_free(orders->starts[i]);
    }
    for (size_t i = 0; i < orders->n_stops; i++) {
        g_free(orders->stops[i]->task);
        g_free(orders->stops[i]);
    }
    for (size_t i = 0; i < orders->n_traits; i++) {
        g_free(orders->traits[i]->task);
        g_free(orders->traits[i]);
    }
    g_free(orders->traits);
    g_free(orders->starts);
    g_free(orders->stops);
    g_free(orders->key);
    g_free(orders);
}
