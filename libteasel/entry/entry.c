#include "entry/entry.h"

#include "base/events.h"
#include "entry/entry_internal.h"
#include "stream/plog_http.h"

enum {
    MEMBER_EXPIRY_INTERVAL_MS = 1000,
};

static void
on_expiry_timer(loop_timer_t *timer)
{
    entry_t *entry = timer->data;

    member_table_expire(entry->members);
    loop_timer_start(timer, MEMBER_EXPIRY_INTERVAL_MS);
}

static void
fill_announce(Teasel__EntryAnnounce *announce, void *data)
{
    const entry_t *entry = data;

    announce->entry_id = entry->settings->entry_id;
    announce->incarnation = entry->incarnation;
    announce->peer_address = entry->settings->peer_address;
    announce->http_address = entry->settings->http_address;
    announce->data_centre = entry->settings->data_centre;
    announce->leaving = entry->stage != ENTRY_SERVING;
    announce->config_next = config_reader_get_next_offset(entry->config);
}

static void
on_directory_change(void *data)
{
    entry_t *entry = data;

    peer_server_send_entries(entry->peer_server);
}

static void
on_config(config_reader_t *reader, void *data)
{
    entry_t *entry = data;

    if (entry->peer_server != NULL) {
        peer_server_apply_drains(entry->peer_server);
    }
}

static void
start_members(entry_t *entry)
{
    const entry_settings_t *settings = entry->settings;
    member_table_opts_t members = {
        .clock = entry->clock,
        .data_centre = settings->data_centre,
        .fresh_ms = (uint64_t)settings->fresh_ms,
        .keep_ms = (uint64_t)settings->keep_ms,
        .outlier = {.failures = (unsigned)settings->eject_failures,
                    .base_ms = (uint64_t)settings->eject_ms,
                    .max_ms = (uint64_t)settings->max_eject_ms},
    };
    route_opts_t route = {
        .policy = settings->route,
        .link_cost_us = (uint32_t)settings->link_cost_us,
        .seed = entry->incarnation,
    };

    entry->members = member_table_new(&members);
    route.table = entry->members;
    entry->route = route_new(&route);
}

static void
submit_forward(void *forwarder, const forward_request_t *request,
               forward_cb cb, void *data)
{
    forwarder_submit(forwarder, request, cb, data);
}

static void
start_forwarding(entry_t *entry)
{
    const entry_settings_t *settings = entry->settings;
    forwarder_opts_t forwarder = {
        .loop = entry->loop,
        .clock = entry->clock,
        .metrics = &entry->metrics,
        .members = entry->members,
        .route = entry->route,
        .max_attempts = (unsigned)settings->max_attempts,
        .retry_percent = (uint32_t)settings->retry_percent,
        .retry_reserve = (uint32_t)settings->retry_reserve,
        .park_ms = (uint64_t)settings->park_ms,
    };
    key_guard_opts_t key_guard = {
        .loop = entry->loop,
        .clock = entry->clock,
        .log = entry->log,
        .submit = submit_forward,
        .entry_id = settings->entry_id,
        .writer = settings->entry_id,
        .append_timeout_ms = (uint64_t)settings->append_timeout_ms,
    };
    entry_service_opts_t service = {
        .config = entry->config,
        .entry_id = settings->entry_id,
        .incarnation = entry->incarnation,
        .max_in_flight = (size_t)settings->max_in_flight,
        .max_body = (size_t)settings->max_body_bytes,
    };

    entry->forwarder = forwarder_new(&forwarder);
    key_guard.submit_data = entry->forwarder;
    entry->key_guard = key_guard_new(&key_guard);
    service.forwarder = entry->forwarder;
    service.key_guard = entry->key_guard;
    entry->service = entry_service_new(&service);
}

static bool
start_peer_server(entry_t *entry, GError **error)
{
    const entry_settings_t *settings = entry->settings;
    peer_server_opts_t opts = {
        .loop = entry->loop,
        .clock = entry->clock,
        .listen = settings->peer_listen,
        .entry_id = settings->entry_id,
        .incarnation = entry->incarnation,
        .members = entry->members,
        .forwarder = entry->forwarder,
        .directory = entry->directory,
        .config = entry->config,
        .silence_ms = (uint64_t)settings->silence_ms,
        .ping_ms = (uint64_t)settings->ping_ms,
        .on_directory_change = on_directory_change,
        .data = entry,
    };

    entry->peer_server = peer_server_new(&opts, error);
    return entry->peer_server != NULL;
}

static void
start_announcer(entry_t *entry)
{
    const entry_settings_t *settings = entry->settings;
    announcer_opts_t opts = {
        .loop = entry->loop,
        .clock = entry->clock,
        .log = entry->log,
        .directory = entry->directory,
        .seeds = settings->entries,
        .own_address = settings->peer_address,
        .writer = settings->entry_id,
        .interval_ms = (uint64_t)settings->announce_ms,
        .silence_ms = (uint64_t)settings->silence_ms,
        .ping_ms = (uint64_t)settings->ping_ms,
        .fill_announce = fill_announce,
        .on_change = on_directory_change,
        .data = entry,
    };

    entry->announcer = announcer_new(&opts);
}

static bool
start_log(entry_t *entry, GError **error)
{
    const entry_settings_t *settings = entry->settings;
    plog_http_opts_t log = {
        .loop = entry->loop,
        .address = settings->log_address,
        .append_timeout_ms = (uint64_t)settings->append_timeout_ms,
    };
    config_reader_opts_t config = {
        .loop = entry->loop,
        .clock = entry->clock,
        .writer = settings->entry_id,
        .on_change = on_config,
        .data = entry,
    };

    entry->log = plog_http_new(&log, error);
    if (entry->log == NULL) {
        return false;
    }
    config.log = entry->log;
    entry->config = config_reader_new(&config);
    return true;
}

static void
start_jobs(entry_t *entry)
{
    job_handler_opts_t opts = {
        .loop = entry->loop,
        .clock = entry->clock,
        .log = entry->log,
        .metrics = &entry->metrics,
        .cell = entry->settings->cell,
        .entry_id = entry->settings->entry_id,
        .deadline_ms = (uint64_t)entry->settings->job_deadline_ms,
    };

    entry->jobs = job_handler_new(&opts);
}

static void
start_directory(entry_t *entry)
{
    directory_opts_t opts = {
        .clock = entry->clock,
        .own_address = entry->settings->peer_address,
        .expiry_ms = 3 * (uint64_t)entry->settings->announce_ms,
    };

    entry->directory = directory_new(&opts);
}

static bool
start(entry_t *entry, GError **error)
{
    if (!start_log(entry, error)) {
        return false;
    }
    start_jobs(entry);
    start_members(entry);
    start_forwarding(entry);
    start_directory(entry);
    if (!start_peer_server(entry, error)) {
        return false;
    }
    entry->http = entry_http_new(entry, error);
    if (entry->http == NULL) {
        return false;
    }
    start_announcer(entry);
    loop_timer_start(&entry->expiry_timer, MEMBER_EXPIRY_INTERVAL_MS);
    return true;
}

entry_t *
entry_new(loop_t *loop, const entry_settings_t *settings, GError **error)
{
    entry_t *entry = g_new0(entry_t, 1);

    entry->loop = loop;
    entry->clock = clock_system();
    entry->settings = settings;
    entry->incarnation = timespec_to_ms(clock_get_wall(entry->clock));
    entry->started = clock_get_monotonic(entry->clock);
    metrics_init(&entry->metrics);
    metrics_add(&entry->metrics, &entry->members_metric, METRIC_GAUGE,
                "teasel_entry_members", NULL, "connected agents");
    loop_timer_init(&entry->expiry_timer, loop, on_expiry_timer, entry);
    entry_stop_init(entry);
    if (!start(entry, error)) {
        entry_free(entry);
        return NULL;
    }
    event_log(EVENT_ENTRY_STARTED, "id=%s http=%s peer=%s", settings->entry_id,
              settings->http_listen, settings->peer_listen);
    return entry;
}

static void
free_log(plog_t *log)
{
    if (log != NULL) {
        log->vtbl->free(log);
    }
}

void
entry_free(entry_t *entry)
{
    if (entry == NULL) {
        return;
    }
    loop_timer_stop(&entry->expiry_timer);
    loop_timer_stop(&entry->stop_timer);
    announcer_free(entry->announcer);
    peer_server_free(entry->peer_server);
    key_guard_free(entry->key_guard);
    forwarder_free(entry->forwarder);
    entry_service_free(entry->service);
    http_server_free(entry->http);
    directory_free(entry->directory);
    route_free(entry->route);
    member_table_free(entry->members);
    job_handler_free(entry->jobs);
    config_reader_free(entry->config);
    free_log(entry->log);
    metrics_remove(&entry->members_metric);
    g_free(entry);
}
