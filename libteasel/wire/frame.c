#include "wire/frame.h"

#include "base/error.h"

static uint32_t
read_length(const uint8_t *data)
{
    return (uint32_t)data[0] << 24 | (uint32_t)data[1] << 16 |
           (uint32_t)data[2] << 8 | (uint32_t)data[3];
}

static void
write_length(uint8_t *data, uint32_t length)
{
    data[0] = (uint8_t)(length >> 24);
    data[1] = (uint8_t)(length >> 16);
    data[2] = (uint8_t)(length >> 8);
    data[3] = (uint8_t)length;
}

frame_status_t
frame_decode(const uint8_t *data, size_t length, size_t *consumed,
             Teasel__Envelope **envelope, GError **error)
{
    uint32_t size;

    if (length < FRAME_HEADER_SIZE) {
        return FRAME_INCOMPLETE;
    }
    size = read_length(data);
    if (size == 0 || size > FRAME_MAX_SIZE) {
        g_set_error(error, TEASEL_ERROR, ERROR_PROTOCOL,
                    "frame length %u is not between 1 and %d", size,
                    FRAME_MAX_SIZE);
        return FRAME_MALFORMED;
    }
    if (length - FRAME_HEADER_SIZE < size) {
        return FRAME_INCOMPLETE;
    }
    *envelope = teasel__envelope__unpack(NULL, size, data + FRAME_HEADER_SIZE);
    if (*envelope == NULL) {
        g_set_error(error, TEASEL_ERROR, ERROR_PROTOCOL,
                    "frame of %u bytes does not contain an Envelope", size);
        return FRAME_MALFORMED;
    }
    *consumed = FRAME_HEADER_SIZE + size;
    return FRAME_COMPLETE;
}

bool
frame_encode(const Teasel__Envelope *envelope, GByteArray *out, GError **error)
{
    size_t size = teasel__envelope__get_packed_size(envelope);
    guint start = out->len;

    if (size == 0 || size > FRAME_MAX_SIZE) {
        g_set_error(error, TEASEL_ERROR, ERROR_TOO_LARGE,
                    "message size %zu is not between 1 and %d", size,
                    FRAME_MAX_SIZE);
        return false;
    }
    g_byte_array_set_size(out, start + FRAME_HEADER_SIZE + (guint)size);
    write_length(out->data + start, (uint32_t)size);
    teasel__envelope__pack(envelope, out->data + start + FRAME_HEADER_SIZE);
    return true;
}
