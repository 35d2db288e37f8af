#ifndef TEASEL_BATCH_COORDINATOR_SCAN_H
#define TEASEL_BATCH_COORDINATOR_SCAN_H

#include "batch/coordinator_internal.h"

#ifdef __cplusplus
extern "C" {
#endif

enum {
    /* Maximum number of sizes that a scan records as not fitting on any
       worker. */
    SCAN_MAX_FAILED = 8,
    /* Workers on which a job failed are avoided for this long, then allowed
       again, because a small cell may have no others. */
    SCAN_AVOID_MS = 5000,
};

/**
 * struct scan - a scan over the queued jobs
 * @failed: sizes that did not fit on any worker; free resources only shrink
 *     during the scan, so sizes that are no smaller need not be tried
 * @avoid: placement indexes of workers on which the current job failed
 * @samples_only: skip jobs of classes without a learned size of which enough
 *     attempts run already
 * @head_blocked: a job was tried that did not fit on any worker
 * @full: look at every job and recompute the minimum sizes of the lists
 */
typedef struct scan {
    coordinator_t *coordinator;
    struct timespec now;
    job_size_t failed[SCAN_MAX_FAILED];
    size_t failed_count;
    int avoid[CELL_MAX_FAILED_WORKERS];
    size_t avoid_count;
    bool samples_only;
    bool head_blocked;
    bool full;
} scan_t;

/**
 * scan_cannot_fit() - check whether an equal or smaller size has already
 * failed to fit in this scan
 */
bool scan_cannot_fit(const scan_t *scan, const job_size_t *size);

/**
 * scan_get_size() - get the resources that a job is assigned
 */
job_size_t scan_get_size(const coordinator_t *coordinator,
                         const tracked_job_t *tracked);

/**
 * scan_try_start() - add the start of a job to the decision if its team's
 * quota allows it and it fits on a worker
 *
 * Return: true if the start was added.
 */
bool scan_try_start(scan_t *scan, tracked_job_t *tracked,
                    const job_size_t *size);

#ifdef __cplusplus
}
#endif

#endif
