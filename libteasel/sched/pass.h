#ifndef TEASEL_SCHED_PASS_H
#define TEASEL_SCHED_PASS_H

#include "sched/demand.h"
#include "sched/sched_internal.h"

/*
 * One pass over the waiting tasks, which places those that executors have
 * resources for.
 */

typedef enum pass_scope {
    PASS_ALL,
    PASS_OTHERS,   /* all but suspects of crashes */
    PASS_SUSPECTS, /* which close their executors to others */
} pass_scope_t;

/**
 * struct pass - a pass over the waiting tasks
 * @failed: demands that no executor could meet in this pass
 * @overdue: a trial keeps a lasting task that is no suspect from its executor,
 *     and the task has waited for long
 */
typedef struct pass {
    sched_t *sched;
    int64_t now_ms;
    pass_scope_t scope;
    demand_list_t *failed;
    bool overdue;
} pass_t;

/**
 * pass_is_placeable() - check whether a task waits and may be placed now
 */
bool pass_is_placeable(const sched_task_t *task, int64_t now_ms);

/**
 * pass_count_start() - count a job whose last waiting task of a step was
 * placed
 */
void pass_count_start(sched_t *sched, sched_job_t *job);

/**
 * pass_log_placed() - log how many tasks of a step were placed, if any
 */
void pass_log_placed(const sched_step_t *step, uint32_t placed,
                     int64_t now_ms);

/**
 * pass_place_tasks() - place the waiting tasks of a step that is no gang
 */
void pass_place_tasks(pass_t *pass, sched_step_t *step);

/**
 * pass_place_gang() - place all tasks of a gang, or none
 */
void pass_place_gang(sched_t *sched, sched_step_t *step);

/**
 * pass_place_restarts() - place the lasting tasks of a priority that have run
 * before
 */
void pass_place_restarts(pass_t *pass, uint32_t priority);

#endif
