#ifndef TEASEL_REQUEST_ATTEMPT_H
#define TEASEL_REQUEST_ATTEMPT_H

#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/error.h"
#include "request/retry_budget.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef enum attempt_outcome {
    ATTEMPT_ANSWERED, /* the complete answer arrived */
    ATTEMPT_NOT_RUN,  /* definitely not run */
    ATTEMPT_UNKNOWN,  /* may have been run, or may still run */
} attempt_outcome_t;

typedef enum attempt_next {
    ATTEMPT_RETRY, /* begin another attempt */
    ATTEMPT_REPLY, /* tell the caller; no further attempt may begin */
} attempt_action_t;

/**
 * struct attempt - the attempts of one request
 * @idempotent: may be run more than once
 * @max_attempts: upper bound, whatever the budget allows
 * @deadline: no attempt begins after it
 * @count: attempts that began
 * @running: an attempt is under way
 * @over: ATTEMPT_REPLY was returned
 * @kind: what to tell if there is no answer
 */
typedef struct attempt {
    bool idempotent;
    unsigned max_attempts;
    struct timespec deadline;
    retry_budget_t *budget;
    unsigned count;
    bool running;
    bool over;
    bool answered;
    bool may_have_run;
    error_kind_t kind;
} attempt_t;

/**
 * attempt_init() - start with no attempt
 * @budget: pays for the second and further attempts
 */
void attempt_init(attempt_t *attempt, bool idempotent, unsigned max_attempts,
                  struct timespec deadline, retry_budget_t *budget);

/**
 * attempt_begin() - an attempt is about to be sent
 *
 * Return: false if none may begin: the deadline passed, one is under way, or
 * the caller was told.
 */
bool attempt_begin(attempt_t *attempt, struct timespec now);

/**
 * attempt_end() - the attempt under way ended
 * @kind: reason, if not answered
 */
attempt_action_t attempt_end(attempt_t *attempt, attempt_outcome_t outcome,
                             error_kind_t kind, struct timespec now);

/**
 * attempt_abandon() - no further attempt is possible, for example because no
 * member is left; an attempt under way counts as unknown
 */
void attempt_abandon(attempt_t *attempt, error_kind_t kind);

/**
 * attempt_may_have_run() - whether the caller must be answered executed
 * "unknown"; false only if every attempt ended as not run
 */
bool attempt_may_have_run(const attempt_t *attempt);

#ifdef __cplusplus
}
#endif

#endif
