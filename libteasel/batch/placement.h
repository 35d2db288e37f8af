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
    /* Workers per block of the index. A block whose largest free resources
       are too small is skipped; 32 entries of 24 bytes are 12 cache lines. */
    PLACEMENT_BLOCK_WORKERS = 32,
};

typedef struct place placement_t;

/**
 * struct placement_worker - free and whole resources of a worker; memory in MB
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
 * struct placement_strategy - a strategy of placement
 * @cost: cost of a job on a worker that it fits on, lowest is chosen; NULL
 *     takes the first that fits
 */
typedef struct placement_strategy {
    const char *name;
    double (*cost)(const placement_worker_t *worker, const job_size_t *size);
} placement_strategy_t;

/* Least room left over; keeps processors and memory beside accelerators. */
extern const placement_strategy_t placement_best_fit;

/* The baseline of the measurements. */
extern const placement_strategy_t placement_first_fit;

placement_t *placement_new(const placement_strategy_t *vtbl);
void placement_free(placement_t *place);

/**
 * placement_add_worker() - add a worker without room
 *
 * Return: its index. Indexes of removed workers are used again.
 */
int placement_add_worker(placement_t *place);
void placement_remove_worker(placement_t *place, int index);

/**
 * placement_set_resources() - resources of a worker; a @capacity of 0 closes
 * it
 */
void placement_set_resources(placement_t *place, int index,
                             const job_size_t *capacity,
                             const job_size_t *room);

/**
 * placement_choose() - a worker with room for a job
 * @avoid: indexes that are not chosen
 */
int placement_choose(const placement_t *place, const job_size_t *size,
                     const int *avoid, size_t avoid_count);

/**
 * placement_choose_reservation() - the worker that could hold the job when
 * empty and has the most room now
 */
int placement_choose_reservation(const placement_t *place,
                                 const job_size_t *size, const int *avoid,
                                 size_t avoid_count);

#ifdef __cplusplus
}
#endif

#endif
