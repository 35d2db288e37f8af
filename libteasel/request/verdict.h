#ifndef TEASEL_REQUEST_VERDICT_H
#define TEASEL_REQUEST_VERDICT_H

#include <stdint.h>

#include "request/attempt.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * enum verdict - result of an attempt as evidence of the health of its
 * executor
 */
typedef enum verdict {
    VERDICT_HEALTHY,
    VERDICT_FAILED,
    VERDICT_NEUTRAL, /* no evidence: refused for lack of time or capacity, or
                        not waited for long enough */
} verdict_t;

/**
 * verdict_of_attempt() - classify an attempt for outlier ejection
 * @kind: reason, if not answered
 * @status: HTTP status, if answered
 * @waited_ms: time since the attempt was sent
 */
verdict_t verdict_of_attempt(attempt_outcome_t outcome, error_kind_t kind,
                             int status, int64_t waited_ms);

#ifdef __cplusplus
}
#endif

#endif
