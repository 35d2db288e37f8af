#ifndef TEASEL_BATCH_PLACEMENT_H
#define TEASEL_BATCH_PLACEMENT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "batch/job.h"

#ifdef __cplusplus
extern "C" {
#endif

enum {
    PLACEMENT_NONE = -1,
    /* Workers per block of the index. A block in which no worker has enough
       free resources is skipped; 32 entries of 24 bytes are 12 cache lines. */
    PLACEMENT_BLOCK_WORKERS = 32,
};

typedef struct placement placement_t;

/**
 * struct placement_worker - free and total resources of a worker
 * @cpu: free, in thousandths of a processor
 * @memory: free, in MB
 */
typedef struct placement_worker {
    uint32_t cpu;
    uint32_t memory;
    uint32_t accelerators;
    uint32_t cpu_capacity;
    uint32_t memory_capacity;
    uint32_t accelerator_capacity;
} placement_worker_t;

/**
 * struct placement_strategy - how a worker is chosen for a job
 * @cost: cost of running a job on a worker that it fits on; the worker with
 *     the lowest cost is chosen. NULL chooses the first worker that fits.
 */
typedef struct placement_strategy {
    const char *name;
    double (*cost)(const placement_worker_t *worker, const job_size_t *size);
} placement_strategy_t;

/* Chooses the worker with the fewest resources left over. Avoids using up the
   processors and memory of workers with free accelerators. */
extern const placement_strategy_t placement_best_fit;

/* Baseline of the benchmarks. */
extern const placement_strategy_t placement_first_fit;

placement_t *placement_new(const placement_strategy_t *strategy);
void placement_free(placement_t *placement);

/**
 * placement_add_worker() - add a worker without resources
 *
 * Return: its index. Indexes of removed workers are reused.
 */
int placement_add_worker(placement_t *placement);
void placement_remove_worker(placement_t *placement, int index);

/**
 * placement_set_resources() - set the total and free resources of a worker
 * @capacity: total; with 0 the worker gets no tasks
 * @available: free
 */
void placement_set_resources(placement_t *placement, int index,
                             const job_size_t *capacity,
                             const job_size_t *available);

/**
 * placement_choose() - choose a worker with enough free resources for a job
 * @avoid: indexes that are not chosen
 *
 * Return: its index, or PLACEMENT_NONE.
 */
int placement_choose(const placement_t *placement, const job_size_t *size,
                     const int *avoid, size_t avoid_count);

/**
 * placement_choose_reservation() - choose the worker to reserve for a job
 *
 * It can hold the job when empty, and has the largest part of the needed
 * resources free now.
 *
 * Return: its index, or PLACEMENT_NONE.
 */
int placement_choose_reservation(const placement_t *placement,
                                 const job_size_t *size, const int *avoid,
                                 size_t avoid_count);

#ifdef __cplusplus
}
#endif

#endif
