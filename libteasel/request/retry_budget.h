#ifndef TEASEL_REQUEST_RETRY_BUDGET_H
#define TEASEL_REQUEST_RETRY_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct budget - bounds the number of retries
 * @reserve: tokens at the start and at most
 * @percent: tokens earned by 100 requests
 *
 * A retry costs one token, so that failures of all executors cannot multiply
 * the load: retries <= reserve + percent of the requests.
 */
typedef struct budget {
    uint32_t reserve;
    uint32_t percent;
    uint64_t hundredths; /* tokens left, times 100 */
} retry_budget_t;

void retry_budget_init(retry_budget_t *budget, uint32_t reserve,
                       uint32_t percent);

/**
 * retry_budget_deposit() - count a request of a caller
 */
void retry_budget_deposit(retry_budget_t *budget);

/**
 * retry_budget_withdraw() - pay for a retry
 *
 * Return: false if no token is left; the retry must not be made.
 */
bool retry_budget_withdraw(retry_budget_t *budget);

typedef struct budget_set retry_budget_set_t;

/**
 * retry_budget_set_new() - one budget per service, so that failures of one
 * service do not use up the retries of another
 */
retry_budget_set_t *retry_budget_set_new(uint32_t reserve, uint32_t percent);
void retry_budget_set_free(retry_budget_set_t *set);

/**
 * retry_budget_set_get() - budget of a service, full at first
 */
retry_budget_t *retry_budget_set_get(retry_budget_set_t *set,
                                     const char *service);

#ifdef __cplusplus
}
#endif

#endif
