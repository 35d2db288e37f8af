#include "wire/message.h"

#include <glib.h>

void *
message_copy(const ProtobufCMessage *message)
{
    size_t length = protobuf_c_message_get_packed_size(message);
    g_autofree uint8_t *packed = g_malloc(length);

    protobuf_c_message_pack(message, packed);
    return protobuf_c_message_unpack(message->descriptor, NULL, length,
                                     packed);
}
