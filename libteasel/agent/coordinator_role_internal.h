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
 * struct coordinator_role - shared by the files coordinator_role*.c
 * @claiming: a claim has no outcome yet
 * @deciding: a decision has no outcome yet
 * @claim_again: the outcome of a decision is unknown
 * @log_refuses: the last append was refused
 * @acted: when the role was last checked for work
 * @decided: when the last decision was appended
 * @tick_is_early: the tick was started for work that is waiting
 * @peers: agent id -> peer_t
 * @agents: peer_t -> agent id
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
    bool log_refuses;
    bool stopping;
    bool snapshotting;
    bool tick_is_early;
    struct timespec acted;
    struct timespec decided;
    struct timespec snapshot_time;
    uint64_t reported_epoch;
    GHashTable *peers;
    GHashTable *agents;
    metric_t holder;
    metric_t epoch;
    metric_t queued;
    metric_t running;
    metric_t decisions;
    metric_t items;
    metric_t decision_ms;
};

/* coordinator_role_peers.c: connections of the agents. */
void role_peers_init(coordinator_role_t *role);
void role_peers_clear(coordinator_role_t *role);
void role_peers_note(coordinator_role_t *role, peer_t *peer,
                     const char *agent);
void role_peers_send(const char *agent, const Teasel__Envelope *message,
                     void *data);
void role_peers_send_leave(coordinator_role_t *role);

/* coordinator_role_snapshot.c */

/**
 * role_snapshot_check() - write a snapshot if one is due
 */
void role_snapshot_check(coordinator_role_t *role);

#ifdef __cplusplus
}
#endif

#endif
