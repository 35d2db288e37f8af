#include "entry/peer_server.h"

#include <inttypes.h>
#include <string.h>

#include "base/events.h"
#include "entry/forward_message.h"

enum {
    /* Four frames of the maximum size. A longer queue means that the peer does
       not read. */
    MAX_QUEUED_BYTES = 64 * 1024 * 1024,
};

struct peer_server {
    peer_server_opts_t opts;
    peer_listener_t *listener;
    list_t sessions;
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
session_free(peer_session_t *session)
{
    list_remove(&session->link);
    g_free(session);
}

/* The member is marked as disconnected before the requests on the connection
   are ended, so that their retries do not choose it again. */
static void
drop_session(peer_session_t *session, const char *reason)
{
    peer_server_t *server = session->owner;
    member_t *member = session->member;

    if (member != NULL && member->connection == session) {
        event_log(EVENT_MEMBER_LOST,
                  "agent=%s incarnation=%" PRIu64 " reason=\"%s\"",
                  member->agent_id, member->incarnation, reason);
        member_table_disconnect(server->opts.members, member);
    }
    forwarder_on_disconnect(server->opts.forwarder, session);
    session_free(session);
}

static void
refuse_peer(peer_session_t *session, const char *reason)
{
    peer_t *peer = session->peer;

    event_log(EVENT_PEER_REFUSED, "address=%s reason=\"%s\"",
              peer_get_address(peer), reason);
    drop_session(session, reason);
    peer_close(peer);
}

static void
send_entries(peer_session_t *session, char **entries)
{
    const peer_server_opts_t *opts = &session->owner->opts;
    Teasel__Envelope envelope = TEASEL__ENVELOPE__INIT;
    Teasel__HelloAck ack = TEASEL__HELLO_ACK__INIT;

    ack.entry_id = (char *)opts->entry_id;
    ack.incarnation = opts->incarnation;
    ack.n_entries = g_strv_length(entries);
    ack.entries = entries;
    envelope.body_case = TEASEL__ENVELOPE__BODY_HELLO_ACK;
    envelope.hello_ack = &ack;
    peer_send(session->peer, &envelope);
}

static void
send_current_entries(peer_session_t *session, directory_scope_t scope)
{
    g_auto(GStrv) entries =
        directory_list(session->owner->opts.directory, scope);

    send_entries(session, entries);
}

void
peer_server_send_entries(peer_server_t *server)
{
    g_auto(GStrv) entries =
        directory_list(server->opts.directory, DIRECTORY_ALL);

    LIST_FOREACH (session, &server->sessions, peer_session_t, link) {
        if (session->member != NULL) {
            send_entries(session, entries);
        }
    }
}

static void
on_hello(peer_session_t *session, const Teasel__Hello *hello)
{
    const peer_server_opts_t *opts = &session->owner->opts;
    member_hello_t description = {
        .agent_id = hello->agent_id,
        .incarnation = hello->incarnation,
        .data_centre = hello->data_centre,
        .rack = hello->rack,
        .services = (const char *const *)hello->services,
        .service_count = hello->n_services,
        .load = convert_load(hello->load),
    };
    peer_session_t *replaced;
    member_t *member;

    if (session->member != NULL &&
        strcmp(session->member->agent_id, hello->agent_id) != 0) {
        refuse_peer(session, "a second Hello names another agent");
        return;
    }
    member = member_table_join(opts->members, &description, session,
                               (void **)&replaced);

    if (member == NULL) {
        event_log(EVENT_MEMBER_REFUSED, "agent=%s incarnation=%" PRIu64,
                  hello->agent_id, hello->incarnation);
        refuse_peer(session, "a newer incarnation of this agent is known");
        return;
    }
    session->member = member;
    member->drained = config_reader_is_drained(opts->config, member->agent_id);
    event_log(EVENT_MEMBER_JOINED,
              "agent=%s incarnation=%" PRIu64 " data-centre=%s address=%s",
              member->agent_id, member->incarnation, member->data_centre,
              peer_get_address(session->peer));
    send_current_entries(session, DIRECTORY_ALL);
    if (replaced != NULL) {
        peer_t *peer = replaced->peer;

        drop_session(replaced, "replaced by a newer connection");
        peer_close(peer);
    }
    forwarder_on_member(opts->forwarder);
}

static void
on_load(peer_session_t *session, const Teasel__Load *load)
{
    const peer_server_opts_t *opts = &session->owner->opts;
    member_load_t converted = convert_load(load);
    bool was_leaving = session->member->load.leaving;

    if (load == NULL || !member_table_update_load(
                            opts->members, session->member, &converted)) {
        return;
    }
    if (converted.leaving && !was_leaving) {
        event_log(EVENT_MEMBER_LEAVING, "agent=%s", session->member->agent_id);
    }
    forwarder_on_member(opts->forwarder);
}

static void
on_leave(peer_session_t *session)
{
    session->member->has_left = true;
    event_log(EVENT_MEMBER_LEAVING, "agent=%s", session->member->agent_id);
}

static void
on_announce(peer_session_t *session, const Teasel__EntryAnnounce *announce)
{
    const peer_server_opts_t *opts = &session->owner->opts;

    if (directory_handle_announce(opts->directory, announce)) {
        opts->on_directory_change(opts->data);
    }
    send_current_entries(session, DIRECTORY_ANNOUNCED);
}

static void
on_agent_message(peer_session_t *session, const Teasel__Envelope *message)
{
    switch (message->body_case) {
    case TEASEL__ENVELOPE__BODY_REPORT:
        on_load(session, message->report->load);
        break;
    case TEASEL__ENVELOPE__BODY_REPLY:
    case TEASEL__ENVELOPE__BODY_NOT_RUN:
    case TEASEL__ENVELOPE__BODY_UNKNOWN:
        on_load(session, forward_message_get_load(message));
        forwarder_on_message(session->owner->opts.forwarder, session, message);
        break;
    case TEASEL__ENVELOPE__BODY_LEAVE:
        on_leave(session);
        break;
    default:
        refuse_peer(session, "unexpected message type from an agent");
        break;
    }
}

static void
on_message(peer_t *peer, const Teasel__Envelope *message, void *data)
{
    peer_session_t *session = data;

    if (message->body_case == TEASEL__ENVELOPE__BODY_HELLO) {
        on_hello(session, message->hello);
    }
    else if (session->member != NULL) {
        on_agent_message(session, message);
    }
    else if (message->body_case == TEASEL__ENVELOPE__BODY_ENTRY_ANNOUNCE) {
        on_announce(session, message->entry_announce);
    }
    else {
        refuse_peer(session,
                    "the first message is neither Hello nor EntryAnnounce");
    }
}

static void
on_close(peer_t *peer, const char *reason, void *data)
{
    drop_session(data, reason);
}

static void
on_accept(peer_t *peer, void *data)
{
    peer_server_t *server = data;
    peer_session_t *session = g_new0(peer_session_t, 1);

    session->owner = server;
    session->peer = peer;
    list_init(&session->forwards);
    list_append(&server->sessions, &session->link);
    peer_set_data(peer, session);
}

peer_server_t *
peer_server_new(const peer_server_opts_t *opts, GError **error)
{
    static const peer_handler_t handler = {
        .on_message = on_message,
        .on_close = on_close,
    };
    peer_server_t *server = g_new0(peer_server_t, 1);
    peer_opts_t peer_opts = {
        .loop = opts->loop,
        .clock = opts->clock,
        .handler = &handler,
        .data = server,
        .max_queued_bytes = MAX_QUEUED_BYTES,
        .silence_ms = opts->silence_ms,
        .ping_ms = opts->ping_ms,
    };

    server->opts = *opts;
    list_init(&server->sessions);
    server->listener = peer_listen(&peer_opts, opts->listen, on_accept, error);
    if (server->listener == NULL) {
        g_free(server);
        return NULL;
    }
    return server;
}

void
peer_server_free(peer_server_t *server)
{
    if (server == NULL) {
        return;
    }
    peer_listener_free(server->listener); /* closes all its connections */
    LIST_FOREACH_SAFE (session, &server->sessions, peer_session_t, link) {
        session_free(session);
    }
    g_free(server);
}

void
peer_server_apply_drains(peer_server_t *server)
{
    const list_t *members = member_table_get_members(server->opts.members);

    LIST_FOREACH (member, members, member_t, link) {
        member->drained =
            config_reader_is_drained(server->opts.config, member->agent_id);
    }
}
