#ifndef TEASEL_WORKER_WORKER_H
#define TEASEL_WORKER_WORKER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <time.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef struct worker worker_t;

typedef enum worker_task_state {
    WORKER_TASK_RUNNING,
    WORKER_TASK_SUSPENDED,
    WORKER_TASK_DONE,    /* succeeded; its effects await WORKER_RELEASE */
    WORKER_TASK_FAILED,  /* ended with an error */
    WORKER_TASK_STOPPED, /* stopped on request */
} worker_task_state_t;

/**
 * struct worker_task - a task as the worker reports it
 */
typedef struct worker_task {
    const char *job_id;
    uint32_t attempt;
    worker_task_state_t state;
    uint64_t progress_ms;
    uint32_t throttle_percent;
    uint32_t cpu_milli;          /* measured, with a delay */
    uint64_t memory_mb;          /* measured, with a delay */
    uint32_t declared_cpu_milli; /* as passed to start() */
    uint64_t declared_memory_mb;
    uint32_t declared_accelerators;
    const char *detail;
} worker_task_t;

/**
 * struct worker_status - complete state of a worker
 * @ok: false if the status could not be read; only @detail is set then
 * @incarnation: changes when the worker restarts
 * @version: increases with each change of the state of a task
 */
typedef struct worker_status {
    bool ok;
    const char *detail;
    uint64_t incarnation;
    uint64_t version;
    uint32_t cpu_milli;
    uint64_t memory_mb;
    uint32_t accelerators;
    const worker_task_t *tasks;
    size_t task_count;
} worker_status_t;

/**
 * struct worker_start - a task to start
 * @checkpoint: empty for the first attempt
 */
typedef struct worker_start {
    const char *job_id;
    uint32_t attempt;
    uint32_t cpu_milli;
    uint64_t memory_mb;
    uint32_t accelerators;
    const char *spec;
    const void *checkpoint;
    size_t checkpoint_length;
} worker_start_t;

typedef enum worker_action {
    WORKER_SUSPEND,
    WORKER_RESUME,
    WORKER_THROTTLE, /* value: percent of full speed */
    WORKER_STOP,     /* end the task and return its checkpoint */
    WORKER_RELEASE,  /* publish the effects; idempotent */
    WORKER_FORGET,   /* discard an ended task and its unpublished effects */
} worker_action_t;

typedef enum worker_outcome {
    WORKER_OK,
    WORKER_REFUSED, /* had no effect */
    WORKER_UNKNOWN, /* may have taken effect */
} worker_outcome_t;

typedef void (*worker_cb)(worker_outcome_t outcome, const void *checkpoint,
                          size_t checkpoint_length, const char *detail,
                          void *data);
typedef void (*worker_status_cb)(const worker_status_t *status, void *data);

/**
 * struct worker_vtbl - operations of a client of a worker
 * @watch: report the status once, when it differs from @version or after
 *     @wait_ms; one watch at a time
 * @renew: let tasks run until @until on the machine's monotonic clock; the
 *     worker then suspends them until WORKER_RESUME. @until is a time and not
 *     a duration because a worker that was paused reads the message late.
 * @start: start a task
 * @act: apply an action to an attempt of a job; only WORKER_THROTTLE has a
 *     @value
 * @free: cancel all calls without running their callbacks, and free @worker
 */
typedef struct worker_vtbl {
    void (*watch)(worker_t *worker, uint64_t version, uint64_t wait_ms,
                  worker_status_cb cb, void *data);
    void (*renew)(worker_t *worker, struct timespec until, worker_cb cb,
                  void *data);
    void (*start)(worker_t *worker, const worker_start_t *task, worker_cb cb,
                  void *data);
    void (*act)(worker_t *worker, const char *job_id, uint32_t attempt,
                worker_action_t action, uint32_t value, worker_cb cb,
                void *data);
    void (*free)(worker_t *worker);
} worker_vtbl_t;

struct worker {
    const worker_vtbl_t *vtbl;
};

#ifdef __cplusplus
}
#endif

#endif
