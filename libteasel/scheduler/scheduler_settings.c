#include <math.h>
#include <string.h>

#include "base/error.h"
#include "base/settings.h"
#include "scheduler/scheduler.h"

/* Values of cpu_share and remote_factor are at most this. */
static const double MAX_CPU_SHARE = 1024;
static const double MAX_REMOTE_FACTOR = 100;
static const double DEFAULT_REMOTE_FACTOR = 1.5;

#define FIELD(name)                                                           \
    .key = #name, .offset = offsetof(scheduler_settings_t, name)
#define INTEGER(name, low, high, value)                                       \
    {                                                                         \
        FIELD(name), .type = SETTING_INTEGER, .min = (low), .max = (high),    \
                     .default_value = (value)                                 \
    }

static const setting_t table[] = {
    {FIELD(name), .type = SETTING_STRING, .required = true},
    {FIELD(data_centre), .type = SETTING_STRING, .required = true},
    {FIELD(peer_address), .type = SETTING_ADDRESS, .required = true},
    {FIELD(http_listen), .type = SETTING_ADDRESS, .required = true},
    {FIELD(ready_listen), .type = SETTING_ADDRESS, .required = true},
    {FIELD(metrics_listen), .type = SETTING_ADDRESS},
    {FIELD(store_address), .type = SETTING_ADDRESS, .required = true},
    {FIELD(cpu_share), .type = SETTING_STRING},
    {FIELD(remote_factor), .type = SETTING_TEXT},
    INTEGER(lease_ms, 500, 600000, 6000),
    INTEGER(max_lease_ms, 500, 600000, 10000),
    INTEGER(retain_ms, 1000, 86400000, 600000),
    INTEGER(stop_run_ms, 0, 60000, 1000),
    INTEGER(record_bytes, 1024, 1024 * 1024 * 1024, 256 * 1024),
    INTEGER(silence_ms, 100, 60000, 800),
    INTEGER(status_ms, 10, 60000, 200),
    INTEGER(leave_delay_ms, 0, 60000, 2500),
    INTEGER(stop_timeout_ms, 0, 600000, 5000),
    INTEGER(max_body_bytes, 1024, 15 * 1024 * 1024, 1024 * 1024),
    {.key = NULL},
};

static bool
check(const char *path, const scheduler_settings_t *settings, GError **error)
{
    return settings_check_order(path, "status_ms", settings->status_ms,
                                "silence_ms", settings->silence_ms, error) &&
           settings_check_order(path, "silence_ms", settings->silence_ms,
                                "lease_ms", settings->lease_ms, error) &&
           settings_check_order(path, "leave_delay_ms",
                                settings->leave_delay_ms, "stop_timeout_ms",
                                settings->stop_timeout_ms, error);
}

/* Reads a whole text as a number; NAN if it is none. */
static double
parse_number(const char *text)
{
    char *end = NULL;
    double number = g_ascii_strtod(text, &end);

    return end == text || *end != '\0' ? NAN : number;
}

static bool
parse_cpu_share(const char *path, scheduler_settings_t *settings,
                GError **error)
{
    const char *text = settings->cpu_share;
    double share;

    if (text == NULL) {
        return true;
    }
    share = parse_number(text);
    if (!(share > 0 && share <= MAX_CPU_SHARE)) {
        g_set_error(error, TEASEL_ERROR, ERROR_INVALID,
                    "%s: cpu_share is \"%s\", expected a number greater "
                    "than 0 and up to %g",
                    path, text, MAX_CPU_SHARE);
        return false;
    }
    settings->cpu_milli = (uint32_t)(share * 1000);
    return true;
}

/* The platform's templates yield an empty text where it names no factor. */
static bool
parse_remote_factor(const char *origin, scheduler_settings_t *settings,
                    GError **error)
{
    const char *text = settings->remote_factor;

    settings->remote_run_factor = DEFAULT_REMOTE_FACTOR;
    if (text == NULL || text[0] == '\0') {
        return true;
    }
    settings->remote_run_factor = parse_number(text);
    if (settings->remote_run_factor >= 1 &&
        settings->remote_run_factor <= MAX_REMOTE_FACTOR) {
        return true;
    }
    g_set_error(error, TEASEL_ERROR, ERROR_INVALID,
                "%s: remote_factor is \"%s\", expected a number from 1 to %g",
                origin, text, MAX_REMOTE_FACTOR);
    return false;
}

bool
scheduler_settings_load(const char *path, scheduler_settings_t *out,
                        GError **error)
{
    memset(out, 0, sizeof(*out));
    if (!settings_load(path, table, out, error)) {
        return false;
    }
    out->lease_ms = MIN(out->lease_ms, out->max_lease_ms);
    if (!parse_cpu_share(path, out, error) ||
        !parse_remote_factor(path, out, error) || !check(path, out, error)) {
        scheduler_settings_clear(out);
        return false;
    }
    return true;
}

bool
scheduler_settings_set_remote_factor(scheduler_settings_t *settings,
                                     const char *text, GError **error)
{
    g_free(settings->remote_factor);
    settings->remote_factor = g_strdup(text);
    return parse_remote_factor("--remote-factor", settings, error);
}

void
scheduler_settings_clear(scheduler_settings_t *settings)
{
    settings_clear(table, settings);
}

const setting_t *
scheduler_settings_table(void)
{
    return table;
}
