#ifndef TEASEL_SCHED_JOB_H
#define TEASEL_SCHED_JOB_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/list.h"
#include "sched/avoid_list.h"
#include "wire/sched.pb-c.h"

#ifdef __cplusplus
extern "C" {
#endif

enum {
    SCHED_TASK_NAME_SIZE = 96,
    SCHED_MAX_STEPS = 64,
    SCHED_MAX_TASKS = 4096, /* of one occurrence */
    /* Of all occurrences, which may be due at the same time. */
    SCHED_MAX_REPEATED_TASKS = 1024 * 1024,
    SCHED_MAX_ID_LENGTH = 60, /* so that the names of tasks fit */
    /* A record is stored with its key, whose length takes one byte. */
    SCHED_KEY_LENGTH_BYTES = 1,
    SCHED_NO_IMAGE = 0,
};

typedef struct sched_job sched_job_t;
typedef struct sched_occurrence sched_occurrence_t;
typedef struct sched_step sched_step_t;
typedef struct sched_task sched_task_t;
typedef struct sched_executor sched_executor_t;

/* Latest time on a wall clock, and longest interval, in milliseconds. Sums of
   times and of all intervals of a job cannot overflow. */
#define SCHED_MAX_TIME_MS (INT64_C(1) << 53)
#define SCHED_MAX_INTERVAL_MS (INT64_C(1) << 41)

/* The values are stored; append new states at the end. */
typedef enum sched_job_state {
    SCHED_JOB_QUEUED = 0, /* no task has started */
    SCHED_JOB_RUNNING,
    SCHED_JOB_COMPLETED,
    SCHED_JOB_FAILED,
    SCHED_JOB_CANCELLED,
} sched_job_state_t;

/* The first four values are stored; append new phases at the end. */
typedef enum sched_task_phase {
    SCHED_TASK_WAITING = 0,
    SCHED_TASK_PLACED, /* a run may exist on its executor */
    SCHED_TASK_DONE,
    SCHED_TASK_FAILED,   /* out of attempts */
    SCHED_TASK_RUNNING,  /* stored as placed: the executor confirmed the run */
    SCHED_TASK_STOPPING, /* stored as placed: a stop was ordered */
} sched_task_phase_t;

/* How a run ended. The values are sent in messages. */
typedef enum sched_end {
    SCHED_END_DONE = 0,
    SCHED_END_FAILED,
    SCHED_END_STOPPED,
    SCHED_END_LAPSED, /* the lease expired, or the executor is gone */
    SCHED_END_BROKEN, /* another member of the gang ended */
    SCHED_END_ALONE,  /* the other members of the gang did not start */
} sched_end_t;

/**
 * struct sched_task - a task of one occurrence of a step
 * @order_link: in a list of tasks with an order for their executor
 * @executor_link: in the list of tasks of the executor
 * @executor: assigned executor, which may have the run; NULL if none
 * @crashes: number of executors that crashed in a row just after they had
 *     started the task
 * @unconfirmed_crashes: the same for runs whose start was not confirmed, and
 *     which may not have begun
 * @crashed_worker: the worker of the newest one of @crashes; 0 if none is
 * known
 * @crashed_apart: @crashes contains crashes of different workers
 * @crashed_run: newest run that is included in one of the two
 * @done_before: an earlier run has ended as done, and the latest one is being
 *     stopped
 * @start_sent: the start was handed to the executor's agent, perhaps by an
 *     earlier leader
 * @on_trial: the run may crash its executor, and starts there alone
 * @settled: the run has outlived its start by some time
 * @report: number of the newest report that contained the run
 * @percent: reported progress
 * @measurement: last reported value: tail latency in ms of a task with a
 *     latency target, else CPU use in milli-CPU; 0 if none
 * @slowdown: percentage by which the agent throttles the run
 * @tail_effect: by how much the run, at full speed, raises the highest ratio
 *     of tail latency to target on its executor, as predicted
 * @slowed_since_ms: since when the slowdown is high enough to migrate, or 0
 * @baseline_ratio: ratio of tail latency to target without best-effort tasks,
 *     as estimated by interference_update()
 * @placed_ms: when the run was placed
 * @running_ms: when the run was first reported as running, or 0
 * @progress_ms: when the run last reported progress, a checkpoint or a
 *     slowdown
 * @not_before_ms: no new run is placed before this time
 * @ended_ms: when the last run ended, at the earliest; or 0
 * @avoided: executors that failed, rejected or stalled runs of this task
 */
struct sched_task {
    list_t order_link;
    list_t executor_link;
    sched_step_t *step;
    uint32_t index;
    sched_task_phase_t phase;
    uint32_t run;
    uint32_t failures;
    uint32_t crashes;
    uint32_t unconfirmed_crashes;
    uint32_t crashed_worker;
    bool crashed_apart;
    uint32_t crashed_run;
    sched_executor_t *executor;
    char *checkpoint;
    bool start_sent;
    bool done_before;
    bool on_trial;
    bool settled;
    uint64_t report;
    uint32_t percent;
    uint32_t measurement;
    uint32_t slowdown;
    double tail_effect;
    int64_t slowed_since_ms;
    double baseline_ratio;
    int64_t placed_ms;
    int64_t running_ms;
    int64_t progress_ms;
    int64_t not_before_ms;
    int64_t ended_ms;
    avoid_list_t *avoided;
};

/**
 * struct sched_step - a step of one occurrence of a job
 * @waiting: number of tasks to be placed
 * @done: number of tasks that are done
 * @timed_runs: number of runs that are included in @run_ms_total
 * @run_ms_total: sum of the measured run times
 */
struct sched_step {
    sched_occurrence_t *occurrence;
    const Teasel__StepSpec *spec;
    uint32_t number;
    sched_task_t *tasks;
    uint32_t waiting;
    uint32_t done;
    uint32_t timed_runs;
    double run_ms_total;
};

struct sched_occurrence {
    list_t link;
    sched_job_t *job;
    uint32_t number;
    uint32_t done_steps;
    sched_step_t *steps;
};

/**
 * struct sched_job - a job and the state of its tasks
 * @link: in the list of active jobs, in scheduling order, or of finished jobs
 * @dirty_link: in the list of jobs whose record has to be written
 * @pending_state: state in the record of the pending write
 * @visible_state: state in the last record that was stored
 * @stored: a record of the job was stored
 * @write_pending: a record of the job is being written
 * @started: some task was confirmed to run
 * @sequence: position in the order of acceptance
 * @next_occurrence: number of the next occurrence to create
 * @finished_ms: wall-clock time at which the job became final, 0 before
 * @image_ids: number of the image of each step, see
 *     interference_get_image_id()
 * @running: number of tasks in phase SCHED_TASK_RUNNING
 * @starting: number of tasks in phase SCHED_TASK_PLACED
 * @outlook: a job_outlook_t, as of the last sort of the jobs
 * @size_class: a size_class_t among the jobs of its queue
 * @favoured: goes before smaller jobs, see size_share.h
 * @counted_start: all tasks of a step were placed while it was of use, which
 *     is counted for its size class
 * @remaining_work: core-ms, as of the last sort of the jobs
 * @idle_since_ms: since when the job has no running task, or 0
 * @known_since_ms: when the job was accepted, on the monotonic clock
 * @accepted_ms: the same on the wall clock
 * @occurrences_wait: a due occurrence waits as the record is full
 * @checkpoints_left_out: number of checkpoints that the last record lacks
 * @record_held: the last record did not fit into the store, and is not written
 */
struct sched_job {
    list_t link;
    list_t dirty_link;
    Teasel__JobSpec *spec;
    sched_job_state_t state;
    sched_job_state_t pending_state;
    sched_job_state_t visible_state;
    bool stored;
    bool write_pending;
    bool started;
    uint64_t sequence;
    uint32_t next_occurrence;
    list_t occurrences;
    uint16_t *image_ids;
    uint32_t running;
    uint32_t starting;
    int64_t finished_ms;
    uint8_t outlook;
    uint8_t size_class;
    bool favoured;
    bool counted_start;
    double remaining_work;
    int64_t idle_since_ms;
    int64_t known_since_ms;
    int64_t accepted_ms;
    bool occurrences_wait;
    uint32_t checkpoints_left_out;
    bool record_held;
};

/**
 * sched_job_check() - validate a specification
 * @error: names the job and the limit or the step that is wrong
 */
bool sched_job_check(const Teasel__JobSpec *spec, GError **error);

/**
 * sched_job_new() - create a queued job without occurrences
 * @spec: the job takes ownership
 * @sequence: position in the order of acceptance
 */
sched_job_t *sched_job_new(Teasel__JobSpec *spec, uint64_t sequence);
void sched_job_free(sched_job_t *job);

const char *sched_job_state_to_string(sched_job_state_t state);
const char *sched_end_to_string(sched_end_t end);

/**
 * sched_job_get_visible_state() - return the state to report to callers
 *
 * A final state is reported only after its record is stored.
 */
sched_job_state_t sched_job_get_visible_state(const sched_job_t *job);

bool sched_job_is_final(const sched_job_t *job);

/**
 * sched_job_add_occurrence() - create the tasks of the next occurrence
 */
sched_occurrence_t *sched_job_add_occurrence(sched_job_t *job);

void sched_job_remove_occurrence(sched_occurrence_t *occurrence);

/**
 * sched_job_count_placed() - count the tasks that may have a run on an
 * executor
 */
uint32_t sched_job_count_placed(const sched_job_t *job);

/**
 * sched_job_get_waiting_step() - return the first step that is ready and has
 * waiting tasks, or NULL
 */
const sched_step_t *sched_job_get_waiting_step(const sched_job_t *job);

/**
 * sched_job_get_start_ms() - return the wall-clock time at which an occurrence
 * may start, 0 if the job does not repeat
 */
int64_t sched_job_get_start_ms(const sched_job_t *job, uint32_t occurrence);

/**
 * sched_job_find_task() - find a task by occurrence, step and index
 *
 * Return: the task, or NULL.
 */
sched_task_t *sched_job_find_task(const sched_job_t *job, uint32_t occurrence,
                                  uint32_t step, uint32_t index);

sched_job_t *sched_task_get_job(const sched_task_t *task);

/**
 * sched_task_set_phase() - change the phase of a task and the counts that
 * depend on it
 */
void sched_task_set_phase(sched_task_t *task, sched_task_phase_t phase);

/**
 * sched_task_mark_done() - end a task that is waiting, or whose run has ended
 */
void sched_task_mark_done(sched_task_t *task);

/**
 * sched_step_is_finished_gang() - check whether a step is a gang of which a
 * member is done
 */
bool sched_step_is_finished_gang(const sched_step_t *step);

/**
 * sched_step_finish_gang() - mark the waiting members of a gang as done if any
 * member is done
 *
 * The members of a gang end as done together, so one such end represents all
 * of them, also those whose own end was lost with their executor.
 */
void sched_step_finish_gang(sched_step_t *step);

uint16_t sched_step_get_image_id(const sched_step_t *step);

/**
 * sched_step_is_ready() - check whether all steps that this one waits for are
 * done
 */
bool sched_step_is_ready(const sched_step_t *step);

/**
 * sched_task_format_name() - format a name as JOB.OCCURRENCE.STEP.INDEX
 */
void sched_task_format_name(const sched_task_t *task,
                            char name[SCHED_TASK_NAME_SIZE]);

/**
 * sched_task_parse_name() - split a task name
 * @job_id: set to a copy on success; free with g_free()
 *
 * Return: false if the name is malformed.
 */
bool sched_task_parse_name(const char *name, char **job_id,
                           uint32_t *occurrence, uint32_t *step,
                           uint32_t *index);

/**
 * sched_task_is_suspect() - check whether a task may be one that crashes each
 * executor that starts it
 */
bool sched_task_is_suspect(const sched_task_t *task);

/**
 * sched_task_needs_trial() - check whether a task has to start alone
 *
 * The members of a gang start together, so they are not put on trial.
 */
bool sched_task_needs_trial(const sched_task_t *task);

/**
 * sched_job_fits() - check whether a record has room for a number of
 * occurrences
 * @max_bytes: longest record that the store takes, with its key
 *
 * A part of the record is left for the keys of executors. Checkpoints are not
 * counted, as a record may lack them.
 */
bool sched_job_fits(const Teasel__JobSpec *spec, size_t occurrences,
                    size_t max_bytes);

/**
 * sched_job_to_record() - encode a job for the store
 * @max_bytes: longest record that the store takes, with its key
 * @left_out: receives the number of checkpoints that did not fit; their tasks
 *     begin anew under the next leader
 *
 * Return: the record, or NULL if it does not fit even without checkpoints.
 */
GByteArray *sched_job_to_record(const sched_job_t *job, size_t max_bytes,
                                uint32_t *left_out);

typedef sched_executor_t *(*sched_executor_lookup_fn)(const char *key,
                                                      void *data);

/**
 * sched_job_from_record() - decode a stored job
 * @key: key of the record, which is the id of the job
 * @lookup: returns the executor of a key
 * @error: describes the fault in the record
 *
 * Return: the job, or NULL if the record is malformed.
 */
sched_job_t *sched_job_from_record(const char *key, const void *data,
                                   size_t length,
                                   sched_executor_lookup_fn lookup,
                                   void *lookup_data, GError **error);

#ifdef __cplusplus
}
#endif

#endif
