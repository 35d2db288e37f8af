#ifndef TEASEL_SCHED_CANDIDATES_H
#define TEASEL_SCHED_CANDIDATES_H

#include "sched/placement.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Executors that may receive the tasks of one step, ordered by cost. The
 * tasks of a step have the same requirements, so each executor is evaluated
 * once per step and again only after it has received a task.
 */

typedef struct sched_candidates sched_candidates_t;

/**
 * sched_candidates_new() - evaluate all executors for a step
 * @placement: must outlive the candidates
 */
sched_candidates_t *sched_candidates_new(const sched_placement_t *placement,
                                         const sched_step_t *step);
void sched_candidates_free(sched_candidates_t *candidates);

/**
 * sched_candidates_get_best() - return the executor with the lowest cost
 *
 * Return: the executor, or NULL if none is allowed and has the resources.
 */
sched_executor_t *
sched_candidates_get_best(const sched_candidates_t *candidates);

/**
 * sched_candidates_update_best() - evaluate the best executor again, after a
 * task was assigned to it
 */
void sched_candidates_update_best(sched_candidates_t *candidates);

#ifdef __cplusplus
}
#endif

#endif
