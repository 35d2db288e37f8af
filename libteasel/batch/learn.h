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
    LEARN_WINDOW = 32,          /* newest observations of a class */
    LEARN_MIN_OBSERVATIONS = 4, /* below this the declared values are used */
    LEARN_FLOOR_DIVISOR = 4,    /* estimates are at least declared / 4 */
    /* 400 bytes each; further classes are not learned. */
    LEARN_MAX_CLASSES = 4096,
};

typedef struct learn learn_t;
typedef struct learn_class learn_class_t;

learn_t *learn_new(void);
void learn_free(learn_t *learn);

/**
 * learn_get_class() - get the class of a job; owned by @learn
 *
 * Return: NULL if there are LEARN_MAX_CLASSES classes already.
 */
learn_class_t *learn_get_class(learn_t *learn, const job_spec_t *spec);

/**
 * learn_add_observation() - add the measured use of an attempt
 * @class_: NULL is ignored
 * @peak: highest measured use, 0 in a dimension that was not measured
 * @run_ms: measured run time, 0 if it was not measured
 */
void learn_add_observation(learn_class_t *class_, const job_spec_t *spec,
                           const job_size_t *peak, uint64_t run_ms);

/**
 * learn_note_running() - count the running attempts of the class
 * @change: 1 if an attempt started, -1 if one ended
 */
void learn_note_running(learn_class_t *class_, int change);

/**
 * learn_has_estimate() - check whether there are enough observations for an
 * estimate
 *
 * Return: also true if @class_ is NULL.
 */
bool learn_has_estimate(const learn_class_t *class_);

/**
 * learn_has_enough_samples() - check whether enough attempts have been
 * observed or run now
 *
 * Further attempts would only take up resources with declared sizes that may
 * be far too large.
 */
bool learn_has_enough_samples(const learn_class_t *class_);

/**
 * learn_estimate() - estimate the size and the run time of a job
 * @class_: if NULL, the declared values are returned
 *
 * The ratio of measured to declared use is learned per class, as a quantile
 * of the observed ratios: the maximum for memory, because exceeding it ends
 * the attempt; 95% for processors; the median for the run time.
 */
void learn_estimate(const learn_class_t *class_, const job_spec_t *spec,
                    job_size_t *size, uint64_t *run_ms);

#ifdef __cplusplus
}
#endif

#endif
