#ifndef TEASEL_BENCH_WORLD_H
#define TEASEL_BENCH_WORLD_H

#include "batch/cell.h"

enum {
    WORKERS = 1000,    /* of one cell; 24 cells have 24,000 */
    PER_DECISION = 26, /* 1,300 starts/s in ticks of 20 ms */
    LIVE_JOBS = 12000, /* 280,000 running tasks in 24 cells, and a queue */
};

/* A cell, and the bytes of the records that it folded. */
typedef struct world {
    cell_t *cell;
    uint64_t offset;
    double bytes;
} world_t;

char *world_job_name(uint64_t number);
char *world_worker_name(uint64_t number);

/* Packs the record, then unpacks and folds it like a reader of the log. */
void world_apply(world_t *world, Teasel__LogRecord *record);
void world_decide(world_t *world, Teasel__DecisionItem **items, size_t count);

/* A cell with a claim and without workers. */
world_t world_new(void);
void world_submit(world_t *world, uint64_t count);

#endif
