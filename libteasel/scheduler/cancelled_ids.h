#ifndef TEASEL_SCHEDULER_CANCELLED_IDS_H
#define TEASEL_SCHEDULER_CANCELLED_IDS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Ids of unknown jobs that callers have cancelled. The submission of such a
 * job may still arrive, as it was kept while there was no leader, or delayed
 * by the network. They are remembered for longer than that takes.
 */

typedef struct cancelled_ids cancelled_ids_t;

cancelled_ids_t *cancelled_ids_new(void);
void cancelled_ids_free(cancelled_ids_t *ids);

/**
 * cancelled_ids_add() - remember an id
 *
 * Return: false if too many are remembered.
 */
bool cancelled_ids_add(cancelled_ids_t *ids, const char *id, int64_t now_ms);

/**
 * cancelled_ids_contains() - check whether an id was cancelled recently
 */
bool cancelled_ids_contains(const cancelled_ids_t *ids, const char *id,
                            int64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
