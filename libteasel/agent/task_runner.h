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
 * struct task_runner_handler - what the runner needs from the agent
 * @send: send a message to the coordinator; false if it is not connected
 * @fill_heartbeat: add what the runner does not know
 * @get_load_percent: interactive load, for pressure
 * @on_contact: a message with an accepted epoch arrived
 * @on_idle: called when the last task is gone while leaving
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
 * @ledger: shared with the interactive side
 * @reserved: kept for the interactive side; taken out of the ledger once the
 *     capacity of the worker is known
 * @worker_silence_ms: no heartbeat is sent if the worker did not answer for
 *     this long, so that the coordinator gives its tasks to others
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
 * task_runner_on_message() - a message of the coordinator
 */
void task_runner_on_message(task_runner_t *runner,
                            const Teasel__Envelope *message);

/**
 * task_runner_note_epoch() - a claim of this epoch is on the log
 */
void task_runner_note_epoch(task_runner_t *runner, uint64_t epoch);

/**
 * task_runner_on_connected() - send reports and a heartbeat at once
 */
void task_runner_on_connected(task_runner_t *runner);

/**
 * task_runner_check_lease() - suspend the tasks if the lease has expired;
 * called before anything else after the process was frozen
 */
void task_runner_check_lease(task_runner_t *runner);

/**
 * task_runner_set_leaving() - refuse new tasks and hand the others over by
 * checkpoint
 */
void task_runner_set_leaving(task_runner_t *runner, bool leaving);
void task_runner_set_pressure(task_runner_t *runner,
                              const pressure_opts_t *opts);
bool task_runner_is_idle(const task_runner_t *runner);

/**
 * task_runner_get_capacity() - of the worker, all zero before it is known
 */
ledger_amount_t task_runner_get_capacity(const task_runner_t *runner);

#ifdef __cplusplus
}
#endif

#endif
