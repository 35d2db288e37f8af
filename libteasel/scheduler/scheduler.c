#include "scheduler/scheduler.h"

#include "base/events.h"
#include "base/http_server.h"
#include "cluster/cluster.h"
#include "scheduler/gateway.h"
#include "scheduler/leader.h"
#include "scheduler/retry_after.h"

enum {
    TICK_MS = 100,
    /* A leader that cannot write for this long resigns if another scheduler
       reaches the store. */
    RESIGN_AFTER_MS = 300,
    /* A planned stop waits at most this long for the pending write. */
    WRITE_FINISH_TIMEOUT_MS = 500,
};

struct scheduler {
    scheduler_opts_t opts;
    cluster_t *cluster;
    gateway_t *gateway;
    leader_t *leader;
    queue_table_t *queues;
    evacuation_t *evacuation;
    GRand *random;
    int64_t started_ms;
    http_server_t *metrics;
    loop_timer_t tick;
    loop_timer_t fenced_timer;
    int64_t store_failed_ms;
    int64_t leave_began_ms;
    bool leaving;
};

static int64_t
now_ms(const scheduler_t *scheduler)
{
    return (int64_t)timespec_to_ms(clock_get_monotonic(scheduler->opts.clock));
}

static int64_t
get_acked_ms(void *data)
{
    const scheduler_t *scheduler = data;

    return cluster_get_acked_ms(scheduler->cluster);
}

static int64_t
get_view_acked_ms(void *data)
{
    const scheduler_t *scheduler = data;

    return cluster_get_view_acked_ms(scheduler->cluster);
}

static bool
has_stale_leader(int64_t fenced_ms, void *data)
{
    const scheduler_t *scheduler = data;

    return cluster_has_stale_leader(scheduler->cluster, fenced_ms);
}

static bool
is_alone(void *data)
{
    const scheduler_t *scheduler = data;

    return cluster_is_alone(scheduler->cluster);
}

static void
request_acks(void *data)
{
    scheduler_t *scheduler = data;

    cluster_request_acks(scheduler->cluster);
}

static void
on_store_change(bool available, void *data)
{
    scheduler_t *scheduler = data;

    scheduler->store_failed_ms = available ? 0 : now_ms(scheduler);
    cluster_set_store_available(scheduler->cluster, available);
}

static void
resign_fenced(loop_timer_t *timer)
{
    scheduler_t *scheduler = timer->data;

    cluster_resign(scheduler->cluster, "the store rejected a write as fenced");
}

static void
on_fenced(const char *reason, void *data)
{
    scheduler_t *scheduler = data;

    event_log(EVENT_WRITE_FAILED, "topic=jobs status=%s", reason);
    /* Deferred, as the leader must not be freed inside its own callback. */
    loop_timer_start(&scheduler->fenced_timer, 0);
}

static void
on_elected(uint64_t epoch, void *data)
{
    scheduler_t *scheduler = data;
    const scheduler_settings_t *settings = scheduler->opts.settings;
    leader_opts_t opts = {
        .loop = scheduler->opts.loop,
        .clock = scheduler->opts.clock,
        .store = scheduler->opts.store,
        .epoch = epoch,
        .lease_ms = settings->lease_ms,
        .max_lease_ms = settings->max_lease_ms,
        .retain_ms = settings->retain_ms,
        .stop_ms = settings->stop_run_ms,
        .record_bytes = (size_t)settings->record_bytes,
        .evacuation = scheduler->evacuation,
        .random = scheduler->random,
        .remote_factor = settings->remote_run_factor,
        .max_storeless_ms = CLUSTER_MAX_STORELESS_MS,
        .get_acked_ms = get_acked_ms,
        .get_view_acked_ms = get_view_acked_ms,
        .is_alone = is_alone,
        .has_stale_leader = has_stale_leader,
        .request_acks = request_acks,
        .on_store_change = on_store_change,
        .on_fenced = on_fenced,
        .data = scheduler,
    };

    scheduler->store_failed_ms = 0;
    gateway_set_leader(scheduler->gateway, NULL);
    leader_free(scheduler->leader);
    scheduler->leader = leader_new(&opts);
    gateway_set_leader(scheduler->gateway, scheduler->leader);
}

static void
on_deposed(void *data)
{
    scheduler_t *scheduler = data;

    loop_timer_stop(&scheduler->fenced_timer);
    gateway_set_leader(scheduler->gateway, NULL);
    leader_free(scheduler->leader);
    scheduler->leader = NULL;
}

static void
on_leader_ready(void *data)
{
    scheduler_t *scheduler = data;

    gateway_resend(scheduler->gateway);
}

static void
on_status(void *data)
{
    scheduler_t *scheduler = data;

    if (scheduler->leader != NULL) {
        leader_answer_proven(scheduler->leader);
    }
}

static void
on_answer(const Teasel__JobAnswer *answer, void *data)
{
    scheduler_t *scheduler = data;

    gateway_handle_answer(scheduler->gateway, answer);
}

static void
send_answer(const Teasel__JobAnswer *answer, void *data)
{
    Teasel__Envelope envelope = TEASEL__ENVELOPE__INIT;

    envelope.body_case = TEASEL__ENVELOPE__BODY_JOB_ANSWER;
    envelope.job_answer = (Teasel__JobAnswer *)answer;
    peer_send(data, &envelope);
}

static void
on_call(peer_t *peer, const Teasel__JobCall *call, void *data)
{
    scheduler_t *scheduler = data;

    /* Otherwise the sender learns from the next status that this process does
       not lead, and resends the call to the new leader. */
    if (scheduler->leader != NULL) {
        leader_handle_call(scheduler->leader, call, send_answer, peer);
    }
}

static void
on_report(peer_t *peer, const char *node, const Teasel__NodeReport *report,
          void *data)
{
    scheduler_t *scheduler = data;

    if (scheduler->leader != NULL) {
        leader_handle_report(scheduler->leader, peer, node, report);
    }
}

static void
on_peer_closed(peer_t *peer, void *data)
{
    scheduler_t *scheduler = data;

    if (scheduler->leader != NULL) {
        leader_remove_peer(scheduler->leader, peer);
    }
}

static const cluster_handler_t cluster_handler = {
    .on_elected = on_elected,
    .on_deposed = on_deposed,
    .on_leader_ready = on_leader_ready,
    .on_status = on_status,
    .on_answer = on_answer,
    .on_call = on_call,
    .on_report = on_report,
    .on_peer_closed = on_peer_closed,
};

static void
check_store(scheduler_t *scheduler)
{
    if (scheduler->store_failed_ms != 0 &&
        now_ms(scheduler) - scheduler->store_failed_ms > RESIGN_AFTER_MS &&
        cluster_others_reach_store(scheduler->cluster)) {
        scheduler->store_failed_ms = 0;
        cluster_resign(scheduler->cluster,
                       "only other schedulers reach the store");
    }
}

/* Lets a pending write finish before resigning, so that its callers are
   answered and its orders are sent. */
static void
check_leaving(scheduler_t *scheduler)
{
    const scheduler_settings_t *settings = scheduler->opts.settings;
    int64_t age_ms = now_ms(scheduler) - scheduler->leave_began_ms;

    if (scheduler->leader == NULL || leader_is_idle(scheduler->leader) ||
        age_ms >= WRITE_FINISH_TIMEOUT_MS) {
        cluster_leave(scheduler->cluster);
    }
    if (age_ms >= settings->stop_timeout_ms ||
        (age_ms >= settings->leave_delay_ms &&
         gateway_count_calls(scheduler->gateway) == 0)) {
        scheduler->opts.on_left(scheduler->opts.data);
    }
}

static void
on_tick(loop_timer_t *timer)
{
    scheduler_t *scheduler = timer->data;

    loop_timer_start(timer, TICK_MS);
    check_store(scheduler);
    if (scheduler->leaving) {
        check_leaving(scheduler);
    }
}

static void
on_metrics(http_exchange_t *exchange, void *data)
{
    scheduler_t *scheduler = data;
    g_autoptr(GString) out = g_string_new(NULL);

    g_string_append_printf(
        out,
        "# HELP teasel_leading Whether this scheduler leads.\n"
        "# TYPE teasel_leading gauge\nteasel_leading %d\n"
        "# HELP teasel_calls_pending Calls without an answer.\n"
        "# TYPE teasel_calls_pending gauge\nteasel_calls_pending %zu\n"
        "# HELP teasel_evacuated_data_centres Data centres in which nothing "
        "is started.\n"
        "# TYPE teasel_evacuated_data_centres gauge\n"
        "teasel_evacuated_data_centres %u\n",
        scheduler->leader != NULL, gateway_count_calls(scheduler->gateway),
        evacuation_count(scheduler->evacuation));
    if (scheduler->leader != NULL) {
        leader_write_metrics(scheduler->leader, out);
    }
    http_exchange_reply_text(exchange, 200, "text/plain; version=0.0.4",
                             out->str);
}

static const http_route_t metrics_routes[] = {
    {"/metrics", on_metrics},
    {NULL, NULL},
};

static bool
start_metrics(scheduler_t *scheduler, GError **error)
{
    http_server_opts_t opts = {
        .loop = scheduler->opts.loop,
        .listen = scheduler->opts.settings->metrics_listen,
        .max_body = 1024,
        .routes = metrics_routes,
        .data = scheduler,
    };

    if (opts.listen == NULL) {
        return true;
    }
    scheduler->metrics = http_server_new(&opts, error);
    return scheduler->metrics != NULL;
}

static bool
start_cluster(scheduler_t *scheduler, GError **error)
{
    const scheduler_settings_t *settings = scheduler->opts.settings;
    struct timespec wall = clock_get_wall(scheduler->opts.clock);
    cluster_opts_t opts = {
        .loop = scheduler->opts.loop,
        .clock = scheduler->opts.clock,
        .store = scheduler->opts.store,
        .name = settings->name,
        .address = settings->peer_address,
        .incarnation =
            timespec_to_ms(wall) << 16 | g_random_int_range(0, 65536),
        .cpu_milli = settings->cpu_milli,
        .silence_ms = (uint64_t)settings->silence_ms,
        .status_ms = (uint64_t)settings->status_ms,
        .handler = &cluster_handler,
        .data = scheduler,
    };

    scheduler->cluster = cluster_new(&opts, error);
    gateway_set_cluster(scheduler->gateway, scheduler->cluster);
    return scheduler->cluster != NULL;
}

scheduler_t *
scheduler_new(const scheduler_opts_t *opts, GError **error)
{
    scheduler_t *scheduler = g_new0(scheduler_t, 1);

    scheduler->opts = *opts;
    scheduler->evacuation = evacuation_new();
    scheduler->random = g_rand_new();
    scheduler->started_ms = now_ms(scheduler);
    loop_timer_init(&scheduler->tick, opts->loop, on_tick, scheduler);
    loop_timer_init(&scheduler->fenced_timer, opts->loop, resign_fenced,
                    scheduler);
    scheduler->gateway =
        gateway_new(opts->loop, opts->clock, NULL, scheduler->random);
    if (!start_metrics(scheduler, error) || !start_cluster(scheduler, error)) {
        scheduler_free(scheduler);
        return NULL;
    }
    loop_timer_start(&scheduler->tick, TICK_MS);
    event_log(EVENT_SCHEDULER_STARTED, "name=%s data_centre=%s peer=%s",
              opts->settings->name, opts->settings->data_centre,
              opts->settings->peer_address);
    return scheduler;
}

void
scheduler_free(scheduler_t *scheduler)
{
    if (scheduler == NULL) {
        return;
    }
    loop_timer_stop(&scheduler->tick);
    loop_timer_stop(&scheduler->fenced_timer);
    cluster_free(scheduler->cluster);
    leader_free(scheduler->leader);
    gateway_free(scheduler->gateway);
    http_server_free(scheduler->metrics);
    queue_table_free(scheduler->queues);
    evacuation_free(scheduler->evacuation);
    g_rand_free(scheduler->random);
    g_free(scheduler);
}

void
scheduler_call(scheduler_t *scheduler, const Teasel__JobCall *call,
               job_answer_fn answer, void *data)
{
    gateway_call(scheduler->gateway, call, answer, data);
}

void
scheduler_set_queues(scheduler_t *scheduler, queue_table_t *table)
{
    uint64_t old = scheduler->queues ? scheduler->queues->version : 0;

    if (scheduler->queues != NULL && table->version <= old) {
        queue_table_free(table);
        return;
    }
    event_log(EVENT_ROUTES_CHANGED,
              "version=%" G_GUINT64_FORMAT " old=%" G_GUINT64_FORMAT
              " queues=%u",
              table->version, old, table->queues->len);
    queue_table_free(scheduler->queues);
    scheduler->queues = table;
}

const queue_table_t *
scheduler_get_queues(const scheduler_t *scheduler)
{
    return scheduler->queues;
}

static void
note_evacuation(scheduler_t *scheduler)
{
    if (scheduler->leader != NULL) {
        leader_note_evacuation(scheduler->leader);
    }
}

bool
scheduler_begin_evacuation(scheduler_t *scheduler, const char *data_centre,
                           uint64_t offset, bool listed)
{
    evacuation_change_t change =
        evacuation_begin(scheduler->evacuation, data_centre, offset, listed);

    if (change == EVACUATION_BEGUN) {
        event_log(EVENT_EVACUATION_BEGUN,
                  "data_centre=%s offset=%" G_GUINT64_FORMAT, data_centre,
                  offset);
        note_evacuation(scheduler);
    }
    return change != EVACUATION_REPEATED;
}

void
scheduler_end_evacuation(scheduler_t *scheduler, const char *data_centre,
                         uint64_t offset)
{
    if (evacuation_end(scheduler->evacuation, data_centre, offset) ==
        EVACUATION_ENDED) {
        event_log(EVENT_EVACUATION_ENDED,
                  "data_centre=%s offset=%" G_GUINT64_FORMAT, data_centre,
                  offset);
        note_evacuation(scheduler);
    }
}

void
scheduler_keep_evacuation(scheduler_t *scheduler, const char *data_centre)
{
    evacuation_keep(scheduler->evacuation, data_centre);
}

void
scheduler_finish_evacuation_listing(scheduler_t *scheduler)
{
    g_autoptr(GPtrArray) ended =
        evacuation_finish_listing(scheduler->evacuation);

    for (guint i = 0; i < ended->len; i++) {
        event_log(EVENT_EVACUATION_ENDED,
                  "data_centre=%s reason=\"missing from a new listing\"",
                  (const char *)g_ptr_array_index(ended, i));
    }
    note_evacuation(scheduler);
}

uint32_t
scheduler_get_retry_after_ms(const scheduler_t *scheduler)
{
    int64_t age_ms = now_ms(scheduler) - scheduler->started_ms;

    return retry_after_get_outage_ms(age_ms, scheduler->random);
}

bool
scheduler_is_ready(const scheduler_t *scheduler)
{
    return !scheduler->leaving && scheduler->queues != NULL &&
           cluster_has_leader(scheduler->cluster);
}

void
scheduler_leave(scheduler_t *scheduler)
{
    if (scheduler->leaving) {
        return;
    }
    scheduler->leaving = true;
    scheduler->leave_began_ms = now_ms(scheduler);
    event_log(EVENT_PROCESS_LEAVING, "name=%s",
              scheduler->opts.settings->name);
}

bool
scheduler_is_leaving(const scheduler_t *scheduler)
{
    return scheduler->leaving;
}
