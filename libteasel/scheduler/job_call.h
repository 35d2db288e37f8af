#ifndef TEASEL_SCHEDULER_JOB_CALL_H
#define TEASEL_SCHEDULER_JOB_CALL_H

#include "wire/sched.pb-c.h"

#ifdef __cplusplus
extern "C" {
#endif

/* The numbers travel in messages; append new ones at the end. */
typedef enum job_verb {
    JOB_VERB_SUBMIT = 0,
    JOB_VERB_GET,
    JOB_VERB_CANCEL,
    JOB_VERB_COUNT_PENDING,
} job_verb_t;

typedef enum job_outcome {
    JOB_OUTCOME_DONE = 0, /* stored, or state or count filled in */
    JOB_OUTCOME_NOT_FOUND,
    JOB_OUTCOME_REFUSED, /* nothing was done and nothing will be */
    JOB_OUTCOME_UNKNOWN, /* the call may have taken effect */
    JOB_OUTCOME_INVALID, /* the job can never be accepted */
} job_outcome_t;

typedef void (*job_answer_fn)(const Teasel__JobAnswer *answer, void *data);

#ifdef __cplusplus
}
#endif

#endif
