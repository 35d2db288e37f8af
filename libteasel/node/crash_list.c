#include "node/crash_list.h"

enum {
    /* Longer than an agent usually needs to find a new leader. */
    KEEP_MS = 20000,
};

typedef struct crash {
    Teasel__CrashedRun run;
    int64_t added_ms;
} crash_t;

struct crash_list {
    GPtrArray *crashes; /* crash_t, oldest first; the message comes first */
    guint sent;
};

static void
free_crash(void *data)
{
    crash_t *crash = data;

    g_free(crash->run.task);
    g_free(crash);
}

crash_list_t *
crash_list_new(void)
{
    crash_list_t *list = g_new0(crash_list_t, 1);

    list->crashes = g_ptr_array_new_with_free_func(free_crash);
    return list;
}

void
crash_list_free(crash_list_t *list)
{
    g_ptr_array_unref(list->crashes);
    g_free(list);
}

void
crash_list_add(crash_list_t *list, const Teasel__CrashedRun *run,
               int64_t now_ms)
{
    crash_t *crash = g_new0(crash_t, 1);

    crash->run = *run;
    crash->run.task = g_strdup(run->task);
    crash->added_ms = now_ms;
    g_ptr_array_add(list->crashes, crash);
}

Teasel__CrashedRun **
crash_list_get_unsent(crash_list_t *list, size_t *count)
{
    *count = list->crashes->len - list->sent;
    return (Teasel__CrashedRun **)list->crashes->pdata + list->sent;
}

void
crash_list_mark_sent(crash_list_t *list, int64_t now_ms)
{
    guint expired = 0;

    while (expired < list->crashes->len) {
        const crash_t *crash = g_ptr_array_index(list->crashes, expired);

        if (now_ms - crash->added_ms <= KEEP_MS) {
            break;
        }
        expired++;
    }
    if (expired > 0) {
        g_ptr_array_remove_range(list->crashes, 0, expired);
    }
    list->sent = list->crashes->len;
}

void
crash_list_resend(crash_list_t *list)
{
    list->sent = 0;
}
