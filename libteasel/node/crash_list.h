#ifndef TEASEL_NODE_CRASH_LIST_H
#define TEASEL_NODE_CRASH_LIST_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "wire/sched.pb-c.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Runs that had just started on an executor when it crashed, to be reported to
 * the leader. They are kept for some time and reported again on a new
 * connection, as a report may be lost with a connection. The leader counts
 * each run once.
 */

typedef struct crash_list crash_list_t;

crash_list_t *crash_list_new(void);
void crash_list_free(crash_list_t *list);

/**
 * crash_list_add() - add a copy of a run
 */
void crash_list_add(crash_list_t *list, const Teasel__CrashedRun *run,
                    int64_t now_ms);

/**
 * crash_list_get_unsent() - return the entries that were not reported on the
 * present connection
 * @count: receives the number of entries
 *
 * Return: the entries, valid until the list changes.
 */
Teasel__CrashedRun **crash_list_get_unsent(crash_list_t *list, size_t *count);

/**
 * crash_list_mark_sent() - record that all entries were reported, and drop
 * those that have been kept long enough
 */
void crash_list_mark_sent(crash_list_t *list, int64_t now_ms);

/**
 * crash_list_resend() - report all entries again
 */
void crash_list_resend(crash_list_t *list);

#ifdef __cplusplus
}
#endif

#endif
