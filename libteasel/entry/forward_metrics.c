#include "entry/forward_metrics.h"

typedef struct counter_info {
    const char *name;
    const char *labels;
    const char *help;
} counter_info_t;

static const counter_info_t infos[FORWARD_COUNTERS] = {
    [FORWARD_ANSWERED] = {"teasel_entry_requests_total",
                          "outcome=\"answered\"", "requests by outcome"},
    [FORWARD_NOT_RUN] = {"teasel_entry_requests_total", "outcome=\"not_run\"",
                         "requests by outcome"},
    [FORWARD_UNKNOWN] = {"teasel_entry_requests_total", "outcome=\"unknown\"",
                         "requests by outcome"},
    [FORWARD_ATTEMPTS] = {"teasel_entry_attempts_total", NULL,
                          "requests sent to agents, with retries"},
    [FORWARD_LATE_ANSWERS] = {"teasel_entry_late_answers_total", NULL,
                              "answers that nobody waited for"},
};

void
forward_metrics_init(forward_metrics_t *metrics, metrics_t *registry)
{
    for (int i = 0; i < FORWARD_COUNTERS; i++) {
        metrics_add(registry, &metrics->counters[i], METRIC_COUNTER,
                    infos[i].name, infos[i].labels, infos[i].help);
    }
    metrics_add(registry, &metrics->in_flight, METRIC_GAUGE,
                "teasel_entry_requests_in_flight", NULL,
                "requests that are not answered yet");
    metrics_add(registry, &metrics->latency, METRIC_SUMMARY,
                "teasel_entry_latency_us", NULL,
                "time from a request to its end");
}

void
forward_metrics_clear(forward_metrics_t *metrics)
{
    for (int i = 0; i < FORWARD_COUNTERS; i++) {
        metrics_remove(&metrics->counters[i]);
    }
    metrics_remove(&metrics->in_flight);
    metrics_remove(&metrics->latency);
}

void
forward_metrics_count(forward_metrics_t *metrics, forward_counter_t counter)
{
    metrics->counters[counter].value++;
}

void
forward_metrics_end(forward_metrics_t *metrics, attempt_outcome_t outcome,
                    int64_t latency_us)
{
    metrics->counters[outcome].value++;
    metrics->in_flight.value--;
    histogram_add(metrics->latency.histogram, (uint64_t)latency_us);
}
