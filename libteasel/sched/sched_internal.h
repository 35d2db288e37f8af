#ifndef TEASEL_SCHED_SCHED_INTERNAL_H
#define TEASEL_SCHED_SCHED_INTERNAL_H

#include "sched/interference.h"
#include "sched/placement.h"
#include "sched/run_view.h"
#include "sched/sched.h"
#include "sched/sched_admission.h"
#include "sched/size_share.h"

/**
 * struct sched - state of a scheduler
 * @jobs: job id -> sched_job_t, owned
 * @executors: key -> sched_executor_t, owned
 * @nodes: name -> sched_node_t with at least one executor, owned
 * @estimate_errors: queue -> double, moving average of run time over estimate
 * @size_share: started jobs by their size
 * @admission: what decides whether new jobs are accepted
 * @active_jobs: jobs that are not final, in scheduling order
 * @finished_jobs: final jobs, oldest first
 * @dirty_jobs: jobs whose record has to be written
 * @jobs_in_write: jobs whose record is part of the pending write
 * @deleted_keys: keys to delete from the store
 * @staged_orders: tasks with an order whose record is not being written yet
 * @orders_in_write: tasks with an order whose record is part of the pending
 *     write
 * @cursors_dirty: an executor reported a run end since the last write
 * @placement_needed: something changed that may let a waiting task be placed
 * @lasting_overdue: at the last placement a trial kept a lasting task from an
 *     executor that has had no run for long
 * @committing: a write is pending
 * @check_needed: an executor changed, so its timers must be checked at once
 * @last_check_ms: when the timers of executors and jobs were last checked
 * @last_placement_ms: time of the last placement
 * @learned_dirty: the learned estimates changed since their last record
 * @learned_written_ms: when that record was made
 * @learned_left_out: number of values that did not fit into that record
 * @last_sort_ms: when the active jobs were last sorted
 * @last_sequence: sequence number of the newest job
 * @last_executor: number of the newest executor
 * @last_report: number of the newest report on an executor
 * @created_ms: when this leader began
 * @evacuated: runs taken from executors in evacuated data centres
 * @names_checked: number of records of evacuations whose data centres were
 *     compared with those of the executors: offset of the newest one plus 1
 */
struct sched {
    sched_opts_t opts;
    GHashTable *jobs;
    GHashTable *executors;
    GHashTable *nodes;
    list_t executor_list;
    interference_t *interference;
    GHashTable *estimate_errors;
    size_share_t *size_share;
    sched_admission_t *admission;
    bool stale_leader; /* see sched_set_stale_leader() */
    list_t active_jobs;
    list_t finished_jobs;
    list_t dirty_jobs;
    GPtrArray *jobs_in_write;
    GPtrArray *deleted_keys;
    list_t staged_orders;
    list_t orders_in_write;
    bool cursors_dirty;
    bool placement_needed;
    bool lasting_overdue;
    bool committing;
    bool check_needed;
    int64_t last_check_ms;
    int64_t last_placement_ms;
    bool learned_dirty;
    int64_t learned_written_ms;
    guint learned_left_out;
    int64_t last_sort_ms;
    uint64_t last_sequence;
    uint64_t last_executor;
    uint64_t last_report;
    int64_t created_ms;
    sched_evacuation_counts_t evacuated;
    uint64_t names_checked;
};

/**
 * sched_get_estimate_error() - return the average run time of the tasks of a
 * job's queue, relative to their estimates
 */
double sched_get_estimate_error(const sched_t *sched,
                                const Teasel__JobSpec *spec);

/**
 * sched_update_estimate_error() - include a measured run time in the estimate
 * error of its queue
 */
void sched_update_estimate_error(sched_t *sched, const sched_task_t *task,
                                 double ran_ms);

/**
 * sched_learn_run_time() - learn from the run time of a task that is done
 * @task: still has the run
 */
void sched_learn_run_time(sched_t *sched, sched_task_t *task);

/**
 * sched_sort_jobs() - sort the active jobs by the order of job_order_compare()
 */
void sched_sort_jobs(sched_t *sched);

/**
 * sched_learned_is_due() - check whether the learned estimates have to be
 * written
 */
bool sched_learned_is_due(const sched_t *sched);
GByteArray *sched_learned_to_record(sched_t *sched);

int64_t sched_now_ms(const sched_t *sched);
int64_t sched_wall_ms(const sched_t *sched);
void sched_mark_dirty(sched_t *sched, sched_job_t *job);

/**
 * sched_finish_job() - make a job final and stop its runs
 */
void sched_finish_job(sched_t *sched, sched_job_t *job,
                      sched_job_state_t state);

/**
 * sched_complete_occurrence() - remove an occurrence whose steps are all done,
 * and complete its job if it was the last one
 */
void sched_complete_occurrence(sched_t *sched, sched_occurrence_t *occurrence);

/**
 * sched_add_due_occurrences() - create the occurrences whose start time has
 * come
 */
void sched_add_due_occurrences(sched_t *sched, sched_job_t *job);

/**
 * sched_check_timers() - handle what is due: leases, evacuations, leaving
 * executors, stalled runs, migrations, start times and the removal of old jobs
 */
void sched_check_timers(sched_t *sched, int64_t now_ms);

/**
 * sched_is_evacuated() - return whether no run may be started on an executor,
 * as its data centre is evacuated
 */
bool sched_is_evacuated(const sched_t *sched,
                        const sched_executor_t *executor);

/**
 * sched_evacuate_runs() - end or stop the runs that have not begun in
 * evacuated data centres
 */
void sched_evacuate_runs(sched_t *sched);

/**
 * sched_repeat_orders() - repeat the orders that a complete list of an agent
 * shows to be lost, perhaps
 */
void sched_repeat_orders(sched_t *sched, sched_executor_t *executor);

/**
 * sched_get_overcommit() - return which executors a task may overcommit, as it
 * is a best-effort one whose job stands still
 */
sched_overcommit_t sched_get_overcommit(const sched_t *sched,
                                        const sched_task_t *task,
                                        int64_t now_ms);

/**
 * sched_new_placement() - return the inputs of a decision for the tasks of a
 * job
 */
sched_placement_t sched_new_placement(const sched_t *sched,
                                      const sched_job_t *job);

/**
 * sched_new_task_placement() - return the inputs of a decision for one task
 */
sched_placement_t sched_new_task_placement(const sched_t *sched,
                                           const sched_task_t *task);

/**
 * sched_choose_executor() - choose the best executor for a task
 * @rack: only executors in this rack; NULL for any
 *
 * Return: the executor, or NULL if none has the resources.
 */
sched_executor_t *sched_choose_executor(const sched_t *sched,
                                        const sched_task_t *task,
                                        const char *rack);

/**
 * sched_place_task() - begin a run of a task on an executor
 * @run: number of the run
 */
void sched_place_task(sched_t *sched, sched_task_t *task,
                      sched_executor_t *executor, uint32_t run);

/**
 * sched_stage_order() - queue a start or stop to be sent after the task's
 * record is stored
 */
void sched_stage_order(sched_t *sched, sched_task_t *task);

/**
 * sched_stop_task() - order a stop, or end the run at once if its start was
 * not sent
 * @reason: text for the log
 */
void sched_stop_task(sched_t *sched, sched_task_t *task, const char *reason);

/**
 * sched_find_task() - find a task by its name
 *
 * Return: the task, or NULL.
 */
sched_task_t *sched_find_task(sched_t *sched, const char *name);

/**
 * sched_count_failure() - count a failed run against its executor, and put the
 * executor on probation after several
 * @task: still has the run
 */
void sched_count_failure(sched_t *sched, const sched_task_t *task);

/**
 * sched_get_idle_since_ms() - return since when a task has had no run
 *
 * A task that was placed under an earlier leader may have run since; the time
 * is then that at which this leader began.
 */
int64_t sched_get_idle_since_ms(const sched_t *sched,
                                const sched_task_t *task);

/**
 * sched_task_decide() - decide what an event means for a task and its latest
 * run
 * @task: NULL if it is not known
 */
run_view_decision_t sched_task_decide(const sched_task_t *task,
                                      run_view_event_t event);

/**
 * sched_task_set_view() - take over the state that was decided
 *
 * The run of a task that is over must have been taken from its executor.
 */
void sched_task_set_view(sched_task_t *task, const run_view_t *view);

/**
 * sched_infer_crashes() - count a crash for the runs that had just started on
 * an executor whose end its agent did not report
 */
void sched_infer_crashes(sched_t *sched, const sched_executor_t *executor);

/**
 * sched_check_trial() - end a trial that has lasted long enough
 */
void sched_check_trial(sched_t *sched, sched_task_t *task, int64_t now_ms);

/**
 * sched_task_settle() - record that a run has outlived its start
 */
void sched_task_settle(sched_t *sched, sched_task_t *task);

/**
 * sched_expire_executor() - end all runs on an executor as expired and free it
 */
void sched_expire_executor(sched_t *sched, sched_executor_t *executor);

/**
 * sched_replace_incarnations() - end the incarnations that an executor has
 * replaced
 * @predecessor: key of the one under the same id, or empty; its runs are moved
 *     to @executor and stopped there
 */
void sched_replace_incarnations(sched_t *sched, sched_executor_t *executor,
                                const char *predecessor);

/**
 * sched_end_incarnation() - end an executor that is gone, and the ones that it
 * has replaced
 */
void sched_end_incarnation(sched_t *sched, sched_executor_t *executor);

/**
 * sched_get_executor() - find an executor by key, or add it
 */
sched_executor_t *sched_get_executor(sched_t *sched, const char *key);

/**
 * sched_assign_node() - record which agent reports an executor
 * @name: name of the agent, or NULL for none
 */
void sched_assign_node(sched_t *sched, sched_executor_t *executor,
                       const char *name);

#endif
