#ifndef TEASEL_SCHED_INTERFERENCE_H
#define TEASEL_SCHED_INTERFERENCE_H

#include <glib.h>

#include "sched/executor.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Estimates how much best-effort tasks of one image raise the tail latency of
 * serving tasks of another image on the same executor. The ratio of tail
 * latency to target is modelled as a baseline of the serving task, which
 * follows its load, plus the sum over the best-effort tasks of a weight for
 * the pair of images times the share of the executor's CPU that the task uses.
 * The baseline and the weights follow the prediction error by normalized least
 * mean squares.
 *
 * Images are identified by small numbers, because the model is evaluated for
 * many executors in each placement.
 */

typedef struct interference interference_t;

interference_t *interference_new(void);
void interference_free(interference_t *table);

/**
 * interference_get_image_id() - return the number of an image
 *
 * Return: a number that is unique within the table, or SCHED_NO_IMAGE if the
 * table is full. Weights of SCHED_NO_IMAGE are not learned.
 */
uint16_t interference_get_image_id(interference_t *table, const char *image);

/**
 * interference_update() - update the model with the newest measurements of an
 * executor
 */
void interference_update(interference_t *table, sched_executor_t *executor);

/**
 * struct interference_prediction - predicted effect of one more best-effort
 * task on the serving tasks of an executor
 * @tail: highest ratio of tail latency to target with the task, 0 if no task
 *     there has a target
 * @effect: highest part of the ratio of a serving task that is due to it
 */
typedef struct interference_prediction {
    double tail;
    double effect;
} interference_prediction_t;

/**
 * interference_predict() - predict the tail latencies with one more
 * best-effort task
 * @best_effort: step of the task that would be added
 */
interference_prediction_t
interference_predict(const interference_t *table,
                     const sched_executor_t *executor,
                     const sched_step_t *best_effort);

/**
 * interference_get_effect() - return by how much a task of a step raises the
 * ratio of tail latency to target of the most affected serving task
 */
double interference_get_effect(const interference_t *table,
                               const sched_executor_t *executor,
                               const sched_step_t *best_effort);

/**
 * interference_to_pairs() - export the weights of all pairs of images
 * @pairs: receives Teasel__LearnedPair elements and frees them with the array
 */
void interference_to_pairs(const interference_t *table, GPtrArray *pairs);

/**
 * interference_add_pair() - import the weight of a pair of images from a
 * record
 */
void interference_add_pair(interference_t *table,
                           const Teasel__LearnedPair *pair);

#ifdef __cplusplus
}
#endif

#endif
