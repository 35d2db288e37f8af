#include "results.h"

#include <json-c/json.h>
#include <stdio.h>

static json_object *
describe_histogram(const histogram_t *histogram)
{
    static const struct {
        const char *name;
        double quantile;
    } columns[] = {{"p50", 0.5}, {"p90", 0.9}, {"p99", 0.99}, {"p999", 0.999}};
    json_object *out = json_object_new_object();

    json_object_object_add(out, "count",
                           json_object_new_int64((int64_t)histogram->count));
    for (size_t i = 0; i < G_N_ELEMENTS(columns); i++) {
        uint64_t us = histogram_get_quantile(histogram, columns[i].quantile);

        json_object_object_add(out, columns[i].name,
                               json_object_new_double((double)us / 1000));
    }
    json_object_object_add(
        out, "max", json_object_new_double((double)histogram->max / 1000));
    return out;
}

static void
add_count(json_object *object, const char *key, uint64_t value)
{
    json_object_object_add(object, key, json_object_new_int64((int64_t)value));
}

void
results_print(void)
{
    json_object *report = json_object_new_object();
    json_object *by_status = json_object_new_object();
    json_object *by_error = json_object_new_object();

    for (int i = 0; i < STATUS_COUNT; i++) {
        if (results.statuses[i] > 0) {
            char name[8];

            snprintf(name, sizeof(name), "%d", i);
            add_count(by_status, name, results.statuses[i]);
        }
    }
    for (int i = 0; i < ERROR_KIND_COUNT; i++) {
        if (results.errors[i] > 0) {
            add_count(by_error, error_get_answer((unsigned)i)->name,
                      results.errors[i]);
        }
    }
    add_count(report, "sent", results.sent);
    add_count(report, "measured", results.measured);
    add_count(report, "unanswered", results.sent - results.completed);
    add_count(report, "sent_while_unhealthy", results.unhealthy);
    add_count(report, "executed_no", results.executed_no);
    add_count(report, "executed_unknown", results.executed_unknown);
    json_object_object_add(report, "status", by_status);
    json_object_object_add(report, "errors", by_error);
    json_object_object_add(report, "ok_ms",
                           describe_histogram(&results.ok_latency));
    json_object_object_add(report, "other_ms",
                           describe_histogram(&results.other_latency));
    json_object_object_add(report, "late_send_ms",
                           describe_histogram(&results.lateness));
    printf("%s\n",
           json_object_to_json_string_ext(report, JSON_C_TO_STRING_SPACED));
    json_object_put(report);
}

void
results_write_timeline(const char *path)
{
    FILE *file = fopen(path, "w");

    if (file == NULL) {
        fprintf(stderr, "loadgen: cannot write %s\n", path);
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
