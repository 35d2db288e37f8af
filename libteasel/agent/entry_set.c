#include "agent/entry_set.h"

#include <string.h>

#include "base/list.h"
#include "base/settings.h"

typedef struct entry {
    list_t link;
    agent_link_t *connection;
    bool seed;
    struct timespec last_seen; /* connected at this check, or added */
} entry_t;

struct entry_set {
    entry_set_opts_t opts;
    list_t entries;
};

static entry_t *
find_entry(const entry_set_t *set, const char *address)
{
    LIST_FOREACH (entry, &set->entries, entry_t, link) {
        if (strcmp(agent_link_get_address(entry->connection), address) == 0) {
            return entry;
        }
    }
    return NULL;
}

static void
add(entry_set_t *set, const char *address, bool seed)
{
    entry_t *entry;

    if (!address_parse(address, NULL, NULL, NULL) ||
        find_entry(set, address) != NULL) {
        return;
    }
    entry = g_new0(entry_t, 1);
    entry->seed = seed;
    entry->last_seen = clock_get_monotonic(set->opts.link.clock);
    entry->connection = agent_link_new(&set->opts.link, address);
    list_append(&set->entries, &entry->link);
}

entry_set_t *
entry_set_new(const entry_set_opts_t *opts)
{
    entry_set_t *set = g_new0(entry_set_t, 1);

    set->opts = *opts;
    list_init(&set->entries);
    for (char **seed = opts->seeds; *seed != NULL; seed++) {
        add(set, *seed, true);
    }
    return set;
}

static void
entry_free(entry_t *entry)
{
    list_remove(&entry->link);
    agent_link_free(entry->connection);
    g_free(entry);
}

void
entry_set_free(entry_set_t *set)
{
    if (set == NULL) {
        return;
    }
    LIST_FOREACH_SAFE (entry, &set->entries, entry_t, link) {
        entry_free(entry);
    }
    g_free(set);
}

void
entry_set_add(entry_set_t *set, const char *address)
{
    add(set, address, false);
}

void
entry_set_send(entry_set_t *set, const Teasel__Envelope *message)
{
    LIST_FOREACH (entry, &set->entries, entry_t, link) {
        agent_link_send(entry->connection, message);
    }
}

void
entry_set_prune(entry_set_t *set)
{
    struct timespec now = clock_get_monotonic(set->opts.link.clock);

    LIST_FOREACH_SAFE (entry, &set->entries, entry_t, link) {
        if (agent_link_is_open(entry->connection)) {
            entry->last_seen = now;
        }
        else if (!entry->seed && timespec_diff_ms(now, entry->last_seen) >
                                     (int64_t)set->opts.retention_ms) {
            set->opts.link.handler->on_disconnect(
                entry->connection, "forgotten", set->opts.link.data);
            entry_free(entry);
        }
    }
}

void
entry_set_reset(entry_set_t *set, const char *reason)
{
    LIST_FOREACH (entry, &set->entries, entry_t, link) {
        agent_link_reset(entry->connection, reason);
    }
}

size_t
entry_set_get_connected(const entry_set_t *set)
{
    size_t count = 0;

    LIST_FOREACH (entry, &set->entries, entry_t, link) {
        count += agent_link_is_open(entry->connection);
    }
    return count;
}

uint64_t
entry_set_get_bytes(const entry_set_t *set)
{
    uint64_t bytes = 0;

    LIST_FOREACH (entry, &set->entries, entry_t, link) {
        bytes += agent_link_get_bytes(entry->connection);
    }
    return bytes;
}
