#include "agent/agent_link.h"

enum {
    MAX_QUEUED_BYTES = 64 * 1024 * 1024,
};

struct agent_link {
    agent_link_opts_t opts;
    char *address;
    peer_t *peer;
    bool open;
    uint64_t generation;
    uint64_t backoff_ms;
    uint64_t past_bytes; /* sent and received on earlier connections */
    loop_timer_t timer;
};

static uint64_t
get_peer_bytes(const agent_link_t *link)
{
    return link->peer == NULL ? 0
                              : peer_get_bytes_sent(link->peer) +
                                    peer_get_bytes_received(link->peer);
}

/* Shortens the delay at random by up to a half, so that the agents of a
   restarted entry do not all reconnect at the same moment. */
static void
schedule_connect(agent_link_t *link)
{
    uint64_t delay = link->backoff_ms;

    delay -= (uint64_t)g_random_int_range(0, (gint32)(delay / 2 + 1));
    link->backoff_ms = MIN(link->backoff_ms * 2, link->opts.max_backoff_ms);
    loop_timer_start(&link->timer, delay);
}

static void
handle_disconnect(agent_link_t *link, const char *reason)
{
    bool was_open = link->open;

    link->past_bytes += get_peer_bytes(link);
    link->peer = NULL;
    link->open = false;
    schedule_connect(link);
    if (was_open) {
        link->opts.handler->on_disconnect(link, reason, link->opts.data);
    }
}

static void
on_open(peer_t *peer, void *data)
{
    agent_link_t *link = data;

    link->open = true;
    link->generation++;
    link->opts.handler->on_open(link, link->opts.data);
}

static void
on_message(peer_t *peer, const Teasel__Envelope *message, void *data)
{
    agent_link_t *link = data;

    link->backoff_ms = link->opts.backoff_ms;
    link->opts.handler->on_message(link, message, link->opts.data);
}

static void
on_close(peer_t *peer, const char *reason, void *data)
{
    handle_disconnect(data, reason);
}

static void
on_connect_timer(loop_timer_t *timer)
{
    static const peer_handler_t handler = {
        .on_open = on_open,
        .on_message = on_message,
        .on_close = on_close,
    };
    agent_link_t *link = timer->data;
    peer_opts_t opts = {
        .loop = link->opts.loop,
        .clock = link->opts.clock,
        .handler = &handler,
        .data = link,
        .max_queued_bytes = MAX_QUEUED_BYTES,
        .silence_ms = link->opts.silence_ms,
        .ping_ms = link->opts.ping_ms,
    };

    link->peer = peer_connect(&opts, link->address, NULL);
    if (link->peer == NULL) {
        schedule_connect(link);
    }
}

agent_link_t *
agent_link_new(const agent_link_opts_t *opts, const char *address)
{
    agent_link_t *link = g_new0(agent_link_t, 1);

    link->opts = *opts;
    link->address = g_strdup(address);
    link->backoff_ms = opts->backoff_ms;
    loop_timer_init(&link->timer, opts->loop, on_connect_timer, link);
    loop_timer_start(&link->timer, 0);
    return link;
}

void
agent_link_free(agent_link_t *link)
{
    if (link == NULL) {
        return;
    }
    loop_timer_stop(&link->timer);
    peer_close(link->peer);
    g_free(link->address);
    g_free(link);
}

void
agent_link_reset(agent_link_t *link, const char *reason)
{
    peer_t *peer = link->peer;

    if (peer == NULL) {
        return;
    }
    link->backoff_ms = link->opts.backoff_ms;
    handle_disconnect(link, reason);
    peer_close(peer);
}

bool
agent_link_send(agent_link_t *link, const Teasel__Envelope *message)
{
    return link->open && peer_send(link->peer, message);
}

bool
agent_link_is_open(const agent_link_t *link)
{
    return link->open;
}

const char *
agent_link_get_address(const agent_link_t *link)
{
    return link->address;
}

uint64_t
agent_link_get_generation(const agent_link_t *link)
{
    return link->generation;
}

uint64_t
agent_link_get_bytes(const agent_link_t *link)
{
    return link->past_bytes + get_peer_bytes(link);
}
