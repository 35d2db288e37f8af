#include "scheduler/job_call.h"

#include <glib.h>

static const char *const outcome_names[] = {
    [JOB_OUTCOME_DONE] = "done",
    [JOB_OUTCOME_NOT_FOUND] = "not-found",
    [JOB_OUTCOME_REFUSED] = "refused",
    [JOB_OUTCOME_UNKNOWN] = "unknown",
    [JOB_OUTCOME_INVALID] = "invalid",
    [JOB_OUTCOME_CALL_REFUSED] = "call-refused",
};

const char *
job_outcome_to_string(job_outcome_t outcome)
{
    g_assert((size_t)outcome < G_N_ELEMENTS(outcome_names));
    return outcome_names[outcome];
}
