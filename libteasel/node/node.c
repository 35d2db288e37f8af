#include "node/node.h"

#include <string.h>

#include "base/events.h"
#include "base/metrics.h"
#include "node/node_internal.h"

enum {
    TICK_MS = 50,
    /* An executor exits within this time after it announced its end. */
    LEAVE_GRACE_MS = 300,
    /* Longer than an agent usually needs to find a new leader. */
    KEEP_CRASHES_MS = 20000,
    /* A leader that cannot write to the store may be followed by one that
       finds the incarnation in its records. */
    KEEP_ENDS_MS = 60000,
};

int64_t
node_now_ms(const node_t *node)
{
    return (int64_t)timespec_to_ms(clock_get_monotonic(node->opts.clock));
}

void
node_schedule_report(node_t *node)
{
    if (!loop_timer_is_active(&node->flush)) {
        loop_timer_start(&node->flush, 0);
    }
}

static void
free_ended_executors(node_t *node)
{
    LIST_FOREACH_SAFE (executor, &node->executors, node_executor_t, link) {
        if (executor->has_ended) {
            node_executor_free(executor);
        }
    }
}

static void
on_flush(loop_timer_t *timer)
{
    node_t *node = timer->data;

    free_ended_executors(node);
    node_send_report(node, false);
}

/* A notice of an end names no incarnation, so a late one may be of an earlier
   incarnation under the id. One that leaves announces itself as draining. */
static void
withdraw_stale_notice(node_executor_t *executor)
{
    int64_t noticed_ms = executor->ended_by_ms - LEAVE_GRACE_MS;

    if (executor->ended_by_ms != 0 && !executor->draining &&
        executor->announced_ms > noticed_ms) {
        executor->ended_by_ms = 0;
    }
}

static void
on_tick(loop_timer_t *timer)
{
    node_t *node = timer->data;
    int64_t now_ms = node_now_ms(node);

    loop_timer_start(timer, TICK_MS);
    LIST_FOREACH_SAFE (executor, &node->executors, node_executor_t, link) {
        withdraw_stale_notice(executor);
        node_executor_check(executor);
    }
    free_ended_executors(node);
    if (now_ms - node->reported_ms >= node->opts.settings->report_ms &&
        node_link_is_open(node->link)) {
        node->reported_ms = now_ms;
        node_send_report(node, true);
    }
}

static gboolean
is_key_at_address(gconstpointer key, gconstpointer address)
{
    size_t length = strlen(address);

    return strncmp(key, address, length) == 0 &&
           ((const char *)key)[length] == '/';
}

/* The leader takes the notice that an incarnation has ended for the end of the
   older ones at its address as well. A live one there may be an incarnation
   that was given up and answers again, or one that seems to be older because
   the wall clock was set back. */
static void
withdraw_ends_at_live_addresses(node_t *node)
{
    LIST_FOREACH (executor, &node->executors, node_executor_t, link) {
        if (executor->polled && !executor->has_ended) {
            notice_list_remove(node->ended_keys, is_key_at_address,
                               executor->address);
        }
    }
}

static void
request_full_report(node_t *node)
{
    withdraw_ends_at_live_addresses(node);
    LIST_FOREACH (executor, &node->executors, node_executor_t, link) {
        executor->full_report_due = true;
        executor->unreported = true;
        executor->ends_sent = 0;
    }
    notice_list_resend(node->ended_keys);
    notice_list_resend(node->crashes);
    node_schedule_report(node);
}

static node_executor_t *
find_executor(node_t *node, const char *key)
{
    LIST_FOREACH (executor, &node->executors, node_executor_t, link) {
        if (!executor->has_ended && strcmp(executor->key, key) == 0) {
            return executor;
        }
    }
    return NULL;
}

/* An executor does not accept a lease of more than max_lease_ms. */
static void
learn_longest_lease(node_t *node, const Teasel__NodeOrders *orders)
{
    int64_t max_lease_ms = node->opts.settings->max_lease_ms;

    node->longest_lease_ms = orders->longest_lease_ms > 0
                                 ? MIN(orders->longest_lease_ms, max_lease_ms)
                                 : max_lease_ms;
}

bool
node_is_evacuated(const node_t *node, const char *data_centre)
{
    return node->evacuated != NULL &&
           g_strv_contains((const char *const *)node->evacuated, data_centre);
}

static bool
names_evacuated(const node_t *node, const Teasel__Evacuation *evacuation)
{
    if (node->evacuated == NULL ||
        g_strv_length(node->evacuated) != evacuation->n_data_centres) {
        return false;
    }
    for (size_t i = 0; i < evacuation->n_data_centres; i++) {
        if (!node_is_evacuated(node, evacuation->data_centres[i])) {
            return false;
        }
    }
    return true;
}

/* A leader that does not know the evacuations changes none, and orders no
   starts. */
static void
learn_evacuation(node_t *node, const Teasel__Evacuation *evacuation)
{
    size_t count = evacuation != NULL ? evacuation->n_data_centres : 0;
    bool any = count > 0 || node->evacuated != NULL;
    g_autofree char *names = NULL;

    if (evacuation == NULL || !any || names_evacuated(node, evacuation)) {
        return;
    }
    g_strfreev(node->evacuated);
    node->evacuated = g_new0(char *, count + 1);
    for (size_t i = 0; i < count; i++) {
        node->evacuated[i] = g_strdup(evacuation->data_centres[i]);
    }
    names = g_strjoinv(",", node->evacuated);
    event_log(EVENT_EVACUATION_CHANGED, "data_centres=\"%s\"", names);
}

static void
drop_unsent_starts(node_executor_t *executor)
{
    LIST_FOREACH_SAFE (run, &executor->runs, run_t, link) {
        if (run->state.phase == RUN_QUEUED && !run->state.stop_requested) {
            event_log(EVENT_START_DROPPED, "task=%s run=%u executor=%s",
                      run->task, run->run, executor->key);
            run_free(run);
            executor->unreported = true;
        }
    }
}

/* Drops what was ordered on an earlier connection, or by an earlier leader.
   The job may have been cancelled since, and a lease may arrive before the
   stop. The leader repeats the starts that the next complete list lacks. */
static void
drop_old_orders(node_t *node)
{
    LIST_FOREACH (executor, &node->executors, node_executor_t, link) {
        drop_unsent_starts(executor);
    }
}

/* The leader may have ordered before it received that an executor had been
   given up, and have ended the runs there since; the executor may answer again
   under the same key. Orders count once the leader knows it anew; it repeats
   what the first list of the executor lacks. */
static void
apply_orders(node_t *node, const Teasel__ExecutorOrders *orders,
             uint64_t echo_us)
{
    node_executor_t *executor = find_executor(node, orders->key);

    if (executor == NULL) {
        return;
    }
    if (!node_executor_is_known(executor, echo_us)) {
        event_log(EVENT_ORDERS_DROPPED, "executor=%s starts=%zu stops=%zu",
                  executor->key, orders->n_starts, orders->n_stops);
        return;
    }
    node_executor_order(executor, orders);
}

static void
on_orders(const Teasel__NodeOrders *orders, void *data)
{
    node_t *node = data;
    bool is_first_epoch = node->epoch == 0;

    if (orders->epoch > node->epoch) {
        drop_old_orders(node);
    }
    node->epoch = MAX(node->epoch, orders->epoch);
    node->ordered_ms = node_now_ms(node);
    learn_longest_lease(node, orders);
    learn_evacuation(node, orders->evacuation);
    LIST_FOREACH (executor, &node->executors, node_executor_t, link) {
        node_executor_renew_lease(executor, orders->echo_us, orders->lease_ms);
    }
    if (orders->send_lists) {
        request_full_report(node);
    }
    for (size_t i = 0; i < orders->n_executors; i++) {
        apply_orders(node, orders->executors[i], orders->echo_us);
    }
    if (is_first_epoch) {
        LIST_FOREACH (executor, &node->executors, node_executor_t, link) {
            node_executor_check(executor);
        }
    }
}

static void
on_connection_changed(bool open, void *data)
{
    node_t *node = data;

    if (!open) {
        return;
    }
    drop_old_orders(node);
    request_full_report(node);
    node->reported_ms = node_now_ms(node);
    node_send_report(node, true);
}

static void
free_crashed_run(void *data)
{
    Teasel__CrashedRun *run = data;

    g_free(run->task);
    g_free(run->executor);
    g_free(run);
}

node_t *
node_new(const node_opts_t *opts, GError **error)
{
    node_t *node = g_new0(node_t, 1);
    node_link_opts_t link_opts = {
        .loop = opts->loop,
        .clock = opts->clock,
        .store = opts->store,
        .name = opts->settings->name,
        .silence_ms = (uint64_t)opts->settings->silence_ms,
        .on_orders = on_orders,
        .on_connection_changed = on_connection_changed,
        .data = node,
    };

    node->opts = *opts;
    node->longest_lease_ms = opts->settings->max_lease_ms;
    node->ended_keys = notice_list_new(KEEP_ENDS_MS, g_free);
    node->crashes = notice_list_new(KEEP_CRASHES_MS, free_crashed_run);
    list_init(&node->executors);
    loop_timer_init(&node->tick, opts->loop, on_tick, node);
    loop_timer_init(&node->flush, opts->loop, on_flush, node);
    loop_timer_start(&node->tick, TICK_MS);
    node->link = node_link_new(&link_opts);
    event_log(EVENT_NODE_STARTED, "name=%s data_centre=%s",
              opts->settings->name, opts->settings->data_centre);
    return node;
}

void
node_free(node_t *node)
{
    if (node == NULL) {
        return;
    }
    loop_timer_stop(&node->tick);
    loop_timer_stop(&node->flush);
    node_link_free(node->link);
    LIST_FOREACH_SAFE (executor, &node->executors, node_executor_t, link) {
        node_executor_free(executor);
    }
    notice_list_free(node->ended_keys);
    notice_list_free(node->crashes);
    g_strfreev(node->evacuated);
    g_free(node);
}

static bool
is_same_incarnation(const node_executor_t *executor,
                    const executor_info_t *info)
{
    return strcmp(executor->id, info->id) == 0 &&
           executor->started_ms == info->started_ms &&
           strcmp(executor->address, info->address) == 0;
}

/* Only one incarnation at a time has an id or an address. */
static bool
has_id_or_address(const node_executor_t *executor, const char *id,
                  const char *address)
{
    return strcmp(executor->id, id) == 0 ||
           strcmp(executor->address, address) == 0;
}

static bool
is_older_incarnation(const node_executor_t *other,
                     const node_executor_t *executor)
{
    return (other->started_ms < executor->started_ms ||
            other->restarted_ms != 0) &&
           other != executor &&
           has_id_or_address(other, executor->id, executor->address);
}

/* Announcements of an incarnation may be delayed until a later one has
   answered. */
static bool
is_superseded(const node_executor_t *executor, const executor_info_t *info)
{
    return executor->polled && executor->restarted_ms == 0 &&
           executor->started_ms > info->started_ms &&
           has_id_or_address(executor, info->id, info->address);
}

void
node_end_older_incarnations(node_executor_t *executor)
{
    LIST_FOREACH_SAFE (other, &executor->node->executors, node_executor_t,
                       link) {
        if (!is_older_incarnation(other, executor)) {
            continue;
        }
        if (strcmp(other->id, executor->id) == 0 &&
            strcmp(other->address, executor->address) == 0) {
            node_executor_replace(executor, other);
        }
        else {
            node_executor_end(other, "replaced by a later incarnation");
        }
    }
}

static bool
start_executor(node_t *node, const executor_info_t *info)
{
    g_autoptr(GError) error = NULL;
    node_executor_t *executor = node_executor_new(node, info, &error);

    if (executor == NULL) {
        event_log(EVENT_ANNOUNCEMENT_INVALID, "id=%s error=\"%s\"", info->id,
                  error->message);
        return false;
    }
    node_executor_check(executor);
    return true;
}

/* Returns false if another writer has made the announcement. */
static bool
announce_again(node_executor_t *executor, const executor_info_t *info)
{
    announcement_verdict_t verdict = announcement_filter_judge(
        &executor->announcements, info, node_now_ms(executor->node));

    if (verdict == ANNOUNCEMENT_LATE || verdict == ANNOUNCEMENT_ODD) {
        return verdict == ANNOUNCEMENT_LATE;
    }
    if (verdict == ANNOUNCEMENT_RESUMED) {
        /* The leader learns a changed service only from a complete list. */
        executor->full_report_due = true;
        executor->unreported = true;
        event_log(EVENT_EXECUTOR_JOINED,
                  "executor=%s service=%s announces itself anew",
                  executor->key, info->service);
    }
    node_executor_update(executor, info);
    node_executor_check(executor);
    node_schedule_report(executor->node);
    return true;
}

bool
node_announce_executor(node_t *node, const executor_info_t *info)
{
    LIST_FOREACH_SAFE (executor, &node->executors, node_executor_t, link) {
        if (executor->has_ended) {
            continue;
        }
        if (is_superseded(executor, info)) {
            return false;
        }
        if (is_same_incarnation(executor, info)) {
            return announce_again(executor, info);
        }
    }
    return start_executor(node, info);
}

void
node_retire_executor(node_t *node, const char *id)
{
    LIST_FOREACH (executor, &node->executors, node_executor_t, link) {
        if (strcmp(executor->id, id) == 0 && executor->ended_by_ms == 0) {
            executor->ended_by_ms = node_now_ms(node) + LEAVE_GRACE_MS;
        }
    }
}

void
node_write_metrics(const node_t *node, GString *out)
{
    metrics_write_counter(out, "teasel_starts_total",
                          "Starts sent to executors.", node->starts);
    metrics_write_counter(out, "teasel_starts_rejected_total",
                          "Runs that were not started.", node->rejections);
    metrics_write_counter(out, "teasel_polls_total", "Polls of executors.",
                          node->polls);
    metrics_write_counter(out, "teasel_poll_failures_total",
                          "Polls without a complete answer.",
                          node->poll_failures);
}
