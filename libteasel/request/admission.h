#ifndef TEASEL_REQUEST_ADMISSION_H
#define TEASEL_REQUEST_ADMISSION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/error.h"
#include "base/list.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct admission_item - a request, embedded in a structure of its owner
 * @deadline: the item is never started at or after this time
 */
typedef struct admission_item {
    list_t link;
    struct timespec deadline;
} admission_item_t;

/**
 * struct admission_opts - options of admission_init()
 * @limit: maximum number of running items
 * @max_queue: maximum number of waiting items
 */
typedef struct admission_opts {
    const clock_source_t *clock;
    size_t limit;
    size_t max_queue;
} admission_opts_t;

/**
 * struct admission - bounded queue, ordered by deadline, for a fixed number of
 * slots
 * @queued: number of waiting items
 * @running: number of running items, each of which holds a slot
 * @service_us: moving average of the service time, 0 before the first sample
 * @leaving: new items are refused
 */
typedef struct admission {
    admission_opts_t opts;
    list_t queue;
    size_t queued;
    size_t running;
    uint64_t service_us;
    bool leaving;
} admission_t;

typedef enum admission_verdict {
    ADMISSION_START,   /* run it now; it holds a slot */
    ADMISSION_QUEUED,  /* admission_next() returns it later */
    ADMISSION_REFUSED, /* definitely not run */
} admission_verdict_t;

void admission_init(admission_t *admission, const admission_opts_t *opts);

/**
 * admission_offer() - start, queue or refuse a new item
 * @item: the deadline must be set
 * @kind: receives the reason of a refusal
 */
admission_verdict_t admission_offer(admission_t *admission,
                                    admission_item_t *item,
                                    error_kind_t *kind);

/**
 * admission_finish() - release the slot of an item that ended
 * @service_us: service time of the item, or 0 if it is not representative
 */
void admission_finish(admission_t *admission, uint64_t service_us);

/**
 * admission_next() - remove the next item from the queue
 * @expired: receives true if the deadline has passed: the item must not be
 *     started and holds no slot; otherwise the item holds a slot
 *
 * Return: NULL if the queue is empty, or no slot is free and nothing expired.
 */
admission_item_t *admission_next(admission_t *admission, bool *expired);

/**
 * admission_cancel() - remove a waiting item from the queue
 */
void admission_cancel(admission_t *admission, admission_item_t *item);

/**
 * admission_set_leaving() - refuse new items; waiting items still run
 */
void admission_set_leaving(admission_t *admission, bool leaving);

/**
 * admission_get_next_deadline() - get the earliest deadline in the queue
 *
 * Return: false if the queue is empty.
 */
bool admission_get_next_deadline(const admission_t *admission,
                                 struct timespec *deadline);

#ifdef __cplusplus
}
#endif

#endif
