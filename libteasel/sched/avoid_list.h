#ifndef TEASEL_SCHED_AVOID_LIST_H
#define TEASEL_SCHED_AVOID_LIST_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * The executors that failed, rejected or stalled runs of one task since a run
 * of it last outlived its start. The task prefers the others, and among these
 * the ones with the fewest such runs: with only the last one remembered, a
 * task would alternate between two of them. An empty list is NULL.
 */

typedef struct avoid_list avoid_list_t;

/**
 * avoid_list_add() - count a run on an executor
 * @executor: number of the executor
 */
void avoid_list_add(avoid_list_t **list, uint64_t executor);

/**
 * avoid_list_count() - return the number of runs that were counted for an
 * executor
 */
guint avoid_list_count(const avoid_list_t *list, uint64_t executor);

/**
 * avoid_list_has_other() - check whether runs were counted for other executors
 */
bool avoid_list_has_other(const avoid_list_t *list, uint64_t executor);

void avoid_list_clear(avoid_list_t **list);

#ifdef __cplusplus
}
#endif

#endif
