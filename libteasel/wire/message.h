#ifndef TEASEL_WIRE_MESSAGE_H
#define TEASEL_WIRE_MESSAGE_H

#include <protobuf-c/protobuf-c.h>

#ifdef __cplusplus
extern "C" {
#endif

/**
 * message_copy() - copy a message with all that it refers to
 * @message: member base of the message
 *
 * Return: a message of the same type; free as one that was unpacked.
 */
void *message_copy(const ProtobufCMessage *message);

#ifdef __cplusplus
}
#endif

#endif
