#ifndef TEASEL_OPERATOR_ADMIN_HANDLER_H
#define TEASEL_OPERATOR_ADMIN_HANDLER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/http_server.h"
#include "config/config_reader.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct admin_member - state of an agent, as known to one entry
 * @connected: false after the connection has closed; entries keep such
 *     members for 60 s, so that a frozen agent is listed as lagging
 * @report_age_ms: time since the last load report
 * @config_next: next config offset in the last load report
 */
typedef struct admin_member {
    const char *agent_id;
    uint64_t incarnation;
    const char *data_centre;
    const char *rack;
    const char *const *services; /* NULL-terminated, may be NULL */
    bool connected;
    bool leaving;
    bool ejected;
    uint32_t running;
    uint32_t queued;
    uint32_t slots;
    uint32_t service_time_us;
    uint64_t report_age_ms;
    uint64_t config_next;
} admin_member_t;

/**
 * struct admin_entry - another entry that has announced itself
 * @http_address: IPv4:PORT that serves its admin pages
 */
typedef struct admin_entry {
    const char *entry_id;
    const char *http_address;
    const char *data_centre;
} admin_entry_t;

typedef void (*admin_entry_fn)(const admin_entry_t *entry, void *fn_data);
typedef void (*admin_member_fn)(const admin_member_t *member, void *fn_data);

/**
 * struct admin_provider - data of an entry for the admin pages
 * @entry_id: id of this entry
 * @data_centre: data centre of this entry
 * @config: reader of stream "config" of this entry
 * @each_member: calls @fn for each known agent
 * @each_entry: calls @fn for each known entry except this one; may be NULL
 * @on_jobs: handles GET /admin/jobs, see job_handler_on_list(); if NULL, the
 *     request is answered with 404
 * @data: passed to the callbacks
 */
typedef struct admin_provider {
    const char *entry_id;
    const char *data_centre;
    const config_reader_t *config;
    void (*each_member)(void *data, admin_member_fn fn, void *fn_data);
    void (*each_entry)(void *data, admin_entry_fn fn, void *fn_data);
    void (*on_jobs)(void *data, http_exchange_t *exchange);
    void *data;
} admin_provider_t;

/**
 * admin_handle() - handle GET /admin/members, /admin/config, /admin/jobs
 *
 * /admin/members returns {"entry_id", "members": [...]}. /admin/config
 * returns {"entry_id", "data_centre", "config_next", "caught_up",
 * "log_reachable", "objects", "drains", "entries"}; each object has all its
 * keys.
 *
 * The entry calls this function from the handler of the route "/admin/".
 * Other paths are answered with 404, other methods with 405.
 */
void admin_handle(const admin_provider_t *provider, http_exchange_t *exchange);

#ifdef __cplusplus
}
#endif

#endif
