#ifndef TEASEL_BATCH_LEARN_H
#define TEASEL_BATCH_LEARN_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "batch/job.h"

#ifdef __cplusplus
extern "C" {
#endif

enum {
    LEARN_WINDOW = 32,        /* newest observations of a class */
    LEARN_ENOUGH = 4,         /* below this the declared values are believed */
    LEARN_FLOOR = 4,          /* never below declared / 4 */
    LEARN_MAX_CLASSES = 4096, /* 400 bytes each; more are not learned */
};

typedef struct learn learn_t;
typedef struct learn_class learn_class_t;

learn_t *learn_new(void);
void learn_free(learn_t *learn);

/**
 * learn_get_class() - class of a job; lives as long as @learn
 *
 * Return: NULL if too many classes are known.
 */
learn_class_t *learn_get_class(learn_t *learn, const job_spec_t *spec);

/**
 * learn_add_observation() - an attempt that ended well
 * @class_: NULL is ignored
 * @peak: highest measured use; 0 in a dimension that was not measured
 * @run_ms: 0 if it is not known
 */
void learn_add_observation(learn_class_t *class_, const job_spec_t *spec,
                           const job_size_t *peak, uint64_t run_ms);

/**
 * learn_note_running() - an attempt of the class started (1) or ended (-1)
 */
void learn_note_running(learn_class_t *class_, int change);

/**
 * learn_has_estimate() - enough was observed to predict the class
 */
bool learn_has_estimate(const learn_class_t *class_);

/**
 * learn_has_enough_samples() - enough attempts have ended or run to learn from
 *
 * More attempts would only spend resources on sizes that may be far off.
 */
bool learn_has_enough_samples(const learn_class_t *class_);

/**
 * learn_estimate() - expected size and run time of a job
 * @class_: with NULL the declared values are taken
 *
 * The ratio of use to declaration is learned per class, as a quantile of the
 * observed ratios: the highest for memory, because exceeding it is fatal; 95%
 * for processors and the median for the run time.
 */
void learn_estimate(const learn_class_t *class_, const job_spec_t *spec,
                    job_size_t *size, uint64_t *run_ms);

#ifdef __cplusplus
}
#endif

#endif
