#ifndef TEASEL_SCHED_EXECUTOR_H
#define TEASEL_SCHED_EXECUTOR_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/list.h"
#include "sched/job.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct sched_resources - processors, memory and accelerators
 */
typedef struct sched_resources {
    uint64_t cpu_milli;
    uint64_t memory_mb;
    uint64_t accelerators;
} sched_resources_t;

/**
 * struct sched_orphan - a reported run that belongs to no task
 * @size: what it reserves on its executor; zero if its job is not known
 * @best_effort: it is a best-effort run
 * @report: number of the newest report that contained it
 * @stop_due: a stop has to be sent
 */
typedef struct sched_orphan {
    char *task;
    uint32_t run;
    sched_resources_t size;
    bool best_effort;
    uint64_t report;
    bool stop_due;
} sched_orphan_t;

/**
 * struct sched_node - node agent
 * @executors: list of the executors that it reports
 */
typedef struct sched_node {
    char *name;
    list_t executors;
} sched_node_t;

sched_node_t *sched_node_new(const char *name);
void sched_node_free(sched_node_t *node);

/**
 * struct sched_executor - one incarnation of an executor
 * @key: unique name of this incarnation
 * @number: differs from that of any other incarnation that this leader knew
 * @node: agent that reports it, NULL before the first report
 * @connected: its agent is connected
 * @listed: its agent has sent a complete list of runs on this connection
 * @leaves_ms: when a draining executor may leave
 * @expiry_ms: when the lease expires, by which time all its runs have ended;
 *     a renewal extends it
 * @heard_ms: time of the last report on it, or 0
 * @capacity: resources that it offers
 * @reserved: resources of the tasks that may run on it, and of the orphans,
 *     without the CPU share of best-effort ones
 * @worker: number of the worker, see sched_executor_key_worker()
 * @best_effort_cpu: CPU share that the best-effort ones request, in milli-CPU
 * @serving: number of tasks on it with a latency target
 * @serving_cpu: CPU share that these reserve, in milli-CPU
 * @stopping: number of tasks in phase SCHED_TASK_STOPPING
 * @trials: number of tasks on it that are on trial
 * @trial_failed_ms: when a trial on it last ended with its run; at first when
 * it became known, as a trial may have crashed its predecessor
 * @slowdown: highest slowdown of a best-effort task on it, in percent
 * @end_seen: number of the newest run end that was processed
 * @end_pending: value of @end_seen when the pending write was prepared
 * @end_stored: newest run end whose effect is stored; the executor may discard
 *     its ends up to this number
 * @end_sent: last cursor that was sent to the agent
 * @traits_unsent: the agent may have restarted and needs the traits of the
 *     runs on this executor
 * @orders: tasks with a start or stop to be sent
 * @orphans: runs without a task that have not ended
 * @run_time_ratio: moving average of run times relative to those on other
 *     executors; 1.0 is normal
 * @consecutive_failures: number of different jobs that failed in a row
 * @last_failed_job: sequence number of the latest of these jobs
 * @probation_ms: no new tasks are placed here before this time
 */
struct sched_executor {
    list_t link;
    list_t node_link;
    char *key;
    uint64_t number;
    uint32_t worker;
    sched_node_t *node;
    char *service;
    char *data_centre;
    char *rack;
    char **labels;
    bool connected;
    bool listed;
    bool draining;
    int64_t leaves_ms;
    int64_t expiry_ms;
    int64_t heard_ms;
    sched_resources_t capacity;
    sched_resources_t reserved;
    uint64_t best_effort_cpu;
    uint32_t serving;
    uint64_t serving_cpu;
    uint32_t stopping;
    uint32_t trials;
    int64_t trial_failed_ms;
    uint32_t slowdown;
    uint64_t end_seen;
    uint64_t end_pending;
    uint64_t end_stored;
    uint64_t end_sent;
    bool traits_unsent;
    list_t tasks;
    list_t orders;
    GPtrArray *orphans; /* sched_orphan_t */
    double run_time_ratio;
    uint32_t consecutive_failures;
    uint64_t last_failed_job;
    int64_t probation_ms;
};

/*
 * A key has the form ADDRESS/ID/STARTED, where STARTED is the wall-clock time
 * in ms at which this incarnation started.
 */

/**
 * sched_executor_key() - format the key of an incarnation
 *
 * Return: the key; free with g_free().
 */
char *sched_executor_key(const char *address, const char *id,
                         int64_t started_ms);

/**
 * sched_executor_key_started_ms() - return the wall-clock time at which an
 * incarnation started
 */
int64_t sched_executor_key_started_ms(const char *key);

/* Number of longest leases for which an executor is young. */
enum {
    SCHED_YOUNG_LEASES = 2
};

/* Numbers of workers; the first one stands for several in a record. */
enum {
    SCHED_SEVERAL_WORKERS = 1,
    SCHED_FIRST_WORKER,
    SCHED_LAST_WORKER = 127, /* has one byte in a record */
};

/**
 * sched_executor_key_worker() - return a number of the worker that an
 * incarnation runs on, which is what has its address
 *
 * Return: the number, or 0 if @key is empty. Two workers have the same one by
 * chance once in 126.
 */
uint32_t sched_executor_key_worker(const char *key);

/**
 * sched_executor_key_replaces() - check for a later incarnation
 *
 * Return: true if @later names an incarnation that started later than @older
 * at the same address, which implies that @older has ended.
 */
bool sched_executor_key_replaces(const char *later, const char *older);

/**
 * sched_executor_key_restarts() - check for a later incarnation under the same
 * id
 *
 * Calls name an incarnation by the id of its executor, so those that were sent
 * to @older may have been carried out by @later.
 */
bool sched_executor_key_restarts(const char *later, const char *older);

sched_executor_t *sched_executor_new(const char *key);
void sched_executor_free(sched_executor_t *executor);

/**
 * sched_executor_set_node() - record which agent reports an executor
 */
void sched_executor_set_node(sched_executor_t *executor, sched_node_t *node);

/**
 * sched_executor_update() - copy the description of an executor from a report
 */
void sched_executor_update(sched_executor_t *executor,
                           const Teasel__ExecutorReport *report,
                           int64_t now_ms);

/**
 * sched_executor_get_lease_end_ms() - return the time by which a lease has
 * surely ended on the clock of an executor
 * @now_ms: time from which it is counted
 */
int64_t sched_executor_get_lease_end_ms(int64_t now_ms, int64_t lease_ms);

/**
 * sched_executor_skip_time() - leave out time without reports where the
 * progress and the slowdown of the runs are judged
 * @skipped_ms: length of this time, which ends now
 */
void sched_executor_skip_time(sched_executor_t *executor, int64_t skipped_ms,
                              int64_t now_ms);

/**
 * sched_executor_attach() - assign a task to an executor and reserve its
 * resources
 */
void sched_executor_attach(sched_executor_t *executor, sched_task_t *task);

/**
 * sched_executor_detach() - release the resources of a task and remove it from
 * its executor, if it has one
 */
void sched_executor_detach(sched_task_t *task);

/**
 * sched_executor_update_slowdown() - set the highest slowdown of the tasks on
 * an executor
 */
void sched_executor_update_slowdown(sched_executor_t *executor);

/**
 * sched_executor_note_orphan() - record a reported run that has to be stopped,
 * and reserve its resources until it is gone
 * @spec: its step, or NULL if its job is not known
 * @report: number of the report
 */
void sched_executor_note_orphan(sched_executor_t *executor,
                                const Teasel__RunStatus *status,
                                const Teasel__StepSpec *spec, uint64_t report);

/**
 * sched_executor_remove_orphan() - release the resources of a run that has
 * ended
 *
 * Return: true if it was an orphan.
 */
bool sched_executor_remove_orphan(sched_executor_t *executor, const char *task,
                                  uint32_t run);

/**
 * sched_executor_remove_unlisted_orphans() - release the resources of the runs
 * that a complete list lacks
 * @report: number of the report with the list
 *
 * Return: true if there were any.
 */
bool sched_executor_remove_unlisted_orphans(sched_executor_t *executor,
                                            uint64_t report);

bool sched_executor_has_label(const sched_executor_t *executor,
                              const char *label);

/**
 * sched_step_is_remote() - check whether a step's data is on another rack than
 * an executor
 */
bool sched_step_is_remote(const sched_step_t *step,
                          const sched_executor_t *executor);

#ifdef __cplusplus
}
#endif

#endif
