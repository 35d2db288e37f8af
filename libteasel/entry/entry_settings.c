#include "entry/entry_settings.h"

#include <string.h>

#include "base/settings.h"
#include "request/route.h"

#define FIELD(name) .key = #name, .offset = offsetof(entry_settings_t, name)
#define INTEGER(name, low, high, value)                                       \
    {                                                                         \
        FIELD(name), .type = SETTING_INTEGER, .min = (low), .max = (high),    \
                     .default_value = (value)                                 \
    }

static const setting_t table[] = {
    {FIELD(entry_id), .type = SETTING_STRING, .required = true},
    {FIELD(data_centre), .type = SETTING_STRING, .required = true},
    {FIELD(http_listen), .type = SETTING_ADDRESS, .required = true},
    {FIELD(peer_listen), .type = SETTING_ADDRESS, .required = true},
    {FIELD(peer_address), .type = SETTING_ADDRESS},
    {FIELD(http_address), .type = SETTING_ADDRESS},
    {FIELD(log_address), .type = SETTING_ADDRESS, .required = true},
    {FIELD(entries), .type = SETTING_ADDRESS_LIST},
    {FIELD(cell), .type = SETTING_STRING, .default_string = "cell-0"},
    {FIELD(route), .type = SETTING_CHOICE, .default_string = "p3c",
     .choices = route_policy_names},
    INTEGER(link_cost_us, 0, 10000000, 10000),
    INTEGER(fresh_ms, 10, 600000, 2000),
    INTEGER(keep_ms, 10, 86400000, 60000),
    INTEGER(silence_ms, 100, 600000, 2000),
    INTEGER(ping_ms, 10, 60000, 500),
    INTEGER(announce_ms, 100, 600000, 10000),
    INTEGER(append_timeout_ms, 10, 600000, 5000),
    INTEGER(job_deadline_ms, 10, 600000, 10000),
    INTEGER(max_body_bytes, 1024, 15 * 1024 * 1024, 8 * 1024 * 1024),
    INTEGER(max_in_flight, 1, 1000000, 10000),
    INTEGER(max_attempts, 1, 8, 3),
    /* 9 percent and the reserve of 10 allow at most 100 retries for 1000
       requests. */
    INTEGER(retry_percent, 0, 100, 9),
    INTEGER(retry_reserve, 0, 10000, 10),
    INTEGER(park_ms, 0, 600000, 1000),
    INTEGER(eject_failures, 1, 10000, 5),
    INTEGER(eject_ms, 1, 600000, 1000),
    INTEGER(max_eject_ms, 1, 600000, 30000),
    INTEGER(leave_delay_ms, 0, 600000, 3000),
    INTEGER(stop_timeout_ms, 0, 3600000, 30000),
    {.key = NULL},
};

static bool
check(const char *path, const entry_settings_t *settings, GError **error)
{
    return settings_check_order(path, "ping_ms", settings->ping_ms,
                                "silence_ms", settings->silence_ms, error) &&
           settings_check_order(path, "eject_ms", settings->eject_ms,
                                "max_eject_ms", settings->max_eject_ms, error);
}

bool
entry_settings_load(const char *path, entry_settings_t *out, GError **error)
{
    memset(out, 0, sizeof(*out));
    if (!settings_load(path, table, out, error)) {
        return false;
    }
    if (!check(path, out, error)) {
        entry_settings_clear(out);
        return false;
    }
    if (out->peer_address == NULL) {
        out->peer_address = g_strdup(out->peer_listen);
    }
    if (out->http_address == NULL) {
        out->http_address = g_strdup(out->http_listen);
    }
    return true;
}

void
entry_settings_clear(entry_settings_t *settings)
{
    settings_clear(table, settings);
}
