#ifndef TEASEL_BENCH_RESULTS_H
#define TEASEL_BENCH_RESULTS_H

#include <glib.h>

#include "base/error.h"
#include "base/histogram.h"

enum {
    SLOT_MS = 100, /* resolution of the time line */
    STATUS_COUNT = 600,
};

typedef struct slot {
    uint64_t sent;
    uint64_t ok;
    uint64_t rejected; /* not run */
    uint64_t unknown;
    histogram_t *latency; /* of answers with 2xx */
} slot_t;

typedef struct results {
    uint64_t sent;
    uint64_t completed;
    uint64_t measured;
    uint64_t statuses[STATUS_COUNT];
    uint64_t errors[ERROR_KIND_COUNT];
    uint64_t executed_no;
    uint64_t executed_unknown;
    uint64_t unhealthy;
    histogram_t ok_latency;
    histogram_t rejected_latency; /* answered with executed "no" */
    histogram_t other_latency;
    histogram_t lateness;
    GArray *slots; /* slot_t */
} results_t;

extern results_t results;

/**
 * results_print() - one line of JSON on standard output
 */
void results_print(void);
void results_write_timeline(const char *path);

#endif
