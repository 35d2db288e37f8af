#include "base/metrics.h"

#include <string.h>

static const char *const type_names[] = {
    [METRIC_COUNTER] = "counter",
    [METRIC_GAUGE] = "gauge",
    [METRIC_SUMMARY] = "summary",
};

static const double quantiles[] = {0.5, 0.9, 0.99, 0.999};

void
metrics_init(metrics_t *metrics)
{
    list_init(&metrics->metrics);
}

void
metrics_add(metrics_t *metrics, metric_t *metric, metric_type_t type,
            const char *name, const char *labels, const char *help)
{
    memset(metric, 0, sizeof(*metric));
    metric->type = type;
    metric->name = name;
    metric->labels = labels;
    metric->help = help;
    if (type == METRIC_SUMMARY) {
        metric->histogram = g_new0(histogram_t, 1);
    }
    list_append(&metrics->metrics, &metric->link);
}

void
metrics_remove(metric_t *metric)
{
    list_remove(&metric->link);
    g_clear_pointer(&metric->histogram, g_free);
}

static void
render_summary(const metric_t *metric, GString *out)
{
    const char *labels = metric->labels ? metric->labels : "";
    const char *comma = metric->labels ? "," : "";

    for (size_t i = 0; i < G_N_ELEMENTS(quantiles); i++) {
        g_string_append_printf(
            out, "%s{%s%squantile=\"%g\"} %" G_GUINT64_FORMAT "\n",
            metric->name, labels, comma, quantiles[i],
            histogram_get_quantile(metric->histogram, quantiles[i]));
    }
    g_string_append_printf(out, "%s_sum %" G_GUINT64_FORMAT "\n", metric->name,
                           metric->histogram->sum);
    g_string_append_printf(out, "%s_count %" G_GUINT64_FORMAT "\n",
                           metric->name, metric->histogram->count);
}

static void
render_value(const metric_t *metric, GString *out)
{
    g_string_append(out, metric->name);
    if (metric->labels != NULL) {
        g_string_append_printf(out, "{%s}", metric->labels);
    }
    g_string_append_printf(out, " %" G_GINT64_FORMAT "\n", metric->value);
}

void
metrics_render(const metrics_t *metrics, GString *out)
{
    const char *last_name = "";

    LIST_FOREACH (metric, &metrics->metrics, metric_t, link) {
        if (strcmp(last_name, metric->name) != 0) {
            g_string_append_printf(out, "# HELP %s %s\n# TYPE %s %s\n",
                                   metric->name, metric->help, metric->name,
                                   type_names[metric->type]);
            last_name = metric->name;
        }
        if (metric->type == METRIC_SUMMARY) {
            render_summary(metric, out);
        }
        else {
            render_value(metric, out);
        }
    }
}

void
metrics_write_counter(GString *out, const char *name, const char *help,
                      uint64_t value)
{
    g_string_append_printf(out,
                           "# HELP %s %s\n# TYPE %s counter\n"
                           "%s %" G_GUINT64_FORMAT "\n",
                           name, help, name, name, value);
}
