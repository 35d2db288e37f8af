#ifndef TEASEL_WIRE_FRAME_H
#define TEASEL_WIRE_FRAME_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "wire/teasel.pb-c.h"

#ifdef __cplusplus
extern "C" {
#endif

enum {
    FRAME_HEADER_SIZE = 4,
    FRAME_MAX_SIZE = 16 * 1024 * 1024, /* of the message, without header */
};

typedef enum frame_status {
    FRAME_COMPLETE,
    FRAME_INCOMPLETE, /* more bytes are needed */
    FRAME_MALFORMED,  /* the connection can no longer be used */
} frame_status_t;

/**
 * frame_decode() - decode the first frame of a buffer
 * @consumed: size of the frame in bytes; set if complete
 * @envelope: set if complete; free with teasel__envelope__free_unpacked()
 * @error: set if malformed; states the length of the frame
 */
frame_status_t frame_decode(const uint8_t *data, size_t length,
                            size_t *consumed, Teasel__Envelope **envelope,
                            GError **error);

/**
 * frame_encode() - append a frame to a byte array
 *
 * Return: false if the message is empty or exceeds FRAME_MAX_SIZE; nothing is
 * then appended.
 */
bool frame_encode(const Teasel__Envelope *envelope, GByteArray *out,
                  GError **error);

#ifdef __cplusplus
}
#endif

#endif
