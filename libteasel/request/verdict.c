#include "request/verdict.h"

enum {
    /* A shorter wait does not count against an executor, or a caller with
       short deadlines could eject good ones. */
    FAILURE_WAIT_MS = 1000,
};

static verdict_t
judge_status(int status)
{
    switch (status) {
    case 500:
    case 502:
    case 503:
    case 504:
        return VERDICT_FAILED;
    default:
        return VERDICT_HEALTHY;
    }
}

static verdict_t
judge_not_run(error_kind_t kind)
{
    switch (kind) {
    case ERROR_CONNECT:
    case ERROR_INTERNAL:
        return VERDICT_FAILED;
    default:
        return VERDICT_NEUTRAL;
    }
}

verdict_t
verdict_of_attempt(attempt_outcome_t outcome, error_kind_t kind, int status,
                   int64_t waited_ms)
{
    switch (outcome) {
    case ATTEMPT_ANSWERED:
        return judge_status(status);
    case ATTEMPT_NOT_RUN:
        return judge_not_run(kind);
    default:
        return kind == ERROR_TIMEOUT && waited_ms < FAILURE_WAIT_MS
                   ? VERDICT_NEUTRAL
                   : VERDICT_FAILED;
    }
}
