/* Reports to the leading scheduler. */

#include "node/node_internal.h"

typedef struct report {
    GPtrArray *executors;
    GPtrArray *allocated; /* memory that is freed with the report */
} report_t;

static void *
allocate(report_t *report, size_t size)
{
    void *memory = g_malloc0(size);

    g_ptr_array_add(report->allocated, memory);
    return memory;
}

static Teasel__RunStatus *
new_status(report_t *report, const run_t *run)
{
    Teasel__RunStatus *status = allocate(report, sizeof(*status));

    teasel__run_status__init(status);
    status->task = run->task;
    status->run = run->run;
    status->percent = run->percent;
    status->figure = run->measured;
    status->pending = !run->state.confirmed;
    status->settled = run->settled;
    status->slowdown = 100 - run->throttle_percent;
    if (run->checkpoint != NULL) {
        status->checkpoint = run->checkpoint;
    }
    return status;
}

static void
add_running(report_t *report, node_executor_t *executor,
            Teasel__ExecutorReport *message, bool all)
{
    size_t count = 0;

    LIST_FOREACH (run, &executor->runs, run_t, link) {
        count++;
    }
    message->running = allocate(report, (count + 1) * sizeof(void *));
    LIST_FOREACH (run, &executor->runs, run_t, link) {
        if (all || run->unreported) {
            message->running[message->n_running++] = new_status(report, run);
            run->unreported = false;
        }
    }
}

static void
describe(report_t *report, node_executor_t *executor,
         Teasel__ExecutorReport *message)
{
    int64_t left_ms = executor->leaves_ms - node_now_ms(executor->node);

    message->key = executor->key;
    message->service = executor->service;
    message->data_centre = executor->data_centre;
    message->rack = executor->rack;
    message->labels = executor->labels;
    message->n_labels = g_strv_length(executor->labels);
    message->capacity = &executor->capacity;
    if (executor->predecessor != NULL) {
        message->predecessor = executor->predecessor;
    }
    /* Nothing can be started until the later incarnation is known. */
    message->draining = executor->draining || executor->restarted_ms != 0;
    message->remaining_ms = (uint32_t)MAX(0, left_ms);
    message->held_ms = node_executor_get_held_ms(executor);
}

static void
add_executor(report_t *report, node_executor_t *executor, bool heartbeat)
{
    Teasel__ExecutorReport *message = allocate(report, sizeof(*message));
    guint from = executor->full_report_due ? 0 : executor->ends_sent;

    teasel__executor_report__init(message);
    describe(report, executor, message);
    message->listed = executor->full_report_due;
    message->has_figures = heartbeat;
    add_running(report, executor, message,
                heartbeat || executor->full_report_due);
    message->ended = (Teasel__RunEnd **)executor->ends->pdata + from;
    message->n_ended = executor->ends->len - from;
    message->rejected = (Teasel__RejectedStart **)executor->rejected->pdata;
    message->n_rejected = executor->rejected->len;
    g_ptr_array_add(report->executors, message);
}

static void
add_ended_executor(report_t *report, char *key)
{
    Teasel__ExecutorReport *message = allocate(report, sizeof(*message));

    teasel__executor_report__init(message);
    message->key = key;
    message->gone = true;
    g_ptr_array_add(report->executors, message);
}

/* Only incarnations that have answered are known to exist. */
static bool
is_reportable(const node_executor_t *executor)
{
    return executor->polled && !executor->has_ended;
}

/* A heartbeat contains all executors that can be reported. The leader counts
   leases from it, so no lease is older than the report on its executor. */
static void
begin_heartbeat(node_t *node)
{
    node->heartbeat_us =
        MAX((uint64_t)node_now_ms(node) * 1000, node->heartbeat_us + 1);
    LIST_FOREACH (executor, &node->executors, node_executor_t, link) {
        if (is_reportable(executor) && executor->heartbeat_us == 0) {
            executor->heartbeat_us = node->heartbeat_us;
        }
    }
}

static bool
is_full_report_due(const node_t *node)
{
    LIST_FOREACH (executor, &node->executors, node_executor_t, link) {
        if (is_reportable(executor) && executor->full_report_due) {
            return true;
        }
    }
    return false;
}

static void
mark_reported(node_t *node)
{
    LIST_FOREACH (executor, &node->executors, node_executor_t, link) {
        if (!is_reportable(executor)) {
            continue;
        }
        executor->full_report_due = false;
        executor->unreported = false;
        executor->ends_sent = executor->ends->len;
        g_ptr_array_set_size(executor->rejected, 0);
    }
    notice_list_mark_sent(node->ended_keys, node_now_ms(node));
    notice_list_mark_sent(node->crashes, node_now_ms(node));
}

void
node_send_report(node_t *node, bool heartbeat)
{
    Teasel__NodeReport message = TEASEL__NODE_REPORT__INIT;
    report_t report = {
        .executors = g_ptr_array_new(),
        .allocated = g_ptr_array_new_with_free_func(g_free),
    };
    void **ended;
    size_t ended_count;

    heartbeat |= is_full_report_due(node);
    ended = notice_list_get_unsent(node->ended_keys, &ended_count);
    for (size_t i = 0; i < ended_count; i++) {
        add_ended_executor(&report, ended[i]);
    }
    LIST_FOREACH (executor, &node->executors, node_executor_t, link) {
        if (is_reportable(executor) && (heartbeat || executor->unreported)) {
            add_executor(&report, executor, heartbeat);
        }
    }
    message.crashed = (Teasel__CrashedRun **)notice_list_get_unsent(
        node->crashes, &message.n_crashed);
    message.n_executors = report.executors->len;
    message.executors = (Teasel__ExecutorReport **)report.executors->pdata;
    if (heartbeat) {
        begin_heartbeat(node);
        message.sent_us = node->heartbeat_us;
    }
    if ((heartbeat || message.n_executors > 0 || message.n_crashed > 0) &&
        node_link_send(node->link, &message)) {
        mark_reported(node);
    }
    g_ptr_array_unref(report.executors);
    g_ptr_array_unref(report.allocated);
}
