#include "node/node_link.h"

#include <string.h>

#include "base/events.h"
#include "base/settings.h"
#include "cluster/control.h"
#include "store/follower.h"

enum {
    RECONNECT_MS = 100,
    /* A connection that is left stays open for this long, so that its last
       message is written. */
    LEAVE_MS = 200,
    /* The connected scheduler reports changes of the leader by itself. Reading
       the store covers a leader that is cut off from the other schedulers. */
    READ_WAIT_MS = 5000,
    MAX_QUEUED_BYTES = 8 * 1024 * 1024,
    MAX_SCHEDULERS = 64,
};

struct node_link {
    node_link_opts_t opts;
    follower_t *follower;
    peer_t *peer;
    peer_t *left; /* connection that was left, until it is closed */
    bool open;
    bool orders_received; /* orders arrived on this connection */
    char *address;        /* of the connection */
    char *leader;         /* address of the newest leader, or NULL */
    uint64_t epoch;       /* of the newest leader */
    GPtrArray *scheduler_addresses;
    guint next_scheduler;
    bool tried_leader;
    loop_timer_t reconnect;
    loop_timer_t close_left;
};

static void
add_scheduler_address(node_link_t *link, const char *address)
{
    if (!address_parse(address, NULL, NULL, NULL) ||
        g_ptr_array_find_with_equal_func(link->scheduler_addresses, address,
                                         g_str_equal, NULL)) {
        return;
    }
    if (link->scheduler_addresses->len >= MAX_SCHEDULERS) {
        g_ptr_array_remove_index(link->scheduler_addresses, 0);
    }
    g_ptr_array_add(link->scheduler_addresses, g_strdup(address));
}

static void
handle_disconnect(node_link_t *link)
{
    bool was_open = link->open;

    link->peer = NULL;
    link->open = false;
    link->orders_received = false;
    if (was_open) {
        event_log(EVENT_LEADER_DISCONNECTED,
                  "address=%s epoch=%" G_GUINT64_FORMAT, link->address,
                  link->epoch);
        link->opts.on_connection_changed(false, link->opts.data);
    }
}

static void
reconnect_after(node_link_t *link, uint64_t ms)
{
    peer_close(link->peer);
    handle_disconnect(link);
    loop_timer_start(&link->reconnect, ms);
}

/* Whether the connected scheduler is another one than the newest leader that
   this agent knows. */
static bool
knows_later_leader(const node_link_t *link)
{
    return link->leader != NULL && g_strcmp0(link->address, link->leader) != 0;
}

/* A leader that is cut off from the store and the other schedulers learns from
   its agents that there is a later one. The caller connects anew. */
static void
leave_for_later_leader(node_link_t *link)
{
    Teasel__NodeReport report = TEASEL__NODE_REPORT__INIT;

    if (!node_link_send(link, &report)) {
        return;
    }
    peer_close(link->left);
    link->left = link->peer;
    link->peer = NULL;
    loop_timer_start(&link->close_left, LEAVE_MS);
}

static void
on_close_left(loop_timer_t *timer)
{
    node_link_t *link = timer->data;

    peer_close(link->left);
    link->left = NULL;
}

static void
update_leader(node_link_t *link, const char *address, uint64_t epoch)
{
    if (epoch <= link->epoch || !address_parse(address, NULL, NULL, NULL)) {
        return;
    }
    link->epoch = epoch;
    g_free(link->leader);
    link->leader = g_strdup(address);
    link->tried_leader = false;
    add_scheduler_address(link, address);
    if (knows_later_leader(link)) {
        leave_for_later_leader(link);
    }
    if (knows_later_leader(link) || !link->open) {
        reconnect_after(link, 0);
    }
}

static void
handle_status(node_link_t *link, const Teasel__PeerStatus *status)
{
    for (size_t i = 0; i < status->n_schedulers; i++) {
        add_scheduler_address(link, status->schedulers[i]);
    }
    update_leader(link, status->leader_address, status->epoch);
    if (!status->leading && link->peer != NULL) {
        reconnect_after(link, RECONNECT_MS);
    }
}

static void
on_open(peer_t *peer, void *data)
{
    node_link_t *link = data;
    Teasel__PeerHello hello = TEASEL__PEER_HELLO__INIT;
    Teasel__Envelope envelope = TEASEL__ENVELOPE__INIT;

    link->open = true;
    hello.name = (char *)link->opts.name;
    envelope.body_case = TEASEL__ENVELOPE__BODY_PEER_HELLO;
    envelope.peer_hello = &hello;
    peer_send(peer, &envelope);
    link->opts.on_connection_changed(true, link->opts.data);
}

/* The first orders on a connection confirm that the peer is the leader. */
static void
log_leader_connected(node_link_t *link)
{
    if (!link->orders_received) {
        link->orders_received = true;
        event_log(EVENT_LEADER_CONNECTED,
                  "address=%s epoch=%" G_GUINT64_FORMAT, link->address,
                  link->epoch);
    }
}

static void
on_message(peer_t *peer, const Teasel__Envelope *message, void *data)
{
    node_link_t *link = data;

    if (peer != link->peer) {
        return;
    }
    switch (message->body_case) {
    case TEASEL__ENVELOPE__BODY_PEER_STATUS:
        handle_status(link, message->peer_status);
        break;
    case TEASEL__ENVELOPE__BODY_NODE_ORDERS:
        if (message->node_orders->epoch < link->epoch) {
            leave_for_later_leader(link);
            reconnect_after(link, RECONNECT_MS);
            break;
        }
        if (message->node_orders->epoch > link->epoch) {
            link->epoch = message->node_orders->epoch;
            g_free(link->leader);
            link->leader = g_strdup(link->address);
        }
        log_leader_connected(link);
        link->opts.on_orders(message->node_orders, link->opts.data);
        break;
    default:
        break;
    }
}

static void
on_close(peer_t *peer, const char *reason, void *data)
{
    node_link_t *link = data;

    if (peer == link->left) {
        link->left = NULL;
        return;
    }
    handle_disconnect(link);
    loop_timer_start(&link->reconnect, RECONNECT_MS);
}

static const peer_handler_t handler = {
    .on_open = on_open,
    .on_message = on_message,
    .on_close = on_close,
};

/* Alternates between the leader and the known schedulers in turn. */
static const char *
choose_address(node_link_t *link)
{
    if (link->leader != NULL && !link->tried_leader) {
        link->tried_leader = true;
        return link->leader;
    }
    link->tried_leader = false;
    if (link->scheduler_addresses->len == 0) {
        return link->leader;
    }
    link->next_scheduler =
        (link->next_scheduler + 1) % link->scheduler_addresses->len;
    return g_ptr_array_index(link->scheduler_addresses, link->next_scheduler);
}

static void
connect_to_scheduler(loop_timer_t *timer)
{
    node_link_t *link = timer->data;
    const char *address = choose_address(link);
    peer_opts_t opts = {
        .loop = link->opts.loop,
        .clock = link->opts.clock,
        .handler = &handler,
        .data = link,
        .max_queued_bytes = MAX_QUEUED_BYTES,
        .silence_ms = link->opts.silence_ms,
        .ping_ms = link->opts.silence_ms / 3,
    };

    if (link->peer != NULL) {
        return;
    }
    if (address != NULL) {
        g_free(link->address);
        link->address = g_strdup(address);
        link->peer = peer_connect(&opts, address, NULL);
    }
    if (link->peer == NULL) {
        loop_timer_start(&link->reconnect, RECONNECT_MS);
    }
}

/* Return false if the record cannot be read or has no address that can be
   called. */
static bool
read_leader(node_link_t *link, const store_record_t *record)
{
    Teasel__LeaderRecord *leader =
        teasel__leader_record__unpack(NULL, record->length, record->value);
    bool valid =
        leader != NULL && address_parse(leader->address, NULL, NULL, NULL);

    if (valid) {
        update_leader(link, leader->address, record->offset + 1);
    }
    if (leader != NULL) {
        teasel__leader_record__free_unpacked(leader, NULL);
    }
    return valid;
}

static bool
read_scheduler(node_link_t *link, const store_record_t *record)
{
    Teasel__SchedulerRecord *scheduler =
        teasel__scheduler_record__unpack(NULL, record->length, record->value);
    bool valid = scheduler != NULL &&
                 address_parse(scheduler->address, NULL, NULL, NULL);

    if (valid) {
        add_scheduler_address(link, scheduler->address);
    }
    if (scheduler != NULL) {
        teasel__scheduler_record__free_unpacked(scheduler, NULL);
    }
    return valid;
}

static void
on_record(const store_record_t *record, void *data)
{
    node_link_t *link = data;
    bool valid = true;

    if (record->value == NULL) {
        return;
    }
    if (strcmp(record->key, CONTROL_KEY_LEADER) == 0) {
        valid = read_leader(link, record);
    }
    else if (g_str_has_prefix(record->key, CONTROL_SCHEDULER_PREFIX)) {
        valid = read_scheduler(link, record);
    }
    if (!valid) {
        event_log(EVENT_RECORD_MALFORMED, "topic=%s offset=%" G_GUINT64_FORMAT,
                  CONTROL_TOPIC, record->offset);
    }
}

node_link_t *
node_link_new(const node_link_opts_t *opts)
{
    node_link_t *link = g_new0(node_link_t, 1);
    follower_opts_t follower_opts = {
        .loop = opts->loop,
        .clock = opts->clock,
        .store = opts->store,
        .topic = CONTROL_TOPIC,
        .wait_ms = READ_WAIT_MS,
        .on_record = on_record,
        .data = link,
    };

    link->opts = *opts;
    link->scheduler_addresses = g_ptr_array_new_with_free_func(g_free);
    loop_timer_init(&link->reconnect, opts->loop, connect_to_scheduler, link);
    loop_timer_init(&link->close_left, opts->loop, on_close_left, link);
    loop_timer_start(&link->reconnect, RECONNECT_MS);
    link->follower = follower_new(&follower_opts);
    return link;
}

void
node_link_free(node_link_t *link)
{
    if (link == NULL) {
        return;
    }
    follower_free(link->follower);
    loop_timer_stop(&link->reconnect);
    loop_timer_stop(&link->close_left);
    peer_close(link->peer);
    peer_close(link->left);
    g_ptr_array_unref(link->scheduler_addresses);
    g_free(link->address);
    g_free(link->leader);
    g_free(link);
}

bool
node_link_is_open(const node_link_t *link)
{
    return link->open;
}

bool
node_link_send(node_link_t *link, Teasel__NodeReport *report)
{
    Teasel__LeaderAddress later = TEASEL__LEADER_ADDRESS__INIT;
    Teasel__Envelope envelope = TEASEL__ENVELOPE__INIT;
    bool sent;

    if (!link->open) {
        return false;
    }
    if (knows_later_leader(link)) {
        later.epoch = link->epoch;
        later.address = link->leader;
        report->later_leader = &later;
    }
    envelope.body_case = TEASEL__ENVELOPE__BODY_NODE_REPORT;
    envelope.node_report = report;
    sent = peer_send(link->peer, &envelope);
    report->later_leader = NULL;
    return sent;
}
