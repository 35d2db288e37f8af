#ifndef TEASEL_SCHEDULER_CANCELLED_IDS_H
#define TEASEL_SCHEDULER_CANCELLED_IDS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "store/store.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Ids of unknown jobs that callers have cancelled. The submission of such a
 * job may still arrive: another scheduler kept it while there was no leader or
 * stood still, or the network delayed it. Each id is a record in the store, so
 * that later leaders refuse the submission too.
 */

typedef struct cancelled_ids cancelled_ids_t;

/* Begins the keys of these records; no job has such an id. */
#define CANCELLED_KEY_PREFIX "@cancelled/"

/**
 * cancelled_ids_new() - create an empty set
 * @retain_ms: an id is removed after this time
 */
cancelled_ids_t *cancelled_ids_new(int64_t retain_ms);
void cancelled_ids_free(cancelled_ids_t *ids);

/**
 * cancelled_ids_add() - add an id, or retain it from now on if it is present
 * @now_ms: wall clock
 *
 * Return: false if there are too many.
 */
bool cancelled_ids_add(cancelled_ids_t *ids, const char *id, int64_t now_ms);

/**
 * cancelled_ids_load() - add the id of a stored record
 *
 * Return: false if the record is malformed.
 */
bool cancelled_ids_load(cancelled_ids_t *ids, const store_record_t *record);

bool cancelled_ids_contains(const cancelled_ids_t *ids, const char *id);

/**
 * cancelled_ids_is_stored() - check whether an id is present and all that was
 * added for it is stored
 */
bool cancelled_ids_is_stored(const cancelled_ids_t *ids, const char *id);

/**
 * cancelled_ids_take_changes() - begin a write of changed records, and of the
 * removal of those that were retained for long enough
 * @now_ms: wall clock
 * @changes: sched_change_t elements are appended
 *
 * Only one write may be pending, until cancelled_ids_commit() is called.
 */
void cancelled_ids_take_changes(cancelled_ids_t *ids, int64_t now_ms,
                                GPtrArray *changes);

/**
 * cancelled_ids_commit() - complete the pending write after its records are
 * stored
 */
void cancelled_ids_commit(cancelled_ids_t *ids);

#ifdef __cplusplus
}
#endif

#endif
