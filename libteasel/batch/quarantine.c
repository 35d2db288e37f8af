#include "batch/quarantine.h"

#include <stdint.h>
#include <string.h>

typedef struct worker_history {
    char *failed_jobs[QUARANTINE_JOBS];
    size_t failed_count;
    bool has_until; /* @until is set */
    bool probation;
    int64_t next_duration_ms;
    struct timespec until;
} history_t;

struct quarantine {
    const clock_source_t *clock;
    GHashTable *histories; /* worker -> history_t */
};

static void
clear_failed_jobs(history_t *history)
{
    for (size_t i = 0; i < history->failed_count; i++) {
        g_free(history->failed_jobs[i]);
    }
    history->failed_count = 0;
}

static void
free_history(gpointer data)
{
    clear_failed_jobs(data);
    g_free(data);
}

quarantine_t *
quarantine_new(const clock_source_t *clock)
{
    quarantine_t *quarantine = g_new0(quarantine_t, 1);

    quarantine->clock = clock;
    quarantine->histories =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_history);
    return quarantine;
}

void
quarantine_free(quarantine_t *quarantine)
{
    if (quarantine == NULL) {
        return;
    }
    g_hash_table_destroy(quarantine->histories);
    g_free(quarantine);
}

static history_t *
get_history(quarantine_t *quarantine, const char *worker)
{
    history_t *history = g_hash_table_lookup(quarantine->histories, worker);

    if (history == NULL) {
        history = g_new0(history_t, 1);
        history->next_duration_ms = QUARANTINE_MS;
        g_hash_table_insert(quarantine->histories, g_strdup(worker), history);
    }
    return history;
}

static void
add_failed_job(history_t *history, const char *job)
{
    for (size_t i = 0; i < history->failed_count; i++) {
        if (strcmp(history->failed_jobs[i], job) == 0) {
            return;
        }
    }
    if (history->failed_count < QUARANTINE_JOBS) {
        history->failed_jobs[history->failed_count++] = g_strdup(job);
    }
}

void
quarantine_note_result(quarantine_t *quarantine, const char *worker,
                       const char *job, bool failed)
{
    if (failed) {
        add_failed_job(get_history(quarantine, worker), job);
        return;
    }
    /* A worker without a history has no recent failures. */
    g_hash_table_remove(quarantine->histories, worker);
}

void
quarantine_discount_job(quarantine_t *quarantine, const char *job)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, quarantine->histories);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        history_t *history = value;

        for (size_t i = 0; i < history->failed_count; i++) {
            if (strcmp(history->failed_jobs[i], job) == 0) {
                g_free(history->failed_jobs[i]);
                history->failed_jobs[i] =
                    history->failed_jobs[--history->failed_count];
            }
        }
    }
}

static bool
has_reached_limit(const history_t *history)
{
    size_t needed = history->probation ? 1 : QUARANTINE_JOBS;

    return history->failed_count >= needed;
}

quarantine_change_t
quarantine_decide(quarantine_t *quarantine, const char *worker,
                  bool is_quarantined, size_t quarantined, size_t workers)
{
    history_t *history = g_hash_table_lookup(quarantine->histories, worker);
    struct timespec now = clock_get_monotonic(quarantine->clock);

    if (!is_quarantined) {
        if (history != NULL) {
            history->has_until = false;
        }
        return history != NULL && has_reached_limit(history) &&
                       (quarantined + 1) * QUARANTINE_SHARE <= workers
                   ? QUARANTINE_ON
                   : QUARANTINE_KEEP;
    }
    /* The log does not record when the quarantine began, so a new coordinator
       counts from now. */
    history = get_history(quarantine, worker);
    if (!history->has_until) {
        history->has_until = true;
        history->until = timespec_add_ms(now, history->next_duration_ms);
        history->next_duration_ms =
            MIN(history->next_duration_ms * 2, QUARANTINE_MAX_MS);
    }
    if (timespec_is_before(now, history->until)) {
        return QUARANTINE_KEEP;
    }
    clear_failed_jobs(history);
    history->probation = true;
    return QUARANTINE_OFF;
}

bool
quarantine_is_on_probation(const quarantine_t *quarantine, const char *worker)
{
    const history_t *history =
        g_hash_table_lookup(quarantine->histories, worker);

    return history != NULL && history->probation;
}

void
quarantine_forget(quarantine_t *quarantine, const char *worker)
{
    g_hash_table_remove(quarantine->histories, worker);
}
