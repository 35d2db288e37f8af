#ifndef TEASEL_BATCH_QUARANTINE_H
#define TEASEL_BATCH_QUARANTINE_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

#include "base/clock.h"

#ifdef __cplusplus
extern "C" {
#endif

enum {
    QUARANTINE_JOBS = 3,   /* different jobs that fail in a row */
    QUARANTINE_SHARE = 3,  /* at most a third of the workers */
    QUARANTINE_MS = 60000, /* first time until probation, doubled each time */
    QUARANTINE_MAX_MS = 3600000,
};

typedef struct quarantine quarantine_t;

typedef enum quarantine_change {
    QUARANTINE_KEEP,
    QUARANTINE_ON,
    QUARANTINE_OFF, /* probation begins: one task at a time */
} quarantine_change_t;

quarantine_t *quarantine_new(const clock_source_t *clock);
void quarantine_free(quarantine_t *quarantine);

/**
 * quarantine_note_result() - an attempt ended
 * @failed: a success ends the probation and clears the failures
 */
void quarantine_note_result(quarantine_t *quarantine, const char *worker,
                            const char *job, bool failed);

/**
 * quarantine_note_bad_job() - a job is bad; its failures blame no worker
 */
void quarantine_note_bad_job(quarantine_t *quarantine, const char *job);

/**
 * quarantine_decide() - what is due for a worker
 * @is_quarantined: its state on the log
 * @quarantined: number of quarantined workers
 * @workers: number of workers
 */
quarantine_change_t quarantine_decide(quarantine_t *quarantine,
                                      const char *worker, bool is_quarantined,
                                      size_t quarantined, size_t workers);
bool quarantine_is_on_probation(const quarantine_t *quarantine,
                                const char *worker);
void quarantine_forget(quarantine_t *quarantine, const char *worker);

#ifdef __cplusplus
}
#endif

#endif
