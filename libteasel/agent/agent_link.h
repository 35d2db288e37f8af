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
 * @on_open: called when a connection is established
 * @on_message: called for each message received
 * @on_disconnect: called when an established connection is lost, after the
 *     next connection attempt was scheduled
 */
typedef struct agent_link_handler {
    void (*on_open)(agent_link_t *link, void *data);
    void (*on_message)(agent_link_t *link, const Teasel__Envelope *message,
                       void *data);
    void (*on_disconnect)(agent_link_t *link, const char *reason, void *data);
} agent_link_handler_t;

/**
 * struct agent_link_opts - options of agent_link_new()
 * @silence_ms: a connection that receives nothing for this long is closed
 * @ping_ms: see peer_opts_t
 * @backoff_ms: delay before the first new attempt; doubled with each attempt
 *     up to @max_backoff_ms, and shortened at random by up to a half
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
 * agent_link_new() - create a link that connects, and reconnects, to a peer
 * @opts: copied
 * @address: IPv4:PORT
 *
 * The first connection attempt is made from the event loop.
 */
agent_link_t *agent_link_new(const agent_link_opts_t *opts,
                             const char *address);

/**
 * agent_link_free() - close the connection and free the link
 *
 * Calls no callback. Accepts NULL.
 */
void agent_link_free(agent_link_t *link);

/**
 * agent_link_reset() - close the connection and connect again
 * @reason: passed to on_disconnect, which is called if the link was open
 */
void agent_link_reset(agent_link_t *link, const char *reason);

/**
 * agent_link_send() - queue a message
 *
 * Return: false if the link is not open or peer_send() fails; the message was
 * then not sent.
 */
bool agent_link_send(agent_link_t *link, const Teasel__Envelope *message);

bool agent_link_is_open(const agent_link_t *link);
const char *agent_link_get_address(const agent_link_t *link);

/**
 * agent_link_get_generation() - get the number of connections opened so far
 *
 * Identifies the connection, so that the answer to a request of an earlier
 * connection is not sent on a later one.
 */
uint64_t agent_link_get_generation(const agent_link_t *link);

/**
 * agent_link_get_bytes() - get the bytes sent and received on all connections
 * of the link
 */
uint64_t agent_link_get_bytes(const agent_link_t *link);

#ifdef __cplusplus
}
#endif

#endif
