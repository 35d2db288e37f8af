#include "entry/directory.h"

#include <string.h>

#include "base/events.h"
#include "base/settings.h"

/* A leaving entry is kept until it expires but not listed, so that an
   announcement that it sent earlier and that arrives late does not list it
   again. */
typedef struct remote_entry {
    char *address;
    char *entry_id;       /* NULL until the entry announces itself */
    char *http_address;   /* as entry_id */
    char *data_centre;    /* as entry_id */
    uint64_t incarnation; /* 0 until the entry announces itself */
    bool leaving;
    struct timespec announced;
} remote_entry_t;

struct directory {
    directory_opts_t opts;
    char *own_address;
    bool self_unlisted;
    GHashTable *entries; /* address -> remote_entry_t */
};

static void
remote_entry_free(void *data)
{
    remote_entry_t *entry = data;

    g_free(entry->address);
    g_free(entry->entry_id);
    g_free(entry->http_address);
    g_free(entry->data_centre);
    g_free(entry);
}

directory_t *
directory_new(const directory_opts_t *opts)
{
    directory_t *directory = g_new0(directory_t, 1);

    directory->opts = *opts;
    directory->own_address = g_strdup(opts->own_address);
    directory->entries = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
                                               remote_entry_free);
    return directory;
}

void
directory_free(directory_t *directory)
{
    if (directory == NULL) {
        return;
    }
    g_hash_table_unref(directory->entries);
    g_free(directory->own_address);
    g_free(directory);
}

static remote_entry_t *
get_or_add(directory_t *directory, const char *address, bool *added)
{
    remote_entry_t *entry = g_hash_table_lookup(directory->entries, address);

    *added = entry == NULL;
    if (entry == NULL) {
        entry = g_new0(remote_entry_t, 1);
        entry->address = g_strdup(address);
        g_hash_table_insert(directory->entries, entry->address, entry);
        event_log(EVENT_ENTRY_KNOWN, "address=%s", address);
    }
    entry->announced = clock_get_monotonic(directory->opts.clock);
    return entry;
}

static bool
is_other_entry(const directory_t *directory, const char *address)
{
    return strcmp(address, directory->own_address) != 0 &&
           address_parse(address, NULL, NULL, NULL);
}

static void
set_text(char **field, const char *text)
{
    g_free(*field);
    *field = g_strdup(text);
}

bool
directory_handle_announce(directory_t *directory,
                          const Teasel__EntryAnnounce *announce)
{
    remote_entry_t *entry;
    bool added;
    bool was_leaving;

    if (!is_other_entry(directory, announce->peer_address)) {
        return false;
    }
    entry = g_hash_table_lookup(directory->entries, announce->peer_address);
    if (entry != NULL && announce->incarnation < entry->incarnation) {
        return false;
    }
    if (entry != NULL && announce->incarnation == entry->incarnation &&
        entry->leaving) {
        return false;
    }
    entry = get_or_add(directory, announce->peer_address, &added);
    was_leaving = entry->leaving;
    entry->incarnation = announce->incarnation;
    entry->leaving = announce->leaving;
    set_text(&entry->entry_id, announce->entry_id);
    set_text(&entry->http_address, announce->http_address);
    set_text(&entry->data_centre, announce->data_centre);
    return added ? !entry->leaving : was_leaving != entry->leaving;
}

bool
directory_add_address(directory_t *directory, const char *address)
{
    remote_entry_t *entry = g_hash_table_lookup(directory->entries, address);
    bool added = false;

    if (is_other_entry(directory, address) &&
        (entry == NULL || entry->incarnation == 0)) {
        get_or_add(directory, address, &added);
    }
    return added;
}

bool
directory_expire(directory_t *directory)
{
    struct timespec now = clock_get_monotonic(directory->opts.clock);
    GHashTableIter iter;
    void *value;
    bool changed = false;

    g_hash_table_iter_init(&iter, directory->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        remote_entry_t *entry = value;

        if (timespec_diff_ms(now, entry->announced) >=
            (int64_t)directory->opts.expiry_ms) {
            event_log(EVENT_ENTRY_FORGOTTEN, "address=%s", entry->address);
            changed = changed || !entry->leaving;
            g_hash_table_iter_remove(&iter);
        }
    }
    return changed;
}

void
directory_unlist_self(directory_t *directory)
{
    directory->self_unlisted = true;
}

char **
directory_list(const directory_t *directory, directory_scope_t scope)
{
    GPtrArray *list = g_ptr_array_new();
    GHashTableIter iter;
    void *value;

    if (!directory->self_unlisted) {
        g_ptr_array_add(list, g_strdup(directory->own_address));
    }
    g_hash_table_iter_init(&iter, directory->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        remote_entry_t *entry = value;

        if (!entry->leaving &&
            (scope == DIRECTORY_ALL || entry->incarnation != 0)) {
            g_ptr_array_add(list, g_strdup(entry->address));
        }
    }
    g_ptr_array_add(list, NULL);
    return (char **)g_ptr_array_free(list, FALSE);
}

void
directory_each_announced(const directory_t *directory, directory_entry_fn fn,
                         void *data)
{
    GHashTableIter iter;
    void *value;

    g_hash_table_iter_init(&iter, directory->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const remote_entry_t *entry = value;

        if (!entry->leaving && entry->entry_id != NULL) {
            fn(entry->entry_id, entry->http_address, entry->data_centre, data);
        }
    }
}
