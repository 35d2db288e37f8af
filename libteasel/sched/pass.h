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
 * @restarts: only lasting tasks that have run before
 * @failed: demands that no executor could meet in this pass
 * @overdue: a trial keeps a lasting task that is no suspect from its executor,
 *     and the task has waited for long
 */
typedef struct pass {
    sched_t *sched;
    int64_t now_ms;
    pass_scope_t scope;
    bool restarts;
    demand_list_t *failed;
    bool overdue;
} pass_t;

/**
 * pass_place_tasks() - place the waiting tasks of a step that is no gang, as
 * far as the pass is about them
 */
void pass_place_tasks(pass_t *pass, sched_step_t *step);

/**
 * pass_place_gang() - place all tasks of a gang, or none
 */
void pass_place_gang(const pass_t *pass, sched_step_t *step);

#endif
