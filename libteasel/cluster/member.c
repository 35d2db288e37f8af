/* Connections between schedulers, and inbound connections of node agents. */

#include <string.h>

#include "base/settings.h"
#include "cluster/cluster_internal.h"

enum {
    REDIAL_MS = 200,
    /* A member without a status for this long is dialled less often. */
    UNREACHABLE_AFTER_MS = 10000,
    REDIAL_UNREACHABLE_MS = 2000,
    /* A connection that closes this soon after the last status or dial was
       reset or refused rather than timed out. */
    RESET_WINDOW_MS = 700,
    MAX_QUEUED_BYTES = 8 * 1024 * 1024,
    /* Schedulers that are connected to each other. */
    CANDIDATES = 7,
};

static void
send_status(peer_t *peer, Teasel__PeerStatus *status)
{
    Teasel__Envelope envelope = TEASEL__ENVELOPE__INIT;

    envelope.body_case = TEASEL__ENVELOPE__BODY_PEER_STATUS;
    envelope.peer_status = status;
    peer_send(peer, &envelope);
}

static void
send_status_to(peer_t *peer, cluster_t *cluster, uint64_t echo_us)
{
    Teasel__PeerStatus status = TEASEL__PEER_STATUS__INIT;

    cluster_fill_status(cluster, &status);
    status.echo_us = echo_us;
    send_status(peer, &status);
}

/* Includes the addresses of all schedulers, as an agent needs them to find the
   leader. Statuses between schedulers omit them, as schedulers read them from
   the store and the messages must not grow with the number of schedulers. */
static void
send_status_to_node(peer_t *peer, cluster_t *cluster)
{
    g_autoptr(GPtrArray) addresses = g_ptr_array_new();
    Teasel__PeerStatus status = TEASEL__PEER_STATUS__INIT;

    cluster_fill_status(cluster, &status);
    if (cluster->reported_epoch > cluster->epoch) {
        status.epoch = cluster->reported_epoch;
        status.leader_address = cluster->reported_address;
    }
    g_ptr_array_add(addresses, cluster->address);
    LIST_FOREACH (member, &cluster->members, member_t, link) {
        g_ptr_array_add(addresses, member->address);
    }
    status.n_schedulers = addresses->len;
    status.schedulers = (char **)addresses->pdata;
    send_status(peer, &status);
}

void
cluster_send_status(cluster_t *cluster)
{
    LIST_FOREACH (member, &cluster->members, member_t, link) {
        if (member->open) {
            send_status_to(member->peer, cluster, 0);
        }
    }
}

void
cluster_apply_status(member_t *member, const Teasel__PeerStatus *status)
{
    cluster_t *cluster = member->cluster;

    member->status_ms = cluster_now_ms(cluster);
    member->acked_ms =
        MAX(member->acked_ms, (int64_t)(status->echo_us / 1000));
    member->epoch = status->epoch;
    member->leading = status->leading;
    member->leader_alive = status->leader_alive;
    if (status->store_usable) {
        member->store_reached_ms = member->status_ms;
    }
    cluster_check_leader(cluster);
    if (cluster->leading) {
        cluster->opts.handler->on_status(cluster->opts.data);
    }
}

static void
on_open(peer_t *peer, void *data)
{
    member_t *member = data;
    Teasel__PeerHello hello = TEASEL__PEER_HELLO__INIT;
    Teasel__Envelope envelope = TEASEL__ENVELOPE__INIT;

    member->open = true;
    hello.name = member->cluster->name;
    hello.incarnation = member->cluster->opts.incarnation;
    envelope.body_case = TEASEL__ENVELOPE__BODY_PEER_HELLO;
    envelope.peer_hello = &hello;
    peer_send(peer, &envelope);
    send_status_to(peer, member->cluster, 0);
}

static void
on_message(peer_t *peer, const Teasel__Envelope *message, void *data)
{
    member_t *member = data;
    cluster_t *cluster = member->cluster;

    switch (message->body_case) {
    case TEASEL__ENVELOPE__BODY_PEER_STATUS:
        cluster_apply_status(member, message->peer_status);
        break;
    case TEASEL__ENVELOPE__BODY_JOB_ANSWER:
        cluster->opts.handler->on_answer(message->job_answer,
                                         cluster->opts.data);
        break;
    default:
        break;
    }
}

static void
on_close(peer_t *peer, const char *reason, void *data)
{
    member_t *member = data;
    int64_t now_ms = cluster_now_ms(member->cluster);
    int64_t last_activity_ms = MAX(member->status_ms, member->dialled_ms);

    member->peer = NULL;
    member->open = false;
    member->leading = false;
    member->connection_reset = now_ms - last_activity_ms < RESET_WINDOW_MS;
    loop_timer_start(&member->redial,
                     now_ms - member->status_ms > UNREACHABLE_AFTER_MS
                         ? REDIAL_UNREACHABLE_MS
                         : REDIAL_MS);
    cluster_check_leader(member->cluster);
}

const peer_handler_t cluster_member_handler = {
    .on_open = on_open,
    .on_message = on_message,
    .on_close = on_close,
};

static void
dial(loop_timer_t *timer)
{
    member_t *member = timer->data;
    const cluster_opts_t *opts = &member->cluster->opts;
    peer_opts_t peer_opts = {
        .loop = opts->loop,
        .clock = opts->clock,
        .handler = &cluster_member_handler,
        .data = member,
        .max_queued_bytes = MAX_QUEUED_BYTES,
        .silence_ms = opts->silence_ms,
        .ping_ms = opts->status_ms,
    };

    member->dialled_ms = cluster_now_ms(member->cluster);
    if (member->first_dialled_ms == 0) {
        member->first_dialled_ms = member->dialled_ms;
    }
    member->peer = peer_connect(&peer_opts, member->address, NULL);
}

member_t *
cluster_find_member(cluster_t *cluster, const char *name)
{
    LIST_FOREACH (member, &cluster->members, member_t, link) {
        if (g_strcmp0(member->name, name) == 0) {
            return member;
        }
    }
    return NULL;
}

static void
close_member(member_t *member)
{
    peer_close(member->peer);
    member->peer = NULL;
    member->open = false;
    member->leading = false;
}

member_t *
cluster_update_member(cluster_t *cluster, const char *name,
                      const char *address, uint64_t incarnation)
{
    member_t *member = cluster_find_member(cluster, name);

    if (strcmp(name, cluster->name) == 0 ||
        !address_parse(address, NULL, NULL, NULL)) {
        return NULL;
    }
    g_hash_table_remove(cluster->strangers, name);
    if (member == NULL) {
        member = g_new0(member_t, 1);
        member->cluster = cluster;
        member->name = g_strdup(name);
        loop_timer_init(&member->redial, cluster->opts.loop, dial, member);
        list_append(&cluster->members, &member->link);
    }
    else if (g_strcmp0(member->address, address) == 0 &&
             member->incarnation == incarnation) {
        return member;
    }
    g_free(member->address);
    member->address = g_strdup(address);
    member->incarnation = incarnation;
    member->excluded = false;
    member->excluding = false;
    close_member(member);
    loop_timer_stop(&member->redial);
    return member;
}

bool
cluster_is_member_unreachable(const member_t *member)
{
    return !member->open && member->dialled_ms != 0 &&
           cluster_now_ms(member->cluster) -
                   MAX(member->status_ms, member->first_dialled_ms) >
               UNREACHABLE_AFTER_MS;
}

static bool
stands_before(const member_t *member, uint32_t cpu_milli, const char *name)
{
    return member->cpu_milli > cpu_milli ||
           (member->cpu_milli == cpu_milli && strcmp(member->name, name) < 0);
}

unsigned
cluster_get_rank(const cluster_t *cluster, bool all)
{
    unsigned rank = 0;

    LIST_FOREACH (member, &cluster->members, member_t, link) {
        rank +=
            (all || member->open) &&
            stands_before(member, cluster->opts.cpu_milli, cluster->name) &&
            g_strcmp0(member->name, cluster->leader_name) != 0;
    }
    return rank;
}

static bool
is_among_candidates(const cluster_t *cluster, uint32_t cpu_milli,
                    const char *name)
{
    unsigned before = 0;

    LIST_FOREACH (member, &cluster->members, member_t, link) {
        before += !cluster_is_member_unreachable(member) &&
                  stands_before(member, cpu_milli, name);
    }
    before += cluster->opts.cpu_milli > cpu_milli ||
              (cluster->opts.cpu_milli == cpu_milli &&
               strcmp(cluster->name, name) < 0);
    return before < CANDIDATES;
}

bool
cluster_is_candidate(const cluster_t *cluster)
{
    return is_among_candidates(cluster, cluster->opts.cpu_milli,
                               cluster->name);
}

static bool
needs_connection(const member_t *member, bool self_is_candidate)
{
    const cluster_t *cluster = member->cluster;

    return cluster->leading ||
           g_strcmp0(member->name, cluster->leader_name) == 0 ||
           (self_is_candidate &&
            is_among_candidates(cluster, member->cpu_milli, member->name));
}

void
cluster_update_connections(cluster_t *cluster)
{
    bool self_is_candidate = cluster_is_candidate(cluster);

    LIST_FOREACH (member, &cluster->members, member_t, link) {
        if (!needs_connection(member, self_is_candidate)) {
            close_member(member);
            loop_timer_stop(&member->redial);
            member->first_dialled_ms = 0;
        }
        else if (member->peer == NULL &&
                 !loop_timer_is_active(&member->redial)) {
            loop_timer_start(&member->redial, 0);
        }
    }
}

static void
free_member(member_t *member)
{
    close_member(member);
    loop_timer_stop(&member->redial);
    list_remove(&member->link);
    g_free(member->name);
    g_free(member->address);
    g_free(member);
}

void
cluster_forget_member(cluster_t *cluster, const char *name)
{
    member_t *member = cluster_find_member(cluster, name);

    g_hash_table_remove(cluster->strangers, name);
    if (member != NULL) {
        free_member(member);
    }
}

void
cluster_free_members(cluster_t *cluster)
{
    LIST_FOREACH_SAFE (member, &cluster->members, member_t, link) {
        free_member(member);
    }
}

static void
on_inbound_hello(inbound_t *inbound, const Teasel__PeerHello *hello)
{
    g_free(inbound->name);
    inbound->name = g_strdup(hello->name);
}

/* A scheduler that is not known from the store may lead later. Until its
   record is read, nothing proves that it doesn't. */
static void
note_stranger(cluster_t *cluster, const char *name,
              const Teasel__PeerStatus *status)
{
    int64_t *status_ms;

    if (name == NULL || cluster_find_member(cluster, name) != NULL) {
        return;
    }
    if (status->leaving) {
        g_hash_table_remove(cluster->strangers, name);
        return;
    }
    status_ms = g_new(int64_t, 1);
    *status_ms = cluster_now_ms(cluster);
    g_hash_table_insert(cluster->strangers, g_strdup(name), status_ms);
}

static void
on_inbound_status(inbound_t *inbound, const Teasel__PeerStatus *status)
{
    cluster_t *cluster = inbound->cluster;

    note_stranger(cluster, inbound->name, status);
    if (status->leading && !status->store_usable) {
        cluster_probe_store(cluster);
    }
    send_status_to(inbound->peer, cluster, status->sent_us);
}

static void
on_inbound_report(inbound_t *inbound, const Teasel__NodeReport *report)
{
    cluster_t *cluster = inbound->cluster;

    if (report->later_leader != NULL) {
        cluster_note_later_leader(cluster, report->later_leader);
    }
    if (!cluster->leading) {
        send_status_to_node(inbound->peer, cluster);
    }
    else if (inbound->name != NULL) {
        cluster->opts.handler->on_report(inbound->peer, inbound->name, report,
                                         cluster->opts.data);
    }
}

static void
on_inbound_message(peer_t *peer, const Teasel__Envelope *message, void *data)
{
    inbound_t *inbound = data;
    const cluster_opts_t *opts = &inbound->cluster->opts;

    switch (message->body_case) {
    case TEASEL__ENVELOPE__BODY_PEER_HELLO:
        on_inbound_hello(inbound, message->peer_hello);
        break;
    case TEASEL__ENVELOPE__BODY_PEER_STATUS:
        on_inbound_status(inbound, message->peer_status);
        break;
    case TEASEL__ENVELOPE__BODY_JOB_CALL:
        opts->handler->on_call(peer, message->job_call, opts->data);
        break;
    case TEASEL__ENVELOPE__BODY_NODE_REPORT:
        on_inbound_report(inbound, message->node_report);
        break;
    default:
        break;
    }
}

static void
on_inbound_close(peer_t *peer, const char *reason, void *data)
{
    inbound_t *inbound = data;
    const cluster_opts_t *opts = &inbound->cluster->opts;

    opts->handler->on_peer_closed(peer, opts->data);
    g_free(inbound->name);
    g_free(inbound);
}

const peer_handler_t cluster_inbound_handler = {
    .on_message = on_inbound_message,
    .on_close = on_inbound_close,
};

void
cluster_on_accept(peer_t *peer, void *data)
{
    inbound_t *inbound = g_new0(inbound_t, 1);

    inbound->cluster = data;
    inbound->peer = peer;
    peer_set_data(peer, inbound);
}
