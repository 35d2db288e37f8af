#include "platform/stream_internal.h"

enum {
    /* A copy that comes later than this many drains is not recognised. */
    MAX_RECENT = 1024,
    COUNT_SIZE = 4,
};

void
stream_recent_init(stream_recent_t *recent)
{
    g_queue_init(&recent->order);
    recent->set = g_hash_table_new_full(g_bytes_hash, g_bytes_equal,
                                        (GDestroyNotify)g_bytes_unref, NULL);
}

void
stream_recent_clear(stream_recent_t *recent)
{
    g_queue_clear(&recent->order);
    g_hash_table_destroy(recent->set);
}

static void
remember(stream_recent_t *recent, GBytes *id)
{
    g_hash_table_add(recent->set, id);
    g_queue_push_tail(&recent->order, id);
    if (g_queue_get_length(&recent->order) > MAX_RECENT) {
        g_hash_table_remove(recent->set, g_queue_pop_head(&recent->order));
    }
}

bool
stream_recent_is_repeat(stream_recent_t *recent,
                        const Teasel__LogRecord *record)
{
    GBytes *id;

    if (record->body_case != TEASEL__LOG_RECORD__BODY_DRAIN) {
        return false;
    }
    id = g_bytes_new(record->id.data, record->id.len);
    if (g_hash_table_contains(recent->set, id)) {
        g_bytes_unref(id);
        return true;
    }
    remember(recent, id);
    return false;
}

void
stream_recent_encode(const stream_recent_t *recent, GByteArray *out)
{
    uint32_t count = GUINT32_TO_BE(recent->order.length);

    g_byte_array_append(out, (const uint8_t *)&count, COUNT_SIZE);
    for (GList *link = recent->order.head; link != NULL; link = link->next) {
        g_byte_array_append(out, g_bytes_get_data(link->data, NULL),
                            STREAM_ID_SIZE);
    }
}

size_t
stream_recent_measure(const uint8_t *data, size_t length)
{
    uint32_t count = 0;
    size_t size;

    if (length < COUNT_SIZE) {
        return 0;
    }
    for (size_t i = 0; i < COUNT_SIZE; i++) {
        count = count << 8 | data[i];
    }
    size = COUNT_SIZE + (size_t)count * STREAM_ID_SIZE;
    return count <= MAX_RECENT && size <= length ? size : 0;
}

void
stream_recent_decode(stream_recent_t *recent, const uint8_t *data, size_t size)
{
    g_queue_clear(&recent->order);
    g_hash_table_remove_all(recent->set);
    for (size_t at = COUNT_SIZE; at < size; at += STREAM_ID_SIZE) {
        remember(recent, g_bytes_new(data + at, STREAM_ID_SIZE));
    }
}
