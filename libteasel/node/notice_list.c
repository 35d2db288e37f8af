#include "node/notice_list.h"

/* The notices, and the time at which each was added, oldest first. */
struct notice_list {
    int64_t keep_ms;
    GPtrArray *notices;
    GArray *added_ms; /* int64_t */
    guint sent;
};

notice_list_t *
notice_list_new(int64_t keep_ms, GDestroyNotify free_notice)
{
    notice_list_t *list = g_new0(notice_list_t, 1);

    list->keep_ms = keep_ms;
    list->notices = g_ptr_array_new_with_free_func(free_notice);
    list->added_ms = g_array_new(FALSE, FALSE, sizeof(int64_t));
    return list;
}

void
notice_list_free(notice_list_t *list)
{
    g_ptr_array_unref(list->notices);
    g_array_unref(list->added_ms);
    g_free(list);
}

void
notice_list_add(notice_list_t *list, void *notice, int64_t now_ms)
{
    g_ptr_array_add(list->notices, notice);
    g_array_append_val(list->added_ms, now_ms);
}

static void
remove_at(notice_list_t *list, guint index)
{
    g_ptr_array_remove_index(list->notices, index);
    g_array_remove_index(list->added_ms, index);
    list->sent -= index < list->sent;
}

void
notice_list_remove(notice_list_t *list, GEqualFunc equal, const void *value)
{
    for (guint i = list->notices->len; i > 0; i--) {
        if (equal(g_ptr_array_index(list->notices, i - 1), value)) {
            remove_at(list, i - 1);
        }
    }
}

void **
notice_list_get_unsent(const notice_list_t *list, size_t *count)
{
    *count = list->notices->len - list->sent;
    return list->notices->pdata + list->sent;
}

void
notice_list_mark_sent(notice_list_t *list, int64_t now_ms)
{
    while (list->notices->len > 0 &&
           now_ms - g_array_index(list->added_ms, int64_t, 0) >
               list->keep_ms) {
        remove_at(list, 0);
    }
    list->sent = list->notices->len;
}

void
notice_list_resend(notice_list_t *list)
{
    list->sent = 0;
}
