#ifndef TEASEL_AGENT_COORDINATOR_ROLE_INTERNAL_H
#define TEASEL_AGENT_COORDINATOR_ROLE_INTERNAL_H

#include "agent/coordinator_role.h"
#include "batch/candidate.h"
#include "batch/cell.h"
#include "batch/coordinator.h"
#include "stream/stream.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct coordinator_role - state of the role, private to coordinator_role*.c
 * @claiming: the outcome of an appended claim is pending
 * @deciding: the outcome of an appended decision is pending
 * @claim_again: this agent resigned because the outcome of a decision is
 *     unknown, and claims the role with a new epoch
 * @append_refused: the log refused the last decision
 * @tick_scheduled: @tick is set to run early because work is pending
 * @last_tick: time of the last process_tick()
 * @decision_time: time at which the last decision was appended
 * @notified_epoch: epoch of the last on_coordinator callback
 * @peers_by_agent: agent id -> peer_t
 * @agents_by_peer: peer_t -> agent id
 */
struct coordinator_role {
    coordinator_role_opts_t opts;
    cell_t *cell;
    coordinator_t *coordinator;
    candidate_t candidate;
    stream_t *stream;
    loop_timer_t tick;
    loop_timer_t stop_timer;
    bool claiming;
    bool deciding;
    bool claim_again;
    bool append_refused;
    bool stopping;
    bool snapshotting;
    bool tick_scheduled;
    struct timespec last_tick;
    struct timespec decision_time;
    struct timespec snapshot_time;
    uint64_t notified_epoch;
    GHashTable *peers_by_agent;
    GHashTable *agents_by_peer;
    metric_t holder;
    metric_t epoch;
    metric_t queued;
    metric_t running;
    metric_t decisions;
    metric_t items;
    metric_t decision_ms;
};

/* coordinator_role_peers.c: connections of the agents to the coordinator */
void role_peers_init(coordinator_role_t *role);
void role_peers_clear(coordinator_role_t *role);

/**
 * role_peers_register() - use a connection for messages to an agent
 * @agent: agent id
 */
void role_peers_register(coordinator_role_t *role, peer_t *peer,
                         const char *agent);

/**
 * role_peers_send() - send a message to an agent
 * @agent: agent id
 * @data: the role
 *
 * Drops the message if the agent has no connection.
 */
void role_peers_send(const char *agent, const Teasel__Envelope *message,
                     void *data);

/**
 * role_peers_send_leave() - send Leave to all agents
 */
void role_peers_send_leave(coordinator_role_t *role);

/* coordinator_role_snapshot.c: snapshots of the cell's stream */

/**
 * role_snapshot_check() - write a snapshot if one is due
 */
void role_snapshot_check(coordinator_role_t *role);

#ifdef __cplusplus
}
#endif

#endif
