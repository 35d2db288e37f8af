/* The leader: its record, its failure, and the claim to succeed it. */

#include <string.h>

#include "base/events.h"
#include "base/settings.h"
#include "cluster/cluster_internal.h"
#include "cluster/control.h"

enum {
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
};

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
cluster_note_later_leader(cluster_t *cluster,
                          const Teasel__LeaderAddress *leader)
{
    if (leader->epoch <= MAX(cluster->epoch, cluster->reported_epoch) ||
        strcmp(leader->address, cluster->address) == 0 ||
        !address_parse(leader->address, NULL, NULL, NULL)) {
        return;
    }
    event_log(EVENT_LATER_LEADER,
              "epoch=%" G_GUINT64_FORMAT " later=%" G_GUINT64_FORMAT
              " address=%s",
              cluster->epoch, leader->epoch, leader->address);
    cluster->reported_epoch = leader->epoch;
    g_free(cluster->reported_address);
    cluster->reported_address = g_strdup(leader->address);
    cluster_resign(cluster, "an agent follows a later leader");
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
    cluster_begin_view(cluster);
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

/* A record that cannot be read hides the leader from schedulers that start
   later, so it stands for a leader that nobody reaches, and a new one is
   elected. */
void
cluster_apply_leader_record(cluster_t *cluster, const store_record_t *stored)
{
    const Teasel__LeaderRecord unknown = TEASEL__LEADER_RECORD__INIT;
    Teasel__LeaderRecord *record =
        teasel__leader_record__unpack(NULL, stored->length, stored->value);

    if (record == NULL || !address_parse(record->address, NULL, NULL, NULL)) {
        cluster_log_malformed(stored);
    }
    update_leader(cluster, record != NULL ? record : &unknown,
                  stored->offset + 1);
    if (record != NULL) {
        teasel__leader_record__free_unpacked(record, NULL);
    }
}

static void
on_claimed(store_status_t status, uint64_t offset, void *data)
{
    cluster_t *cluster = data;

    if (!cluster_end_call(cluster)) {
        return;
    }
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

    record.name = cluster->name;
    record.address = cluster->address;
    record.incarnation = cluster->opts.incarnation;
    g_byte_array_set_size(value,
                          teasel__leader_record__get_packed_size(&record));
    teasel__leader_record__pack(&record, value->data);
    stored.value = value->data;
    stored.length = value->len;
    cluster->claiming = true;
    cluster_append_at_end(cluster, &stored, on_claimed);
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
        if (cluster_has_fresh_status(member) && member->leader_alive &&
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
        if (cluster_has_fresh_status(member)) {
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
    bool resigned = leader != NULL && cluster_has_fresh_status(leader) &&
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
