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
 * enum task_state - what the agent wants the worker to do next
 */
typedef enum task_state {
    TASK_STARTING,   /* the worker has not confirmed the start */
    TASK_ACTIVE,     /* on the worker, running or suspended */
    TASK_STOPPING,   /* the worker has not confirmed the stop */
    TASK_ENDED,      /* reported until the coordinator answers */
    TASK_RELEASING,  /* its effects are to be published */
    TASK_FORGETTING, /* the worker has not confirmed that it forgot it */
    TASK_GONE,       /* to be freed */
} task_state_t;

struct task_runner;

/**
 * struct task - an attempt of a job on this instance
 * @size: reserved in the ledger while @reserved
 * @excess: reserved beyond the size because the task uses more
 * @sent: its start may have reached the worker
 * @call_pending: a call to the worker is not answered yet
 * @confirmed_watch: watches that began later than this one list the task
 * @worker_suspended: state according to the worker
 * @throttle: percent of full speed according to the worker
 * @level: what pressure asks for
 * @stop_reason: while stopping
 * @checkpoint: of the start, then of the stop
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
    bool sent;
    bool call_pending;
    uint64_t confirmed_watch;
    bool worker_suspended;
    uint32_t throttle;
    pressure_level_t level;
    Teasel__StopReason stop_reason;
    Teasel__Outcome outcome;
    char *detail;
    char *spec;
    uint64_t checkpoint_ms; /* interval of checkpoints, 0 if unknown */
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
 * task_set_start() - take size, specification and checkpoint of a message
 */
void task_set_start(task_t *task, const Teasel__StartTask *message);

/**
 * task_set_measured() - take over what the worker reports
 */
void task_set_measured(task_t *task, const worker_task_t *status);

/**
 * task_get_lost_ms() - work that an eviction would lose
 */
uint64_t task_get_lost_ms(const task_t *task);

/**
 * task_is_on_worker() - the task may use processors and memory
 */
bool task_is_on_worker(const task_t *task);

/**
 * task_fill_report() - describe an ended task; valid until it changes
 */
void task_fill_report(const task_t *task, Teasel__TaskReport *report);

#ifdef __cplusplus
}
#endif

#endif
