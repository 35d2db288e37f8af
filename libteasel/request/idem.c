#include "request/idem.h"

#include <string.h>

#include "wire/message.h"

/* A claim that was applied, whether it got the key or not. It is kept so that
   a repeated record does not claim the key again after the key was freed. */
typedef struct seen_claim {
    GBytes *id;
    uint64_t offset;
} seen_claim_t;

struct idem {
    GHashTable *keys;   /* name -> idem_key_t */
    GHashTable *claims; /* id -> seen_claim_t */
    GQueue order;       /* seen_claim_t by offset */
};

static void
key_free(void *data)
{
    idem_key_t *key = data;

    g_bytes_unref(key->claim_id);
    if (key->result != NULL) {
        teasel__log_record__free_unpacked(key->result, NULL);
    }
    g_free(key->name);
    g_free(key);
}

static void
seen_claim_free(void *data)
{
    seen_claim_t *claim = data;

    g_bytes_unref(claim->id);
    g_free(claim);
}

idem_t *
idem_new(void)
{
    idem_t *idem = g_new0(idem_t, 1);

    idem->keys =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, key_free);
    idem->claims = g_hash_table_new_full(g_bytes_hash, g_bytes_equal, NULL,
                                         seen_claim_free);
    g_queue_init(&idem->order);
    return idem;
}

void
idem_free(idem_t *idem)
{
    if (idem == NULL) {
        return;
    }
    g_queue_clear(&idem->order);
    g_hash_table_unref(idem->claims);
    g_hash_table_unref(idem->keys);
    g_free(idem);
}

/* The length prefix distinguishes "a" + "bc" from "ab" + "c". */
static char *
make_name(const char *service, const char *key)
{
    return g_strdup_printf("%zu:%s%s", strlen(service), service, key);
}

static bool
record_claim(idem_t *idem, const ProtobufCBinaryData *id, uint64_t offset)
{
    GBytes *bytes = g_bytes_new(id->data, id->len);
    seen_claim_t *claim;

    if (g_hash_table_contains(idem->claims, bytes)) {
        g_bytes_unref(bytes);
        return false;
    }
    claim = g_new0(seen_claim_t, 1);
    claim->id = bytes;
    claim->offset = offset;
    g_hash_table_insert(idem->claims, bytes, claim);
    g_queue_push_tail(&idem->order, claim);
    return true;
}

static bool
apply_claim(idem_t *idem, const Teasel__LogRecord *record, uint64_t offset)
{
    const Teasel__KeyClaim *claim = record->key_claim;
    g_autofree char *name = make_name(claim->service, claim->key);
    idem_key_t *key;

    if (!record_claim(idem, &record->id, offset) ||
        g_hash_table_contains(idem->keys, name)) {
        return false;
    }
    key = g_new0(idem_key_t, 1);
    key->name = g_steal_pointer(&name);
    key->claim_id = g_bytes_new(record->id.data, record->id.len);
    key->request_hash = claim->request_hash;
    key->offset = offset;
    g_hash_table_insert(idem->keys, key->name, key);
    return true;
}

static bool
apply_result(idem_t *idem, const Teasel__LogRecord *record)
{
    const Teasel__KeyResult *result = record->key_result;
    g_autofree char *name = make_name(result->service, result->key);
    idem_key_t *key = g_hash_table_lookup(idem->keys, name);

    if (key == NULL || key->state == IDEM_DONE ||
        !idem_is_claimed_by(key, result->claim_id.data,
                            result->claim_id.len)) {
        return false;
    }
    if (result->not_run) {
        g_hash_table_remove(idem->keys, name);
        return true;
    }
    key->result = message_copy(&record->base);
    key->state = IDEM_DONE;
    return true;
}

bool
idem_apply(idem_t *idem, const Teasel__LogRecord *record, uint64_t offset)
{
    switch (record->body_case) {
    case TEASEL__LOG_RECORD__BODY_KEY_CLAIM:
        return apply_claim(idem, record, offset);
    case TEASEL__LOG_RECORD__BODY_KEY_RESULT:
        return apply_result(idem, record);
    default:
        return false;
    }
}

const idem_key_t *
idem_find(const idem_t *idem, const char *service, const char *key)
{
    g_autofree char *name = make_name(service, key);

    return g_hash_table_lookup(idem->keys, name);
}

bool
idem_is_claimed_by(const idem_key_t *key, const uint8_t *claim_id,
                   size_t length)
{
    gsize size;
    const void *data = g_bytes_get_data(key->claim_id, &size);

    return size == length && memcmp(data, claim_id, length) == 0;
}

static gboolean
is_before(void *name, void *value, void *first)
{
    return ((idem_key_t *)value)->offset < *(uint64_t *)first;
}

void
idem_remove_before(idem_t *idem, uint64_t first)
{
    seen_claim_t *oldest = g_queue_peek_head(&idem->order);

    if (oldest == NULL || oldest->offset >= first) {
        return;
    }
    while (oldest != NULL && oldest->offset < first) {
        g_queue_pop_head(&idem->order);
        g_hash_table_remove(idem->claims, oldest->id);
        oldest = g_queue_peek_head(&idem->order);
    }
    g_hash_table_foreach_remove(idem->keys, is_before, &first);
}

size_t
idem_count(const idem_t *idem)
{
    return g_hash_table_size(idem->keys);
}
