#ifndef TEASEL_AGENT_TASK_RUNNER_INTERNAL_H
#define TEASEL_AGENT_TASK_RUNNER_INTERNAL_H

#include "agent/task.h"
#include "agent/task_runner.h"
#include "batch/lease.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct task_runner - state of the runner, private to task_*.c
 * @sequence: number of the latest heartbeat
 * @expired: the lease has expired and the tasks stay suspended
 * @resume_blocked: suspended tasks must not be resumed, because the
 *     coordinator may still discard them; initially true, because the lease
 *     that the agent held before a restart may have expired
 * @resume_sequence: the renewal that answers this heartbeat, or a later one,
 *     clears @expired and @resume_blocked; 0 if not yet chosen
 * @renewing: a renewal of the worker's lease is not answered yet
 * @renew_until: end of the lease that this renewal asks for
 * @worker_leased: the worker has confirmed a lease since its last restart
 * @worker_lease_end: end of the lease that the worker has confirmed
 * @worker_status_known: the worker has reported a status since the agent
 *     started
 * @worker_answering: the latest watch succeeded
 * @worker_status_time: time of the latest status
 * @watch_number: number of the latest watch
 * @reserved: part of @opts.reserved for which there was capacity
 * @overuse_evicted: @overuse_time is valid
 * @overuse_time: time of the latest eviction for memory overuse
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
    bool worker_status_known;
    bool worker_answering;
    uint64_t worker_incarnation;
    uint64_t worker_version;
    struct timespec worker_status_time;
    uint64_t watch_number;
    loop_timer_t watch_timer;
    ledger_amount_t reserved;
    pressure_t pressure;
    bool overuse_evicted;
    struct timespec overuse_time;
    metric_t started;
    metric_t evicted;
    metric_t expirations;
    metric_t running;
};

/* task_calls.c: calls to the worker that bring a task to its wanted state */

/**
 * task_step() - make the next call to the worker that the state of the task
 * requires, unless a call is pending
 */
void task_step(task_t *task);
void task_step_all(task_runner_t *runner);

/**
 * task_stop() - stop the task on the worker, or end it if its start was never
 * sent
 */
void task_stop(task_t *task, Teasel__StopReason reason);

/**
 * task_end() - release the resources of a task that no longer runs and report
 * its outcome
 */
void task_end(task_t *task, Teasel__Outcome outcome, const char *detail);

/**
 * task_reserve() - reserve the size of the task in the ledger
 * @missing: set to a resource that does not suffice; may be NULL
 *
 * Return: false if a resource does not suffice; nothing is then reserved.
 */
bool task_reserve(task_t *task, ledger_kind_t *missing);

/**
 * task_unreserve() - release the size and the excess of the task
 */
void task_unreserve(task_t *task);

/* task_watch.c: follows the status of the worker */
void task_watch_start(task_runner_t *runner);

/* task_lease.c: leases of the agent and of its worker */

/**
 * task_lease_renew() - handle a renewal and pass it on to the worker
 */
void task_lease_renew(task_runner_t *runner, const Teasel__Renew *renew);

/**
 * task_lease_is_live() - check whether the lease of the agent is valid
 */
bool task_lease_is_live(const task_runner_t *runner);

/**
 * task_lease_is_worker_live() - check whether the lease that the worker has
 * confirmed is valid, so that it runs a task started now
 */
bool task_lease_is_worker_live(const task_runner_t *runner);

/* task_report.c: messages to the coordinator */
void task_report_send(task_t *task);
void task_report_send_all(task_runner_t *runner);
void task_report_send_heartbeat(task_runner_t *runner);

/* task_excess.c: tasks that use more resources than they declared */

/**
 * task_excess_update() - reserve what the task uses beyond its size, and evict
 * a task if the memory of the worker does not suffice
 */
void task_excess_update(task_t *task);

/* task_pressure.c: throttling and eviction under interactive load */

/**
 * task_pressure_update() - change the pressure level of at most one task to
 * follow the interactive load
 */
void task_pressure_update(task_runner_t *runner);

#ifdef __cplusplus
}
#endif

#endif
