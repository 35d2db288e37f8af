#ifndef TEASEL_ENTRY_ENTRY_SETTINGS_H
#define TEASEL_ENTRY_ENTRY_SETTINGS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct entry_settings - settings file of teasel-entry
 *
 * The keys of the file have the names of the fields and are described in
 * man/teasel-entry.8.
 */
typedef struct entry_settings {
    char *entry_id;
    char *data_centre;
    char *http_listen;
    char *peer_listen;
    char *peer_address; /* announced; default: peer_listen */
    char *http_address; /* announced; default: http_listen */
    char *log_address;
    char **entries; /* NULL: none */
    char *cell;
    char *route;
    int64_t link_cost_us;
    int64_t fresh_ms;
    int64_t keep_ms;
    int64_t silence_ms;
    int64_t ping_ms;
    int64_t announce_ms;
    int64_t append_timeout_ms;
    int64_t job_deadline_ms;
    int64_t max_body_bytes;
    int64_t max_in_flight;
    int64_t max_attempts;
    int64_t retry_percent;
    int64_t retry_reserve;
    int64_t park_ms;
    int64_t eject_failures;
    int64_t eject_ms;
    int64_t max_eject_ms;
    int64_t leave_delay_ms;
    int64_t stop_timeout_ms;
} entry_settings_t;

bool entry_settings_load(const char *path, entry_settings_t *out,
                         GError **error);
void entry_settings_clear(entry_settings_t *settings);

#ifdef __cplusplus
}
#endif

#endif
