/* One incarnation of an executor: its beginning, its lease, its polls and its
   end. */

#include <math.h>
#include <string.h>

#include "base/events.h"
#include "base/text.h"
#include "node/node_internal.h"
#include "sched/executor.h"

enum {
    POLL_RETRY_MS = 150,
    /* The clock of an executor may be slow by 2%. */
    CLOCK_DRIFT_PERCENT = 3,
    EXPIRY_MARGIN_MS = 200,
    SILENT_AFTER_MS = 1500,
    /* Several times the interval of announcements. */
    ANNOUNCEMENT_VALID_MS = 10000,
};

static void
free_run_end(void *data)
{
    Teasel__RunEnd *end = data;

    g_free(end->task);
    g_free(end->checkpoint);
    g_free(end);
}

static void
free_rejected(void *data)
{
    Teasel__RejectedStart *rejected = data;

    g_free(rejected->task);
    g_free(rejected->reason);
    g_free(rejected);
}

static bool
has_capacity(const node_executor_t *executor, const executor_info_t *info)
{
    return executor->capacity.cpu_milli == info->cpu_milli &&
           executor->capacity.memory_mb == info->memory_mb &&
           executor->capacity.accelerators == info->accelerators;
}

/* Longest time that an interval on one of the two clocks takes on the
   other. */
static int64_t
add_clock_error(int64_t interval_ms)
{
    return interval_ms + interval_ms * CLOCK_DRIFT_PERCENT / 100 +
           EXPIRY_MARGIN_MS;
}

/* An announcement may be delayed, or come from another writer. Only the first
   one is taken as it is. */
static bool
is_plausible_clock(const node_executor_t *executor, int64_t clock_ms,
                   int64_t now_ms)
{
    int64_t passed_ms = now_ms - executor->clock_read_ms;

    return executor->clock_ms < 0 ||
           (clock_ms >= executor->clock_ms &&
            clock_ms <= executor->clock_ms + add_clock_error(passed_ms));
}

void
node_executor_update(node_executor_t *executor, const executor_info_t *info)
{
    int64_t now_ms = node_now_ms(executor->node);

    if (info->draining && !executor->draining) {
        event_log(EVENT_EXECUTOR_DRAINING, "executor=%s remaining_ms=%u",
                  executor->key, info->remaining_ms);
    }
    executor->unreported |=
        info->draining != executor->draining || !has_capacity(executor, info);
    text_replace(&executor->service, info->service);
    text_replace(&executor->data_centre, info->data_centre);
    text_replace(&executor->rack, info->rack);
    g_strfreev(executor->labels);
    executor->labels = g_new0(char *, info->label_count + 1);
    for (size_t i = 0; i < info->label_count; i++) {
        executor->labels[i] = g_strdup(info->labels[i]);
    }
    executor->capacity.cpu_milli = info->cpu_milli;
    executor->capacity.memory_mb = info->memory_mb;
    executor->capacity.accelerators = info->accelerators;
    executor->draining = info->draining;
    executor->leaves_ms = now_ms + info->remaining_ms;
    executor->announced_ms = now_ms;
    if (is_plausible_clock(executor, info->clock_ms, now_ms)) {
        executor->clock_ms = info->clock_ms;
        executor->clock_read_ms = now_ms;
    }
}

node_executor_t *
node_executor_new(node_t *node, const executor_info_t *info, GError **error)
{
    executor_api_t *api = node->opts.connect(
        node->opts.loop, info->address, info->id, info->started_ms, error);
    node_executor_t *executor;

    if (api == NULL) {
        return NULL;
    }
    executor = g_new0(node_executor_t, 1);
    executor->node = node;
    executor->api = api;
    executor->key =
        sched_executor_key(info->address, info->id, info->started_ms);
    executor->id = g_strdup(info->id);
    executor->started_ms = info->started_ms;
    executor->address = g_strdup(info->address);
    executor->ends = g_ptr_array_new_with_free_func(free_run_end);
    executor->rejected = g_ptr_array_new_with_free_func(free_rejected);
    executor->full_report_due = true;
    executor->clock_ms = -1;
    executor->effect_limit = INFINITY;
    teasel__capacity__init(&executor->capacity);
    list_init(&executor->runs);
    list_init(&executor->calls);
    list_append(&node->executors, &executor->link);
    announcement_filter_init(&executor->announcements, info);
    node_executor_update(executor, info);
    event_log(EVENT_EXECUTOR_JOINED,
              "executor=%s service=%s cpu_milli=%u "
              "memory_mb=%u",
              executor->key, executor->service, info->cpu_milli,
              info->memory_mb);
    return executor;
}

void
node_executor_free(node_executor_t *executor)
{
    LIST_FOREACH_SAFE (run, &executor->runs, run_t, link) {
        run_free(run);
    }
    executor->api->vtbl->free(executor->api);
    LIST_FOREACH_SAFE (call, &executor->calls, run_call_t, link) {
        run_call_free(call);
    }
    list_remove(&executor->link);
    announcement_filter_clear(&executor->announcements);
    g_ptr_array_unref(executor->ends);
    g_ptr_array_unref(executor->rejected);
    g_strfreev(executor->labels);
    g_free(executor->key);
    g_free(executor->predecessor);
    g_free(executor->id);
    g_free(executor->address);
    g_free(executor->service);
    g_free(executor->data_centre);
    g_free(executor->rack);
    g_free(executor);
}

/* All runs have ended once the last lease has expired on the executor's
   clock. */
static bool
has_lease_expired(const node_executor_t *executor)
{
    int64_t lease_ms = executor->deadline_ms - executor->clock_ms;
    int64_t passed_ms = node_now_ms(executor->node) - executor->clock_read_ms;

    return executor->polled && executor->silent &&
           passed_ms > add_clock_error(lease_ms);
}

uint32_t
node_executor_get_held_ms(const node_executor_t *executor)
{
    const node_t *node = executor->node;
    int64_t clock_ms =
        executor->clock_ms + node_now_ms(node) - executor->clock_read_ms;
    int64_t held_ms = executor->deadline_ms - clock_ms;

    return held_ms > node->longest_lease_ms ? (uint32_t)held_ms : 0;
}

static unsigned
count_starting(const node_executor_t *executor)
{
    unsigned starting = 0;

    LIST_FOREACH (run, &executor->runs, run_t, link) {
        starting += run_is_starting(run);
    }
    return starting;
}

static Teasel__CrashedRun *
new_crashed_run(const node_executor_t *executor, const run_t *run, bool alone)
{
    Teasel__CrashedRun *crashed = g_new(Teasel__CrashedRun, 1);

    teasel__crashed_run__init(crashed);
    crashed->task = g_strdup(run->task);
    crashed->run = run->run;
    crashed->alone = alone;
    crashed->unconfirmed = !run->state.confirmed;
    crashed->executor = g_strdup(executor->key);
    return crashed;
}

/* An executor that has said that it ends has not crashed. A run that was not
   confirmed may not have begun. An executor that only fell silent may not have
   crashed, so that this proves nothing of a run that started alone. */
static void
note_crashed_runs(node_executor_t *executor)
{
    node_t *node = executor->node;
    bool alone;

    if (executor->ended_by_ms != 0) {
        return;
    }
    alone = count_starting(executor) == 1 && !has_lease_expired(executor);
    LIST_FOREACH (run, &executor->runs, run_t, link) {
        if (run_is_starting(run)) {
            notice_list_add(node->crashes,
                            new_crashed_run(executor, run, alone),
                            node_now_ms(node));
        }
    }
}

/* Freed later, as this may be called from a callback of the API. */
static void
mark_ended(node_executor_t *executor, const char *reason)
{
    event_log(EVENT_EXECUTOR_GONE, "executor=%s reason=\"%s\"", executor->key,
              reason);
    note_crashed_runs(executor);
    executor->has_ended = true;
    node_schedule_report(executor->node);
}

void
node_executor_end(node_executor_t *executor, const char *reason)
{
    if (executor->has_ended) {
        return;
    }
    /* Only incarnations that have answered were reported. */
    if (executor->polled) {
        notice_list_add(executor->node->ended_keys, g_strdup(executor->key),
                        node_now_ms(executor->node));
    }
    mark_ended(executor, reason);
}

void
node_executor_replace(node_executor_t *executor, node_executor_t *older)
{
    if (older->has_ended) {
        return;
    }
    g_free(executor->predecessor);
    executor->predecessor = g_strdup(older->key);
    mark_ended(older, "restarted under its id");
}

bool
node_executor_check_result(node_executor_t *executor, executor_result_t result)
{
    if (executor->has_ended) {
        return false;
    }
    if (result == EXECUTOR_WRONG_INCARNATION ||
        (result == EXECUTOR_RESTARTED && !executor->polled)) {
        node_executor_end(executor, "another incarnation answered");
        return false;
    }
    if (result == EXECUTOR_RESTARTED && executor->restarted_ms == 0) {
        executor->restarted_ms = node_now_ms(executor->node);
        executor->unreported = true;
        node_schedule_report(executor->node);
    }
    return executor->restarted_ms == 0;
}

bool
node_executor_is_known(const node_executor_t *executor, uint64_t echo_us)
{
    return executor->heartbeat_us != 0 && echo_us >= executor->heartbeat_us;
}

void
node_executor_renew_lease(node_executor_t *executor, uint64_t echo_us,
                          uint32_t lease_ms)
{
    if (!node_executor_is_known(executor, echo_us)) {
        return;
    }
    executor->lease_until_ms =
        MAX(executor->lease_until_ms, (int64_t)(echo_us / 1000) + lease_ms);
}

int64_t
node_executor_get_deadline(const node_executor_t *executor)
{
    /* The executor read its clock before its answer arrived here, so the
       result is never too late. A silent executor gets no further lease, as it
       may still receive calls that it does not answer; before it counts as
       silent, the lease is counted from its last answer at most. */
    if (executor->clock_ms < 0 || executor->silent ||
        node_now_ms(executor->node) >= executor->lease_until_ms) {
        return 0;
    }
    return executor->clock_ms +
           MIN(executor->lease_until_ms - executor->clock_read_ms,
               executor->node->longest_lease_ms);
}

static bool
is_young(const node_executor_t *executor)
{
    return executor->clock_ms <
           SCHED_YOUNG_LEASES * executor->node->opts.settings->max_lease_ms;
}

/* Returns the longest lease that an earlier agent process may have passed on.
   An executor that has restarted under its id has a new clock: it may have
   taken a time on the clock of its predecessor for the end of its lease, which
   it shortens to max_lease_ms. Such calls arrive only for some time after its
   start. */
static int64_t
get_inherited_lease_ms(const node_executor_t *executor)
{
    const node_t *node = executor->node;

    return is_young(executor) ? node->opts.settings->max_lease_ms
                              : node->longest_lease_ms;
}

static void
update_lease(node_executor_t *executor)
{
    int64_t max_lease_ms = executor->node->opts.settings->max_lease_ms;

    if (!executor->polled) {
        executor->deadline_ms =
            executor->clock_ms + get_inherited_lease_ms(executor);
        return;
    }
    /* Calls for its predecessor may arrive yet, if they are not bound to the
       connections of that one. */
    if (executor->predecessor != NULL && is_young(executor)) {
        executor->deadline_ms = executor->clock_ms + max_lease_ms;
        return;
    }
    /* The executor has shortened a longer lease. */
    executor->deadline_ms =
        MIN(executor->deadline_ms, executor->clock_ms + max_lease_ms);
}

static void
handle_poll_reply(node_executor_t *executor,
                  const executor_poll_reply_t *reply)
{
    int64_t now_ms = node_now_ms(executor->node);

    executor->clock_ms = reply->clock_ms;
    executor->clock_read_ms = now_ms;
    update_lease(executor);
    if (executor->silent) {
        event_log(EVENT_EXECUTOR_JOINED, "executor=%s answers again",
                  executor->key);
    }
    executor->silent = false;
    node_executor_apply_lists(executor, reply, now_ms);
    if (!executor->polled) {
        executor->polled = true;
        executor->unreported = true;
        node_end_older_incarnations(executor);
    }
    throttle_update(executor);
}

static void
on_polled(executor_result_t result, const executor_poll_reply_t *reply,
          void *data)
{
    node_executor_t *executor = data;
    int64_t now_ms = node_now_ms(executor->node);

    executor->polling = false;
    if (!node_executor_check_result(executor, result)) {
        return;
    }
    executor->poll_failed = result != EXECUTOR_OK;
    executor->unreachable = result == EXECUTOR_NOT_SENT;
    if (result != EXECUTOR_OK) {
        executor->node->poll_failures++;
        if (!executor->silent &&
            now_ms - executor->clock_read_ms > SILENT_AFTER_MS) {
            executor->silent = true;
            event_log(EVENT_EXECUTOR_SILENT,
                      "executor=%s heard_ms=%" G_GINT64_FORMAT, executor->key,
                      now_ms - executor->clock_read_ms);
        }
        executor->retry_ms = now_ms + POLL_RETRY_MS;
        return;
    }
    handle_poll_reply(executor, reply);
    node_executor_check(executor);
    if (executor->unreported) {
        node_schedule_report(executor->node);
    }
}

static void
send_poll(node_executor_t *executor)
{
    node_t *node = executor->node;
    executor_poll_t poll = {
        /* Only an answer proves that the incarnation exists. */
        .deadline_ms =
            executor->polled ? node_executor_get_deadline(executor) : 0,
        .fencing_token = node->epoch,
        /* An executor may have restarted since a poll without an answer; a
           later incarnation numbers its ends anew. */
        .cursor = executor->poll_failed ? 0 : executor->end_cursor,
        .wait_ms =
            executor->polled ? (uint64_t)node->opts.settings->poll_wait_ms : 0,
    };

    executor->deadline_ms = MAX(executor->deadline_ms, poll.deadline_ms);
    executor->polling = true;
    executor->poll_sent_ms = node_now_ms(node);
    node->polls++;
    executor->api->vtbl->poll(executor->api, &poll, on_polled, executor);
}

/* An executor may stay for some time after it has said that it ends. */
static bool
has_shut_down(const node_executor_t *executor, int64_t now_ms)
{
    return executor->ended_by_ms != 0 && now_ms >= executor->ended_by_ms &&
           executor->unreachable;
}

/* A later incarnation that does not announce itself has ended too, or has lost
   the lease of what it runs. */
static void
check_successor(node_executor_t *executor, int64_t now_ms)
{
    int64_t lease_ms = executor->node->opts.settings->max_lease_ms;

    if (now_ms - executor->restarted_ms > add_clock_error(lease_ms)) {
        node_executor_end(executor, "its successor did not announce itself");
    }
}

void
node_executor_check(node_executor_t *executor)
{
    int64_t now_ms = node_now_ms(executor->node);

    if (executor->has_ended || executor->node->epoch == 0) {
        return;
    }
    if (executor->restarted_ms != 0) {
        check_successor(executor, now_ms);
        return;
    }
    if (has_shut_down(executor, now_ms)) {
        node_executor_end(executor, "shut down");
        return;
    }
    if (has_lease_expired(executor)) {
        node_executor_end(executor, "no answer until its lease expired");
        return;
    }
    if (!executor->polled &&
        now_ms - executor->announced_ms > ANNOUNCEMENT_VALID_MS) {
        node_executor_end(executor, "never answered");
        return;
    }
    LIST_FOREACH_SAFE (run, &executor->runs, run_t, link) {
        run_check(run);
    }
    if (!executor->polling && now_ms >= executor->retry_ms) {
        send_poll(executor);
    }
}
