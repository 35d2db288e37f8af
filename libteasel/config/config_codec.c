#include <json-c/json.h>

#include "config/canonical_json.h"
#include "config/config.h"
#include "config/config_state.h"

/* The items point to the strings of the state and do not own them. */
static GPtrArray *
collect_objects(const config_t *config)
{
    GPtrArray *items = g_ptr_array_new_with_free_func(g_free);

    for (GTreeNode *node = g_tree_node_first(config->objects); node != NULL;
         node = g_tree_node_next(node)) {
        const config_object_t *object = g_tree_node_value(node);
        Teasel__ConfigObject *item = g_new(Teasel__ConfigObject, 1);

        teasel__config_object__init(item);
        item->name = object->name;
        item->ticket = object->ticket;
        item->body.data = (uint8_t *)object->body;
        item->body.len = object->body != NULL ? strlen(object->body) : 0;
        g_ptr_array_add(items, item);
    }
    return items;
}

static GPtrArray *
collect_tickets(const config_t *config)
{
    GPtrArray *items = g_ptr_array_new_with_free_func(g_free);

    for (GTreeNode *node = g_tree_node_first(config->tickets); node != NULL;
         node = g_tree_node_next(node)) {
        const config_ticket_t *ticket = g_tree_node_value(node);
        Teasel__ConfigTicket *item = g_new(Teasel__ConfigTicket, 1);

        teasel__config_ticket__init(item);
        item->number = ticket->number;
        item->hash = ticket->hash;
        item->accepted = ticket->accepted;
        item->author = ticket->author;
        item->offset = ticket->offset;
        g_ptr_array_add(items, item);
    }
    return items;
}

static GPtrArray *
collect_drains(const config_t *config)
{
    GPtrArray *items = g_ptr_array_new_with_free_func(g_free);

    for (GTreeNode *node = g_tree_node_first(config->drains); node != NULL;
         node = g_tree_node_next(node)) {
        const config_drain_t *drain = g_tree_node_value(node);
        Teasel__ConfigDrain *item = g_new(Teasel__ConfigDrain, 1);

        teasel__config_drain__init(item);
        item->agent_id = drain->agent_id;
        item->on = drain->on;
        item->offset = drain->offset;
        item->author = drain->author;
        item->reason = drain->reason;
        g_ptr_array_add(items, item);
    }
    return items;
}

GByteArray *
config_encode(const config_t *config)
{
    g_autoptr(GPtrArray) objects = collect_objects(config);
    g_autoptr(GPtrArray) tickets = collect_tickets(config);
    g_autoptr(GPtrArray) drains = collect_drains(config);
    Teasel__ConfigSnapshot snapshot = TEASEL__CONFIG_SNAPSHOT__INIT;
    GByteArray *out = g_byte_array_new();

    snapshot.objects = (Teasel__ConfigObject **)objects->pdata;
    snapshot.n_objects = objects->len;
    snapshot.tickets = (Teasel__ConfigTicket **)tickets->pdata;
    snapshot.n_tickets = tickets->len;
    snapshot.drains = (Teasel__ConfigDrain **)drains->pdata;
    snapshot.n_drains = drains->len;
    snapshot.floor = config->floor;
    snapshot.drain_floor = config->drain_floor;
    g_byte_array_set_size(
        out, (guint)teasel__config_snapshot__get_packed_size(&snapshot));
    teasel__config_snapshot__pack(&snapshot, out->data);
    return out;
}

static bool
load_object(config_t *config, const Teasel__ConfigObject *item)
{
    g_autofree char *body =
        g_strndup((const char *)item->body.data, item->body.len);
    config_value_t value = {0};
    struct json_object *parsed;
    config_kind_t kind;
    bool valid;

    if (!config_object_check_name(item->name, &kind, NULL)) {
        return false;
    }
    if (item->body.len == 0) {
        config_put_object(config, item->name, kind, item->ticket, NULL,
                          &value);
        return true;
    }
    parsed = canonical_json_parse(body, item->body.len, TICKET_MAX_BYTES,
                                  item->name, NULL);
    valid = parsed != NULL &&
            config_object_parse(item->name, parsed, &value, NULL);
    json_object_put(parsed);
    if (valid) {
        config_put_object(config, item->name, kind, item->ticket, body,
                          &value);
    }
    return valid;
}

static bool
load_all(config_t *config, const Teasel__ConfigSnapshot *snapshot)
{
    for (size_t i = 0; i < snapshot->n_objects; i++) {
        if (!load_object(config, snapshot->objects[i])) {
            return false;
        }
    }
    for (size_t i = 0; i < snapshot->n_tickets; i++) {
        const Teasel__ConfigTicket *item = snapshot->tickets[i];

        config_put_ticket(config, item->number, item->hash, item->accepted,
                          item->author, item->offset);
    }
    for (size_t i = 0; i < snapshot->n_drains; i++) {
        const Teasel__ConfigDrain *item = snapshot->drains[i];

        config_put_drain(config, item->agent_id, item->on, item->offset,
                         item->author, item->reason);
    }
    config->floor = snapshot->floor;
    config->drain_floor = snapshot->drain_floor;
    return true;
}

static void
swap_states(config_t *config, config_t *loaded)
{
    config_t old = *config;

    *config = *loaded;
    *loaded = old;
}

bool
config_load(config_t *config, const uint8_t *snapshot, size_t length,
            uint64_t covers_through)
{
    Teasel__ConfigSnapshot *decoded;
    config_t *loaded;
    bool valid;

    if (covers_through < config->next) {
        return true;
    }
    decoded = teasel__config_snapshot__unpack(NULL, length, snapshot);
    if (decoded == NULL) {
        return false;
    }
    loaded = config_new();
    loaded->next = covers_through + 1;
    valid = load_all(loaded, decoded);
    teasel__config_snapshot__free_unpacked(decoded, NULL);
    if (valid) {
        swap_states(config, loaded);
    }
    config_free(loaded);
    return valid;
}

config_t *
config_clone(const config_t *config)
{
    g_autoptr(GByteArray) bytes = config_encode(config);
    config_t *clone = config_new();

    config_load(clone, bytes->data, bytes->len, config->next - 1);
    return clone;
}
