#include "sched/job_admission.h"

enum {
    /* One job of each queue and size class is accepted in this time whatever
       the backlog, so that no estimate can shut one of them out. */
    MAX_SHUT_OUT_MS = 5000,
};

double
job_admission_get_wait_ms(const job_admission_t *admission)
{
    return admission->rate > 0 ? admission->work_before / admission->rate : 0;
}

bool
job_admission_check(const job_admission_t *admission)
{
    if (admission->useful_ms <= 0 || admission->has_room ||
        admission->rate <= 0 ||
        admission->since_accepted_ms >= MAX_SHUT_OUT_MS) {
        return true;
    }
    return admission->age_ms + job_admission_get_wait_ms(admission) +
               admission->chain_ms <=
           admission->useful_ms;
}
