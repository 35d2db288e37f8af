#include "scheduler/cancelled_ids.h"

#include <string.h>

#include "base/list.h"
#include "sched/sched.h"
#include "wire/sched.pb-c.h"

enum {
    MAX_IDS = 16384,
    /* Leaves most of an append to the records of jobs. */
    MAX_RECORDS_PER_WRITE = 256,
};

/* Where the newest value of a record is. */
typedef enum record_state {
    CANCELLED_CHANGED, /* only in memory */
    CANCELLED_IN_WRITE,
    CANCELLED_STORED,
    CANCELLED_REMOVED, /* its removal is in the pending write */
} record_state_t;

/**
 * struct cancelled_id - a cancelled id
 * @link: in the list of its state
 * @cancelled_ms: wall clock
 */
typedef struct cancelled_id {
    list_t link;
    char *id;
    int64_t cancelled_ms;
    record_state_t state;
} cancelled_id_t;

struct cancelled_ids {
    int64_t retain_ms;
    int64_t expiry_ms; /* no stored id expires before it */
    GHashTable *by_id; /* id -> cancelled_id_t */
    list_t changed;
    list_t in_write; /* also those that are being removed */
    list_t stored;
};

static void
free_id(void *data)
{
    cancelled_id_t *cancelled = data;

    list_remove(&cancelled->link);
    g_free(cancelled->id);
    g_free(cancelled);
}

cancelled_ids_t *
cancelled_ids_new(int64_t retain_ms)
{
    cancelled_ids_t *ids = g_new0(cancelled_ids_t, 1);

    ids->retain_ms = retain_ms;
    ids->expiry_ms = INT64_MAX;
    ids->by_id = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_id);
    list_init(&ids->changed);
    list_init(&ids->in_write);
    list_init(&ids->stored);
    return ids;
}

void
cancelled_ids_free(cancelled_ids_t *ids)
{
    g_hash_table_unref(ids->by_id);
    g_free(ids);
}

static void
move(cancelled_id_t *cancelled, record_state_t state, list_t *list)
{
    list_remove(&cancelled->link);
    list_append(list, &cancelled->link);
    cancelled->state = state;
}

static void
mark_stored(cancelled_ids_t *ids, cancelled_id_t *cancelled)
{
    move(cancelled, CANCELLED_STORED, &ids->stored);
    ids->expiry_ms =
        MIN(ids->expiry_ms, cancelled->cancelled_ms + ids->retain_ms);
}

static cancelled_id_t *
add(cancelled_ids_t *ids, const char *id, int64_t cancelled_ms)
{
    cancelled_id_t *cancelled = g_new0(cancelled_id_t, 1);

    cancelled->id = g_strdup(id);
    cancelled->cancelled_ms = cancelled_ms;
    cancelled->state = CANCELLED_CHANGED;
    list_append(&ids->changed, &cancelled->link);
    g_hash_table_insert(ids->by_id, cancelled->id, cancelled);
    return cancelled;
}

bool
cancelled_ids_add(cancelled_ids_t *ids, const char *id, int64_t now_ms)
{
    cancelled_id_t *cancelled = g_hash_table_lookup(ids->by_id, id);

    if (cancelled == NULL && g_hash_table_size(ids->by_id) >= MAX_IDS) {
        return false;
    }
    if (cancelled == NULL) {
        add(ids, id, now_ms);
        return true;
    }
    cancelled->cancelled_ms = now_ms;
    move(cancelled, CANCELLED_CHANGED, &ids->changed);
    return true;
}

bool
cancelled_ids_load(cancelled_ids_t *ids, const store_record_t *record)
{
    const char *id = record->key + strlen(CANCELLED_KEY_PREFIX);
    Teasel__CancelledRecord *value =
        teasel__cancelled_record__unpack(NULL, record->length, record->value);

    if (value == NULL) {
        return false;
    }
    if (!cancelled_ids_contains(ids, id)) {
        mark_stored(ids, add(ids, id, value->cancelled_ms));
    }
    teasel__cancelled_record__free_unpacked(value, NULL);
    return true;
}

bool
cancelled_ids_contains(const cancelled_ids_t *ids, const char *id)
{
    return g_hash_table_contains(ids->by_id, id);
}

bool
cancelled_ids_is_stored(const cancelled_ids_t *ids, const char *id)
{
    const cancelled_id_t *cancelled = g_hash_table_lookup(ids->by_id, id);

    return cancelled != NULL && cancelled->state == CANCELLED_STORED;
}

static void
add_change(GPtrArray *changes, const cancelled_id_t *cancelled,
           GByteArray *value)
{
    g_autofree char *key =
        g_strconcat(CANCELLED_KEY_PREFIX, cancelled->id, NULL);

    sched_changes_add(changes, key, value);
}

static GByteArray *
pack(const cancelled_id_t *cancelled)
{
    Teasel__CancelledRecord record = TEASEL__CANCELLED_RECORD__INIT;
    GByteArray *value = g_byte_array_new();

    record.cancelled_ms = cancelled->cancelled_ms;
    g_byte_array_set_size(
        value, (guint)teasel__cancelled_record__get_packed_size(&record));
    teasel__cancelled_record__pack(&record, value->data);
    return value;
}

static void
take_changed(cancelled_ids_t *ids, GPtrArray *changes)
{
    unsigned count = 0;

    LIST_FOREACH_SAFE (cancelled, &ids->changed, cancelled_id_t, link) {
        if (count++ >= MAX_RECORDS_PER_WRITE) {
            return;
        }
        add_change(changes, cancelled, pack(cancelled));
        move(cancelled, CANCELLED_IN_WRITE, &ids->in_write);
    }
}

/* The stored ids are in no order of time: they are loaded by key, and their
   times are of several leaders, whose clocks differ. */
static void
take_expired(cancelled_ids_t *ids, int64_t now_ms, GPtrArray *changes)
{
    int64_t next_ms = INT64_MAX;
    unsigned count = 0;

    if (now_ms < ids->expiry_ms) {
        return;
    }
    LIST_FOREACH_SAFE (cancelled, &ids->stored, cancelled_id_t, link) {
        int64_t expiry_ms = cancelled->cancelled_ms + ids->retain_ms;

        if (now_ms < expiry_ms) {
            next_ms = MIN(next_ms, expiry_ms);
            continue;
        }
        if (count++ >= MAX_RECORDS_PER_WRITE) {
            return;
        }
        add_change(changes, cancelled, NULL);
        move(cancelled, CANCELLED_REMOVED, &ids->in_write);
    }
    ids->expiry_ms = next_ms;
}

void
cancelled_ids_take_changes(cancelled_ids_t *ids, int64_t now_ms,
                           GPtrArray *changes)
{
    take_changed(ids, changes);
    take_expired(ids, now_ms, changes);
}

void
cancelled_ids_commit(cancelled_ids_t *ids)
{
    LIST_FOREACH_SAFE (cancelled, &ids->in_write, cancelled_id_t, link) {
        if (cancelled->state == CANCELLED_REMOVED) {
            g_hash_table_remove(ids->by_id, cancelled->id);
        }
        else {
            mark_stored(ids, cancelled);
        }
    }
}
