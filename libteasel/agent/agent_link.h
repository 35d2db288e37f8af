#ifndef TEASEL_AGENT_AGENT_LINK_H
#define TEASEL_AGENT_AGENT_LINK_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/list.h"
#include "base/loop.h"
#include "wire/peer.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct agent_link agent_link_t;

/**
 * struct agent_link_handler - callbacks of a link
 * @on_open: a connection is established
 * @on_message: a message arrived
 * @on_down: an established connection is lost; the next attempt is scheduled
 */
typedef struct agent_link_handler {
    void (*on_open)(agent_link_t *link, void *data);
    void (*on_message)(agent_link_t *link, const Teasel__Envelope *message,
                       void *data);
    void (*on_down)(agent_link_t *link, const char *reason, void *data);
} agent_link_handler_t;

/**
 * struct agent_link_opts - options of agent_link_new()
 * @silence_ms: a connection without messages for this long is closed
 * @ping_ms: see peer_opts_t
 * @backoff_ms: first delay before a new attempt, doubled up to
 *     @max_backoff_ms, with up to half of it taken off at random
 */
typedef struct agent_link_opts {
    loop_t *loop;
    const clock_source_t *clock;
    uint64_t silence_ms;
    uint64_t ping_ms;
    uint64_t backoff_ms;
    uint64_t max_backoff_ms;
    const agent_link_handler_t *handler;
    void *data;
} agent_link_opts_t;

/**
 * agent_link_new() - keep a connection to an address
 * @address: IPv4:PORT
 */
agent_link_t *agent_link_new(const agent_link_opts_t *opts,
                             const char *address);

/**
 * agent_link_free() - close without callbacks and free
 */
void agent_link_free(agent_link_t *link);

/**
 * agent_link_reset() - close the connection, call on_down and connect anew
 */
void agent_link_reset(agent_link_t *link, const char *reason);

/**
 * agent_link_send() - queue a message
 *
 * Return: false if the link is down.
 */
bool agent_link_send(agent_link_t *link, const Teasel__Envelope *message);

bool agent_link_is_open(const agent_link_t *link);
const char *agent_link_get_address(const agent_link_t *link);

/**
 * agent_link_get_generation() - number of the connection
 *
 * What belongs to an earlier connection must not be sent on a later one.
 */
uint64_t agent_link_get_generation(const agent_link_t *link);

/**
 * agent_link_get_bytes() - bytes sent and received on all connections
 */
uint64_t agent_link_get_bytes(const agent_link_t *link);

#ifdef __cplusplus
}
#endif

#endif
