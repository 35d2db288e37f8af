#include "cluster/cluster.h"

#include <string.h>

#include "base/events.h"
#include "base/settings.h"
#include "cluster/cluster_internal.h"
#include "cluster/control.h"

enum {
    TICK_MS = 100,
    /* Long-poll time of a read of the control topic. */
    FOLLOW_WAIT_MS = 2000,
    REGISTER_RETRY_MS = 300,
    /* Candidates claim one after another by rank to avoid append conflicts. */
    CLAIM_STAGGER_MS = 100,
    /* Applies after a connection reset, as a process that restarts at once may
       still lead. */
    RESET_CLAIM_DELAY_MS = 50,
    /* A newly elected leader sends its status within this time. */
    SILENT_CLAIM_DELAY_MS = 300,
    /* A scheduler without a fresh status from any other one is probably
       partitioned itself. */
    ISOLATED_CLAIM_DELAY_MS = 3500,
    RESIGNED_CLAIM_DELAY_MS = 3000,
    /* A scheduler that is no candidate leaves time for all candidates. It is
       not connected to them. */
    OTHERS_CLAIM_DELAY_MS = 1000,
    /* While schedulers start together, one waits for others with more CPU that
       are not connected yet. */
    STARTUP_MS = 1000,
    /* Before the first election the others are not known yet. */
    FIRST_CLAIM_DELAY_MS = 300,
    /* Older statuses say nothing reliable about the current state. */
    STATUS_MAX_AGE_MS = 700,
    PROBE_INTERVAL_MS = 300,
    MAX_QUEUED_BYTES = 8 * 1024 * 1024,
};

int64_t
cluster_now_ms(const cluster_t *cluster)
{
    return (int64_t)timespec_to_ms(clock_get_monotonic(cluster->opts.clock));
}

bool
cluster_is_leading(const cluster_t *cluster)
{
    return cluster->leading;
}

static bool
has_fresh_status(const member_t *member)
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
    return member != NULL && has_fresh_status(member) && member->leading &&
           member->epoch == cluster->epoch;
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

static void
on_probed(store_status_t status, const store_page_t *page, void *data)
{
    cluster_t *cluster = data;

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
        if (has_fresh_status(member) && cluster->writes_failing &&
            member->store_reached_ms >
                cluster->store_failed_ms + STATUS_MAX_AGE_MS) {
            return true;
        }
    }
    return false;
}

int64_t
cluster_get_acked_ms(const cluster_t *cluster)
{
    int64_t oldest_ms = cluster_now_ms(cluster);

    LIST_FOREACH (member, &cluster->members, member_t, link) {
        if (!member->open || member->epoch != cluster->epoch ||
            !member->leader_alive) {
            return 0;
        }
        oldest_ms = MIN(oldest_ms, member->acked_ms);
    }
    return oldest_ms;
}

static void
stop_leading(cluster_t *cluster, const char *reason)
{
    event_log(EVENT_LEADING_ENDED, "epoch=%" G_GUINT64_FORMAT " reason=%s",
              cluster->epoch, reason);
    cluster->leading = false;
    cluster->writes_failing = false;
    cluster->opts.handler->on_deposed(cluster->opts.data);
}

void
cluster_resign(cluster_t *cluster, const char *reason)
{
    if (!cluster->leading) {
        return;
    }
    cluster->resigned = true;
    stop_leading(cluster, reason);
    cluster_send_status(cluster);
    cluster_update_connections(cluster);
}

void
cluster_leave(cluster_t *cluster)
{
    if (cluster->leaving) {
        return;
    }
    cluster->leaving = true;
    cluster_resign(cluster, "planned stop");
    loop_timer_start(&cluster->register_timer, 0);
}

static void
start_leading(cluster_t *cluster, uint64_t epoch)
{
    cluster->epoch = epoch;
    cluster->leading = true;
    cluster->resigned = false;
    cluster->claiming = false;
    cluster->leader_lost_ms = 0;
    cluster->leader_left = false;
    g_free(cluster->leader_name);
    g_free(cluster->leader_address);
    cluster->leader_name = g_strdup(cluster->name);
    cluster->leader_address = g_strdup(cluster->address);
    event_log(EVENT_LEADING, "epoch=%" G_GUINT64_FORMAT, epoch);
    cluster->opts.handler->on_elected(epoch, cluster->opts.data);
    cluster_send_status(cluster);
    cluster_update_connections(cluster);
}

/* Gives a new leader time to send its status, even if the last connection to
   its process was reset. */
static void
await_new_leader(cluster_t *cluster)
{
    member_t *leader = cluster_find_member(cluster, cluster->leader_name);

    if (leader != NULL) {
        leader->connection_reset = false;
    }
    cluster_check_leader(cluster);
}

static void
update_leader(cluster_t *cluster, const Teasel__LeaderRecord *record,
              uint64_t epoch)
{
    if (epoch <= cluster->epoch) {
        return;
    }
    if (strcmp(record->name, cluster->name) == 0 &&
        record->incarnation == cluster->opts.incarnation) {
        /* The claim succeeded, but its answer was lost. */
        if (!cluster->leaving) {
            start_leading(cluster, epoch);
        }
        return;
    }
    if (cluster->leading) {
        stop_leading(cluster, "another scheduler leads");
    }
    cluster->epoch = epoch;
    g_free(cluster->leader_name);
    g_free(cluster->leader_address);
    cluster->leader_name = g_strdup(record->name);
    cluster->leader_address = g_strdup(record->address);
    cluster->leader_lost_ms = 0;
    cluster->leader_left = false;
    cluster->leader_was_alive = false;
    event_log(EVENT_LEADER_CHANGED, "epoch=%" G_GUINT64_FORMAT " leader=%s",
              epoch, record->name);
    cluster_update_member(cluster, record->name, record->address,
                          record->incarnation);
    cluster_update_connections(cluster);
    await_new_leader(cluster);
}

static void
log_malformed(const store_record_t *stored)
{
    event_log(EVENT_RECORD_MALFORMED, "topic=%s offset=%" G_GUINT64_FORMAT,
              CONTROL_TOPIC, stored->offset);
}

/* A record that cannot be read hides the leader from schedulers that start
   later, so it stands for a leader that nobody reaches, and a new one is
   elected. */
static void
on_leader_record(cluster_t *cluster, const store_record_t *stored)
{
    const Teasel__LeaderRecord unknown = TEASEL__LEADER_RECORD__INIT;
    Teasel__LeaderRecord *record =
        teasel__leader_record__unpack(NULL, stored->length, stored->value);

    if (record == NULL || !address_parse(record->address, NULL, NULL, NULL)) {
        log_malformed(stored);
    }
    update_leader(cluster, record != NULL ? record : &unknown,
                  stored->offset + 1);
    if (record != NULL) {
        teasel__leader_record__free_unpacked(record, NULL);
    }
}

static bool
update_scheduler(cluster_t *cluster, const char *name,
                 const Teasel__SchedulerRecord *record)
{
    member_t *member;

    if (record == NULL || name[0] == '\0' || strcmp(record->name, name) != 0 ||
        !address_parse(record->address, NULL, NULL, NULL)) {
        return false;
    }
    member = cluster_update_member(cluster, name, record->address,
                                   record->incarnation);
    if (member != NULL) {
        member->cpu_milli = record->cpu_milli;
    }
    cluster_update_connections(cluster);
    return true;
}

static void
on_scheduler_record(cluster_t *cluster, const store_record_t *stored)
{
    const char *name = stored->key + strlen(CONTROL_SCHEDULER_PREFIX);
    Teasel__SchedulerRecord *record =
        teasel__scheduler_record__unpack(NULL, stored->length, stored->value);

    if (!update_scheduler(cluster, name, record)) {
        log_malformed(stored);
        /* Replaces the record if it hides this process from others. */
        if (strcmp(name, cluster->name) == 0 && !cluster->leaving) {
            loop_timer_start(&cluster->register_timer, 0);
        }
    }
    if (record != NULL) {
        teasel__scheduler_record__free_unpacked(record, NULL);
    }
}

static void
on_scheduler_removed(cluster_t *cluster, const char *name)
{
    if (strcmp(name, cluster->name) != 0) {
        cluster->leader_left |= g_strcmp0(name, cluster->leader_name) == 0;
        cluster_forget_member(cluster, name);
        cluster_update_connections(cluster);
    }
    else if (cluster->leaving) {
        loop_timer_stop(&cluster->register_timer);
    }
    else {
        loop_timer_start(&cluster->register_timer, 0);
    }
}

static void
on_record(const store_record_t *record, void *data)
{
    cluster_t *cluster = data;

    if (strcmp(record->key, CONTROL_KEY_LEADER) == 0) {
        if (record->value != NULL) {
            on_leader_record(cluster, record);
        }
        return;
    }
    if (!g_str_has_prefix(record->key, CONTROL_SCHEDULER_PREFIX)) {
        return;
    }
    if (record->value != NULL) {
        on_scheduler_record(cluster, record);
    }
    else {
        on_scheduler_removed(cluster,
                             record->key + strlen(CONTROL_SCHEDULER_PREFIX));
    }
}

static void
on_claimed(store_status_t status, uint64_t offset, void *data)
{
    cluster_t *cluster = data;

    cluster->claiming = false;
    if (status != STORE_OK) {
        event_log(EVENT_CLAIM_FAILED, "epoch=%" G_GUINT64_FORMAT " status=%s",
                  cluster->epoch, store_status_to_string(status));
        return;
    }
    if (offset + 1 > cluster->epoch && !cluster->leaving) {
        start_leading(cluster, offset + 1);
    }
}

static void
claim(cluster_t *cluster)
{
    Teasel__LeaderRecord record = TEASEL__LEADER_RECORD__INIT;
    g_autoptr(GByteArray) value = g_byte_array_new();
    store_record_t stored = {.key = CONTROL_KEY_LEADER};
    store_append_t append = {
        .topic = CONTROL_TOPIC,
        .records = &stored,
        .count = 1,
        .check_end = true,
        .expected_end = follower_get_next_offset(cluster->follower),
    };

    record.name = cluster->name;
    record.address = cluster->address;
    record.incarnation = cluster->opts.incarnation;
    g_byte_array_set_size(value,
                          teasel__leader_record__get_packed_size(&record));
    teasel__leader_record__pack(&record, value->data);
    stored.value = value->data;
    stored.length = value->len;
    cluster->claiming = true;
    store_append(cluster->opts.store, &append, on_claimed, cluster);
}

static int64_t
get_rank_delay_ms(const cluster_t *cluster)
{
    int64_t age_ms = cluster_now_ms(cluster) - cluster->started_ms;

    if (!cluster_is_candidate(cluster)) {
        return OTHERS_CLAIM_DELAY_MS;
    }
    if (age_ms < STARTUP_MS) {
        return MIN(STARTUP_MS, (int64_t)cluster_get_rank(cluster, true) *
                                   CLAIM_STAGGER_MS);
    }
    return (int64_t)cluster_get_rank(cluster, false) * CLAIM_STAGGER_MS;
}

static bool
is_leader_seen_by_member(const cluster_t *cluster)
{
    LIST_FOREACH (member, &cluster->members, member_t, link) {
        if (has_fresh_status(member) && member->leader_alive &&
            member->epoch >= cluster->epoch) {
            return true;
        }
    }
    return false;
}

static bool
has_fresh_member(const cluster_t *cluster)
{
    LIST_FOREACH (member, &cluster->members, member_t, link) {
        if (has_fresh_status(member)) {
            return true;
        }
    }
    return false;
}

/* Returns how long the leader must be missing before this process claims
   leadership. */
static int64_t
get_claim_delay_ms(cluster_t *cluster)
{
    const member_t *leader =
        cluster_find_member(cluster, cluster->leader_name);
    int64_t delay_ms = get_rank_delay_ms(cluster);
    /* A status of an earlier epoch was sent before the leader was elected and
       is not a resignation. */
    bool resigned = leader != NULL && has_fresh_status(leader) &&
                    !leader->leading && leader->epoch == cluster->epoch;

    if (cluster->resigned) {
        return RESIGNED_CLAIM_DELAY_MS;
    }
    if (cluster->leader_name == NULL) {
        return delay_ms + FIRST_CLAIM_DELAY_MS;
    }
    if (resigned || cluster->leader_left ||
        strcmp(cluster->leader_name, cluster->name) == 0) {
        return delay_ms;
    }
    if (leader != NULL && leader->connection_reset) {
        return delay_ms + RESET_CLAIM_DELAY_MS;
    }
    if (has_fresh_member(cluster)) {
        return delay_ms + SILENT_CLAIM_DELAY_MS;
    }
    return delay_ms + ISOLATED_CLAIM_DELAY_MS;
}

static void
note_leader_missing(cluster_t *cluster, int64_t now_ms)
{
    if (cluster->leader_lost_ms != 0) {
        return;
    }
    cluster->leader_lost_ms = now_ms;
    if (cluster->leader_was_alive) {
        event_log(EVENT_LEADER_LOST, "epoch=%" G_GUINT64_FORMAT " leader=%s",
                  cluster->epoch,
                  cluster->leader_name ? cluster->leader_name : "none");
    }
    cluster->leader_was_alive = false;
}

void
cluster_check_leader(cluster_t *cluster)
{
    int64_t now_ms = cluster_now_ms(cluster);

    if (cluster_is_leader_alive(cluster)) {
        cluster->leader_lost_ms = 0;
        if (!cluster->leader_was_alive && !cluster->leading) {
            cluster->leader_was_alive = true;
            cluster->opts.handler->on_leader_ready(cluster->opts.data);
        }
        return;
    }
    note_leader_missing(cluster, now_ms);
    if (cluster->claiming || cluster->leaving ||
        !follower_is_caught_up(cluster->follower) ||
        !follower_is_available(cluster->follower) ||
        is_leader_seen_by_member(cluster) ||
        now_ms - cluster->leader_lost_ms < get_claim_delay_ms(cluster)) {
        return;
    }
    claim(cluster);
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
    cluster_check_leader(cluster);
}

static void
on_registered(store_status_t status, uint64_t offset, void *data)
{
    cluster_t *cluster = data;

    if (status != STORE_OK && !cluster->leaving) {
        loop_timer_start(&cluster->register_timer, REGISTER_RETRY_MS);
    }
}

static void
on_unregistered(store_status_t status, uint64_t offset, void *data)
{
    if (status != STORE_OK) {
        event_log(EVENT_UNREGISTER_FAILED, "status=%s",
                  store_status_to_string(status));
    }
}

/* Repeated until the removal is read back. It is conditional on the end of the
   topic, so that it cannot take effect after the registration of the next
   process with this name. */
static void
unregister_self(cluster_t *cluster)
{
    g_autofree char *key =
        g_strconcat(CONTROL_SCHEDULER_PREFIX, cluster->name, NULL);
    store_record_t stored = {.key = key};
    store_append_t append = {
        .topic = CONTROL_TOPIC,
        .records = &stored,
        .count = 1,
        .check_end = true,
        .expected_end = follower_get_next_offset(cluster->follower),
    };

    store_append(cluster->opts.store, &append, on_unregistered, NULL);
    loop_timer_start(&cluster->register_timer, REGISTER_RETRY_MS);
}

static void
register_self(cluster_t *cluster)
{
    Teasel__SchedulerRecord record = TEASEL__SCHEDULER_RECORD__INIT;
    g_autoptr(GByteArray) value = g_byte_array_new();
    g_autofree char *key =
        g_strconcat(CONTROL_SCHEDULER_PREFIX, cluster->name, NULL);
    store_record_t stored = {.key = key};
    store_append_t append = {
        .topic = CONTROL_TOPIC, .records = &stored, .count = 1};

    record.name = cluster->name;
    record.address = cluster->address;
    record.incarnation = cluster->opts.incarnation;
    record.cpu_milli = cluster->opts.cpu_milli;
    g_byte_array_set_size(value,
                          teasel__scheduler_record__get_packed_size(&record));
    teasel__scheduler_record__pack(&record, value->data);
    stored.value = value->data;
    stored.length = value->len;
    store_append(cluster->opts.store, &append, on_registered, cluster);
}

static void
update_registration(loop_timer_t *timer)
{
    cluster_t *cluster = timer->data;

    if (cluster->leaving) {
        unregister_self(cluster);
    }
    else {
        register_self(cluster);
    }
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
        .data = cluster,
    };

    cluster->opts = *opts;
    cluster->name = g_strdup(opts->name);
    cluster->address = g_strdup(opts->address);
    cluster->started_ms = cluster_now_ms(cluster);
    list_init(&cluster->members);
    loop_timer_init(&cluster->tick, opts->loop, on_tick, cluster);
    loop_timer_init(&cluster->register_timer, opts->loop, update_registration,
                    cluster);
    if (!start_listening(cluster, error)) {
        cluster_free(cluster);
        return NULL;
    }
    cluster->follower = follower_new(&follower_opts);
    loop_timer_start(&cluster->register_timer, 0);
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
    if (cluster->listener != NULL) {
        peer_listener_free(cluster->listener);
    }
    g_free(cluster->leader_name);
    g_free(cluster->leader_address);
    g_free(cluster->name);
    g_free(cluster->address);
    g_free(cluster);
}
