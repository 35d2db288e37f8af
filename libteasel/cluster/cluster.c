#include "cluster/cluster.h"

#include <string.h>

#include "base/events.h"
#include "cluster/cluster_internal.h"
#include "cluster/control.h"

enum {
    TICK_MS = 100,
    /* Long-poll time of a read of the control topic. */
    FOLLOW_WAIT_MS = 2000,
    /* Older statuses say nothing reliable about the current state. */
    STATUS_MAX_AGE_MS = 700,
    PROBE_INTERVAL_MS = 300,
    /* A scheduler that lives registers within some hundred ms. */
    STRANGER_TIMEOUT_MS = 5000,
    MAX_QUEUED_BYTES = 8 * 1024 * 1024,
};

int64_t
cluster_now_ms(const cluster_t *cluster)
{
    return (int64_t)timespec_to_ms(clock_get_monotonic(cluster->opts.clock));
}

void
cluster_begin_call(cluster_t *cluster)
{
    cluster->calls++;
}

bool
cluster_end_call(cluster_t *cluster)
{
    cluster->calls--;
    if (!cluster->freed) {
        return true;
    }
    if (cluster->calls == 0) {
        g_free(cluster);
    }
    return false;
}

bool
cluster_is_leading(const cluster_t *cluster)
{
    return cluster->leading;
}

bool
cluster_has_fresh_status(const member_t *member)
{
    return member->open &&
           cluster_now_ms(member->cluster) - member->status_ms <
               STATUS_MAX_AGE_MS;
}

bool
cluster_is_leader_alive(const cluster_t *cluster)
{
    const member_t *member;

    if (cluster->leading) {
        return true;
    }
    member = cluster_find_member((cluster_t *)cluster, cluster->leader_name);
    return member != NULL && cluster_has_fresh_status(member) &&
           member->leading && member->epoch == cluster->epoch;
}

bool
cluster_has_leader(const cluster_t *cluster)
{
    return cluster_is_leader_alive(cluster);
}

bool
cluster_send_call(cluster_t *cluster, Teasel__JobCall *call)
{
    member_t *member = cluster_find_member(cluster, cluster->leader_name);
    Teasel__Envelope envelope = TEASEL__ENVELOPE__INIT;

    if (cluster->leading || !cluster_is_leader_alive(cluster)) {
        return false;
    }
    envelope.body_case = TEASEL__ENVELOPE__BODY_JOB_CALL;
    envelope.job_call = call;
    return peer_send(member->peer, &envelope);
}

void
cluster_fill_status(const cluster_t *cluster, Teasel__PeerStatus *status)
{
    int64_t now_ms = cluster_now_ms(cluster);

    status->name = cluster->name;
    status->incarnation = cluster->opts.incarnation;
    status->epoch = cluster->epoch;
    status->leader_address =
        cluster->leader_address ? cluster->leader_address : "";
    status->leading = cluster->leading;
    status->leader_alive =
        !cluster->claiming && cluster_is_leader_alive(cluster);
    status->leaving = cluster->leaving;
    status->sent_us = (uint64_t)now_ms * 1000;
    status->store_usable =
        cluster->leading ? !cluster->writes_failing
                         : now_ms - cluster->probe_ok_ms < STATUS_MAX_AGE_MS;
}

void
cluster_append_at_end(cluster_t *cluster, const store_record_t *record,
                      store_append_cb cb)
{
    store_append_t append = {
        .topic = CONTROL_TOPIC,
        .records = record,
        .count = 1,
        .check_end = true,
        .expected_end = follower_get_next_offset(cluster->follower),
    };

    cluster_begin_call(cluster);
    store_append(cluster->opts.store, &append, cb, cluster);
}

static void
on_probed(store_status_t status, const store_page_t *page, void *data)
{
    cluster_t *cluster = data;

    if (!cluster_end_call(cluster)) {
        return;
    }
    cluster->probing = false;
    if (status == STORE_OK) {
        cluster->probe_ok_ms = cluster_now_ms(cluster);
        cluster_send_status(cluster);
    }
}

void
cluster_probe_store(cluster_t *cluster)
{
    int64_t now_ms = cluster_now_ms(cluster);

    if (cluster->probing ||
        now_ms - cluster->probe_started_ms < PROBE_INTERVAL_MS) {
        return;
    }
    cluster->probing = true;
    cluster->probe_started_ms = now_ms;
    cluster_begin_call(cluster);
    store_read(cluster->opts.store, CONTROL_TOPIC,
               follower_get_next_offset(cluster->follower), 0, on_probed,
               cluster);
}

void
cluster_set_store_available(cluster_t *cluster, bool available)
{
    if (cluster->writes_failing == !available) {
        return;
    }
    cluster->writes_failing = !available;
    cluster->store_failed_ms = cluster_now_ms(cluster);
    cluster_send_status(cluster);
}

bool
cluster_others_reach_store(const cluster_t *cluster)
{
    LIST_FOREACH (member, &cluster->members, member_t, link) {
        if (cluster_has_fresh_status(member) && cluster->writes_failing &&
            member->store_reached_ms >
                cluster->store_failed_ms + STATUS_MAX_AGE_MS) {
            return true;
        }
    }
    return false;
}

void
cluster_request_acks(cluster_t *cluster)
{
    /* Each status is acknowledged at once. */
    cluster_send_status(cluster);
}

static int64_t
get_member_acked_ms(const member_t *member)
{
    bool follows = member->open && member->leader_alive &&
                   member->epoch == member->cluster->epoch;

    return follows ? member->acked_ms : 0;
}

int64_t
cluster_get_oldest_ack_ms(const cluster_t *cluster, bool skip_excluded)
{
    int64_t oldest_ms = cluster_now_ms(cluster);
    bool others = false;

    if (g_hash_table_size(cluster->strangers) > 0) {
        return 0;
    }
    LIST_FOREACH (member, &cluster->members, member_t, link) {
        if (!skip_excluded || !member->excluded) {
            others = true;
            oldest_ms = MIN(oldest_ms, get_member_acked_ms(member));
        }
    }
    return others ? oldest_ms : 0;
}

int64_t
cluster_get_acked_ms(const cluster_t *cluster)
{
    return cluster_get_oldest_ack_ms(cluster, false);
}

void
cluster_log_malformed(const store_record_t *stored)
{
    event_log(EVENT_RECORD_MALFORMED, "topic=%s offset=%" G_GUINT64_FORMAT,
              CONTROL_TOPIC, stored->offset);
}

static void
on_record(const store_record_t *record, void *data)
{
    cluster_t *cluster = data;

    if (strcmp(record->key, CONTROL_KEY_LEADER) == 0) {
        if (record->value != NULL) {
            cluster_apply_leader_record(cluster, record);
        }
        /* Until its own record is read, the topic ends beyond this process. */
        if (record->offset + 1 == cluster->epoch) {
            cluster_update_view(cluster, cluster_now_ms(cluster));
        }
        return;
    }
    if (strcmp(record->key, CONTROL_KEY_VIEW) == 0) {
        if (record->value != NULL) {
            cluster_apply_view_record(cluster, record);
        }
        return;
    }
    if (!g_str_has_prefix(record->key, CONTROL_SCHEDULER_PREFIX)) {
        return;
    }
    if (record->value != NULL) {
        cluster_apply_scheduler_record(cluster, record);
    }
    else {
        cluster_apply_scheduler_removal(
            cluster, record->key + strlen(CONTROL_SCHEDULER_PREFIX));
    }
}

/* The record of an earlier process with this name is read before it is
   replaced. */
static void
on_caught_up(void *data)
{
    cluster_t *cluster = data;

    if (!cluster->view.registered) {
        loop_timer_start(&cluster->register_timer, 0);
    }
}

static gboolean
is_stale(gpointer name G_GNUC_UNUSED, gpointer status_ms, gpointer now_ms)
{
    return *(const int64_t *)now_ms - *(const int64_t *)status_ms >
           STRANGER_TIMEOUT_MS;
}

/* One that lives and reaches the store registers. While this process cannot
   read the store, it would not learn of that. */
static void
forget_strangers(cluster_t *cluster, int64_t now_ms)
{
    if (follower_is_caught_up(cluster->follower) &&
        follower_is_available(cluster->follower)) {
        g_hash_table_foreach_remove(cluster->strangers, is_stale, &now_ms);
    }
}

static void
on_tick(loop_timer_t *timer)
{
    cluster_t *cluster = timer->data;
    int64_t now_ms = cluster_now_ms(cluster);

    loop_timer_start(timer, TICK_MS);
    if (now_ms - cluster->status_sent_ms >= (int64_t)cluster->opts.status_ms) {
        cluster->status_sent_ms = now_ms;
        cluster_send_status(cluster);
    }
    forget_strangers(cluster, now_ms);
    cluster_check_leader(cluster);
    cluster_update_view(cluster, now_ms);
}

static bool
start_listening(cluster_t *cluster, GError **error)
{
    const cluster_opts_t *opts = &cluster->opts;
    peer_opts_t peer_opts = {
        .loop = opts->loop,
        .clock = opts->clock,
        .handler = &cluster_inbound_handler,
        .data = cluster,
        .max_queued_bytes = MAX_QUEUED_BYTES,
        .silence_ms = opts->silence_ms,
        .ping_ms = opts->status_ms,
    };

    cluster->listener =
        peer_listen(&peer_opts, cluster->address, cluster_on_accept, error);
    return cluster->listener != NULL;
}

cluster_t *
cluster_new(const cluster_opts_t *opts, GError **error)
{
    cluster_t *cluster = g_new0(cluster_t, 1);
    follower_opts_t follower_opts = {
        .loop = opts->loop,
        .clock = opts->clock,
        .store = opts->store,
        .topic = CONTROL_TOPIC,
        .wait_ms = FOLLOW_WAIT_MS,
        .on_record = on_record,
        .on_caught_up = on_caught_up,
        .data = cluster,
    };

    cluster->opts = *opts;
    cluster->name = g_strdup(opts->name);
    cluster->address = g_strdup(opts->address);
    cluster->started_ms = cluster_now_ms(cluster);
    cluster->view.own_offset = OFFSET_UNKNOWN;
    list_init(&cluster->members);
    cluster->strangers =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    loop_timer_init(&cluster->tick, opts->loop, on_tick, cluster);
    loop_timer_init(&cluster->register_timer, opts->loop,
                    cluster_update_registration, cluster);
    if (!start_listening(cluster, error)) {
        cluster_free(cluster);
        return NULL;
    }
    cluster->follower = follower_new(&follower_opts);
    loop_timer_start(&cluster->tick, TICK_MS);
    return cluster;
}

void
cluster_free(cluster_t *cluster)
{
    if (cluster == NULL) {
        return;
    }
    loop_timer_stop(&cluster->tick);
    loop_timer_stop(&cluster->register_timer);
    follower_free(cluster->follower);
    cluster_free_members(cluster);
    g_hash_table_unref(cluster->strangers);
    if (cluster->listener != NULL) {
        peer_listener_free(cluster->listener);
    }
    g_free(cluster->leader_name);
    g_free(cluster->leader_address);
    g_free(cluster->reported_address);
    g_free(cluster->view.leader);
    g_free(cluster->name);
    g_free(cluster->address);
    if (cluster->calls > 0) {
        cluster->freed = true;
        return;
    }
    g_free(cluster);
}
