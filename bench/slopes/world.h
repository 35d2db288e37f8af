#ifndef TEASEL_BENCH_WORLD_H
#define TEASEL_BENCH_WORLD_H

#include "batch/cell.h"

enum {
    WORKERS = 1000,    /* in one cell; 24,000 workers in 24 cells */
    PER_DECISION = 26, /* items; 1,300 starts/s at one decision per 20 ms */
    /* 24 cells have 280,000 running tasks, and queued jobs. */
    LIVE_JOBS = 12000,
};

/* A cell and the log that it is built from.
   offset: of the last record; bytes: total size of the applied records */
typedef struct world {
    cell_t *cell;
    uint64_t offset;
    double bytes;
} world_t;

char *world_job_name(uint64_t number);
char *world_worker_name(uint64_t number);

/* Pack the record, then unpack and apply it as a reader of the log does. */
void world_apply(world_t *world, Teasel__LogRecord *record);
/* Apply one decision record with the items. */
void world_decide(world_t *world, Teasel__DecisionItem **items, size_t count);

/* Return: world with a coordinator claim and no workers; free .cell with
   cell_free(). */
world_t world_new(void);
/* Submit the jobs 0 to @count - 1. */
void world_submit(world_t *world, uint64_t count);

#endif
