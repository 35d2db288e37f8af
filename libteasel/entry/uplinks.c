#include "entry/uplinks.h"

#include <inttypes.h>

#include "base/events.h"
#include "entry/forward_message.h"

enum {
    /* Four of the largest frames; more means that the agent does not read. */
    MAX_QUEUED_BYTES = 64 * 1024 * 1024,
};

struct uplinks {
    uplinks_opts_t opts;
    peer_listener_t *listener;
    list_t uplinks;
};

static member_load_t
convert_load(const Teasel__Load *load)
{
    member_load_t out = {0};

    if (load != NULL) {
        out.running = load->running;
        out.queued = load->queued;
        out.slots = load->slots;
        out.service_time_us = load->service_time_us;
        out.leaving = load->leaving;
        out.config_next = load->config_next;
        out.sequence = load->sequence;
    }
    return out;
}

static void
uplink_free(uplink_t *uplink)
{
    list_remove(&uplink->link);
    g_free(uplink);
}

/* The requests on the connection are ended after the member is marked as
   disconnected, so that a retry does not choose it again. */
static void
drop_uplink(uplink_t *uplink, const char *reason)
{
    uplinks_t *uplinks = uplink->owner;
    member_t *member = uplink->member;

    if (member != NULL && member->connection == uplink) {
        event_log(EVENT_MEMBER_LOST,
                  "agent=%s incarnation=%" PRIu64 " reason=\"%s\"",
                  member->agent_id, member->incarnation, reason);
        member_table_disconnect(uplinks->opts.members, member);
    }
    forwarder_on_disconnect(uplinks->opts.forwarder, uplink);
    uplink_free(uplink);
}

static void
refuse_peer(uplink_t *uplink, const char *reason)
{
    peer_t *peer = uplink->peer;

    event_log(EVENT_PEER_REFUSED, "address=%s reason=\"%s\"",
              peer_get_address(peer), reason);
    drop_uplink(uplink, reason);
    peer_close(peer);
}

static void
send_entries(uplink_t *uplink, char **entries)
{
    const uplinks_opts_t *opts = &uplink->owner->opts;
    Teasel__Envelope envelope = TEASEL__ENVELOPE__INIT;
    Teasel__HelloAck ack = TEASEL__HELLO_ACK__INIT;

    ack.entry_id = (char *)opts->entry_id;
    ack.incarnation = opts->incarnation;
    ack.n_entries = g_strv_length(entries);
    ack.entries = entries;
    envelope.body_case = TEASEL__ENVELOPE__BODY_HELLO_ACK;
    envelope.hello_ack = &ack;
    peer_send(uplink->peer, &envelope);
}

static void
send_current_entries(uplink_t *uplink, directory_scope_t scope)
{
    g_auto(GStrv) entries =
        directory_list(uplink->owner->opts.directory, scope);

    send_entries(uplink, entries);
}

void
uplinks_send_entries(uplinks_t *uplinks)
{
    g_auto(GStrv) entries =
        directory_list(uplinks->opts.directory, DIRECTORY_ALL);

    LIST_FOREACH (uplink, &uplinks->uplinks, uplink_t, link) {
        if (uplink->member != NULL) {
            send_entries(uplink, entries);
        }
    }
}

static void
on_hello(uplink_t *uplink, const Teasel__Hello *hello)
{
    const uplinks_opts_t *opts = &uplink->owner->opts;
    member_hello_t description = {
        .agent_id = hello->agent_id,
        .incarnation = hello->incarnation,
        .data_centre = hello->data_centre,
        .rack = hello->rack,
        .services = (const char *const *)hello->services,
        .service_count = hello->n_services,
        .load = convert_load(hello->load),
    };
    uplink_t *replaced;
    member_t *member = member_table_join(opts->members, &description, uplink,
                                         (void **)&replaced);

    if (member == NULL) {
        event_log(EVENT_MEMBER_REFUSED, "agent=%s incarnation=%" PRIu64,
                  hello->agent_id, hello->incarnation);
        refuse_peer(uplink, "a newer incarnation of this agent is known");
        return;
    }
    uplink->member = member;
    member->drained = config_reader_is_drained(opts->config, member->agent_id);
    event_log(EVENT_MEMBER_JOINED,
              "agent=%s incarnation=%" PRIu64 " data-centre=%s address=%s",
              member->agent_id, member->incarnation, member->data_centre,
              peer_get_address(uplink->peer));
    send_current_entries(uplink, DIRECTORY_ALL);
    if (replaced != NULL) {
        peer_t *peer = replaced->peer;

        drop_uplink(replaced, "replaced by a newer connection");
        peer_close(peer);
    }
    forwarder_on_member(opts->forwarder);
}

static void
on_load(uplink_t *uplink, const Teasel__Load *load)
{
    const uplinks_opts_t *opts = &uplink->owner->opts;
    member_load_t converted = convert_load(load);
    bool was_leaving = uplink->member->load.leaving;

    if (load == NULL ||
        !member_table_update_load(opts->members, uplink->member, &converted)) {
        return;
    }
    if (converted.leaving && !was_leaving) {
        event_log(EVENT_MEMBER_LEAVING, "agent=%s", uplink->member->agent_id);
    }
    forwarder_on_member(opts->forwarder);
}

static void
on_leave(uplink_t *uplink)
{
    uplink->member->has_left = true;
    event_log(EVENT_MEMBER_LEAVING, "agent=%s", uplink->member->agent_id);
}

static void
on_announce(uplink_t *uplink, const Teasel__EntryAnnounce *announce)
{
    const uplinks_opts_t *opts = &uplink->owner->opts;

    if (directory_announce(opts->directory, announce)) {
        opts->on_directory(opts->data);
    }
    send_current_entries(uplink, DIRECTORY_ANNOUNCED);
}

static void
on_agent_message(uplink_t *uplink, const Teasel__Envelope *message)
{
    switch (message->body_case) {
    case TEASEL__ENVELOPE__BODY_REPORT:
        on_load(uplink, message->report->load);
        break;
    case TEASEL__ENVELOPE__BODY_REPLY:
    case TEASEL__ENVELOPE__BODY_NOT_RUN:
    case TEASEL__ENVELOPE__BODY_UNKNOWN:
        on_load(uplink, forward_message_get_load(message));
        forwarder_on_message(uplink->owner->opts.forwarder, uplink, message);
        break;
    case TEASEL__ENVELOPE__BODY_LEAVE:
        on_leave(uplink);
        break;
    default:
        refuse_peer(uplink, "unexpected message of an agent");
        break;
    }
}

static void
on_message(peer_t *peer, const Teasel__Envelope *message, void *data)
{
    uplink_t *uplink = data;

    if (message->body_case == TEASEL__ENVELOPE__BODY_HELLO) {
        on_hello(uplink, message->hello);
    }
    else if (uplink->member != NULL) {
        on_agent_message(uplink, message);
    }
    else if (message->body_case == TEASEL__ENVELOPE__BODY_ENTRY_ANNOUNCE) {
        on_announce(uplink, message->entry_announce);
    }
    else {
        refuse_peer(uplink, "the first message is not Hello");
    }
}

static void
on_close(peer_t *peer, const char *reason, void *data)
{
    drop_uplink(data, reason);
}

static void
on_accept(peer_t *peer, void *data)
{
    uplinks_t *uplinks = data;
    uplink_t *uplink = g_new0(uplink_t, 1);

    uplink->owner = uplinks;
    uplink->peer = peer;
    list_init(&uplink->forwards);
    list_append(&uplinks->uplinks, &uplink->link);
    peer_set_data(peer, uplink);
}

uplinks_t *
uplinks_new(const uplinks_opts_t *opts, GError **error)
{
    static const peer_handler_t handler = {
        .on_message = on_message,
        .on_close = on_close,
    };
    uplinks_t *uplinks = g_new0(uplinks_t, 1);
    peer_opts_t peer_opts = {
        .loop = opts->loop,
        .clock = opts->clock,
        .handler = &handler,
        .data = uplinks,
        .max_queued_bytes = MAX_QUEUED_BYTES,
        .silence_ms = opts->silence_ms,
        .ping_ms = opts->ping_ms,
    };

    uplinks->opts = *opts;
    list_init(&uplinks->uplinks);
    uplinks->listener =
        peer_listen(&peer_opts, opts->listen, on_accept, error);
    if (uplinks->listener == NULL) {
        g_free(uplinks);
        return NULL;
    }
    return uplinks;
}

void
uplinks_free(uplinks_t *uplinks)
{
    if (uplinks == NULL) {
        return;
    }
    peer_listener_free(uplinks->listener); /* closes all peers */
    LIST_FOREACH_SAFE (uplink, &uplinks->uplinks, uplink_t, link) {
        uplink_free(uplink);
    }
    g_free(uplinks);
}

void
uplinks_apply_drains(uplinks_t *uplinks)
{
    const list_t *members = member_table_get_members(uplinks->opts.members);

    LIST_FOREACH (member, members, member_t, link) {
        member->drained =
            config_reader_is_drained(uplinks->opts.config, member->agent_id);
    }
}
