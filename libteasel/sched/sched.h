#ifndef TEASEL_SCHED_SCHED_H
#define TEASEL_SCHED_SCHED_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"
#include "sched/evacuation.h"
#include "sched/executor.h"
#include "sched/job.h"
#include "sched/job_admission.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Scheduler of jobs of several steps. The module does no I/O: its owner passes
 * in the reports of executors, writes the changed records, and sends the
 * orders whose record is stored.
 */

typedef struct sched sched_t;

/**
 * struct sched_opts - options of sched_new()
 * @predecessor_lease_ms: longest time for which a lease from an earlier leader
 *     may last; after it, all runs on an executor that is known only from the
 *     store have ended
 * @max_lease_ms: the same on an executor that may hold the longest lease that
 * it accepts; see docs/design.md, section 14
 * @retain_ms: a final job is removed after this time
 * @stop_ms: longest time that an executor takes to stop a run
 * @record_bytes: longest record that the store takes, with its key
 * @evacuation: data centres in which no run may be started; owned by the
 *     caller, which calls sched_note_evacuation() after a change. Nothing is
 *     placed before the set is known. NULL for none.
 * @remote_factor: how many times as long a task runs on another rack than its
 *     data's; below 1.0 for 1.0
 */
typedef struct sched_opts {
    const clock_source_t *clock;
    int64_t predecessor_lease_ms;
    int64_t max_lease_ms;
    int64_t retain_ms;
    int64_t stop_ms;
    size_t record_bytes;
    const evacuation_t *evacuation;
    double remote_factor;
} sched_opts_t;

/**
 * struct sched_change - a record to be written
 * @value: NULL to delete the key
 */
typedef struct sched_change {
    char *key;
    GByteArray *value;
} sched_change_t;

/**
 * sched_changes_new() - create an array of sched_change_t that owns them
 */
GPtrArray *sched_changes_new(void);

/**
 * sched_changes_add() - append a change
 * @value: ownership is taken
 */
void sched_changes_add(GPtrArray *changes, const char *key, GByteArray *value);

sched_t *sched_new(const sched_opts_t *opts);
void sched_free(sched_t *sched);

/**
 * sched_load() - load a stored job
 * @key: key of the record, which is the id of the job
 *
 * Return: false if the record is malformed, or the job is loaded already.
 */
bool sched_load(sched_t *sched, const char *key, const void *record,
                size_t length, GError **error);

/* Key of the record of learned estimates; no job has such an id. */
#define SCHED_LEARNED_KEY "@learned"

/**
 * sched_load_learned() - load the estimates that an earlier leader stored
 *
 * Return: false if the record is malformed.
 */
bool sched_load_learned(sched_t *sched, const void *record, size_t length);

/**
 * sched_check_size() - check whether the record of a new job can be stored
 * @error: names the job and the limit
 */
bool sched_check_size(const sched_t *sched, const Teasel__JobSpec *spec,
                      GError **error);

/**
 * sched_check_admission() - check whether there will be capacity for a new job
 * while it is of use
 * @admission: receives the values that decided
 *
 * Return: false if the job has to be refused.
 */
bool sched_check_admission(sched_t *sched, const Teasel__JobSpec *spec,
                           job_admission_t *admission);

/**
 * sched_note_refused() - record that a new job was refused, for whatever
 * reason; if it is submitted again, its age counts from the first time
 */
void sched_note_refused(sched_t *sched, const Teasel__JobSpec *spec);

/**
 * sched_submit() - accept a job, unless a job with the same id exists
 * @spec: ownership is taken in either case
 *
 * Return: the new or the existing job.
 */
sched_job_t *sched_submit(sched_t *sched, Teasel__JobSpec *spec);
sched_job_t *sched_find(sched_t *sched, const char *id);

/**
 * sched_cancel() - cancel a job, unless it is final
 */
void sched_cancel(sched_t *sched, sched_job_t *job);

/**
 * sched_withdraw() - remove a job if no record of it was handed out for
 * writing
 *
 * Return: false if a record of it may be stored already.
 */
bool sched_withdraw(sched_t *sched, sched_job_t *job);

/**
 * sched_count_pending() - count the stored jobs of a queue that have not
 * started
 */
uint32_t sched_count_pending(const sched_t *sched, const char *queue);

/**
 * sched_apply_report() - process an agent's report on an executor
 * @node: name of the agent
 */
void sched_apply_report(sched_t *sched, const char *node,
                        const Teasel__ExecutorReport *report);

/**
 * sched_apply_crash() - process an agent's report that an executor crashed
 * just after it had started a run
 */
void sched_apply_crash(sched_t *sched, const Teasel__CrashedRun *run);

/**
 * sched_set_stale_leader() - note whether an earlier leader may still extend
 * leases
 *
 * While it may, no executor of which nothing was heard is treated as lost, and
 * after that not before the end of the longest lease.
 */
void sched_set_stale_leader(sched_t *sched, bool possible);

/**
 * sched_note_pause() - note that the caller has just stood still
 * @pause_ms: how long; no report was applied in this time, so no run is judged
 *     by it
 */
void sched_note_pause(sched_t *sched, int64_t pause_ms);

/**
 * sched_note_evacuation() - note that the set of evacuated data centres has
 * changed
 */
void sched_note_evacuation(sched_t *sched);

/**
 * struct sched_evacuation_counts - runs that were taken from executors in
 * evacuated data centres
 * @released: runs whose start had not been sent
 * @stopped: runs that were ordered to stop, as they were not known to run
 */
typedef struct sched_evacuation_counts {
    uint64_t released;
    uint64_t stopped;
} sched_evacuation_counts_t;

sched_evacuation_counts_t sched_count_evacuated(const sched_t *sched);

/**
 * sched_disconnect() - mark the executors of a node as disconnected
 */
void sched_disconnect(sched_t *sched, const char *name);

/**
 * sched_extend_leases() - record a lease for the connected executors of a node
 * @until_ms: time by which all runs on them have ended unless the lease is
 *     renewed
 */
void sched_extend_leases(sched_t *sched, const char *name, int64_t until_ms);

/**
 * sched_run() - handle expired timers and place waiting tasks
 */
void sched_run(sched_t *sched);

/**
 * sched_take_changes() - begin a write of the changed records
 * @changes: from sched_changes_new()
 * @max_bytes: the write ends with the record with which it reaches this size
 *
 * A record that the store would refuse is kept back, with the orders of its
 * job, until it has become shorter.
 *
 * Only one write may be pending: until sched_commit() is called, further calls
 * return false.
 *
 * Return: true if sched_commit() has to be called, even if @changes is empty.
 */
bool sched_take_changes(sched_t *sched, GPtrArray *changes, size_t max_bytes);

/**
 * sched_commit() - complete the pending write after its records are stored
 */
void sched_commit(sched_t *sched);

/**
 * sched_take_orders() - return the orders for an executor that may be sent now
 *
 * Starts for an evacuated data centre are kept back until sched_run() has
 * ended or stopped these runs.
 *
 * Return: the message, to be freed with sched_orders_free(), or NULL if there
 * is nothing to send.
 */
Teasel__ExecutorOrders *sched_take_orders(const sched_t *sched,
                                          sched_executor_t *executor);
void sched_orders_free(Teasel__ExecutorOrders *orders);

/**
 * sched_log_load() - log a summary of executors, tasks and CPU use
 */
void sched_log_load(const sched_t *sched);

/**
 * sched_log_idle() - log long-running tasks and other jobs that have had no
 * run for some time, and why
 */
void sched_log_idle(const sched_t *sched);

const list_t *sched_get_executors(const sched_t *sched);

/**
 * sched_find_node() - find an agent by name
 *
 * Return: the agent, or NULL if it has reported no executor.
 */
const sched_node_t *sched_find_node(const sched_t *sched, const char *name);
const list_t *sched_get_active_jobs(const sched_t *sched);

#ifdef __cplusplus
}
#endif

#endif
