#ifndef TEASEL_SCHED_JOB_ADMISSION_H
#define TEASEL_SCHED_JOB_ADMISSION_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Decides whether a new job is accepted. A job is refused only if it cannot be
 * of use even by an optimistic projection: an accepted job that ends late is
 * worth more to its caller than a wrong refusal.
 */

/**
 * struct job_admission - a new job and the backlog that it meets
 * @useful_ms: age up to which the result of the job is of some use; 0 if it
 *     has no objective
 * @age_ms: time since the job was first seen
 * @chain_ms: time of its longest chain of dependent steps
 * @work_before: accepted work that goes before it, in core-ms
 * @rate: rate at which work drains, in cores; 0 if it is not known
 * @has_room: an executor has room for a task of its widest step, or none is
 *     known
 * @since_accepted_ms: time since a job like it was accepted, one of the same
 *     queue and size class
 */
typedef struct job_admission {
    double useful_ms;
    double age_ms;
    double chain_ms;
    double work_before;
    double rate;
    bool has_room;
    int64_t since_accepted_ms;
} job_admission_t;

/**
 * job_admission_get_wait_ms() - return the time in which the work before a job
 * drains; 0 if it is not known
 */
double job_admission_get_wait_ms(const job_admission_t *admission);

/**
 * job_admission_check() - decide whether a job is accepted
 */
bool job_admission_check(const job_admission_t *admission);

#ifdef __cplusplus
}
#endif

#endif
