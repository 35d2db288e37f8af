#ifndef TEASEL_NODE_NOTICE_LIST_H
#define TEASEL_NODE_NOTICE_LIST_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Notices to the leader that stand in one report each. They are kept for some
 * time and reported again whenever the leader needs complete lists: a report
 * may be lost with its connection, or reach a leader that is still loading or
 * that ends before it has stored the effect. The leader takes a repeated
 * notice for the first one.
 */

typedef struct notice_list notice_list_t;

/**
 * notice_list_new() - create an empty list
 * @keep_ms: how long a notice is kept
 * @free_notice: frees a notice
 */
notice_list_t *notice_list_new(int64_t keep_ms, GDestroyNotify free_notice);
void notice_list_free(notice_list_t *list);

/**
 * notice_list_add() - add a notice, of which the list takes ownership
 */
void notice_list_add(notice_list_t *list, void *notice, int64_t now_ms);

/**
 * notice_list_remove() - drop the notices that are no longer true
 * @equal: called with a notice and @value
 */
void notice_list_remove(notice_list_t *list, GEqualFunc equal,
                        const void *value);

/**
 * notice_list_get_unsent() - return the notices to be reported
 * @count: receives the number of notices
 *
 * Return: the notices, valid until the list changes.
 */
void **notice_list_get_unsent(const notice_list_t *list, size_t *count);

/**
 * notice_list_mark_sent() - record that all notices were reported, and drop
 * those that have been kept long enough
 */
void notice_list_mark_sent(notice_list_t *list, int64_t now_ms);

/**
 * notice_list_resend() - report all notices again
 */
void notice_list_resend(notice_list_t *list);

#ifdef __cplusplus
}
#endif

#endif
