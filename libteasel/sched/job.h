#ifndef TEASEL_SCHED_JOB_H
#define TEASEL_SCHED_JOB_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/list.h"
#include "wire/sched.pb-c.h"

#ifdef __cplusplus
extern "C" {
#endif

enum {
    SCHED_TASK_NAME_SIZE = 96,
    SCHED_MAX_STEPS = 64,
    SCHED_MAX_TASKS = 4096, /* of one occurrence */
};

typedef struct sched_job sched_job_t;
typedef struct sched_occurrence sched_occurrence_t;
typedef struct sched_step sched_step_t;
typedef struct sched_task sched_task_t;
typedef struct sched_executor sched_executor_t;

/* The numbers are stored; append new states at the end. */
typedef enum sched_job_state {
    SCHED_JOB_QUEUED = 0, /* no task has started */
    SCHED_JOB_RUNNING,
    SCHED_JOB_COMPLETED,
    SCHED_JOB_FAILED,
    SCHED_JOB_CANCELLED,
} sched_job_state_t;

/* The first four are stored; append new phases at the end. */
typedef enum sched_task_phase {
    SCHED_TASK_WAITING = 0,
    SCHED_TASK_PLACED, /* a run may exist on its executor */
    SCHED_TASK_DONE,
    SCHED_TASK_FAILED,   /* out of attempts */
    SCHED_TASK_RUNNING,  /* stored as placed: the executor confirmed the run */
    SCHED_TASK_STOPPING, /* stored as placed: a stop was ordered */
} sched_task_phase_t;

/* How a run ended. The numbers travel in messages. */
typedef enum sched_end {
    SCHED_END_DONE = 0,
    SCHED_END_FAILED,
    SCHED_END_STOPPED,
    SCHED_END_LAPSED, /* the lease ran out, or the executor is gone */
    SCHED_END_BROKEN, /* another member of the gang ended */
    SCHED_END_ALONE,  /* the other members of the gang did not come */
} sched_end_t;

/**
 * struct sched_task - a task of one occurrence of a step
 * @order_link: on a list of tasks that need an order to their executor
 * @place_link: on the list of the executor
 * @place: executor that may hold the run; NULL if none
 * @sent: the start was handed to the executor's agent, perhaps by a
 *     predecessor of this scheduler
 * @placed_ms: when the run was placed
 * @progress_ms: when the percentage last changed
 * @not_before_ms: no new run earlier than this
 * @avoid: executor of the run that failed last; compared, not dereferenced
 */
struct sched_task {
    list_t order_link;
    list_t place_link;
    sched_step_t *step;
    uint32_t index;
    sched_task_phase_t phase;
    uint32_t run;
    uint32_t failures;
    sched_executor_t *place;
    char *checkpoint;
    bool sent;
    bool listed; /* in the report that is being processed */
    uint32_t percent;
    uint32_t figure;
    uint32_t slowdown; /* percent */
    int64_t slowed_ms; /* since when it is slowed down, or 0 */
    double level; /* of a serving task: its tail over target without fillers */
    int64_t placed_ms;
    int64_t running_ms;
    int64_t progress_ms;
    int64_t not_before_ms;
    const sched_executor_t *avoid;
};

struct sched_step {
    sched_occurrence_t *occurrence;
    const Teasel__StepSpec *spec;
    uint32_t number;
    sched_task_t *tasks;
    uint32_t waiting;
    uint32_t done;
    uint32_t timed_runs;
    double run_ms_total; /* of the timed runs */
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
 * @link: on the list of active jobs, in scheduling order
 * @dirty_link: on the list of jobs whose record has to be written
 * @accepted: position in the order of acceptance
 * @next_occurrence: number of the next occurrence to create
 * @taken_state: state in the record that is being written
 * @visible_state: state in the last record that was stored
 * @stored: a record of the job was stored
 * @started: some task was confirmed to run
 * @finished_ms: wall clock at which the job became final, 0 before
 */
struct sched_job {
    list_t link;
    list_t dirty_link;
    Teasel__JobSpec *spec;
    sched_job_state_t state;
    sched_job_state_t taken_state;
    sched_job_state_t visible_state;
    bool stored;
    bool taken;
    bool started;
    uint64_t accepted;
    uint32_t next_occurrence;
    list_t occurrences;
    int64_t finished_ms;
    int64_t due_ms;   /* objective, by the estimates */
    double work_left; /* core-ms, when the jobs were ordered last */
    int64_t idle_ms;  /* since when no task runs, or 0 */
    int64_t since_ms; /* known to this scheduler since */
};

/**
 * sched_job_check() - check a specification
 * @error: names the job, the step and the value
 */
bool sched_job_check(const Teasel__JobSpec *spec, GError **error);

/**
 * sched_job_new() - a queued job without occurrences
 * @spec: taken over
 */
sched_job_t *sched_job_new(Teasel__JobSpec *spec, uint64_t accepted);
void sched_job_free(sched_job_t *job);

const char *sched_job_state_to_string(sched_job_state_t state);
const char *sched_end_to_string(sched_end_t end);

/**
 * sched_job_get_visible_state() - what callers may see: a final state only
 * after its record is stored
 */
sched_job_state_t sched_job_get_visible_state(const sched_job_t *job);

bool sched_job_is_final(const sched_job_t *job);

/**
 * sched_job_add_occurrence() - create the tasks of the next occurrence
 */
sched_occurrence_t *sched_job_add_occurrence(sched_job_t *job);

void sched_job_remove_occurrence(sched_occurrence_t *occurrence);

/**
 * sched_job_count_placed() - tasks that may have a run on an executor
 */
uint32_t sched_job_count_placed(const sched_job_t *job);

/**
 * sched_job_is_running() - some task runs and was not told to stop
 */
bool sched_job_is_running(const sched_job_t *job);

/**
 * sched_job_due_ms() - wall clock at which an occurrence may start
 */
int64_t sched_job_due_ms(const sched_job_t *job, uint32_t occurrence);

/**
 * sched_job_find_task() - task by occurrence, step and index, or NULL
 */
sched_task_t *sched_job_find_task(const sched_job_t *job, uint32_t occurrence,
                                  uint32_t step, uint32_t index);

sched_job_t *sched_task_get_job(const sched_task_t *task);

/**
 * sched_step_is_open() - all steps before it are done
 */
bool sched_step_is_open(const sched_step_t *step);

/**
 * sched_task_format_name() - JOB.OCCURRENCE.STEP.INDEX
 */
void sched_task_format_name(const sched_task_t *task,
                            char name[SCHED_TASK_NAME_SIZE]);

/**
 * sched_task_parse_name() - split a task name
 * @job_id: set to a copy; free with g_free()
 */
bool sched_task_parse_name(const char *name, char **job_id,
                           uint32_t *occurrence, uint32_t *step,
                           uint32_t *index);

/**
 * sched_job_to_record() - encode a job for the store
 */
GByteArray *sched_job_to_record(const sched_job_t *job);

typedef sched_executor_t *(*sched_place_lookup_fn)(const char *key,
                                                   void *data);

/**
 * sched_job_from_record() - decode a stored job
 * @lookup: gives the executor of a place key
 * @error: names the fault in the record
 */
sched_job_t *sched_job_from_record(const void *data, size_t length,
                                   sched_place_lookup_fn lookup,
                                   void *lookup_data, GError **error);

#ifdef __cplusplus
}
#endif

#endif
