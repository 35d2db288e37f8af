#ifndef TEASEL_SCHED_DRAIN_RATE_H
#define TEASEL_SCHED_DRAIN_RATE_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

enum {
    DRAIN_RATE_WINDOWS = 8,
};

/**
 * struct drain_rate - rate at which work was finished over the last seconds
 * @began_ms: when the current window began, or 0 before the first work
 * @count: number of complete windows, at most DRAIN_RATE_WINDOWS
 * @next: index of the next complete window in @windows
 * @current: work that was finished in the current window
 * @windows: work that was finished in each of the last complete windows
 */
typedef struct drain_rate {
    int64_t began_ms;
    unsigned count;
    unsigned next;
    double current;
    double windows[DRAIN_RATE_WINDOWS];
} drain_rate_t;

/**
 * drain_rate_add() - count finished work
 * @work: in core-ms
 */
void drain_rate_add(drain_rate_t *rate, double work, int64_t now_ms);

/**
 * drain_rate_get() - return the highest rate of the last windows, in cores
 *
 * The highest one, as less work is finished than could be while executors
 * have no work, the leader pauses or the store is unavailable.
 *
 * Return: the rate; 0 if too little time was observed.
 */
double drain_rate_get(drain_rate_t *rate, int64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
