#ifndef TEASEL_AGENT_TASK_RUNNER_INTERNAL_H
#define TEASEL_AGENT_TASK_RUNNER_INTERNAL_H

#include "agent/task.h"
#include "agent/task_runner.h"
#include "batch/lease.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct task_runner - shared by the files task_*.c
 * @expired: the lease has run out and the tasks stay suspended
 * @resume_blocked: the coordinator may still discard suspended tasks; true
 *     also after the start of the agent, whose predecessor's lease may have
 *     run out
 * @resume_sequence: heartbeat whose renewal ends both; 0 if not yet chosen
 * @worker_lease_end: of the lease that the worker has confirmed
 * @watch: number of the latest watch
 */
struct task_runner {
    task_runner_opts_t opts;
    list_t tasks;
    lease_t lease;
    loop_timer_t lease_timer;
    loop_timer_t tick_timer;
    uint64_t sequence;
    bool expired;
    bool resume_blocked;
    uint64_t resume_sequence;
    bool leaving;
    bool renewing;
    struct timespec renew_until;
    bool worker_leased;
    struct timespec worker_lease_end;
    bool worker_known;
    bool worker_answering;
    uint64_t worker_incarnation;
    uint64_t worker_version;
    struct timespec worker_heard;
    uint64_t watch;
    loop_timer_t watch_timer;
    ledger_amount_t reserved; /* of opts.reserved, what fitted */
    pressure_t pressure;
    bool overuse_evicted;
    struct timespec overuse_time; /* of the latest eviction for overuse */
    metric_t started;
    metric_t evicted;
    metric_t expirations;
    metric_t running;
};

/* task_calls.c: calls to the worker that bring a task to its wanted state. */

/**
 * task_step() - make the next call for a task, unless one is pending; frees
 * the task if it is gone
 */
void task_step(task_t *task);
void task_step_all(task_runner_t *runner);

/**
 * task_stop() - stop the task on the worker, or end it if it is not there
 */
void task_stop(task_t *task, Teasel__StopReason reason);

/**
 * task_end() - the task no longer runs; give back its resources and report
 */
void task_end(task_t *task, Teasel__Outcome outcome, const char *detail);

/**
 * task_reserve() - take the size of the task out of the ledger
 */
bool task_reserve(task_t *task, ledger_kind_t *missing);
void task_unreserve(task_t *task);

/* task_watch.c: follows the state of the worker. */
void task_watch_start(task_runner_t *runner);

/* task_lease.c: lease of the agent and of its worker. */
void task_lease_renew(task_runner_t *runner, const Teasel__Renew *renew);
bool task_lease_is_live(const task_runner_t *runner);

/**
 * task_lease_is_worker_live() - the worker runs what is started now
 */
bool task_lease_is_worker_live(const task_runner_t *runner);

/* task_report.c: messages to the coordinator. */
void task_report_send(task_t *task);
void task_report_send_all(task_runner_t *runner);
void task_report_send_heartbeat(task_runner_t *runner);

/* task_excess.c: tasks that use more than they declared. */

/**
 * task_excess_update() - reserve what the task uses beyond its size; evict if
 * the worker runs out of memory
 */
void task_excess_update(task_t *task);

/* task_pressure.c: batch gives way to interactive load. */
void task_pressure_update(task_runner_t *runner);

#ifdef __cplusplus
}
#endif

#endif
