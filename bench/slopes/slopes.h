#ifndef TEASEL_BENCH_SLOPES_H
#define TEASEL_BENCH_SLOPES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * struct slope_result - cost of one unit; a negative value is not measured
 * @cpu_ns: processor time of this process
 * @memory: bytes of heap that stay in use
 * @bytes: size of the message or record
 */
typedef struct slope_result {
    double cpu_ns;
    double memory;
    double bytes;
} slope_result_t;

/**
 * struct slope - one measured slope
 * @name: as in docs/CAPACITY.md
 * @unit: what is counted
 * @run: measure @count units
 */
typedef struct slope {
    const char *name;
    const char *unit;
    uint64_t count;
    void (*run)(uint64_t count, slope_result_t *result);
} slope_t;

/**
 * struct slope_mark - start of a measurement
 */
typedef struct slope_mark {
    uint64_t cpu_ns;
    size_t memory;
} slope_mark_t;

void slope_begin(slope_mark_t *mark);

/**
 * slope_end() - set the processor time and the memory per unit
 */
void slope_end(const slope_mark_t *mark, uint64_t count,
               slope_result_t *result);

/* Tables of the files of this folder; each ends with a NULL name. */
extern const slope_t slopes_wire[];
extern const slope_t slopes_config[];
extern const slope_t slopes_cell[];
extern const slope_t slopes_coordinator[];
extern const slope_t slopes_request[];
extern const slope_t slopes_cell[];
extern const slope_t slopes_coordinator[];
extern const slope_t slopes_request[];

#endif
