#ifndef TEASEL_BATCH_PLACE_H
#define TEASEL_BATCH_PLACE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "batch/job.h"

#ifdef __cplusplus
extern "C" {
#endif

enum {
    PLACE_NONE = -1,
    /* Workers per block of the index. A block whose largest free resources
       are too small is skipped; 32 entries of 24 bytes are 12 cache lines. */
    PLACE_BLOCK = 32,
};

typedef struct place place_t;

/**
 * struct place_worker - free and whole resources of a worker; memory in MB
 */
typedef struct place_worker {
    uint32_t cpu;
    uint32_t memory;
    uint32_t accelerators;
    uint32_t cpu_capacity;
    uint32_t memory_capacity;
    uint32_t accelerator_capacity;
} place_worker_t;

/**
 * struct place_vtbl - a strategy of placement
 * @cost: cost of a job on a worker that it fits on, lowest is chosen; NULL
 *     takes the first that fits
 */
typedef struct place_vtbl {
    const char *name;
    double (*cost)(const place_worker_t *worker, const job_size_t *size);
} place_vtbl_t;

/* Least room left over; keeps processors and memory beside accelerators. */
extern const place_vtbl_t place_best_fit;

/* The baseline of the measurements. */
extern const place_vtbl_t place_first_fit;

place_t *place_new(const place_vtbl_t *vtbl);
void place_free(place_t *place);

/**
 * place_add() - add a worker without room
 *
 * Return: its index. Indexes of removed workers are used again.
 */
int place_add(place_t *place);
void place_remove(place_t *place, int index);

/**
 * place_set() - resources of a worker; a @capacity of 0 closes it
 */
void place_set(place_t *place, int index, const job_size_t *capacity,
               const job_size_t *room);

/**
 * place_choose() - a worker with room for a job
 * @avoid: indexes that are not chosen
 */
int place_choose(const place_t *place, const job_size_t *size,
                 const int *avoid, size_t avoid_count);

/**
 * place_choose_future() - the worker that could hold the job when empty and
 * has the most room now
 */
int place_choose_future(const place_t *place, const job_size_t *size,
                        const int *avoid, size_t avoid_count);

#ifdef __cplusplus
}
#endif

#endif
