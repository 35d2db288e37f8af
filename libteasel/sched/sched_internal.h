#ifndef TEASEL_SCHED_SCHED_INTERNAL_H
#define TEASEL_SCHED_SCHED_INTERNAL_H

#include "sched/interference.h"
#include "sched/sched.h"

struct sched {
    sched_opts_t opts;
    GHashTable *jobs;      /* id -> sched_job_t, owned */
    GHashTable *executors; /* key -> sched_executor_t, owned */
    list_t executor_list;
    interference_t *interference;
    GHashTable *estimate_errors; /* queue -> double, run time over estimate */
    list_t active;   /* jobs that are not final, in scheduling order */
    list_t finished; /* final jobs, oldest first */
    list_t dirty;
    GPtrArray *taken;   /* jobs whose record is being written */
    GPtrArray *dropped; /* keys to drop */
    list_t staged;      /* tasks with an order, record not written yet */
    list_t taken_orders;
    bool cursors_moved;
    bool must_place;
    bool committing;
    int64_t placed_ms;  /* of the last placement */
    bool learned;       /* something since the last record of it */
    int64_t learned_ms; /* when the last record was made */
    int64_t ordered_ms; /* when the jobs were ordered last */
    uint64_t accepted;
};

/**
 * sched_learn_estimate() - a task of a queue ran for a time
 */
void sched_learn_estimate(sched_t *sched, const sched_task_t *task,
                          double ran_ms);

/**
 * sched_order_jobs() - put the jobs first that can still meet their objective
 * with the least work
 */
void sched_order_jobs(sched_t *sched);

/**
 * sched_learned_is_due() - a record of what was learned has to be written
 */
bool sched_learned_is_due(const sched_t *sched);
GByteArray *sched_learned_to_record(sched_t *sched);

int64_t sched_now_ms(const sched_t *sched);
int64_t sched_wall_ms(const sched_t *sched);
void sched_touch_job(sched_t *sched, sched_job_t *job);

/**
 * sched_finish_job() - make a job final and stop what runs of it
 */
void sched_finish_job(sched_t *sched, sched_job_t *job,
                      sched_job_state_t state);

/**
 * sched_add_due_occurrences() - create the occurrences whose time has come
 */
void sched_add_due_occurrences(sched_t *sched, sched_job_t *job);

/**
 * sched_stage_order() - let a start or stop be sent once its record is stored
 */
void sched_stage_order(sched_t *sched, sched_task_t *task);

/**
 * sched_stop_task() - order a stop; a start that was not sent is withdrawn
 */
void sched_stop_task(sched_t *sched, sched_task_t *task, const char *reason);

/**
 * sched_end_task() - the run of a placed task has ended
 * @checkpoint: NULL or empty if there is none
 */
void sched_end_task(sched_t *sched, sched_task_t *task, sched_end_t how,
                    const char *checkpoint);

/**
 * sched_expire_executor() - everything on an executor has ended; forget it
 */
void sched_expire_executor(sched_t *sched, sched_executor_t *executor);
sched_executor_t *sched_get_executor(sched_t *sched, const char *key);

#endif
