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
 * @remaining_ms: time until the deadline of the entry; the agent gets an
 *     earlier deadline, so that its definite answer arrives before the entry
 *     times out
 *
 * Return: false if nothing was sent.
 */
bool forward_message_send(peer_t *peer, const forward_request_t *request,
                          uint64_t id, int64_t remaining_ms);

/**
 * forward_message_send_cancel() - cancel a request whose result is not needed
 */
void forward_message_send_cancel(peer_t *peer, uint64_t id);

/**
 * forward_message_get_id() - return the request id of an answer
 *
 * Return: the id in a Reply, NotRun or Unknown; 0 for other messages.
 */
uint64_t forward_message_get_id(const Teasel__Envelope *message);

/**
 * forward_message_get_load() - return the load report in an answer
 *
 * Return: the load in a Reply, NotRun or Unknown, or NULL; owned by @message.
 */
const Teasel__Load *forward_message_get_load(const Teasel__Envelope *message);

#ifdef __cplusplus
}
#endif

#endif
