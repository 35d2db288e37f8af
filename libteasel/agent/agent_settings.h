#ifndef TEASEL_AGENT_AGENT_SETTINGS_H
#define TEASEL_AGENT_AGENT_SETTINGS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct agent_settings - contents of the settings file of teasel-agent
 *
 * Each field has the name of its key. man/teasel-agent.8 describes the keys.
 */
typedef struct agent_settings {
    char *agent_id;
    char *data_centre;
    char *rack;
    char **services;
    char *peer_listen;
    char *http_listen;
    char *log_address;
    char **entries;
    char *executor_address; /* NULL if there is no executor */
    char *worker_address;   /* NULL if there is no worker */
    int64_t slots;
    int64_t connections;
    int64_t queue;
    int64_t max_answer_bytes;
    int64_t executor_timeout_ms;
    int64_t reserved_cpu_milli;
    int64_t reserved_memory_mb;
    int64_t worker_timeout_ms;
    int64_t worker_silence_ms;
    char *cell;
    gboolean candidate;
    int64_t rank;
    int64_t lease_ms;
    int64_t heartbeat_ms;
    int64_t claim_silence_ms;
    int64_t rank_ms;
    int64_t append_timeout_ms;
    int64_t report_ms;
    int64_t silence_ms;
    int64_t ping_ms;
    int64_t backoff_ms;
    int64_t max_backoff_ms;
    int64_t leave_linger_ms;
    int64_t stop_timeout_ms;
    int64_t pressure_throttle_percent;
    int64_t pressure_suspend_percent;
    int64_t pressure_checkpoint_percent;
    int64_t pressure_evict_percent;
    int64_t pressure_hysteresis_percent;
    int64_t pressure_hold_ms;
    int64_t tail_weight;
    int64_t eviction_weight;
} agent_settings_t;

/**
 * agent_settings_load() - read and check a settings file
 * @out: filled in; to be cleared with agent_settings_clear()
 *
 * Return: false with @error set if the file cannot be read or a value is
 * invalid; @out then needs no clearing.
 */
bool agent_settings_load(const char *path, agent_settings_t *out,
                         GError **error);
void agent_settings_clear(agent_settings_t *settings);

#ifdef __cplusplus
}
#endif

#endif
