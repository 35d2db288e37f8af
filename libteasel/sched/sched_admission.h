#ifndef TEASEL_SCHED_SCHED_ADMISSION_H
#define TEASEL_SCHED_SCHED_ADMISSION_H

#include "sched/sched.h"
#include "sched/size_share.h"

#ifdef __cplusplus
extern "C" {
#endif

/* What decides whether new jobs are accepted. */
typedef struct sched_admission sched_admission_t;

sched_admission_t *sched_admission_new(void);
void sched_admission_free(sched_admission_t *admission);

/**
 * sched_summarize_backlogs() - summarize the work of each service, after the
 * jobs were sorted
 */
void sched_summarize_backlogs(sched_t *sched);

/**
 * sched_note_finished() - count the work of a task that is done
 */
void sched_note_finished(sched_t *sched, const sched_task_t *task);

/**
 * sched_note_accepted() - record that a job was accepted
 */
void sched_note_accepted(sched_t *sched, const sched_job_t *job);

/**
 * sched_count_size() - count a new job for its size class, unless it was
 * counted when it was refused before
 *
 * Return: the size class.
 */
size_class_t sched_count_size(sched_t *sched, const Teasel__JobSpec *spec);

/**
 * sched_get_refused_age_ms() - return the time since a job was first refused,
 * 0 if it was not
 */
int64_t sched_get_refused_age_ms(const sched_t *sched, const char *id);

#ifdef __cplusplus
}
#endif

#endif
