#ifndef TEASEL_SCHED_SIZE_SHARE_H
#define TEASEL_SCHED_SIZE_SHARE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Keeps large jobs of a queue from starving while more work arrives than fits.
 * Least remaining work first completes the most jobs, but under a lasting
 * overload it never starts the largest ones. Each job belongs to a size class
 * by its rank among the recent jobs of its queue; a class whose share of
 * started jobs falls behind that of the queue is favoured until it catches up.
 */

typedef enum size_class {
    SIZE_CLASS_USUAL,
    SIZE_CLASS_LARGE,   /* the fifth below the largest tenth */
    SIZE_CLASS_LARGEST, /* the largest tenth */
    SIZE_CLASS_COUNT,
} size_class_t;

typedef struct size_share size_share_t;

size_share_t *size_share_new(void);
void size_share_free(size_share_t *share);

/**
 * size_share_get_class() - return the size class that a new job would have
 * @work: see size_share_add_job()
 */
size_class_t size_share_get_class(const size_share_t *share,
                                  const char *queue_name, double work);

/**
 * size_share_add_job() - count a new job
 * @work: estimated work of the job, in any unit
 *
 * Return: the size class of the job.
 */
size_class_t size_share_add_job(size_share_t *share, const char *queue_name,
                                double work);

/**
 * size_share_add_start() - count a job that was started while of use
 */
void size_share_add_start(size_share_t *share, const char *queue_name,
                          size_class_t size);

/**
 * size_share_remove_start() - undo size_share_add_start() for a job whose
 * result will be of no use after all
 */
void size_share_remove_start(size_share_t *share, const char *queue_name,
                             size_class_t size);

/**
 * size_share_is_behind() - check whether a class of a queue has to be favoured
 */
bool size_share_is_behind(const size_share_t *share, const char *queue_name,
                          size_class_t size);

/**
 * size_share_decay() - reduce the weight of past jobs
 * @elapsed_ms: time since the last call
 */
void size_share_decay(size_share_t *share, int64_t elapsed_ms);

#ifdef __cplusplus
}
#endif

#endif
