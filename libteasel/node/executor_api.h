#ifndef TEASEL_NODE_EXECUTOR_API_H
#define TEASEL_NODE_EXECUTOR_API_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "wire/sched.pb-c.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Calls to one life of an executor.
 */

typedef struct executor_api executor_api_t;

typedef enum executor_result {
    EXECUTOR_OK,
    EXECUTOR_REJECTED,          /* this run was not started by this call */
    EXECUTOR_BUSY,              /* unhealthy; nothing was done */
    EXECUTOR_WRONG_INCARNATION, /* another life answers at this address */
    EXECUTOR_NO_ANSWER, /* the call may have had an effect, or may have later
                         */
    EXECUTOR_NOT_SENT,
} executor_result_t;

/**
 * struct executor_start - order to start a run
 * @deadline_ms: end of the lease on the clock of the executor
 * @fence: lower values than the highest seen are refused
 */
typedef struct executor_start {
    const char *task;
    uint32_t run;
    const char *payload;
    const char *checkpoint;
    int64_t deadline_ms;
    uint64_t fence;
} executor_start_t;

/**
 * struct executor_poll - renew the lease and ask for the lists
 * @deadline_ms: 0 to leave the lease as it is
 * @cursor: the executor may forget the ends up to here
 * @wait_ms: answer later if no run ends
 */
typedef struct executor_poll {
    int64_t deadline_ms;
    uint64_t fence;
    uint64_t cursor;
    uint64_t wait_ms;
} executor_poll_t;

/**
 * struct executor_poll_reply - what runs and what has ended
 * @clock_ms: clock of the executor
 */
typedef struct executor_poll_reply {
    int64_t clock_ms;
    Teasel__RunStatus **running;
    size_t running_count;
    Teasel__RunEnd **ended;
    size_t ended_count;
} executor_poll_reply_t;

/**
 * @reason: of a rejection, for the log; may be NULL
 * @lists: NULL unless the result is EXECUTOR_OK
 */
typedef void (*executor_done_fn)(executor_result_t result, const char *reason,
                                 void *data);
typedef void (*executor_poll_fn)(executor_result_t result,
                                 const executor_poll_reply_t *lists,
                                 void *data);

/**
 * struct executor_vtbl - functions of an executor
 * @pace: let a run work at a share of its speed, in percent
 * @free: cancels all calls without their callbacks
 *
 * Each callback is called exactly once, never from inside the function.
 */
typedef struct executor_vtbl {
    void (*start)(executor_api_t *api, const executor_start_t *start,
                  executor_done_fn done, void *data);
    void (*stop)(executor_api_t *api, const char *task, uint32_t run,
                 uint64_t fence, executor_done_fn done, void *data);
    void (*poll)(executor_api_t *api, const executor_poll_t *poll,
                 executor_poll_fn done, void *data);
    void (*pace)(executor_api_t *api, const char *task, uint32_t run,
                 uint32_t percent, uint64_t fence, executor_done_fn done,
                 void *data);
    void (*free)(executor_api_t *api);
} executor_vtbl_t;

struct executor_api {
    const executor_vtbl_t *vtbl;
};

/**
 * struct executor_info - what an executor announces of itself
 * @started_ms: wall clock of its start; an executor may start again under its
 * id
 * @sequence: rises with each announcement of one life
 * @remaining_ms: while draining, the least time before it leaves
 */
typedef struct executor_info {
    const char *id;
    int64_t started_ms;
    const char *address;
    const char *service;
    const char *data_centre;
    const char *rack;
    const char *const *labels;
    size_t label_count;
    uint32_t cpu_milli;
    uint32_t memory_mb;
    uint32_t accelerators;
    bool draining;
    uint32_t remaining_ms;
    int64_t clock_ms;
    uint64_t sequence;
} executor_info_t;

#ifdef __cplusplus
}
#endif

#endif
