#ifndef TEASEL_ENTRY_FORWARD_MESSAGE_H
#define TEASEL_ENTRY_FORWARD_MESSAGE_H

#include <stdbool.h>
#include <stdint.h>

#include "entry/forwarder.h"
#include "wire/peer.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * forward_message_send() - send a Request to an agent
 * @remaining_ms: until the deadline; the agent gets less, so that its definite
 *     answer arrives before the entry gives up
 *
 * Return: false if nothing was sent.
 */
bool forward_message_send(peer_t *peer, const forward_request_t *request,
                          uint64_t id, int64_t remaining_ms);

/**
 * forward_message_send_cancel() - tell the agent that nobody waits any more
 */
void forward_message_send_cancel(peer_t *peer, uint64_t id);

/**
 * forward_message_get_id() - request id of Reply, NotRun or Unknown
 */
uint64_t forward_message_get_id(const Teasel__Envelope *message);

/**
 * forward_message_get_load() - load in Reply, NotRun or Unknown, or NULL
 */
const Teasel__Load *forward_message_get_load(const Teasel__Envelope *message);

#ifdef __cplusplus
}
#endif

#endif
