#include "agent/agent_settings.h"

#include <string.h>

#include "base/settings.h"

#define FIELD(name) .key = #name, .offset = offsetof(agent_settings_t, name)
#define INTEGER(name, low, high, value)                                       \
    {                                                                         \
        FIELD(name), .type = SETTING_INTEGER, .min = (low), .max = (high),    \
                     .default_value = (value)                                 \
    }

static const setting_t table[] = {
    {FIELD(agent_id), .type = SETTING_STRING, .required = true},
    {FIELD(data_centre), .type = SETTING_STRING, .required = true},
    {FIELD(rack), .type = SETTING_STRING, .default_string = ""},
    {FIELD(services), .type = SETTING_STRING_LIST},
    {FIELD(peer_listen), .type = SETTING_ADDRESS, .required = true},
    {FIELD(http_listen), .type = SETTING_ADDRESS, .required = true},
    {FIELD(log_address), .type = SETTING_ADDRESS, .required = true},
    {FIELD(entries), .type = SETTING_ADDRESS_LIST},
    {FIELD(executor_address), .type = SETTING_ADDRESS},
    {FIELD(worker_address), .type = SETTING_ADDRESS},
    INTEGER(slots, 1, 10000, 8),
    INTEGER(connections, 1, 10000, 64),
    INTEGER(queue, 0, 100000, 32),
    INTEGER(max_answer_bytes, 1024, 15 * 1024 * 1024, 8 * 1024 * 1024),
    INTEGER(executor_timeout_ms, 10, 3600000, 30000),
    INTEGER(reserved_cpu_milli, 0, 10000000, 0),
    INTEGER(reserved_memory_mb, 0, 100000000, 0),
    INTEGER(worker_timeout_ms, 10, 60000, 2000),
    INTEGER(worker_silence_ms, 100, 600000, 5000),
    {FIELD(cell), .type = SETTING_STRING, .default_string = "cell-0"},
    {FIELD(candidate), .type = SETTING_BOOLEAN, .default_value = 1},
    INTEGER(rank, 0, 100000, 0),
    INTEGER(lease_ms, 100, 600000, 15000),
    INTEGER(heartbeat_ms, 10, 60000, 1000),
    INTEGER(claim_silence_ms, 100, 600000, 3000),
    INTEGER(rank_ms, 1, 60000, 500),
    INTEGER(append_timeout_ms, 100, 600000, 5000),
    INTEGER(report_ms, 10, 60000, 500),
    INTEGER(silence_ms, 100, 600000, 2000),
    INTEGER(ping_ms, 10, 60000, 500),
    INTEGER(backoff_ms, 1, 60000, 50),
    INTEGER(max_backoff_ms, 1, 600000, 1000),
    INTEGER(leave_linger_ms, 0, 60000, 1000),
    INTEGER(stop_timeout_ms, 0, 3600000, 30000),
    INTEGER(pressure_throttle_percent, 1, 1000, 70),
    INTEGER(pressure_suspend_percent, 1, 1000, 80),
    INTEGER(pressure_checkpoint_percent, 1, 1000, 90),
    INTEGER(pressure_evict_percent, 1, 1000, 95),
    INTEGER(pressure_hysteresis_percent, 0, 100, 10),
    INTEGER(pressure_hold_ms, 0, 600000, 2000),
    INTEGER(tail_weight, 0, 100, 50),
    INTEGER(eviction_weight, 0, 100, 50),
    {.key = NULL},
};

static bool
check(const char *path, const agent_settings_t *settings, GError **error)
{
    return settings_check_order(path, "slots", settings->slots, "connections",
                                settings->connections, error) &&
           settings_check_order(path, "ping_ms", settings->ping_ms,
                                "silence_ms", settings->silence_ms, error) &&
           settings_check_order(path, "report_ms", settings->report_ms,
                                "silence_ms", settings->silence_ms / 2,
                                error) &&
           settings_check_order(path, "heartbeat_ms", settings->heartbeat_ms,
                                "lease_ms", settings->lease_ms, error) &&
           settings_check_order(path, "backoff_ms", settings->backoff_ms,
                                "max_backoff_ms", settings->max_backoff_ms,
                                error) &&
           settings_check_order(path, "pressure_throttle_percent",
                                settings->pressure_throttle_percent,
                                "pressure_suspend_percent",
                                settings->pressure_suspend_percent, error) &&
           settings_check_order(path, "pressure_suspend_percent",
                                settings->pressure_suspend_percent,
                                "pressure_checkpoint_percent",
                                settings->pressure_checkpoint_percent,
                                error) &&
           settings_check_order(path, "pressure_checkpoint_percent",
                                settings->pressure_checkpoint_percent,
                                "pressure_evict_percent",
                                settings->pressure_evict_percent, error);
}

bool
agent_settings_load(const char *path, agent_settings_t *out, GError **error)
{
    memset(out, 0, sizeof(*out));
    if (!settings_load(path, table, out, error)) {
        return false;
    }
    if (!check(path, out, error)) {
        agent_settings_clear(out);
        return false;
    }
    return true;
}

void
agent_settings_clear(agent_settings_t *settings)
{
    settings_clear(table, settings);
}
