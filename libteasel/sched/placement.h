#ifndef TEASEL_SCHED_PLACEMENT_H
#define TEASEL_SCHED_PLACEMENT_H

#include "base/list.h"
#include "sched/evacuation.h"
#include "sched/executor.h"
#include "sched/interference.h"
#include "sched/job.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Where a best-effort task may be placed although no processor time is left
   there, or although it raises tail latencies above target; the agent
   throttles it there. */
typedef enum sched_overcommit {
    SCHED_OVERCOMMIT_NONE,
    SCHED_OVERCOMMIT_UNRESERVED, /* most processors aren't reserved there */
    SCHED_OVERCOMMIT_ANY,
} sched_overcommit_t;

/**
 * struct sched_placement - inputs of a placement decision
 * @executors: list of sched_executor_t
 * @interference: model of the effect of best-effort tasks on serving tasks
 * @evacuation: no executor in these data centres; NULL for none
 * @rack: only executors in this rack; NULL for any
 * @overcommit: which executors a best-effort task may overcommit
 * @ignore_trials: also take executors that are closed by a trial
 * @remote_factor: how many times as long a task runs on another rack than its
 *     data's
 * @no_trial_since_ms: only executors on which no trial has failed since; 0 for
 *     any
 * @now_ms: monotonic clock
 */
typedef struct sched_placement {
    const list_t *executors;
    const interference_t *interference;
    const evacuation_t *evacuation;
    const char *rack;
    sched_overcommit_t overcommit;
    bool ignore_trials;
    double remote_factor;
    int64_t no_trial_since_ms;
    int64_t now_ms;
} sched_placement_t;

/* Why an executor takes no task of a step. */
typedef enum sched_refusal {
    SCHED_REFUSAL_NONE = 0,
    SCHED_REFUSAL_SERVICE,      /* it serves another service */
    SCHED_REFUSAL_DISCONNECTED, /* its agent has not listed its runs */
    SCHED_REFUSAL_EVACUATED,    /* its data centre is evacuated */
    SCHED_REFUSAL_DRAINING,
    SCHED_REFUSAL_TRIAL, /* a task on trial there has to start alone */
    SCHED_REFUSAL_PROBATION,
    SCHED_REFUSAL_RESOURCES,
    SCHED_REFUSAL_CONSTRAINTS, /* label, rack, or siblings of the task */
    SCHED_REFUSAL_COUNT,
} sched_refusal_t;

const char *sched_refusal_to_string(sched_refusal_t refusal);

/**
 * sched_placement_has_resources() - check whether an executor has the
 * processors, memory and accelerators for a task of a step
 */
bool sched_placement_has_resources(const sched_placement_t *placement,
                                   const sched_executor_t *executor,
                                   const Teasel__StepSpec *step);

/**
 * sched_placement_check() - check whether an executor takes a task of a step
 */
sched_refusal_t sched_placement_check(const sched_placement_t *placement,
                                      const sched_executor_t *executor,
                                      const sched_step_t *step);

/**
 * sched_placement_get_cost() - return the cost of an executor for a task of a
 * step
 *
 * Return: the cost; INFINITY if the executor is not allowed or lacks the
 * resources.
 */
double sched_placement_get_cost(const sched_placement_t *placement,
                                const sched_executor_t *executor,
                                const sched_step_t *step);

/**
 * sched_placement_choose() - choose the executor with the lowest cost for a
 * task
 *
 * Return: the executor, or NULL if none is allowed and has the resources.
 */
sched_executor_t *sched_placement_choose(const sched_placement_t *placement,
                                         const sched_task_t *task);

#ifdef __cplusplus
}
#endif

#endif
