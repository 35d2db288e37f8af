#include "results.h"

#include <errno.h>
#include <json-c/json.h>
#include <stdio.h>

static void
add_count(json_object *report, const char *prefix, const char *name,
          uint64_t value)
{
    g_autofree char *key = g_strconcat(prefix, name, NULL);

    json_object_object_add(report, key, json_object_new_int64((int64_t)value));
}

static void
add_ms(json_object *report, const char *prefix, const char *name, uint64_t us)
{
    g_autofree char *key = g_strdup_printf("%s_%s_ms", prefix, name);
    char text[32];

    snprintf(text, sizeof(text), "%.3f", (double)us / 1000);
    json_object_object_add(report, key,
                           json_object_new_double_s((double)us / 1000, text));
}

static void
add_histogram(json_object *report, const char *prefix,
              const histogram_t *histogram)
{
    static const struct {
        const char *name;
        double quantile;
    } columns[] = {{"p50", 0.5}, {"p90", 0.9}, {"p99", 0.99}, {"p999", 0.999}};

    add_count(report, prefix, "_count", histogram->count);
    for (size_t i = 0; i < G_N_ELEMENTS(columns); i++) {
        add_ms(report, prefix, columns[i].name,
               histogram_get_quantile(histogram, columns[i].quantile));
    }
    add_ms(report, prefix, "max", histogram->max);
}

static void
add_outcomes(json_object *report)
{
    for (int i = 0; i < STATUS_COUNT; i++) {
        char name[8];

        snprintf(name, sizeof(name), "%d", i);
        if (results.statuses[i] > 0) {
            add_count(report, "status_", name, results.statuses[i]);
        }
    }
    for (unsigned i = 0; i < ERROR_KIND_COUNT; i++) {
        if (results.errors[i] > 0) {
            add_count(report, "error_", error_get_info(i)->name,
                      results.errors[i]);
        }
    }
}

void
results_print(void)
{
    json_object *report = json_object_new_object();

    add_count(report, "", "sent", results.sent);
    add_count(report, "", "measured", results.measured);
    add_count(report, "", "unanswered", results.sent - results.completed);
    add_count(report, "", "sent_while_unhealthy", results.unhealthy);
    add_count(report, "", "executed_no", results.executed_no);
    add_count(report, "", "executed_unknown", results.executed_unknown);
    add_outcomes(report);
    add_histogram(report, "ok", &results.ok_latency);
    add_histogram(report, "rejected", &results.rejected_latency);
    add_histogram(report, "other", &results.other_latency);
    add_histogram(report, "late_send", &results.lateness);
    printf("%s\n", json_object_to_json_string(report));
    json_object_put(report);
}

void
results_write_timeline(const char *path)
{
    FILE *file = fopen(path, "w");

    if (file == NULL) {
        fprintf(stderr, "loadgen: cannot open timeline %s for writing: %s\n",
                path, g_strerror(errno));
        return;
    }
    fprintf(file, "ms sent ok rejected unknown p50_ms p99_ms\n");
    for (guint i = 0; i < results.slots->len; i++) {
        const slot_t *slot = &g_array_index(results.slots, slot_t, i);
        histogram_t empty = {0};
        const histogram_t *latency = slot->latency ? slot->latency : &empty;

        fprintf(file, "%u %lu %lu %lu %lu %.2f %.2f\n", i * SLOT_MS,
                (unsigned long)slot->sent, (unsigned long)slot->ok,
                (unsigned long)slot->rejected, (unsigned long)slot->unknown,
                (double)histogram_get_quantile(latency, 0.5) / 1000,
                (double)histogram_get_quantile(latency, 0.99) / 1000);
    }
    fclose(file);
}
