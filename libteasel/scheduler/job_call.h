#ifndef TEASEL_SCHEDULER_JOB_CALL_H
#define TEASEL_SCHEDULER_JOB_CALL_H

#include "wire/sched.pb-c.h"

#ifdef __cplusplus
extern "C" {
#endif

/* The values are sent in messages; add new ones at the end. */
typedef enum job_verb {
    JOB_VERB_SUBMIT = 0,
    JOB_VERB_GET,
    JOB_VERB_CANCEL,
    JOB_VERB_COUNT_PENDING,
} job_verb_t;

typedef enum job_outcome {
    JOB_OUTCOME_DONE = 0, /* change stored, or state or count returned */
    JOB_OUTCOME_NOT_FOUND,
    JOB_OUTCOME_REFUSED, /* the call has not taken and will not take effect,
                            and no earlier one for the same job has */
    JOB_OUTCOME_UNKNOWN, /* the call may have taken effect */
    JOB_OUTCOME_INVALID, /* the call or its job specification is not valid */
    JOB_OUTCOME_CALL_REFUSED, /* the call has not taken and will not take
                                 effect; an earlier one may have */
} job_outcome_t;

/* Ends the logged reason of JOB_OUTCOME_CALL_REFUSED. */
#define JOB_CALL_ONLY_TEXT "; says nothing of earlier calls for the job"

const char *job_outcome_to_string(job_outcome_t outcome);

typedef void (*job_answer_fn)(const Teasel__JobAnswer *answer, void *data);

#ifdef __cplusplus
}
#endif

#endif
