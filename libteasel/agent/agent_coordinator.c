#include <string.h>

#include "agent/agent_internal.h"
#include "base/events.h"

enum {
    MAX_QUEUED_BYTES = 16 * 1024 * 1024,
};

static void
on_open(agent_link_t *link, void *data)
{
    agent_t *agent = data;

    event_log(EVENT_COORDINATOR_CONNECTED, "address=%s",
              agent_link_get_address(link));
    if (agent->tasks != NULL) {
        task_runner_on_connected(agent->tasks);
    }
}

static void
on_message(agent_link_t *link, const Teasel__Envelope *message, void *data)
{
    agent_t *agent = data;

    if (agent_check_freeze(agent)) {
        return;
    }
    if (message->body_case == TEASEL__ENVELOPE__BODY_LEAVE) {
        coordinator_role_note_leave(agent->role, agent->coordinator_epoch);
    }
    else if (agent->tasks != NULL) {
        task_runner_on_message(agent->tasks, message);
    }
}

static void
on_disconnect(agent_link_t *link, const char *reason, void *data)
{
    event_log(EVENT_COORDINATOR_LOST, "address=%s reason=\"%s\"",
              agent_link_get_address(link), reason);
}

static void
connect_to(agent_t *agent, const char *address)
{
    static const agent_link_handler_t handler = {
        .on_open = on_open,
        .on_message = on_message,
        .on_disconnect = on_disconnect,
    };
    const agent_settings_t *settings = agent->settings;
    agent_link_opts_t opts = {
        .loop = agent->loop,
        .clock = agent->clock,
        .silence_ms = (uint64_t)settings->silence_ms,
        .ping_ms = (uint64_t)settings->ping_ms,
        .backoff_ms = (uint64_t)settings->backoff_ms,
        .max_backoff_ms = (uint64_t)settings->max_backoff_ms,
        .handler = &handler,
        .data = agent,
    };

    if (agent->coordinator != NULL &&
        strcmp(agent_link_get_address(agent->coordinator), address) == 0) {
        return;
    }
    agent_link_free(agent->coordinator);
    agent->coordinator = agent_link_new(&opts, address);
}

static void
on_coordinator(const char *peer_address, uint64_t epoch, void *data)
{
    agent_t *agent = data;

    agent->coordinator_epoch = epoch;
    if (agent->tasks != NULL) {
        task_runner_note_epoch(agent->tasks, epoch);
    }
    connect_to(agent, peer_address);
}

static void
on_role_acquired(void *data)
{
    agent_config_apply_teams(data);
}

static void
on_role_stopped(void *data)
{
    agent_t *agent = data;

    agent->role_stopped = true;
    agent_stop_check(agent);
}

static void
on_peer_message(peer_t *peer, const Teasel__Envelope *message, void *data)
{
    agent_t *agent = data;

    agent_check_freeze(agent);
    coordinator_role_on_message(agent->role, peer, message);
}

static void
on_peer_close(peer_t *peer, const char *reason, void *data)
{
    agent_t *agent = data;

    coordinator_role_on_close(agent->role, peer);
}

static void
on_accept(peer_t *peer, void *data)
{
}

static bool
start_listener(agent_t *agent, GError **error)
{
    static const peer_handler_t handler = {
        .on_message = on_peer_message,
        .on_close = on_peer_close,
    };
    peer_opts_t opts = {
        .loop = agent->loop,
        .clock = agent->clock,
        .handler = &handler,
        .data = agent,
        .max_queued_bytes = MAX_QUEUED_BYTES,
        .silence_ms = (uint64_t)agent->settings->silence_ms,
        .ping_ms = (uint64_t)agent->settings->ping_ms,
    };

    agent->peer_listener =
        peer_listen(&opts, agent->settings->peer_listen, on_accept, error);
    return agent->peer_listener != NULL;
}

bool
agent_coordinator_start(agent_t *agent, GError **error)
{
    static const coordinator_role_handler_t handler = {
        .on_coordinator = on_coordinator,
        .on_acquired = on_role_acquired,
        .on_stopped = on_role_stopped,
    };
    const agent_settings_t *settings = agent->settings;
    coordinator_role_opts_t opts = {
        .loop = agent->loop,
        .clock = agent->clock,
        .log = agent->log,
        .metrics = &agent->metrics,
        .cell = settings->cell,
        .agent_id = settings->agent_id,
        .incarnation = agent->incarnation,
        .peer_address = settings->peer_listen,
        .rank = (uint32_t)settings->rank,
        .lease_ms = (uint64_t)settings->lease_ms,
        .silence_ms = (uint64_t)settings->claim_silence_ms,
        .rank_ms = (uint64_t)settings->rank_ms,
        .append_timeout_ms = (uint64_t)settings->append_timeout_ms,
        .candidate = settings->candidate != 0,
        .handler = &handler,
        .data = agent,
    };

    if (!start_listener(agent, error)) {
        return false;
    }
    agent->role = coordinator_role_new(&opts);
    agent_config_apply_teams(agent);
    return true;
}

void
agent_coordinator_stop(agent_t *agent)
{
    agent->role_stopping = true;
    coordinator_role_stop(agent->role);
}
