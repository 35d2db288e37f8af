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
 * struct admission_item - a request, embedded in its owner
 * @deadline: an item is never started at or after this time
 */
typedef struct admission_item {
    list_t link;
    struct timespec deadline;
} admission_item_t;

/**
 * struct admission_opts - options of admission_init()
 * @limit: items that run at a time
 * @max_queue: items that wait at a time
 */
typedef struct admission_opts {
    const clock_source_t *clock;
    size_t limit;
    size_t max_queue;
} admission_opts_t;

/**
 * struct admission - bounded queue ordered by deadline, before a fixed number
 * of slots
 * @service_us: moving average of the service time, 0 before the first
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
    ADMISSION_START,   /* run it now; a slot is taken */
    ADMISSION_QUEUED,  /* admission_next() returns it later */
    ADMISSION_REFUSED, /* definitely not run */
} admission_verdict_t;

void admission_init(admission_t *admission, const admission_opts_t *opts);

/**
 * admission_offer() - decide on a new item
 * @item: with its deadline set
 * @kind: reason of a refusal
 */
admission_verdict_t admission_offer(admission_t *admission,
                                    admission_item_t *item,
                                    error_kind_t *kind);

/**
 * admission_finish() - a started item ended and gives back its slot
 * @service_us: its service time, or 0 if it is not representative
 */
void admission_finish(admission_t *admission, uint64_t service_us);

/**
 * admission_next() - take the next item out of the queue
 * @expired: true if its deadline has passed: it must not be started and takes
 *     no slot; otherwise a slot is taken
 *
 * Return: NULL if the queue is empty, or no slot is free and nothing expired.
 */
admission_item_t *admission_next(admission_t *admission, bool *expired);

/**
 * admission_cancel() - take a waiting item out of the queue
 */
void admission_cancel(admission_t *admission, admission_item_t *item);

/**
 * admission_set_leaving() - refuse new items; waiting ones still run
 */
void admission_set_leaving(admission_t *admission, bool leaving);

/**
 * admission_get_next_deadline() - when the first waiting item expires
 *
 * Return: false if nothing waits.
 */
bool admission_get_next_deadline(const admission_t *admission,
                                 struct timespec *deadline);

#ifdef __cplusplus
}
#endif

#endif
