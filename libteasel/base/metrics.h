#ifndef TEASEL_BASE_METRICS_H
#define TEASEL_BASE_METRICS_H

#include <glib.h>
#include <stdint.h>

#include "base/histogram.h"
#include "base/list.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef enum metric_type {
    METRIC_COUNTER,
    METRIC_GAUGE,
    METRIC_SUMMARY, /* quantiles of a histogram */
} metric_type_t;

/**
 * struct metric - one time series, embedded in its owner
 * @name: Prometheus name without labels
 * @labels: text between the braces, or NULL
 */
typedef struct metric {
    list_t link;
    metric_type_t type;
    const char *name;
    const char *labels;
    const char *help;
    int64_t value;
    histogram_t *histogram;
} metric_t;

typedef struct metrics {
    list_t metrics;
} metrics_t;

void metrics_init(metrics_t *metrics);

/**
 * metrics_add() - register a metric
 *
 * Time series with the same name must be registered consecutively.
 */
void metrics_add(metrics_t *metrics, metric_t *metric, metric_type_t type,
                 const char *name, const char *labels, const char *help);
void metrics_remove(metric_t *metric);

/**
 * metrics_render() - append all metrics in the Prometheus text format
 */
void metrics_render(const metrics_t *metrics, GString *out);

/**
 * metrics_write_counter() - append one counter in the Prometheus text format
 */
void metrics_write_counter(GString *out, const char *name, const char *help,
                           uint64_t value);

#ifdef __cplusplus
}
#endif

#endif
