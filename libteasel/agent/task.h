#ifndef TEASEL_AGENT_TASK_H
#define TEASEL_AGENT_TASK_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/list.h"
#include "batch/pressure.h"
#include "worker/worker.h"
#include "request/ledger.h"
#include "wire/teasel.pb-c.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * enum task_state - state of a task, which determines the next call to the
 * worker
 */
typedef enum task_state {
    TASK_STARTING,   /* the worker has not confirmed the start */
    TASK_ACTIVE,     /* on the worker, running or suspended */
    TASK_STOPPING,   /* the worker has not confirmed the stop */
    TASK_ENDED,      /* reported until the coordinator releases or discards
                        it */
    TASK_RELEASING,  /* the worker has not confirmed that it published the
                        effects */
    TASK_FORGETTING, /* the worker has not confirmed that it deleted its record
                        of the task */
    TASK_FORGOTTEN,  /* freed once the worker no longer lists it */
} task_state_t;

struct task_runner;

/**
 * struct task - an attempt of a job on this agent's worker
 * @size: declared resources, reserved in the ledger while @reserved
 * @excess: resources reserved beyond @size, because the task uses more
 * @start_sent: the start may have reached the worker
 * @call_pending: a call to the worker is not answered yet
 * @confirmed_watch: number of the latest watch when a call last ended; only
 *     watches that began later reflect that call
 * @worker_suspended: the task is suspended according to the worker
 * @throttle: speed in percent of full speed according to the worker
 * @level: pressure level in force for the task
 * @stop_reason: valid while stopping
 * @outcome: valid once ended
 * @checkpoint_ms: interval of checkpoints, 0 if unknown
 * @checkpoint: checkpoint to start from, then the one returned by the stop
 * @progress_ms: work done according to the worker
 * @cpu_milli: measured CPU use in thousandths of a processor
 * @memory_mb: measured memory use
 */
typedef struct task {
    list_t link;
    struct task_runner *runner;
    char *job_id;
    uint32_t attempt;
    task_state_t state;
    ledger_amount_t size;
    ledger_amount_t excess;
    bool reserved;
    bool start_sent;
    bool call_pending;
    uint64_t confirmed_watch;
    bool worker_suspended;
    uint32_t throttle;
    pressure_level_t level;
    Teasel__StopReason stop_reason;
    Teasel__Outcome outcome;
    char *detail;
    char *spec;
    uint64_t checkpoint_ms;
    GBytes *checkpoint;
    uint64_t progress_ms;
    uint32_t cpu_milli;
    uint64_t memory_mb;
    uint32_t peak_cpu_milli;
    uint64_t peak_memory_mb;
} task_t;

task_t *task_new(struct task_runner *runner, const char *job_id,
                 uint32_t attempt);
void task_free(task_t *task);

/**
 * task_set_start() - copy the size, specification and checkpoint of a
 * StartTask message
 */
void task_set_start(task_t *task, const Teasel__StartTask *message);

/**
 * task_set_measured() - copy the progress, measured use and state that the
 * worker reports
 */
void task_set_measured(task_t *task, const worker_task_t *status);

/**
 * task_get_lost_ms() - get the work since the last checkpoint, in ms, which an
 * eviction would lose
 */
uint64_t task_get_lost_ms(const task_t *task);

/**
 * task_is_on_worker() - check whether the task may use processors and memory
 * of the worker
 */
bool task_is_on_worker(const task_t *task);

/**
 * task_fill_report() - fill in a report of an ended task
 *
 * @report points into @task and is valid until the task changes.
 */
void task_fill_report(const task_t *task, Teasel__TaskReport *report);

#ifdef __cplusplus
}
#endif

#endif
