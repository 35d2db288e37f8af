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
    ATTEMPT_UNKNOWN,  /* may have run, or may still run */
} attempt_outcome_t;

typedef enum attempt_action {
    ATTEMPT_RETRY, /* begin another attempt */
    ATTEMPT_REPLY, /* reply to the caller; no further attempt may begin */
} attempt_action_t;

/**
 * struct attempt - state of the attempts to run one request
 * @idempotent: the request may be run more than once
 * @max_attempts: upper bound, whatever the retry budget allows
 * @deadline: no attempt begins at or after this time
 * @budget: retry budget; the second and each further attempt take a token,
 *     but for those after the refusal of a leaving instance
 * @count: number of attempts that began
 * @running: an attempt is in progress
 * @finished: no further attempt may begin
 * @answered: the complete answer arrived
 * @may_have_run: an attempt ended with unknown outcome
 * @kind: reason that the caller receives if there is no answer
 */
typedef struct attempt {
    bool idempotent;
    unsigned max_attempts;
    struct timespec deadline;
    retry_budget_t *budget;
    unsigned count;
    bool running;
    bool finished;
    bool answered;
    bool may_have_run;
    error_kind_t kind;
} attempt_t;

/**
 * attempt_init() - initialize the state of a request without attempts
 * @budget: retry budget of the service, must outlive @attempt
 */
void attempt_init(attempt_t *attempt, bool idempotent, unsigned max_attempts,
                  struct timespec deadline, retry_budget_t *budget);

/**
 * attempt_begin() - record that an attempt is about to be sent
 *
 * Return: false if no attempt may begin: the deadline passed, an attempt is in
 * progress, or the request is finished.
 */
bool attempt_begin(attempt_t *attempt, struct timespec now);

/**
 * attempt_end() - record the end of the attempt in progress
 * @kind: reason, if it was not answered
 *
 * Return: whether to retry or to reply to the caller.
 */
attempt_action_t attempt_end(attempt_t *attempt, attempt_outcome_t outcome,
                             error_kind_t kind, struct timespec now);

/**
 * attempt_abandon() - finish without a further attempt, for example because no
 * member is available
 *
 * The outcome of an attempt in progress counts as unknown.
 */
void attempt_abandon(attempt_t *attempt, error_kind_t kind);

/**
 * attempt_may_have_run() - check whether the request may have been executed
 *
 * If so, an error reply must have the member "executed": "unknown".
 *
 * Return: false only if every attempt ended with ATTEMPT_NOT_RUN.
 */
bool attempt_may_have_run(const attempt_t *attempt);

#ifdef __cplusplus
}
#endif

#endif
