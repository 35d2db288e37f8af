#ifndef TEASEL_REQUEST_VERDICT_H
#define TEASEL_REQUEST_VERDICT_H

#include <stdint.h>

#include "request/attempt.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * enum verdict - what the end of an attempt says about its executor
 */
typedef enum verdict {
    VERDICT_HEALTHY,
    VERDICT_FAILED,
    VERDICT_NEUTRAL, /* refused for lack of time or room, or not awaited */
} verdict_t;

/**
 * verdict_of_attempt() - judge an attempt for outlier ejection
 * @status: HTTP status, if answered
 * @waited_ms: since the attempt was sent
 */
verdict_t verdict_of_attempt(attempt_outcome_t outcome, error_kind_t kind,
                             int status, int64_t waited_ms);

#ifdef __cplusplus
}
#endif

#endif
