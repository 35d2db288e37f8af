#include <string.h>

#include "agent/coordinator_role_internal.h"

void
role_peers_init(coordinator_role_t *role)
{
    role->peers_by_agent =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    role->agents_by_peer =
        g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
}

void
role_peers_clear(coordinator_role_t *role)
{
    g_hash_table_destroy(role->peers_by_agent);
    g_hash_table_destroy(role->agents_by_peer);
}

void
role_peers_register(coordinator_role_t *role, peer_t *peer, const char *agent)
{
    if (g_hash_table_lookup(role->peers_by_agent, agent) == peer) {
        return;
    }
    g_hash_table_insert(role->peers_by_agent, g_strdup(agent), peer);
    g_hash_table_insert(role->agents_by_peer, peer, g_strdup(agent));
}

void
role_peers_send(const char *agent, const Teasel__Envelope *message, void *data)
{
    coordinator_role_t *role = data;
    peer_t *peer = g_hash_table_lookup(role->peers_by_agent, agent);

    /* Without a connection the message is dropped. The coordinator repeats
       messages that still apply after a later heartbeat. */
    if (peer != NULL) {
        peer_send(peer, message);
    }
}

void
role_peers_send_leave(coordinator_role_t *role)
{
    Teasel__Envelope envelope = TEASEL__ENVELOPE__INIT;
    Teasel__Leave leave = TEASEL__LEAVE__INIT;
    GHashTableIter iter;
    gpointer peer;

    leave.reason = "the coordinator stops";
    envelope.body_case = TEASEL__ENVELOPE__BODY_LEAVE;
    envelope.leave = &leave;
    g_hash_table_iter_init(&iter, role->peers_by_agent);
    while (g_hash_table_iter_next(&iter, NULL, &peer)) {
        peer_send(peer, &envelope);
    }
}

void
coordinator_role_on_close(coordinator_role_t *role, peer_t *peer)
{
    const char *agent = g_hash_table_lookup(role->agents_by_peer, peer);

    if (agent == NULL) {
        return;
    }
    if (g_hash_table_lookup(role->peers_by_agent, agent) == peer) {
        g_hash_table_remove(role->peers_by_agent, agent);
    }
    g_hash_table_remove(role->agents_by_peer, peer);
}
