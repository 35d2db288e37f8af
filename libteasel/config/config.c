#include "config/config.h"

#include <string.h>

#include "config/config_state.h"

static int
compare_names(gconstpointer a, gconstpointer b, gpointer data)
{
    return strcmp(a, b);
}

static int
compare_numbers(gconstpointer a, gconstpointer b, gpointer data)
{
    uint64_t first = *(const uint64_t *)a;
    uint64_t second = *(const uint64_t *)b;

    return first < second ? -1 : first > second;
}

static void
object_free(gpointer data)
{
    config_object_t *object = data;

    g_free(object->name);
    g_free(object->body);
    g_free(object);
}

static void
ticket_entry_free(gpointer data)
{
    config_ticket_t *ticket = data;

    g_free(ticket->author);
    g_free(ticket);
}

static void
drain_free(gpointer data)
{
    config_drain_t *drain = data;

    g_free(drain->agent_id);
    g_free(drain->author);
    g_free(drain->reason);
    g_free(drain);
}

config_t *
config_new(void)
{
    config_t *config = g_new0(config_t, 1);

    config->next = 1;
    config->objects = g_tree_new_full(compare_names, NULL, NULL, object_free);
    config->tickets =
        g_tree_new_full(compare_numbers, NULL, NULL, ticket_entry_free);
    config->drains = g_tree_new_full(compare_names, NULL, NULL, drain_free);
    for (config_kind_t kind = 0; kind < CONFIG_KIND_COUNT; kind++) {
        config_object_get_defaults(kind, &config->defaults[kind]);
    }
    return config;
}

void
config_free(config_t *config)
{
    if (config == NULL) {
        return;
    }
    g_tree_unref(config->objects);
    g_tree_unref(config->tickets);
    g_tree_unref(config->drains);
    g_free(config);
}

void
config_put_object(config_t *config, const char *name, config_kind_t kind,
                  uint64_t ticket, const char *body,
                  const config_value_t *value)
{
    config_object_t *object = g_new0(config_object_t, 1);

    object->name = g_strdup(name);
    object->kind = kind;
    object->ticket = ticket;
    object->body = g_strdup(body);
    object->value = *value;
    object->value.head.ticket = ticket;
    g_tree_replace(config->objects, object->name, object);
}

typedef struct tombstone_scan {
    uint64_t floor;
    GPtrArray *names;
} tombstone_scan_t;

static gboolean
collect_old_tombstone(gpointer key, gpointer value, gpointer data)
{
    const config_object_t *object = value;
    tombstone_scan_t *scan = data;

    if (object->body == NULL && object->ticket < scan->floor) {
        g_ptr_array_add(scan->names, key);
    }
    return FALSE;
}

/* Tombstones below the floor are redundant: older tickets are refused by
   their number. */
static void
drop_old_tombstones(config_t *config)
{
    g_autoptr(GPtrArray) names = g_ptr_array_new();
    tombstone_scan_t scan = {config->floor, names};

    g_tree_foreach(config->objects, collect_old_tombstone, &scan);
    for (guint i = 0; i < names->len; i++) {
        g_tree_remove(config->objects, names->pdata[i]);
    }
}

void
config_put_ticket(config_t *config, uint64_t number, uint64_t hash,
                  bool accepted, const char *author, uint64_t offset)
{
    config_ticket_t *ticket = g_new0(config_ticket_t, 1);

    ticket->number = number;
    ticket->hash = hash;
    ticket->accepted = accepted;
    ticket->author = g_strdup(author);
    ticket->offset = offset;
    g_tree_replace(config->tickets, &ticket->number, ticket);
    if (g_tree_nnodes(config->tickets) <= CONFIG_MAX_TICKETS) {
        return;
    }
    ticket = g_tree_node_value(g_tree_node_first(config->tickets));
    g_tree_remove(config->tickets, &ticket->number);
    ticket = g_tree_node_value(g_tree_node_first(config->tickets));
    config->floor = ticket->number;
    drop_old_tombstones(config);
}

static gboolean
find_oldest_cleared(gpointer key, gpointer value, gpointer data)
{
    config_drain_t *drain = value;
    config_drain_t **oldest = data;

    if (!drain->on && (*oldest == NULL || drain->offset < (*oldest)->offset)) {
        *oldest = drain;
    }
    return FALSE;
}

void
config_put_drain(config_t *config, const char *agent_id, bool on,
                 uint64_t offset, const char *author, const char *reason)
{
    const config_drain_t *previous = g_tree_lookup(config->drains, agent_id);
    config_drain_t *drain = g_new0(config_drain_t, 1);
    config_drain_t *oldest = NULL;

    if (previous != NULL && !previous->on) {
        config->cleared_drains--;
    }
    drain->agent_id = g_strdup(agent_id);
    drain->on = on;
    drain->offset = offset;
    drain->author = g_strdup(author);
    drain->reason = g_strdup(reason);
    g_tree_replace(config->drains, drain->agent_id, drain);
    if (on || ++config->cleared_drains <= CONFIG_MAX_CLEARED_DRAINS) {
        return;
    }
    g_tree_foreach(config->drains, find_oldest_cleared, &oldest);
    config->drain_floor = MAX(config->drain_floor, oldest->offset);
    config->cleared_drains--;
    g_tree_remove(config->drains, oldest->agent_id);
}

uint64_t
config_get_next_offset(const config_t *config)
{
    return config->next;
}

uint64_t
config_get_ticket_floor(const config_t *config)
{
    return config->floor;
}

const config_object_t *
config_find_object(const config_t *config, const char *name)
{
    const config_object_t *object = g_tree_lookup(config->objects, name);

    return object != NULL && object->body != NULL ? object : NULL;
}

const config_value_t *
config_get_value(const config_t *config, config_kind_t kind, const char *name)
{
    g_autofree char *full =
        g_strconcat(config_object_get_prefix(kind), name, NULL);
    const config_object_t *object = config_find_object(config, full);

    return object != NULL ? &object->value : &config->defaults[kind];
}

const config_ticket_t *
config_find_ticket(const config_t *config, uint64_t number)
{
    return g_tree_lookup(config->tickets, &number);
}

const config_ticket_t *
config_find_newest_ticket(const config_t *config, uint64_t next)
{
    const config_ticket_t *newest = NULL;

    for (GTreeNode *node = g_tree_node_first(config->tickets); node != NULL;
         node = g_tree_node_next(node)) {
        const config_ticket_t *ticket = g_tree_node_value(node);

        if (ticket->accepted && ticket->offset < next &&
            (newest == NULL || ticket->offset > newest->offset)) {
            newest = ticket;
        }
    }
    return newest;
}

const config_drain_t *
config_find_drain(const config_t *config, const char *agent_id)
{
    const config_drain_t *drain = g_tree_lookup(config->drains, agent_id);

    return drain != NULL && drain->on ? drain : NULL;
}

void
config_foreach_object(const config_t *config, config_object_fn fn, void *data)
{
    for (GTreeNode *node = g_tree_node_first(config->objects); node != NULL;
         node = g_tree_node_next(node)) {
        const config_object_t *object = g_tree_node_value(node);

        if (object->body != NULL) {
            fn(object, data);
        }
    }
}

void
config_foreach_drain(const config_t *config, config_drain_fn fn, void *data)
{
    for (GTreeNode *node = g_tree_node_first(config->drains); node != NULL;
         node = g_tree_node_next(node)) {
        const config_drain_t *drain = g_tree_node_value(node);

        if (drain->on) {
            fn(drain, data);
        }
    }
}
