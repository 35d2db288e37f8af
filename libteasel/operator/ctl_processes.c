#include "operator/ctl_processes.h"

#include <string.h>

#include "operator/ctl_http.h"

enum {
    POLL_TIMEOUT_MS = 1500, /* limits the delay caused by a frozen entry */
};

/**
 * struct process - an entry or an agent
 * @config_next: highest config offset reported so far
 * @reached: the entry responded, or the agent was connected, in the last poll
 */
typedef struct process {
    char *id;
    bool is_entry;
    char *address;
    char *data_centre;
    uint64_t config_next;
    bool reached;
} process_t;

struct ctl_processes {
    GTree *processes;    /* "KIND ID" -> process_t */
    GHashTable *entries; /* address -> entry id, or "" if not known yet */
    struct json_object *config; /* newest /admin/config response */
    uint64_t config_next;       /* config offset of @config */
};

static void
process_free(gpointer data)
{
    process_t *process = data;

    g_free(process->id);
    g_free(process->address);
    g_free(process->data_centre);
    g_free(process);
}

/* Compares numbers by value: agent-2 sorts before agent-10. */
static int
compare_keys(gconstpointer a, gconstpointer b, gpointer data)
{
    return strverscmp(a, b);
}

ctl_processes_t *
ctl_processes_new(void)
{
    ctl_processes_t *processes = g_new0(ctl_processes_t, 1);

    processes->processes =
        g_tree_new_full(compare_keys, NULL, g_free, process_free);
    processes->entries =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return processes;
}

void
ctl_processes_free(ctl_processes_t *processes)
{
    if (processes == NULL) {
        return;
    }
    g_tree_unref(processes->processes);
    g_hash_table_unref(processes->entries);
    json_object_put(processes->config);
    g_free(processes);
}

static process_t *
get_process(ctl_processes_t *processes, bool is_entry, const char *id)
{
    /* Entries sort before agents. */
    g_autofree char *key = g_strdup_printf("%d %s", is_entry ? 0 : 1, id);
    process_t *process = g_tree_lookup(processes->processes, key);

    if (process == NULL) {
        process = g_new0(process_t, 1);
        process->id = g_strdup(id);
        process->is_entry = is_entry;
        g_tree_insert(processes->processes, g_steal_pointer(&key), process);
    }
    return process;
}

static void
update_process(process_t *process, struct json_object *report)
{
    uint64_t next = ctl_json_get_number(report, "config_next");

    process->config_next = MAX(process->config_next, next);
    g_free(process->data_centre);
    process->data_centre =
        g_strdup(ctl_json_get_string(report, "data_centre"));
}

static void
update_member(ctl_processes_t *processes, struct json_object *member)
{
    const char *id = ctl_json_get_string(member, "agent_id");
    process_t *process = get_process(processes, false, id);

    update_process(process, member);
    process->reached =
        process->reached || ctl_json_get_flag(member, "connected");
}

static void
update_members(ctl_processes_t *processes, const ctl_fetch_t *fetch)
{
    struct json_object *answer = json_tokener_parse(fetch->text);
    struct json_object *list = ctl_json_get(answer, "members");
    size_t count = json_object_is_type(list, json_type_array)
                       ? json_object_array_length(list)
                       : 0;

    for (size_t i = 0; i < count; i++) {
        update_member(processes, json_object_array_get_idx(list, i));
    }
    json_object_put(answer);
}

static void
add_reported_entries(ctl_processes_t *processes, struct json_object *config)
{
    struct json_object *list = ctl_json_get(config, "entries");
    size_t count = json_object_is_type(list, json_type_array)
                       ? json_object_array_length(list)
                       : 0;

    for (size_t i = 0; i < count; i++) {
        struct json_object *entry = json_object_array_get_idx(list, i);
        const char *address = ctl_json_get_string(entry, "http_address");

        const char *known = g_hash_table_lookup(processes->entries, address);

        if (address[0] != '\0' && (known == NULL || known[0] == '\0')) {
            g_hash_table_insert(
                processes->entries, g_strdup(address),
                g_strdup(ctl_json_get_string(entry, "entry_id")));
        }
    }
}

static void
update_entry(ctl_processes_t *processes, const ctl_fetch_t *fetch)
{
    struct json_object *config = json_tokener_parse(fetch->text);
    const char *id = ctl_json_get_string(config, "entry_id");
    process_t *process = get_process(processes, true, id);

    update_process(process, config);
    process->reached = true;
    g_free(process->address);
    process->address = g_strdup(fetch->address);
    g_hash_table_insert(processes->entries, g_strdup(fetch->address),
                        g_strdup(id));
    add_reported_entries(processes, config);
    if (processes->config == NULL ||
        process->config_next > processes->config_next) {
        json_object_put(processes->config);
        processes->config = config;
        processes->config_next = process->config_next;
        return;
    }
    json_object_put(config);
}

/* An entry that has never responded, and that no other entry reports, is
   listed under its address. */
static void
add_unreachable_entry(ctl_processes_t *processes, const ctl_fetch_t *fetch)
{
    const char *id = g_hash_table_lookup(processes->entries, fetch->address);

    get_process(processes, true, id[0] != '\0' ? id : fetch->address);
}

/* @fetches: requests for /admin/config and /admin/members, in this order */
static bool
has_responses(const ctl_fetch_t *fetches)
{
    return fetches[0].ok && fetches[0].status == 200 && fetches[1].ok &&
           fetches[1].status == 200;
}

static guint
poll_entries(ctl_t *ctl, ctl_processes_t *processes, char **addresses,
             guint count)
{
    g_autofree ctl_fetch_t *fetches = g_new0(ctl_fetch_t, 2 * (gsize)count);
    guint answered = 0;

    for (guint i = 0; i < count; i++) {
        fetches[2 * i] = (ctl_fetch_t){.address = addresses[i],
                                       .method = "GET",
                                       .target = "/admin/config"};
        fetches[2 * i + 1] = (ctl_fetch_t){.address = addresses[i],
                                           .method = "GET",
                                           .target = "/admin/members"};
    }
    ctl_fetch_all(ctl, fetches, 2 * (size_t)count,
                  MIN(POLL_TIMEOUT_MS, ctl->settings.timeout_ms));
    for (guint i = 0; i < count; i++) {
        if (has_responses(&fetches[2 * i])) {
            update_entry(processes, &fetches[2 * i]);
            update_members(processes, &fetches[2 * i + 1]);
            answered++;
        }
    }
    /* Runs after the loop above because the responses may contain the ids of
       the unreachable entries. */
    for (guint i = 0; i < count; i++) {
        if (!has_responses(&fetches[2 * i])) {
            add_unreachable_entry(processes, &fetches[2 * i]);
        }
        ctl_fetch_clear(&fetches[2 * i]);
        ctl_fetch_clear(&fetches[2 * i + 1]);
    }
    return answered;
}

static gboolean
clear_reached(gpointer key, gpointer value, gpointer data)
{
    ((process_t *)value)->reached = false;
    return FALSE;
}

/* Returns the addresses that were not yet polled and adds them to @polled. */
static GPtrArray *
collect_unpolled(const ctl_processes_t *processes, GHashTable *polled)
{
    GPtrArray *addresses = g_ptr_array_new_with_free_func(g_free);
    GHashTableIter iter;
    gpointer address;

    g_hash_table_iter_init(&iter, processes->entries);
    while (g_hash_table_iter_next(&iter, &address, NULL)) {
        if (g_hash_table_add(polled, g_strdup(address))) {
            g_ptr_array_add(addresses, g_strdup(address));
        }
    }
    return addresses;
}

bool
ctl_processes_poll(ctl_t *ctl, ctl_processes_t *processes)
{
    g_autoptr(GHashTable) polled =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    guint answered = 0;

    g_tree_foreach(processes->processes, clear_reached, NULL);
    for (char **entry = ctl->settings.entries; *entry != NULL; entry++) {
        if (!g_hash_table_contains(processes->entries, *entry)) {
            g_hash_table_insert(processes->entries, g_strdup(*entry),
                                g_strdup(""));
        }
    }
    for (;;) {
        g_autoptr(GPtrArray) addresses = collect_unpolled(processes, polled);

        if (addresses->len == 0) {
            return answered > 0;
        }
        answered += poll_entries(ctl, processes, (char **)addresses->pdata,
                                 addresses->len);
    }
}

static gboolean
find_max_next(gpointer key, gpointer value, gpointer data)
{
    uint64_t *next = data;

    *next = MAX(*next, ((const process_t *)value)->config_next);
    return FALSE;
}

uint64_t
ctl_processes_get_max_next(const ctl_processes_t *processes)
{
    uint64_t next = 1;

    g_tree_foreach(processes->processes, find_max_next, &next);
    return next;
}

guint
ctl_processes_count_lagging(const ctl_processes_t *processes, uint64_t next)
{
    guint lagging = 0;

    for (GTreeNode *node = g_tree_node_first(processes->processes);
         node != NULL; node = g_tree_node_next(node)) {
        const process_t *process = g_tree_node_value(node);

        lagging += process->config_next < next;
    }
    return lagging;
}

static const char *
describe_state(const process_t *process, uint64_t next)
{
    if (process->config_next == 0) {
        return "not reachable";
    }
    if (process->config_next >= next) {
        return process->reached ? "in force" : "in force, not reachable";
    }
    return process->reached ? "lagging" : "lagging, not reachable";
}

static struct json_object *
process_to_json(const process_t *process, const config_t *config,
                uint64_t next)
{
    struct json_object *item = json_object_new_object();
    const config_ticket_t *ticket =
        config != NULL
            ? config_find_newest_ticket(config, process->config_next)
            : NULL;

    ctl_json_add_string(item, "process",
                        process->is_entry ? "entry" : "agent");
    ctl_json_add_string(item, "id", process->id);
    ctl_json_add_string(item, "data_centre", process->data_centre);
    ctl_json_add_number(item, "config_next", process->config_next);
    ctl_json_add_number(
        item, "lag",
        next > process->config_next ? next - process->config_next : 0);
    ctl_json_add_number(item, "ticket", ticket != NULL ? ticket->number : 0);
    ctl_json_add_string(item, "state", describe_state(process, next));
    return item;
}

struct json_object *
ctl_processes_to_json(const ctl_processes_t *processes, const config_t *config,
                      uint64_t next)
{
    struct json_object *list = json_object_new_array();

    for (GTreeNode *node = g_tree_node_first(processes->processes);
         node != NULL; node = g_tree_node_next(node)) {
        json_object_array_add(
            list, process_to_json(g_tree_node_value(node), config, next));
    }
    return list;
}

struct json_object *
ctl_processes_get_config(const ctl_processes_t *processes)
{
    return processes->config;
}
