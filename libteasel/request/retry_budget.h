#ifndef TEASEL_REQUEST_RETRY_BUDGET_H
#define TEASEL_REQUEST_RETRY_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct retry_budget - token bucket that bounds the number of retries
 * @reserve: initial and maximum number of tokens
 * @percent: tokens added per 100 requests
 * @hundredths: tokens left, times 100
 *
 * A retry costs one token, so that failures of all executors cannot multiply
 * the load: the number of retries is at most @reserve plus @percent percent of
 * the number of requests.
 */
typedef struct retry_budget {
    uint32_t reserve;
    uint32_t percent;
    uint64_t hundredths;
} retry_budget_t;

void retry_budget_init(retry_budget_t *budget, uint32_t reserve,
                       uint32_t percent);

/**
 * retry_budget_deposit() - add @percent hundredths of a token for a new
 * request, up to @reserve tokens
 */
void retry_budget_deposit(retry_budget_t *budget);

/**
 * retry_budget_withdraw() - take the token for a retry
 *
 * Return: false if no token is left; the retry must not be made.
 */
bool retry_budget_withdraw(retry_budget_t *budget);

typedef struct retry_budget_set retry_budget_set_t;

/**
 * retry_budget_set_new() - create a set with one budget per service
 *
 * Separate budgets keep the failures of one service from using up the retries
 * of another.
 */
retry_budget_set_t *retry_budget_set_new(uint32_t reserve, uint32_t percent);
void retry_budget_set_free(retry_budget_set_t *set);

/**
 * retry_budget_set_get() - get the budget of a service, which starts full
 */
retry_budget_t *retry_budget_set_get(retry_budget_set_t *set,
                                     const char *service);

#ifdef __cplusplus
}
#endif

#endif
