#ifndef TEASEL_SCHED_BACKLOG_H
#define TEASEL_SCHED_BACKLOG_H

#include <glib.h>

#include "sched/drain_rate.h"
#include "sched/job_order.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct backlog - summary of the work of one service, as of the last sort of
 * the jobs
 * @entries: backlog_entry_t, in the order of the jobs
 * @waiting_work: of all entries, in core-ms
 * @busy_cores: cores of the tasks that are at work, relative to their
 *     estimates: they finish so many core-ms of estimated work in a ms
 * @drain_rate: in core-ms of estimated work
 *
 * Long-running tasks are not part of it, as they don't end.
 */
typedef struct backlog {
    GArray *entries;
    double waiting_work;
    double busy_cores;
    drain_rate_t drain_rate;
} backlog_t;

backlog_t *backlog_new(void);
void backlog_free(backlog_t *backlog);

/**
 * backlog_clear() - begin a new summary; the drain rate is kept
 */
void backlog_clear(backlog_t *backlog);

/**
 * backlog_add_job() - add a job, after all that go before it
 * @estimate_error: see job_order_update()
 */
void backlog_add_job(backlog_t *backlog, const sched_job_t *job,
                     double estimate_error);

/**
 * backlog_get_work_before() - return the waiting work that goes before a rank,
 * in core-ms
 */
double backlog_get_work_before(const backlog_t *backlog,
                               const job_rank_t *rank);

/**
 * backlog_get_rate() - return the rate at which waiting work drains, in cores
 *
 * It is the higher one of what was finished lately and of what the running
 * tasks finish: before a burst, little work was finished.
 *
 * Return: the rate; 0 if it is not known.
 */
double backlog_get_rate(backlog_t *backlog, int64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
