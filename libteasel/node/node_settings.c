#include <string.h>

#include "base/settings.h"
#include "node/node.h"

#define FIELD(name) .key = #name, .offset = offsetof(node_settings_t, name)
#define INTEGER(name, low, high, value)                                       \
    {                                                                         \
        FIELD(name), .type = SETTING_INTEGER, .min = (low), .max = (high),    \
                     .default_value = (value)                                 \
    }

static const setting_t settings_table[] = {
    {FIELD(name), .type = SETTING_STRING, .required = true},
    {FIELD(data_centre), .type = SETTING_STRING, .required = true},
    {FIELD(control_listen), .type = SETTING_ADDRESS, .required = true},
    {FIELD(metrics_listen), .type = SETTING_ADDRESS},
    {FIELD(store_address), .type = SETTING_ADDRESS, .required = true},
    INTEGER(report_ms, 50, 60000, 500),
    INTEGER(silence_ms, 100, 60000, 1500),
    INTEGER(poll_wait_ms, 0, 2000, 500),
    INTEGER(max_lease_ms, 100, 3600000, 10000),
    {.key = NULL},
};

bool
node_settings_load(const char *path, node_settings_t *out, GError **error)
{
    memset(out, 0, sizeof(*out));
    if (!settings_load(path, settings_table, out, error)) {
        return false;
    }
    if (!settings_check_order(path, "report_ms", out->report_ms, "silence_ms",
                              out->silence_ms, error)) {
        node_settings_clear(out);
        return false;
    }
    return true;
}

void
node_settings_clear(node_settings_t *settings)
{
    settings_clear(settings_table, settings);
}

const setting_t *
node_settings_table(void)
{
    return settings_table;
}
