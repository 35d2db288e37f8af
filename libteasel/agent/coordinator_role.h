#ifndef TEASEL_AGENT_COORDINATOR_ROLE_H
#define TEASEL_AGENT_COORDINATOR_ROLE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/loop.h"
#include "base/metrics.h"
#include "config/config_types.h"
#include "stream/plog.h"
#include "wire/peer.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct coordinator_role coordinator_role_t;

/**
 * struct coordinator_role_handler - callbacks to the agent
 * @on_coordinator: called when a new claim takes effect; the agent connects to
 *     @peer_address (possibly its own) and refuses messages with an epoch
 *     older than @epoch
 * @on_acquired: called when this agent acquires the role, before its first
 *     decision
 * @on_stopped: called once after coordinator_role_stop(), when the graceful
 *     stop is complete
 *
 * The callbacks are called from the event loop, never from inside a function
 * of the role.
 */
typedef struct coordinator_role_handler {
    void (*on_coordinator)(const char *peer_address, uint64_t epoch,
                           void *data);
    void (*on_acquired)(void *data);
    void (*on_stopped)(void *data);
} coordinator_role_handler_t;

/**
 * struct coordinator_role_opts - options of coordinator_role_new()
 * @cell: name of the cell's stream, "cell-0"
 * @agent_id: of this agent
 * @peer_address: IPv4:PORT of this agent's peer listener
 * @rank: position among the candidates; delays a claim by @rank_ms x @rank
 * @lease_ms: longest lease of a worker (15000)
 * @silence_ms: a candidate claims the role after receiving nothing from the
 *     coordinator for this long (3000)
 * @rank_ms: delay of a claim per rank (500)
 * @append_timeout_ms: the outcome of an append is unknown if its record was
 *     not read from the log within this time
 * @candidate: false if this agent follows the stream but never claims the role
 */
typedef struct coordinator_role_opts {
    loop_t *loop;
    const clock_source_t *clock;
    plog_t *log;
    metrics_t *metrics;
    const char *cell;
    const char *agent_id;
    uint64_t incarnation;
    const char *peer_address;
    uint32_t rank;
    uint64_t lease_ms;
    uint64_t silence_ms;
    uint64_t rank_ms;
    uint64_t append_timeout_ms;
    bool candidate;
    const coordinator_role_handler_t *handler;
    void *data;
} coordinator_role_opts_t;

/**
 * coordinator_role_new() - follow the cell's stream and, as a candidate, claim
 * the role when the coordinator fails
 */
coordinator_role_t *coordinator_role_new(const coordinator_role_opts_t *opts);
void coordinator_role_free(coordinator_role_t *role);

/**
 * coordinator_role_on_message() - handle a message received by the agent's
 * peer listener
 *
 * Handles Heartbeat and TaskReport and ignores other messages. An agent that
 * does not hold the role sends no answer, so that the sender looks for the
 * coordinator elsewhere.
 */
void coordinator_role_on_message(coordinator_role_t *role, peer_t *peer,
                                 const Teasel__Envelope *message);

/**
 * coordinator_role_on_close() - handle a closed connection of the peer
 * listener
 */
void coordinator_role_on_close(coordinator_role_t *role, peer_t *peer);

/**
 * coordinator_role_note_contact() - record that the agent received a message
 * from the coordinator of @epoch
 *
 * Restarts the time after which a candidate claims the role, unless @epoch is
 * outdated.
 */
void coordinator_role_note_contact(coordinator_role_t *role, uint64_t epoch);

/**
 * coordinator_role_note_leave() - record that the coordinator of @epoch sent
 * Leave
 *
 * Candidates then claim the role without waiting for silence_ms.
 */
void coordinator_role_note_leave(coordinator_role_t *role, uint64_t epoch);

/**
 * coordinator_role_get_address() - get the peer address of the coordinator
 * @epoch: set to the coordinator's epoch unless NULL
 *
 * Return: the address, or NULL if no claim is known.
 */
const char *coordinator_role_get_address(const coordinator_role_t *role,
                                         uint64_t *epoch);

/**
 * coordinator_role_is_holder() - check whether this agent is the coordinator
 */
bool coordinator_role_is_holder(const coordinator_role_t *role);

/**
 * coordinator_role_set_team() - set the weight and limits of a team
 */
void coordinator_role_set_team(coordinator_role_t *role, const char *name,
                               const config_team_t *team);

/**
 * coordinator_role_reset_teams() - reset all teams to the default weight and
 * no limits
 */
void coordinator_role_reset_teams(coordinator_role_t *role);

/**
 * coordinator_role_stop() - resign from the role
 *
 * Makes no further decision, waits for an append in flight, then sends Leave
 * to the agents and calls on_stopped.
 */
void coordinator_role_stop(coordinator_role_t *role);

#ifdef __cplusplus
}
#endif

#endif
