#include "node/node_link.h"

#include <string.h>

#include "base/events.h"
#include "base/settings.h"
#include "cluster/control.h"
#include "store/follower.h"

enum {
    REDIAL_MS = 100,
    /* The leader tells of changes itself; this is for the case that it is
       cut off from the others. */
    FOLLOW_WAIT_MS = 5000,
    MAX_QUEUED_BYTES = 8 * 1024 * 1024,
    MAX_KNOWN = 64,
};

struct node_link {
    node_link_opts_t opts;
    follower_t *follower;
    peer_t *peer;
    bool open;
    bool led;         /* orders arrived on this connection */
    char *address;    /* of the connection */
    char *leader;     /* address of the newest leader, or NULL */
    uint64_t epoch;   /* of the newest leader */
    GPtrArray *known; /* addresses of schedulers */
    guint next_known;
    bool tried_leader;
    loop_timer_t redial;
};

static void
know(node_link_t *link, const char *address)
{
    if (!address_parse(address, NULL, NULL, NULL) ||
        g_ptr_array_find_with_equal_func(link->known, address, g_str_equal,
                                         NULL)) {
        return;
    }
    if (link->known->len >= MAX_KNOWN) {
        g_ptr_array_remove_index(link->known, 0);
    }
    g_ptr_array_add(link->known, g_strdup(address));
}

static void
lose_connection(node_link_t *link)
{
    bool was_open = link->open;

    link->peer = NULL;
    link->open = false;
    link->led = false;
    if (was_open) {
        event_log(EVENT_LEADER_DISCONNECTED,
                  "address=%s epoch=%" G_GUINT64_FORMAT, link->address,
                  link->epoch);
        link->opts.on_change(false, link->opts.data);
    }
}

static void
redial_soon(node_link_t *link, uint64_t ms)
{
    peer_close(link->peer);
    lose_connection(link);
    loop_timer_start(&link->redial, ms);
}

static void
learn_leader(node_link_t *link, const char *address, uint64_t epoch)
{
    if (epoch <= link->epoch || address[0] == '\0') {
        return;
    }
    link->epoch = epoch;
    g_free(link->leader);
    link->leader = g_strdup(address);
    link->tried_leader = false;
    know(link, address);
    if (g_strcmp0(link->address, address) != 0 || !link->open) {
        redial_soon(link, 0);
    }
}

static void
take_status(node_link_t *link, const Teasel__PeerStatus *status)
{
    for (size_t i = 0; i < status->n_schedulers; i++) {
        know(link, status->schedulers[i]);
    }
    learn_leader(link, status->leader_address, status->epoch);
    if (!status->leading && link->peer != NULL) {
        redial_soon(link, REDIAL_MS);
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
    link->opts.on_change(true, link->opts.data);
}

/* The first orders on a connection show that its other end leads. */
static void
note_leader(node_link_t *link)
{
    if (!link->led) {
        link->led = true;
        event_log(EVENT_LEADER_CONNECTED,
                  "address=%s epoch=%" G_GUINT64_FORMAT, link->address,
                  link->epoch);
    }
}

static void
on_message(peer_t *peer, const Teasel__Envelope *message, void *data)
{
    node_link_t *link = data;

    switch (message->body_case) {
    case TEASEL__ENVELOPE__BODY_PEER_STATUS:
        take_status(link, message->peer_status);
        break;
    case TEASEL__ENVELOPE__BODY_NODE_ORDERS:
        if (message->node_orders->epoch < link->epoch) {
            redial_soon(link, REDIAL_MS);
            break;
        }
        if (message->node_orders->epoch > link->epoch) {
            link->epoch = message->node_orders->epoch;
            g_free(link->leader);
            link->leader = g_strdup(link->address);
        }
        note_leader(link);
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

    lose_connection(link);
    loop_timer_start(&link->redial, REDIAL_MS);
}

static const peer_handler_t handler = {
    .on_open = on_open,
    .on_message = on_message,
    .on_close = on_close,
};

/* The leader first, then the known schedulers in turn. */
static const char *
choose_address(node_link_t *link)
{
    if (link->leader != NULL && !link->tried_leader) {
        link->tried_leader = true;
        return link->leader;
    }
    link->tried_leader = false;
    if (link->known->len == 0) {
        return link->leader;
    }
    link->next_known = (link->next_known + 1) % link->known->len;
    return g_ptr_array_index(link->known, link->next_known);
}

static void
dial(loop_timer_t *timer)
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
    if (address == NULL) {
        loop_timer_start(&link->redial, REDIAL_MS);
        return;
    }
    g_free(link->address);
    link->address = g_strdup(address);
    link->peer = peer_connect(&opts, address, NULL);
}

static void
on_record(const store_record_t *record, void *data)
{
    node_link_t *link = data;
    Teasel__LeaderRecord *leader;
    Teasel__SchedulerRecord *scheduler;

    if (record->value == NULL) {
        return;
    }
    if (strcmp(record->key, CONTROL_KEY_LEADER) == 0) {
        leader =
            teasel__leader_record__unpack(NULL, record->length, record->value);
        if (leader != NULL) {
            learn_leader(link, leader->address, record->offset + 1);
            teasel__leader_record__free_unpacked(leader, NULL);
        }
    }
    else if (g_str_has_prefix(record->key, CONTROL_SCHEDULER_PREFIX)) {
        scheduler = teasel__scheduler_record__unpack(NULL, record->length,
                                                     record->value);
        if (scheduler != NULL) {
            know(link, scheduler->address);
            teasel__scheduler_record__free_unpacked(scheduler, NULL);
        }
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
        .wait_ms = FOLLOW_WAIT_MS,
        .on_record = on_record,
        .data = link,
    };

    link->opts = *opts;
    link->known = g_ptr_array_new_with_free_func(g_free);
    loop_timer_init(&link->redial, opts->loop, dial, link);
    loop_timer_start(&link->redial, REDIAL_MS);
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
    loop_timer_stop(&link->redial);
    peer_close(link->peer);
    g_ptr_array_unref(link->known);
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
    Teasel__Envelope envelope = TEASEL__ENVELOPE__INIT;

    if (!link->open) {
        return false;
    }
    envelope.body_case = TEASEL__ENVELOPE__BODY_NODE_REPORT;
    envelope.node_report = report;
    return peer_send(link->peer, &envelope);
}
