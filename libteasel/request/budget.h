#ifndef TEASEL_REQUEST_BUDGET_H
#define TEASEL_REQUEST_BUDGET_H

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
} budget_t;

void budget_init(budget_t *budget, uint32_t reserve, uint32_t percent);

/**
 * budget_earn() - count a request of a caller
 */
void budget_earn(budget_t *budget);

/**
 * budget_take() - pay for a retry
 *
 * Return: false if no token is left; the retry must not be made.
 */
bool budget_take(budget_t *budget);

typedef struct budget_set budget_set_t;

/**
 * budget_set_new() - one budget per service, so that failures of one service
 * do not use up the retries of another
 */
budget_set_t *budget_set_new(uint32_t reserve, uint32_t percent);
void budget_set_free(budget_set_t *set);

/**
 * budget_set_get() - budget of a service, full at first
 */
budget_t *budget_set_get(budget_set_t *set, const char *service);

#ifdef __cplusplus
}
#endif

#endif
