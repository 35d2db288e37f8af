#ifndef TEASEL_ENTRY_FORWARD_METRICS_H
#define TEASEL_ENTRY_FORWARD_METRICS_H

#include "base/metrics.h"
#include "request/attempt.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef enum forward_counter {
    FORWARD_ANSWERED, /* the first three match attempt_outcome_t */
    FORWARD_NOT_RUN,
    FORWARD_UNKNOWN,
    FORWARD_ATTEMPTS,
    FORWARD_LATE_ANSWERS,
    FORWARD_COUNTERS
} forward_counter_t;

/**
 * struct forward_metrics - metrics of forwarded requests
 */
typedef struct forward_metrics {
    metric_t counters[FORWARD_COUNTERS];
    metric_t in_flight;
    metric_t latency;
} forward_metrics_t;

void forward_metrics_init(forward_metrics_t *metrics, metrics_t *registry);
void forward_metrics_clear(forward_metrics_t *metrics);
void forward_metrics_count(forward_metrics_t *metrics,
                           forward_counter_t counter);

/**
 * forward_metrics_end() - record the end of a request
 * @latency_us: time since the request was submitted
 */
void forward_metrics_end(forward_metrics_t *metrics, attempt_outcome_t outcome,
                         int64_t latency_us);

#ifdef __cplusplus
}
#endif

#endif
