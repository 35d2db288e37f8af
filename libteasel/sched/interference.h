#ifndef TEASEL_SCHED_INTERFERENCE_H
#define TEASEL_SCHED_INTERFERENCE_H

#include <glib.h>

#include "sched/executor.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Learns how much the fillers of an image raise the tail latency of serving
 * tasks of an image beside them. Each tail is modelled as a level of its own,
 * which follows the load of the task, plus a weight for each filler times the
 * share of the executor that it uses; both follow the error of the model by
 * normalized least mean squares.
 */

typedef struct interference interference_t;

interference_t *interference_new(void);
void interference_free(interference_t *table);

/**
 * interference_observe() - learn from the newest figures of an executor
 */
void interference_observe(interference_t *table, sched_executor_t *executor);

/**
 * interference_predict() - highest tail over target on an executor if a
 * filler is added
 *
 * Return: 0 if nothing there has a target
 */
double interference_predict(const interference_t *table,
                            const sched_executor_t *executor,
                            const Teasel__StepSpec *filler);

/**
 * interference_write() - add all pairs to a record
 * @pairs: gets LearnedPair, which own their memory
 */
void interference_write(const interference_t *table, GPtrArray *pairs);

/**
 * interference_read() - take over a pair of a record
 */
void interference_read(interference_t *table, const Teasel__LearnedPair *pair);

#ifdef __cplusplus
}
#endif

#endif
