#include "batch/quarantine.h"

#include <stdint.h>
#include <string.h>

typedef struct record {
    char *jobs[QUARANTINE_JOBS];
    size_t count;
    bool timed; /* @until is set */
    bool probation;
    int64_t next_ms;
    struct timespec until;
} record_t;

struct quarantine {
    const clock_source_t *clock;
    GHashTable *records; /* worker -> record_t */
};

static void
clear_jobs(record_t *record)
{
    for (size_t i = 0; i < record->count; i++) {
        g_free(record->jobs[i]);
    }
    record->count = 0;
}

static void
free_record(gpointer data)
{
    clear_jobs(data);
    g_free(data);
}

quarantine_t *
quarantine_new(const clock_source_t *clock)
{
    quarantine_t *quarantine = g_new0(quarantine_t, 1);

    quarantine->clock = clock;
    quarantine->records =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_record);
    return quarantine;
}

void
quarantine_free(quarantine_t *quarantine)
{
    if (quarantine == NULL) {
        return;
    }
    g_hash_table_destroy(quarantine->records);
    g_free(quarantine);
}

static record_t *
get_record(quarantine_t *quarantine, const char *worker)
{
    record_t *record = g_hash_table_lookup(quarantine->records, worker);

    if (record == NULL) {
        record = g_new0(record_t, 1);
        record->next_ms = QUARANTINE_MS;
        g_hash_table_insert(quarantine->records, g_strdup(worker), record);
    }
    return record;
}

static void
add_job(record_t *record, const char *job)
{
    for (size_t i = 0; i < record->count; i++) {
        if (strcmp(record->jobs[i], job) == 0) {
            return;
        }
    }
    if (record->count < QUARANTINE_JOBS) {
        record->jobs[record->count++] = g_strdup(job);
    }
}

void
quarantine_note_result(quarantine_t *quarantine, const char *worker,
                       const char *job, bool failed)
{
    if (failed) {
        add_job(get_record(quarantine, worker), job);
        return;
    }
    /* Without a record the worker is in good standing. */
    g_hash_table_remove(quarantine->records, worker);
}

void
quarantine_note_bad_job(quarantine_t *quarantine, const char *job)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, quarantine->records);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        record_t *record = value;

        for (size_t i = 0; i < record->count; i++) {
            if (strcmp(record->jobs[i], job) == 0) {
                g_free(record->jobs[i]);
                record->jobs[i] = record->jobs[--record->count];
            }
        }
    }
}

static bool
is_due(const record_t *record)
{
    size_t needed = record->probation ? 1 : QUARANTINE_JOBS;

    return record->count >= needed;
}

quarantine_change_t
quarantine_decide(quarantine_t *quarantine, const char *worker,
                  bool is_quarantined, size_t quarantined, size_t workers)
{
    record_t *record = g_hash_table_lookup(quarantine->records, worker);
    struct timespec now = clock_get_monotonic(quarantine->clock);

    if (!is_quarantined) {
        if (record != NULL) {
            record->timed = false;
        }
        return record != NULL && is_due(record) &&
                       (quarantined + 1) * QUARANTINE_SHARE <= workers
                   ? QUARANTINE_ON
                   : QUARANTINE_KEEP;
    }
    /* A new coordinator does not know since when; it counts from now. */
    record = get_record(quarantine, worker);
    if (!record->timed) {
        record->timed = true;
        record->until = timespec_add_ms(now, record->next_ms);
        record->next_ms = MIN(record->next_ms * 2, QUARANTINE_MAX_MS);
    }
    if (timespec_is_before(now, record->until)) {
        return QUARANTINE_KEEP;
    }
    clear_jobs(record);
    record->probation = true;
    return QUARANTINE_OFF;
}

bool
quarantine_is_on_probation(const quarantine_t *quarantine, const char *worker)
{
    const record_t *record = g_hash_table_lookup(quarantine->records, worker);

    return record != NULL && record->probation;
}

void
quarantine_forget(quarantine_t *quarantine, const char *worker)
{
    g_hash_table_remove(quarantine->records, worker);
}
