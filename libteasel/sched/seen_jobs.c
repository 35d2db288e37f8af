#include "sched/seen_jobs.h"

enum {
    MAX_JOBS = 8192,
    /* A caller that retries four times after the longest Retry-After. */
    KEEP_MS = 300000,
    CLEAN_INTERVAL_MS = 10000,
};

struct seen_jobs {
    GHashTable *jobs; /* id -> int64_t, when it was first seen */
    int64_t cleaned_ms;
};

seen_jobs_t *
seen_jobs_new(void)
{
    seen_jobs_t *seen = g_new0(seen_jobs_t, 1);

    seen->jobs =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return seen;
}

void
seen_jobs_free(seen_jobs_t *seen)
{
    g_hash_table_unref(seen->jobs);
    g_free(seen);
}

static gboolean
is_expired(gpointer key, gpointer value, gpointer data)
{
    const int64_t *seen_ms = value;
    const int64_t *now_ms = data;

    return *now_ms - *seen_ms > KEEP_MS;
}

bool
seen_jobs_add(seen_jobs_t *seen, const char *id, int64_t now_ms)
{
    if (g_hash_table_contains(seen->jobs, id)) {
        return false;
    }
    if (now_ms - seen->cleaned_ms >= CLEAN_INTERVAL_MS) {
        seen->cleaned_ms = now_ms;
        g_hash_table_foreach_remove(seen->jobs, is_expired, &now_ms);
    }
    if (g_hash_table_size(seen->jobs) >= MAX_JOBS) {
        return false;
    }
    g_hash_table_insert(seen->jobs, g_strdup(id),
                        g_memdup2(&now_ms, sizeof(now_ms)));
    return true;
}

bool
seen_jobs_contains(const seen_jobs_t *seen, const char *id)
{
    return g_hash_table_contains(seen->jobs, id);
}

int64_t
seen_jobs_get_age_ms(const seen_jobs_t *seen, const char *id, int64_t now_ms)
{
    const int64_t *seen_ms = g_hash_table_lookup(seen->jobs, id);

    return seen_ms != NULL ? now_ms - *seen_ms : 0;
}

void
seen_jobs_remove(seen_jobs_t *seen, const char *id)
{
    g_hash_table_remove(seen->jobs, id);
}
