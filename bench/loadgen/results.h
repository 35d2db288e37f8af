#ifndef TEASEL_BENCH_RESULTS_H
#define TEASEL_BENCH_RESULTS_H

#include <glib.h>

#include "base/error.h"
#include "base/histogram.h"

enum {
    SLOT_MS = 100, /* length of a slot of the timeline */
    STATUS_COUNT = 600,
};

/* Requests of one slot of the timeline; sent counts by the intended send
   time, the others by the time of the answer. */
typedef struct slot {
    uint64_t sent;
    uint64_t ok;
    uint64_t rejected;    /* answered with executed "no" */
    uint64_t unknown;     /* all other failures */
    histogram_t *latency; /* of 2xx answers; NULL if there are none */
} slot_t;

typedef struct results {
    uint64_t sent;
    uint64_t completed;
    uint64_t measured; /* completed, without those of the warm-up */
    uint64_t statuses[STATUS_COUNT];
    uint64_t errors[ERROR_KIND_COUNT];
    uint64_t executed_no;
    uint64_t executed_unknown;
    uint64_t unhealthy; /* sent while no target was healthy */
    histogram_t ok_latency;
    histogram_t rejected_latency; /* answered with executed "no" */
    histogram_t other_latency;
    histogram_t lateness; /* actual minus intended send time */
    GArray *slots;        /* slot_t */
} results_t;

extern results_t results;

/**
 * results_print() - write one line of JSON to standard output
 */
void results_print(void);

/**
 * results_write_timeline() - write one line per slot to the file @path
 */
void results_write_timeline(const char *path);

#endif
