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
    QUARANTINE_SHARE = 3,  /* at most one worker in 3 is quarantined */
    QUARANTINE_MS = 60000, /* first time until probation; doubles each time */
    QUARANTINE_MAX_MS = 3600000,
};

typedef struct quarantine quarantine_t;

typedef enum quarantine_change {
    QUARANTINE_KEEP,
    QUARANTINE_ON,
    QUARANTINE_OFF, /* start the probation: one task at a time */
} quarantine_change_t;

quarantine_t *quarantine_new(const clock_source_t *clock);
void quarantine_free(quarantine_t *quarantine);

/**
 * quarantine_note_result() - record the end of an attempt
 * @failed: if false, the probation ends and the failures are cleared
 */
void quarantine_note_result(quarantine_t *quarantine, const char *worker,
                            const char *job, bool failed);

/**
 * quarantine_discount_job() - discount the failures of a job that ended as
 * failed; the job is at fault, not its workers
 */
void quarantine_discount_job(quarantine_t *quarantine, const char *job);

/**
 * quarantine_decide() - decide whether a worker enters or leaves quarantine
 * @is_quarantined: its current state according to the log
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
