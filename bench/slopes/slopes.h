#ifndef TEASEL_BENCH_SLOPES_H
#define TEASEL_BENCH_SLOPES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * struct slope_result - cost of one unit; a negative value means not measured
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
 * struct slope - one kind of work whose cost per unit is measured
 * @name: name in docs/CAPACITY.md
 * @unit: description of one unit
 * @count: number of units to run
 * @run: run @count units and set the cost of one in @result
 */
typedef struct slope {
    const char *name;
    const char *unit;
    uint64_t count;
    void (*run)(uint64_t count, slope_result_t *result);
} slope_t;

/**
 * struct slope_mark - processor time and heap use at the start of a
 * measurement
 */
typedef struct slope_mark {
    uint64_t cpu_ns;
    size_t memory;
} slope_mark_t;

/**
 * slope_begin() - start a measurement
 */
void slope_begin(slope_mark_t *mark);

/**
 * slope_end() - set the processor time and the memory of one unit
 * @mark: from slope_begin()
 * @count: number of units that were run since
 * @result: cpu_ns and memory are set
 */
void slope_end(const slope_mark_t *mark, uint64_t count,
               slope_result_t *result);

/* Slopes of each file in this directory; a NULL name ends the table. */
extern const slope_t slopes_wire[];
extern const slope_t slopes_config[];
extern const slope_t slopes_cell[];
extern const slope_t slopes_coordinator[];
extern const slope_t slopes_request[];

#endif
