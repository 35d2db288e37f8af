#ifndef TEASEL_AGENT_TASK_RUNNER_H
#define TEASEL_AGENT_TASK_RUNNER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/loop.h"
#include "base/metrics.h"
#include "batch/pressure.h"
#include "worker/worker.h"
#include "request/ledger.h"
#include "wire/teasel.pb-c.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct task_runner task_runner_t;

/**
 * struct task_runner_handler - callbacks to the agent
 * @send: send a message to the coordinator; returns false if not connected
 * @fill_heartbeat: fill in the fields that the runner does not set itself
 * @get_load_percent: return the interactive load, from which the pressure
 *     levels of the tasks follow
 * @on_contact: called when a message with an accepted epoch arrived
 * @on_idle: called when no task is left while leaving
 */
typedef struct task_runner_handler {
    bool (*send)(const Teasel__Envelope *message, void *data);
    void (*fill_heartbeat)(Teasel__Heartbeat *heartbeat, void *data);
    uint32_t (*get_load_percent)(void *data);
    void (*on_contact)(uint64_t epoch, void *data);
    void (*on_idle)(void *data);
} task_runner_handler_t;

/**
 * struct task_runner_opts - options of task_runner_new()
 * @ledger: shared with the executor of interactive requests
 * @reserved: resources kept for interactive requests; reserved in the ledger
 *     once the capacity of the worker is known
 * @worker_silence_ms: if the worker did not answer for this long, no heartbeat
 *     is sent, so that the coordinator starts its tasks on other workers
 */
typedef struct task_runner_opts {
    loop_t *loop;
    const clock_source_t *clock;
    metrics_t *metrics;
    worker_t *worker;
    ledger_t *ledger;
    ledger_amount_t reserved;
    const char *agent_id;
    uint64_t incarnation;
    uint64_t heartbeat_ms;
    uint64_t worker_silence_ms;
    pressure_opts_t pressure;
    const task_runner_handler_t *handler;
    void *data;
} task_runner_opts_t;

task_runner_t *task_runner_new(const task_runner_opts_t *opts);
void task_runner_free(task_runner_t *runner);

/**
 * task_runner_on_message() - handle a message of the coordinator
 */
void task_runner_on_message(task_runner_t *runner,
                            const Teasel__Envelope *message);

/**
 * task_runner_note_epoch() - record the epoch of a claim on the log
 *
 * Messages with an older epoch are refused from then on.
 */
void task_runner_note_epoch(task_runner_t *runner, uint64_t epoch);

/**
 * task_runner_on_connected() - send all unacknowledged reports and a heartbeat
 * at once
 */
void task_runner_on_connected(task_runner_t *runner);

/**
 * task_runner_check_lease() - suspend the tasks if the lease has expired
 *
 * Must be called before anything else after the process was suspended.
 */
void task_runner_check_lease(task_runner_t *runner);

/**
 * task_runner_set_leaving() - start or stop leaving
 *
 * A leaving runner refuses new tasks and evicts the others, whose checkpoints
 * let the coordinator continue them on another worker.
 */
void task_runner_set_leaving(task_runner_t *runner, bool leaving);

/**
 * task_runner_set_pressure() - set the pressure thresholds and weights
 */
void task_runner_set_pressure(task_runner_t *runner,
                              const pressure_opts_t *opts);

/**
 * task_runner_is_idle() - check that no task is left, except for tasks
 * in state TASK_FORGOTTEN
 */
bool task_runner_is_idle(const task_runner_t *runner);

/**
 * task_runner_get_capacity() - get the capacity of the ledger
 *
 * The worker's processors, memory and accelerators are zero until its first
 * status is known.
 */
ledger_amount_t task_runner_get_capacity(const task_runner_t *runner);

#ifdef __cplusplus
}
#endif

#endif
