#include "sched/avoid_list.h"

enum {
    /* Bounds the memory of a task that fails everywhere. */
    MAX_EXECUTORS = 64,
};

typedef struct avoided {
    uint64_t executor;
    guint runs;
} avoided_t;

/* Least recently added first. */
struct avoid_list {
    GArray *avoided; /* avoided_t */
};

static avoided_t *
find(const avoid_list_t *list, uint64_t executor)
{
    for (guint i = 0; list != NULL && i < list->avoided->len; i++) {
        avoided_t *avoided = &g_array_index(list->avoided, avoided_t, i);

        if (avoided->executor == executor) {
            return avoided;
        }
    }
    return NULL;
}

void
avoid_list_add(avoid_list_t **list, uint64_t executor)
{
    avoided_t *found = find(*list, executor);
    avoided_t added = {.executor = executor, .runs = 1};

    if (found != NULL) {
        found->runs++;
        return;
    }
    if (*list == NULL) {
        *list = g_new(avoid_list_t, 1);
        (*list)->avoided = g_array_new(FALSE, FALSE, sizeof(avoided_t));
    }
    if ((*list)->avoided->len >= MAX_EXECUTORS) {
        g_array_remove_index((*list)->avoided, 0);
    }
    g_array_append_val((*list)->avoided, added);
}

guint
avoid_list_count(const avoid_list_t *list, uint64_t executor)
{
    const avoided_t *found = find(list, executor);

    return found != NULL ? found->runs : 0;
}

bool
avoid_list_has_other(const avoid_list_t *list, uint64_t executor)
{
    guint own = find(list, executor) != NULL;

    return list != NULL && list->avoided->len > own;
}

void
avoid_list_clear(avoid_list_t **list)
{
    if (*list != NULL) {
        g_array_unref((*list)->avoided);
        g_clear_pointer(list, g_free);
    }
}
