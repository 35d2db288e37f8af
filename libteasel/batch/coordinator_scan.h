#ifndef TEASEL_BATCH_COORDINATOR_SCAN_H
#define TEASEL_BATCH_COORDINATOR_SCAN_H

#include "batch/coordinator_internal.h"

#ifdef __cplusplus
extern "C" {
#endif

enum {
    /* Sizes without a place that a scan remembers. */
    SCAN_FAILED = 8,
    /* Workers on which a job failed are avoided for this long; a small cell
       may have no others. */
    AVOID_MS = 5000,
};

/**
 * struct scan - one pass over the waiting jobs
 * @failed: sizes that found no place; room only shrinks during the scan, so
 *     sizes that are no smaller need not be tried
 * @samples_only: pass over jobs of classes that are not known yet, if enough
 *     of the class run already
 * @full: look at every job and find the least sizes
 * @head_seen: a job was tried and found no place
 */
typedef struct scan {
    coordinator_t *coordinator;
    struct timespec now;
    job_size_t failed[SCAN_FAILED];
    size_t failed_count;
    int avoid[CELL_BAD_WORKERS];
    size_t avoid_count;
    bool samples_only;
    bool head_seen;
    bool full;
} scan_t;

/**
 * scan_is_hopeless() - a size that is no larger found no place before
 */
bool scan_is_hopeless(const scan_t *scan, const job_size_t *size);

/**
 * scan_get_size() - resources that a job is given
 */
job_size_t scan_get_size(const coordinator_t *coordinator,
                         const waiting_t *waiting);

/**
 * scan_try_start() - add the start of a job to the decision if it has a place
 */
bool scan_try_start(scan_t *scan, waiting_t *waiting, const job_size_t *size);

#ifdef __cplusplus
}
#endif

#endif
