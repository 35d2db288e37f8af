#ifndef TEASEL_SCHED_JOB_ORDER_H
#define TEASEL_SCHED_JOB_ORDER_H

#include <stdint.h>

#include "sched/job.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Order in which jobs receive resources, for a load in which more work waits
 * than fits. A job that can still be done in time goes before one that cannot,
 * however little work is left of it: resources for the latter would make both
 * late.
 */

/* What a job can still achieve, best first. */
typedef enum job_outlook {
    JOB_OUTLOOK_IN_TIME,
    JOB_OUTLOOK_LATE,     /* late, but within MAX_LATENESS */
    JOB_OUTLOOK_TOO_LATE, /* its result is of little use */
    JOB_OUTLOOK_COUNT,
} job_outlook_t;

/**
 * struct job_rank - what determines the position of a job
 * @remaining_work: in core-ms
 */
typedef struct job_rank {
    uint32_t priority;
    bool favoured;
    job_outlook_t outlook;
    double remaining_work;
    uint64_t sequence;
} job_rank_t;

/**
 * job_order_get_chain_ms() - return the estimated time of the longest chain of
 * dependent steps
 */
double job_order_get_chain_ms(const Teasel__JobSpec *spec);

/**
 * job_order_get_objective_ms() - return the age at which a job is due
 */
double job_order_get_objective_ms(const Teasel__JobSpec *spec,
                                  double chain_ms);

/**
 * job_order_get_useful_ms() - return the age up to which the result of a job
 * is of some use
 */
double job_order_get_useful_ms(double objective_ms);

/**
 * job_order_get_outlook() - return what a job can achieve
 * @needed_ms: its expected age when it is done
 */
job_outlook_t job_order_get_outlook(double needed_ms, double objective_ms);

/**
 * job_order_get_total_work() - return the estimated work of one occurrence, in
 * core-ms
 */
double job_order_get_total_work(const Teasel__JobSpec *spec);

/**
 * job_order_update() - update the fields of a job that determine its position
 * @estimate_error: average run time of the tasks of its queue, relative to
 *     their estimates
 */
void job_order_update(sched_job_t *job, double estimate_error, int64_t now_ms);

/**
 * job_order_get_rank() - return the rank of an updated job
 */
job_rank_t job_order_get_rank(const sched_job_t *job);

/**
 * job_order_compare_ranks() - compare two ranks
 *
 * Return: a negative value if @a goes first.
 */
int job_order_compare_ranks(const job_rank_t *a, const job_rank_t *b);

/**
 * job_order_compare() - compare two updated jobs
 *
 * Return: a negative value if @a goes first.
 */
int job_order_compare(const sched_job_t *a, const sched_job_t *b);

#ifdef __cplusplus
}
#endif

#endif
