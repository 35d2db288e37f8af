#include "request/verdict.h"

enum {
    /* A timeout after a shorter wait is not counted as a failure, because
       callers with short deadlines could otherwise eject healthy
       executors. */
    MIN_FAILURE_WAIT_MS = 1000,
};

static verdict_t
classify_status(int status)
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
classify_not_run(error_kind_t kind)
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
        return classify_status(status);
    case ATTEMPT_NOT_RUN:
        return classify_not_run(kind);
    default:
        return kind == ERROR_TIMEOUT && waited_ms < MIN_FAILURE_WAIT_MS
                   ? VERDICT_NEUTRAL
                   : VERDICT_FAILED;
    }
}
