#include "sched/evacuation.h"

#include <string.h>

/**
 * struct entry - an evacuated data centre
 * @begun: offset of the record that began the evacuation
 * @newest: offset of the newest record of it
 * @listed: the listing in progress contains it
 */
typedef struct entry {
    char *data_centre;
    uint64_t begun;
    uint64_t newest;
    bool listed;
} entry_t;

/* There are few data centres, so that a search by name takes little time. */
struct evacuation {
    GPtrArray *entries;
    bool known;
};

static void
free_entry(void *data)
{
    entry_t *entry = data;

    g_free(entry->data_centre);
    g_free(entry);
}

evacuation_t *
evacuation_new(void)
{
    evacuation_t *evacuation = g_new0(evacuation_t, 1);

    evacuation->entries = g_ptr_array_new_with_free_func(free_entry);
    return evacuation;
}

void
evacuation_free(evacuation_t *evacuation)
{
    if (evacuation == NULL) {
        return;
    }
    g_ptr_array_unref(evacuation->entries);
    g_free(evacuation);
}

static entry_t *
get_entry(const evacuation_t *evacuation, guint index)
{
    return g_ptr_array_index(evacuation->entries, index);
}

static entry_t *
find_entry(const evacuation_t *evacuation, const char *data_centre)
{
    for (guint i = 0; i < evacuation->entries->len; i++) {
        entry_t *entry = get_entry(evacuation, i);

        if (strcmp(entry->data_centre, data_centre) == 0) {
            return entry;
        }
    }
    return NULL;
}

static void
add_entry(evacuation_t *evacuation, const char *data_centre, uint64_t offset,
          bool listed)
{
    entry_t *entry = g_new0(entry_t, 1);

    entry->data_centre = g_strdup(data_centre);
    entry->begun = offset;
    entry->newest = offset;
    entry->listed = listed;
    g_ptr_array_add(evacuation->entries, entry);
}

evacuation_change_t
evacuation_begin(evacuation_t *evacuation, const char *data_centre,
                 uint64_t offset, bool listed)
{
    entry_t *entry = find_entry(evacuation, data_centre);

    if (entry == NULL) {
        add_entry(evacuation, data_centre, offset, listed);
        return EVACUATION_BEGUN;
    }
    entry->listed |= listed;
    if (offset <= entry->newest) {
        return EVACUATION_UNCHANGED;
    }
    entry->newest = offset;
    /* The evacuation may have ended and begun again before the listing. */
    return listed ? EVACUATION_UNCHANGED : EVACUATION_REPEATED;
}

/* Reads begin where the first page of a listing ended, so that they may
   deliver records that are older than those of later pages. */
evacuation_change_t
evacuation_end(evacuation_t *evacuation, const char *data_centre,
               uint64_t offset)
{
    entry_t *entry = find_entry(evacuation, data_centre);

    if (entry == NULL || offset <= entry->newest) {
        return EVACUATION_UNCHANGED;
    }
    g_ptr_array_remove(evacuation->entries, entry);
    return EVACUATION_ENDED;
}

void
evacuation_keep(evacuation_t *evacuation, const char *data_centre)
{
    entry_t *entry = find_entry(evacuation, data_centre);

    if (entry != NULL) {
        entry->listed = true;
    }
}

GPtrArray *
evacuation_finish_listing(evacuation_t *evacuation)
{
    GPtrArray *ended = g_ptr_array_new_with_free_func(g_free);

    for (guint i = evacuation->entries->len; i > 0; i--) {
        entry_t *entry = get_entry(evacuation, i - 1);

        if (entry->listed) {
            entry->listed = false;
            continue;
        }
        g_ptr_array_add(ended, g_strdup(entry->data_centre));
        g_ptr_array_remove_index(evacuation->entries, i - 1);
    }
    evacuation->known = true;
    return ended;
}

bool
evacuation_is_known(const evacuation_t *evacuation)
{
    return evacuation == NULL || evacuation->known;
}

bool
evacuation_covers(const evacuation_t *evacuation, const char *data_centre)
{
    return evacuation_count(evacuation) > 0 && data_centre != NULL &&
           find_entry(evacuation, data_centre) != NULL;
}

guint
evacuation_count(const evacuation_t *evacuation)
{
    return evacuation != NULL ? evacuation->entries->len : 0;
}

const char *
evacuation_get_name(const evacuation_t *evacuation, guint index)
{
    return get_entry(evacuation, index)->data_centre;
}

uint64_t
evacuation_get_offset(const evacuation_t *evacuation, guint index)
{
    return get_entry(evacuation, index)->begun;
}
