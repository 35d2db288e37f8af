#include "operator/admin_handler.h"

#include <json-c/json.h>
#include <string.h>

#include "config/config.h"
#include "operator/config_view.h"

static void
add_string(struct json_object *out, const char *key, const char *value)
{
    json_object_object_add(out, key,
                           json_object_new_string(value != NULL ? value : ""));
}

static void
add_number(struct json_object *out, const char *key, uint64_t value)
{
    json_object_object_add(out, key, json_object_new_uint64(value));
}

static void
add_flag(struct json_object *out, const char *key, bool value)
{
    json_object_object_add(out, key, json_object_new_boolean(value));
}

static void
reply_json(http_exchange_t *exchange, struct json_object *body)
{
    http_exchange_reply_text(
        exchange, 200, "application/json",
        json_object_to_json_string_ext(
            body, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE));
    json_object_put(body);
}

typedef struct member_list {
    const admin_provider_t *provider;
    struct json_object *items;
} member_list_t;

static void
add_member(const admin_member_t *member, void *data)
{
    member_list_t *list = data;
    struct json_object *item = json_object_new_object();
    struct json_object *services = json_object_new_array();

    add_string(item, "agent_id", member->agent_id);
    add_number(item, "incarnation", member->incarnation);
    add_string(item, "data_centre", member->data_centre);
    add_string(item, "rack", member->rack);
    for (const char *const *name = member->services; name && *name; name++) {
        json_object_array_add(services, json_object_new_string(*name));
    }
    json_object_object_add(item, "services", services);
    add_flag(item, "connected", member->connected);
    add_flag(item, "leaving", member->leaving);
    add_flag(item, "ejected", member->ejected);
    add_flag(
        item, "drained",
        config_reader_is_drained(list->provider->config, member->agent_id));
    add_number(item, "running", member->running);
    add_number(item, "queued", member->queued);
    add_number(item, "slots", member->slots);
    add_number(item, "service_time_us", member->service_time_us);
    add_number(item, "report_age_ms", member->report_age_ms);
    add_number(item, "config_next", member->config_next);
    json_object_array_add(list->items, item);
}

static void
handle_members(const admin_provider_t *provider, http_exchange_t *exchange)
{
    struct json_object *body = json_object_new_object();
    member_list_t list = {provider, json_object_new_array()};

    add_string(body, "entry_id", provider->entry_id);
    provider->each_member(provider->data, add_member, &list);
    json_object_object_add(body, "members", list.items);
    reply_json(exchange, body);
}

static void
add_entry(const admin_entry_t *entry, void *data)
{
    struct json_object *item = json_object_new_object();

    add_string(item, "entry_id", entry->entry_id);
    add_string(item, "http_address", entry->http_address);
    add_string(item, "data_centre", entry->data_centre);
    json_object_array_add(data, item);
}

static void
handle_config(const admin_provider_t *provider, http_exchange_t *exchange)
{
    const config_reader_t *reader = provider->config;
    const config_t *config = config_reader_get_state(reader);
    struct json_object *body = json_object_new_object();
    struct json_object *entries = json_object_new_array();

    add_string(body, "entry_id", provider->entry_id);
    add_string(body, "data_centre", provider->data_centre);
    add_number(body, "config_next", config_reader_get_next_offset(reader));
    add_flag(body, "caught_up", config_reader_is_caught_up(reader));
    add_flag(body, "log_reachable", config_reader_is_reachable(reader));
    json_object_object_add(body, "objects", config_view_get_objects(config));
    json_object_object_add(body, "drains", config_view_get_drains(config));
    if (provider->each_entry != NULL) {
        provider->each_entry(provider->data, add_entry, entries);
    }
    json_object_object_add(body, "entries", entries);
    reply_json(exchange, body);
}

static void
handle_jobs(const admin_provider_t *provider, http_exchange_t *exchange)
{
    if (provider->on_jobs == NULL) {
        http_exchange_reply_text(exchange, 404, "text/plain",
                                 "this entry serves no jobs\n");
        return;
    }
    provider->on_jobs(provider->data, exchange);
}

typedef struct admin_page {
    const char *path;
    void (*handle)(const admin_provider_t *provider,
                   http_exchange_t *exchange);
} admin_page_t;

static const admin_page_t pages[] = {
    {"/admin/members", handle_members},
    {"/admin/config", handle_config},
    {"/admin/jobs", handle_jobs},
};

void
admin_handle(const admin_provider_t *provider, http_exchange_t *exchange)
{
    for (size_t i = 0; i < G_N_ELEMENTS(pages); i++) {
        if (strcmp(pages[i].path, exchange->path) != 0) {
            continue;
        }
        if (strcmp(exchange->method, "GET") != 0) {
            http_exchange_reply_text(exchange, 405, "text/plain",
                                     "allowed: GET\n");
            return;
        }
        pages[i].handle(provider, exchange);
        return;
    }
    http_exchange_reply_text(exchange, 404, "text/plain",
                             "allowed: /admin/members, /admin/config, "
                             "/admin/jobs\n");
}
