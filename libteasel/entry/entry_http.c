#include "entry/entry_internal.h"
#include "wire/frame.h"

enum {
    /* Larger than the upper bound of max_body_bytes, so that a body over the
       limit is answered with a problem document and not with the plain text
       of h2o. */
    MAX_HTTP_BODY = FRAME_MAX_SIZE,
    /* The health check of a new entry fails until an agent has connected, but
       at most for this long. */
    START_GRACE_MS = 3000,
};

static void
on_service(http_exchange_t *exchange, void *data)
{
    entry_t *entry = data;

    service_handler_handle(exchange, entry_service_submit, entry->service);
}

static bool
is_starting(const entry_t *entry)
{
    struct timespec now = clock_get_monotonic(entry->clock);

    return member_table_count_connected(entry->members) == 0 &&
           timespec_diff_ms(now, entry->started) < START_GRACE_MS;
}

static void
on_health(http_exchange_t *exchange, void *data)
{
    const entry_t *entry = data;

    if (entry->stage != ENTRY_SERVING) {
        http_exchange_reply_text(exchange, 503, "text/plain", "leaving\n");
    }
    else if (is_starting(entry)) {
        http_exchange_reply_text(exchange, 503, "text/plain", "starting\n");
    }
    else {
        http_exchange_reply_text(exchange, 200, "text/plain", "ok\n");
    }
}

static void
on_metrics(http_exchange_t *exchange, void *data)
{
    entry_t *entry = data;
    g_autoptr(GString) text = g_string_new(NULL);

    entry->members_metric.value = member_table_count_connected(entry->members);
    metrics_render(&entry->metrics, text);
    http_exchange_reply_text(exchange, 200, "text/plain; version=0.0.4",
                             text->str);
}

static void
each_member(void *data, admin_member_fn fn, void *fn_data)
{
    const entry_t *entry = data;
    struct timespec now = clock_get_monotonic(entry->clock);

    LIST_FOREACH (member, member_table_get_members(entry->members), member_t,
                  link) {
        admin_member_t view = {
            .agent_id = member->agent_id,
            .incarnation = member->incarnation,
            .data_centre = member->data_centre,
            .rack = member->rack,
            .services = (const char *const *)member->services,
            .connected = member->connection != NULL,
            .leaving = member->has_left || member->load.leaving,
            .ejected = member->outlier.state != OUTLIER_ACTIVE,
            .running = member->load.running,
            .queued = member->load.queued,
            .slots = member->load.slots,
            .service_time_us = member->load.service_time_us,
            .report_age_ms =
                (uint64_t)timespec_diff_ms(now, member->last_report),
            .config_next = member->load.config_next,
        };

        fn(&view, fn_data);
    }
}

typedef struct entry_visitor {
    admin_entry_fn fn;
    void *data;
} entry_visitor_t;

static void
visit_entry(const char *entry_id, const char *http_address,
            const char *data_centre, void *data)
{
    const entry_visitor_t *visitor = data;
    admin_entry_t view = {entry_id, http_address, data_centre};

    visitor->fn(&view, visitor->data);
}

static void
each_entry(void *data, admin_entry_fn fn, void *fn_data)
{
    const entry_t *entry = data;
    entry_visitor_t visitor = {fn, fn_data};

    directory_each_announced(entry->directory, visit_entry, &visitor);
}

static void
on_job(http_exchange_t *exchange, void *data)
{
    entry_t *entry = data;

    job_handler_on_job(entry->jobs, exchange);
}

static void
on_job_list(void *data, http_exchange_t *exchange)
{
    entry_t *entry = data;

    job_handler_on_list(entry->jobs, exchange);
}

static void
on_admin(http_exchange_t *exchange, void *data)
{
    entry_t *entry = data;
    admin_provider_t provider = {
        .entry_id = entry->settings->entry_id,
        .data_centre = entry->settings->data_centre,
        .config = entry->config,
        .each_member = each_member,
        .each_entry = each_entry,
        .on_jobs = on_job_list,
        .data = entry,
    };

    admin_handle(&provider, exchange);
}

static void
on_other(http_exchange_t *exchange, void *data)
{
    g_autofree char *detail = g_strdup_printf(
        "path \"%s\" is not served; allowed: /svc/NAME/..., /jobs/ID, "
        "/healthz, /metrics, /admin/...",
        exchange->path);
    problem_t problem = {ERROR_NOT_FOUND, false, detail};

    problem_reply(exchange, &problem);
}

http_server_t *
entry_http_new(entry_t *entry, GError **error)
{
    static const http_route_t routes[] = {
        {"/svc/", on_service},
        {"/jobs/", on_job},
        {"/healthz", on_health},
        {"/metrics", on_metrics},
        {"/admin/", on_admin},
        {"/", on_other},
        {NULL, NULL},
    };
    http_server_opts_t opts = {
        .loop = entry->loop,
        .listen = entry->settings->http_listen,
        .max_body = MAX_HTTP_BODY,
        .routes = routes,
        .data = entry,
    };

    return http_server_new(&opts, error);
}
