#ifndef TEASEL_SCHED_SEEN_JOBS_H
#define TEASEL_SCHED_SEEN_JOBS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * When refused jobs were first seen. Their callers count from their first
 * attempt, so a job that is submitted again is as old as that.
 */

typedef struct seen_jobs seen_jobs_t;

seen_jobs_t *seen_jobs_new(void);
void seen_jobs_free(seen_jobs_t *seen);

/**
 * seen_jobs_add() - note a job that is refused
 *
 * Return: whether it was not known; false also if there are too many.
 */
bool seen_jobs_add(seen_jobs_t *seen, const char *id, int64_t now_ms);

/**
 * seen_jobs_contains() - return whether a job is known
 */
bool seen_jobs_contains(const seen_jobs_t *seen, const char *id);

/**
 * seen_jobs_get_age_ms() - return the time since a job was first seen, 0 if it
 * is not known
 */
int64_t seen_jobs_get_age_ms(const seen_jobs_t *seen, const char *id,
                             int64_t now_ms);

/**
 * seen_jobs_remove() - forget a job
 */
void seen_jobs_remove(seen_jobs_t *seen, const char *id);

#ifdef __cplusplus
}
#endif

#endif
