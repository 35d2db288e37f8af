#include "request/attempt.h"

#include <string.h>

void
attempt_init(attempt_t *attempt, bool idempotent, unsigned max_attempts,
             struct timespec deadline, retry_budget_t *budget)
{
    memset(attempt, 0, sizeof(*attempt));
    attempt->idempotent = idempotent;
    attempt->max_attempts = max_attempts;
    attempt->deadline = deadline;
    attempt->budget = budget;
    attempt->kind = ERROR_NO_EXECUTOR;
}

bool
attempt_begin(attempt_t *attempt, struct timespec now)
{
    if (attempt->running || attempt->finished ||
        !timespec_is_before(now, attempt->deadline)) {
        return false;
    }
    attempt->running = true;
    attempt->count++;
    return true;
}

/* The reason of an attempt that may have run is not overwritten by later
   ones, because it explains the reply "unknown". */
static void
record_failure(attempt_t *attempt, attempt_outcome_t outcome,
               error_kind_t kind)
{
    if (outcome == ATTEMPT_UNKNOWN) {
        attempt->may_have_run = true;
        attempt->kind = kind;
    }
    else if (!attempt->may_have_run) {
        attempt->kind = kind;
    }
}

static bool
can_retry(const attempt_t *attempt, struct timespec now)
{
    if (attempt->may_have_run && !attempt->idempotent) {
        return false;
    }
    return attempt->count < attempt->max_attempts &&
           timespec_is_before(now, attempt->deadline);
}

/* Refusals of a leaving instance reach no executor and end with its Leave
   message, so that their retries need no budget. */
static bool
take_token(attempt_t *attempt, attempt_outcome_t outcome, error_kind_t kind)
{
    if (outcome == ATTEMPT_NOT_RUN && kind == ERROR_LEAVING) {
        return true;
    }
    return retry_budget_withdraw(attempt->budget);
}

attempt_action_t
attempt_end(attempt_t *attempt, attempt_outcome_t outcome, error_kind_t kind,
            struct timespec now)
{
    attempt->running = false;
    if (outcome == ATTEMPT_ANSWERED) {
        attempt->answered = true;
        attempt->finished = true;
        return ATTEMPT_REPLY;
    }
    record_failure(attempt, outcome, kind);
    if (can_retry(attempt, now) && take_token(attempt, outcome, kind)) {
        return ATTEMPT_RETRY;
    }
    attempt->finished = true;
    return ATTEMPT_REPLY;
}

void
attempt_abandon(attempt_t *attempt, error_kind_t kind)
{
    attempt_outcome_t outcome =
        attempt->running ? ATTEMPT_UNKNOWN : ATTEMPT_NOT_RUN;

    attempt->running = false;
    attempt->finished = true;
    record_failure(attempt, outcome, kind);
}

bool
attempt_may_have_run(const attempt_t *attempt)
{
    return attempt->may_have_run || attempt->answered || attempt->running;
}
