#ifndef TEASEL_SCHED_SCHED_H
#define TEASEL_SCHED_SCHED_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"
#include "sched/executor.h"
#include "sched/job.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Decisions on jobs of several steps. The module does no I/O: its owner
 * delivers reports of executors, writes the changed records, and sends orders
 * whose record is stored.
 */

typedef struct sched sched_t;

/**
 * struct sched_opts - options of sched_new()
 * @lapse_ms: an executor that a predecessor may have leased has ended
 *     everything after this time
 * @retain_ms: a final job is forgotten after this time
 * @stop_ms: longest time that an executor takes to stop a run
 */
typedef struct sched_opts {
    const clock_source_t *clock;
    int64_t lapse_ms;
    int64_t retain_ms;
    int64_t stop_ms;
} sched_opts_t;

/**
 * struct sched_change - a record to be written
 * @value: NULL to drop the key
 */
typedef struct sched_change {
    char *key;
    GByteArray *value;
} sched_change_t;

sched_t *sched_new(const sched_opts_t *opts);
void sched_free(sched_t *sched);

/**
 * sched_load() - take over a stored job
 *
 * Return: false if the record is malformed
 */
bool sched_load(sched_t *sched, const void *record, size_t length,
                GError **error);

/* Key of the record of what was learned; no job has such an id. */
#define SCHED_LEARNED_KEY "@learned"

/**
 * sched_load_learned() - take over what a predecessor has learned
 *
 * Return: false if the record is malformed
 */
bool sched_load_learned(sched_t *sched, const void *record, size_t length);

/**
 * sched_submit() - accept a job, unless one of its id is known
 * @spec: taken over
 *
 * Return: the new or the known job
 */
sched_job_t *sched_submit(sched_t *sched, Teasel__JobSpec *spec);
sched_job_t *sched_find(sched_t *sched, const char *id);

/**
 * sched_cancel() - cancel a job, unless it is final
 */
void sched_cancel(sched_t *sched, sched_job_t *job);

/**
 * sched_withdraw() - forget a job whose record was never taken to be written
 *
 * Return: false if it may be stored already
 */
bool sched_withdraw(sched_t *sched, sched_job_t *job);

/**
 * sched_count_pending() - stored jobs of a queue that have not started
 */
uint32_t sched_count_pending(const sched_t *sched, const char *queue);

/**
 * sched_apply_report() - take over what an agent reports of an executor
 */
void sched_apply_report(sched_t *sched, const char *node,
                        const Teasel__ExecutorReport *report);

/**
 * sched_disconnect() - the agent of a node is not connected any more
 */
void sched_disconnect(sched_t *sched, const char *node);

/**
 * sched_extend_leases() - the executors of a node were leased
 * @until_ms: everything on them has ended by then unless leased again
 */
void sched_extend_leases(sched_t *sched, const char *node, int64_t until_ms);

/**
 * sched_run() - do what is due, and place waiting tasks
 */
void sched_run(sched_t *sched);

/**
 * sched_take_changes() - begin a write of the changed records
 * @changes: gets sched_change_t, which own their memory
 *
 * The next call must follow sched_commit().
 *
 * Return: true if there is anything to commit, even without changes
 */
bool sched_take_changes(sched_t *sched, GPtrArray *changes);

/**
 * sched_commit() - the records of the last sched_take_changes() are stored
 */
void sched_commit(sched_t *sched);

/**
 * sched_take_orders() - orders for an executor that may be sent now
 *
 * Return: the message, to be freed with sched_orders_free(), or NULL if there
 * is nothing to send
 */
Teasel__ExecutorOrders *sched_take_orders(sched_executor_t *executor);
void sched_orders_free(Teasel__ExecutorOrders *orders);

/**
 * sched_log_load() - write the load of the executors to the log
 */
void sched_log_load(const sched_t *sched);

const list_t *sched_get_executors(const sched_t *sched);
const list_t *sched_get_active_jobs(const sched_t *sched);

#ifdef __cplusplus
}
#endif

#endif
