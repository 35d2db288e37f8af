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
 * Interface to one incarnation of an executor, that is, one start of its
 * process.
 */

typedef struct executor_api executor_api_t;

typedef enum executor_result {
    EXECUTOR_OK,
    EXECUTOR_REJECTED,          /* this call did not start the run */
    EXECUTOR_BUSY,              /* unhealthy; the call had no effect */
    EXECUTOR_WRONG_INCARNATION, /* another one has the address; no effect */
    EXECUTOR_RESTARTED,         /* a later incarnation under the same id has
                                   carried out the call */
    EXECUTOR_NO_ANSWER,         /* may have taken effect, or may do so later */
    EXECUTOR_NOT_SENT,          /* had no effect */
} executor_result_t;

/**
 * struct executor_start - arguments of a start of a run
 * @deadline_ms: end of the lease, on the clock of the executor
 * @fencing_token: the executor refuses tokens lower than the highest it has
 *     seen
 */
typedef struct executor_start {
    const char *task;
    uint32_t run;
    const char *payload;
    const char *checkpoint;
    int64_t deadline_ms;
    uint64_t fencing_token;
} executor_start_t;

/**
 * struct executor_poll - arguments of a lease renewal with a status request
 * @deadline_ms: new end of the lease, or 0 to keep the present one
 * @cursor: number of the last acknowledged run end; the executor may discard
 *     the ends up to it
 * @wait_ms: longest time that the executor holds the answer while no run ends
 */
typedef struct executor_poll {
    int64_t deadline_ms;
    uint64_t fencing_token;
    uint64_t cursor;
    uint64_t wait_ms;
} executor_poll_t;

/**
 * struct executor_poll_reply - running and ended runs of an executor
 * @clock_ms: clock of the executor at the time of the answer
 * @more_ends: further ends may follow those listed; a run in neither list may
 *     have ended
 */
typedef struct executor_poll_reply {
    int64_t clock_ms;
    Teasel__RunStatus **running;
    size_t running_count;
    Teasel__RunEnd **ended;
    size_t ended_count;
    bool more_ends;
} executor_poll_reply_t;

/*
 * @reason gives the cause of a rejection for the log and may be NULL. @reply
 * may be used only if the result is EXECUTOR_OK.
 */
typedef void (*executor_done_fn)(executor_result_t result, const char *reason,
                                 void *data);
typedef void (*executor_poll_fn)(executor_result_t result,
                                 const executor_poll_reply_t *reply,
                                 void *data);

/**
 * struct executor_vtbl - operations of an executor
 * @throttle: limit a run to @percent of its full speed
 * @free: cancel all calls without running their callbacks, and free @api
 *
 * Each callback runs exactly once, never from inside the operation.
 */
typedef struct executor_vtbl {
    void (*start)(executor_api_t *api, const executor_start_t *start,
                  executor_done_fn done, void *data);
    void (*stop)(executor_api_t *api, const char *task, uint32_t run,
                 uint64_t fencing_token, executor_done_fn done, void *data);
    void (*poll)(executor_api_t *api, const executor_poll_t *poll,
                 executor_poll_fn done, void *data);
    void (*throttle)(executor_api_t *api, const char *task, uint32_t run,
                     uint32_t percent, uint64_t fencing_token,
                     executor_done_fn done, void *data);
    void (*free)(executor_api_t *api);
} executor_vtbl_t;

struct executor_api {
    const executor_vtbl_t *vtbl;
};

/**
 * struct executor_info - contents of an announcement
 * @started_ms: wall-clock time of the process start; a restarted executor may
 *     keep its @id
 * @sequence: increases with each announcement of an incarnation
 * @remaining_ms: while draining, the shortest time until it leaves
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
