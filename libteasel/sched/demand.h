#ifndef TEASEL_SCHED_DEMAND_H
#define TEASEL_SCHED_DEMAND_H

#include <glib.h>
#include <stdbool.h>

#include "sched/placement.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Demands that no executor could meet in the current placement pass. During a
 * pass resources are only reserved, never released, so an equal or larger
 * demand cannot be met either. This keeps the cost of a pass independent of
 * the number of waiting jobs while all executors are full.
 */

typedef struct demand_list demand_list_t;

demand_list_t *demand_list_new(void);
void demand_list_free(demand_list_t *list);

/**
 * demand_list_add() - record that no executor has the resources for a task of
 * a step
 */
void demand_list_add(demand_list_t *list, const sched_step_t *step,
                     sched_overcommit_t overcommit);

/**
 * demand_list_covers() - check whether a recorded demand implies that no
 * executor has the resources for a task of a step
 */
bool demand_list_covers(const demand_list_t *list, const sched_step_t *step,
                        sched_overcommit_t overcommit);

#ifdef __cplusplus
}
#endif

#endif
