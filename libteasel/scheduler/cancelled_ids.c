#include "scheduler/cancelled_ids.h"

enum {
    /* Several times the time for which a scheduler keeps a call. */
    KEEP_MS = 10000,
    MAX_IDS = 16384,
};

struct cancelled_ids {
    GHashTable *added_ms; /* id -> int64_t */
};

cancelled_ids_t *
cancelled_ids_new(void)
{
    cancelled_ids_t *ids = g_new0(cancelled_ids_t, 1);

    ids->added_ms =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return ids;
}

void
cancelled_ids_free(cancelled_ids_t *ids)
{
    g_hash_table_unref(ids->added_ms);
    g_free(ids);
}

static bool
is_recent(const int64_t *added_ms, int64_t now_ms)
{
    return now_ms - *added_ms < KEEP_MS;
}

static gboolean
has_expired(gpointer key, gpointer value, gpointer data)
{
    const int64_t *now_ms = data;

    return !is_recent(value, *now_ms);
}

bool
cancelled_ids_add(cancelled_ids_t *ids, const char *id, int64_t now_ms)
{
    if (g_hash_table_size(ids->added_ms) >= MAX_IDS) {
        g_hash_table_foreach_remove(ids->added_ms, has_expired, &now_ms);
    }
    if (g_hash_table_size(ids->added_ms) >= MAX_IDS) {
        return false;
    }
    g_hash_table_replace(ids->added_ms, g_strdup(id),
                         g_memdup2(&now_ms, sizeof(now_ms)));
    return true;
}

bool
cancelled_ids_contains(const cancelled_ids_t *ids, const char *id,
                       int64_t now_ms)
{
    const int64_t *added_ms = g_hash_table_lookup(ids->added_ms, id);

    return added_ms != NULL && is_recent(added_ms, now_ms);
}
