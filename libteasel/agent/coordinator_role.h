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
 * @on_coordinator: another claim is in force; the agent connects to
 *     @peer_address (possibly its own) and refuses messages with an older
 *     epoch than @epoch. Never called from inside a function of the role.
 * @on_taken: this agent holds the role from now on; called before its first
 *     decision. Never called from inside a function of the role.
 * @on_stopped: the graceful stop is complete. Called once after
 *     coordinator_role_stop(), never from inside it.
 */
typedef struct coordinator_role_handler {
    void (*on_coordinator)(const char *peer_address, uint64_t epoch,
                           void *data);
    void (*on_taken)(void *data);
    void (*on_stopped)(void *data);
} coordinator_role_handler_t;

/**
 * struct coordinator_role_opts - options of coordinator_role_new()
 * @cell: name of the cell's stream, "cell-0"
 * @agent_id: of this agent
 * @peer_address: IPv4:PORT of this agent's peer listener
 * @rank: place among the candidates; delays a claim by @rank_ms x rank
 * @lease_ms: longest lease of a worker (15000)
 * @silence_ms: a claim follows this much silence of the coordinator (3000)
 * @rank_ms: 500
 * @append_timeout_ms: an append without read-back is unknown after this
 * @candidate: false if this agent only follows the stream
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
 * coordinator_role_new() - follow the cell and stand by for the role
 */
coordinator_role_t *coordinator_role_new(const coordinator_role_opts_t *opts);
void coordinator_role_free(coordinator_role_t *role);

/**
 * coordinator_role_on_message() - a message on the agent's peer listener
 *
 * Heartbeat and TaskReport are handled, others ignored. An agent that does
 * not hold the role sends no answer, so the sender looks elsewhere.
 */
void coordinator_role_on_message(coordinator_role_t *role, peer_t *peer,
                                 const Teasel__Envelope *message);

/**
 * coordinator_role_on_close() - a peer of the listener is gone
 */
void coordinator_role_on_close(coordinator_role_t *role, peer_t *peer);

/**
 * coordinator_role_note_contact() - the agent received a message with @epoch
 * from the coordinator, which is therefore alive
 */
void coordinator_role_note_contact(coordinator_role_t *role, uint64_t epoch);

/**
 * coordinator_role_note_leave() - the coordinator of @epoch said Leave; the
 * candidates claim without waiting for the silence
 */
void coordinator_role_note_leave(coordinator_role_t *role, uint64_t epoch);

/**
 * coordinator_role_get_address() - peer address of the current coordinator
 * @epoch: its epoch, may be NULL
 *
 * Return: NULL if no claim is known.
 */
const char *coordinator_role_get_address(const coordinator_role_t *role,
                                         uint64_t *epoch);
bool coordinator_role_is_holder(const coordinator_role_t *role);

/**
 * coordinator_role_set_team() - put the weight and limits of a team in force
 */
void coordinator_role_set_team(coordinator_role_t *role, const char *name,
                               const config_team_t *team);

/**
 * coordinator_role_reset_teams() - give all teams the usual weight and no
 * limit
 */
void coordinator_role_reset_teams(coordinator_role_t *role);

/**
 * coordinator_role_stop() - give up the role: finish the append in flight,
 * decide nothing more, say Leave to the agents
 */
void coordinator_role_stop(coordinator_role_t *role);

#ifdef __cplusplus
}
#endif

#endif
