#ifndef TEASEL_TESTS_WORKERD_TASK_H
#define TEASEL_TESTS_WORKERD_TASK_H

#include "base/list.h"
#include "standin.h"

enum {
    FULL_SPEED = 100, /* throttle in percent */
};

typedef enum task_state {
    RUNNING,
    SUSPENDED,
    DONE,
    FAILED,
    STOPPED,
} task_state_t;

/* Interval in which a task was running, in wall-clock time. */
typedef struct span {
    int64_t from_ms;
    int64_t to_ms; /* 0 while running */
} span_t;

/* Statistics of one attempt; kept after the task is removed. */
typedef struct record {
    char *job_id;
    int64_t attempt;
    int64_t starts;
    int64_t stops;
    int64_t effects;
    GArray *spans;
} attempt_record_t;

typedef struct task {
    list_t link;
    attempt_record_t *record;
    task_state_t state;
    int64_t cpu_milli; /* declared */
    int64_t memory_mb;
    int64_t accelerators;
    int64_t true_cpu_milli; /* simulated usage at full speed */
    int64_t true_memory_mb;
    int64_t run_ms;
    int64_t checkpoint_ms;
    bool fail;
    bool released; /* the effect is published */
    int64_t throttle;
    int64_t reported_cpu; /* usage before the last change of state */
    int64_t reported_memory;
    int64_t usage_changed_ms;
    double progress_ms;
    int64_t progress_time_ms; /* time of the last update of progress_ms */
    loop_timer_t timer;
} task_t;

typedef struct faults {
    int64_t delay_ms;
    int64_t fail_all;
    int64_t drop_answers;
    int64_t refuse;
    int64_t usage_lag_ms;
} faults_t;

/* State of the worker; the max_ values include suspended tasks. */
typedef struct worker_state {
    faults_t faults;
    int64_t capacity_cpu;
    int64_t capacity_memory;
    int64_t capacity_accelerators;
    int64_t incarnation;
    int64_t version;
    int64_t lease_end_ms;
    list_t tasks;
    GPtrArray *records;
    int64_t max_cpu;
    int64_t max_memory;
    int64_t max_accelerators;
    int64_t max_true_cpu;
    int64_t max_true_memory;
    void (*on_change)(void); /* called when version increases */
} worker_state_t;

extern worker_state_t worker;

bool task_is_alive(const task_t *task);
/* Return: true if the free declared capacity is sufficient. */
bool task_fits(const task_t *wanted);
task_t *task_find(const char *job_id, int64_t attempt);
task_t *task_parse(json_object *body);
void task_add(task_t *task, const char *job_id, int64_t attempt);
void task_remove(task_t *task);
void task_update_progress(task_t *task);
void task_set_state(task_t *task, task_state_t state, int64_t throttle);
json_object *task_describe(const task_t *task);
json_object *task_describe_record(const attempt_record_t *record);

/* Suspend all tasks if the lease is expired, else start the timer for the
   expiry. */
void task_check_lease(loop_timer_t *timer);

/* Return: progress in ms at the last complete checkpoint. */
int64_t task_get_checkpoint(const task_t *task);

/* Return: HTTP status; 404 if the action is unknown, 409 if the state of the
   task does not permit it. */
int task_perform_action(task_t *task, const char *action,
                        const http_exchange_t *exchange);

#endif
