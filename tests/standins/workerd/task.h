#ifndef TEASEL_TESTS_WORKERD_TASK_H
#define TEASEL_TESTS_WORKERD_TASK_H

#include "base/list.h"
#include "standin.h"

enum {
    FULL_SPEED = 100,
};

typedef enum task_state {
    RUNNING,
    SUSPENDED,
    DONE,
    FAILED,
    STOPPED,
} task_state_t;

typedef struct span {
    int64_t from_ms;
    int64_t to_ms; /* 0 while running */
} span_t;

/* Kept after the task is forgotten, for the statistics. */
typedef struct record {
    char *job_id;
    int64_t attempt;
    int64_t starts;
    int64_t stops;
    int64_t effects;
    GArray *spans;
} record_t;

typedef struct task {
    list_t link;
    record_t *record;
    task_state_t state;
    int64_t cpu_milli;
    int64_t memory_mb;
    int64_t accelerators;
    int64_t true_cpu_milli;
    int64_t true_memory_mb;
    int64_t run_ms;
    int64_t checkpoint_ms;
    bool fail;
    bool released;
    int64_t throttle;
    int64_t reported_cpu; /* usage before the last change */
    int64_t reported_memory;
    int64_t changed_ms; /* time of the last change of the usage */
    double progress_ms;
    int64_t counted_ms; /* time up to which progress is counted */
    loop_timer_t timer;
} task_t;

typedef struct faults {
    int64_t delay_ms;
    int64_t fail_all;
    int64_t drop_answers;
    int64_t refuse;
    int64_t usage_lag_ms;
} faults_t;

/* State of the worker; the highest uses count running and suspended tasks. */
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
    void (*on_change)(void);
} worker_state_t;

extern worker_state_t worker;

bool task_is_alive(const task_t *task);
bool task_fits(const task_t *wanted);
task_t *task_find(const char *job_id, int64_t attempt);
task_t *task_parse(json_object *body);
void task_add(task_t *task, const char *job_id, int64_t attempt);
void task_remove(task_t *task);
void task_count_progress(task_t *task);
void task_set_state(task_t *task, task_state_t state, int64_t throttle);
json_object *task_describe(const task_t *task);
json_object *task_describe_record(const record_t *record);

/* Suspends all tasks if the lease has ended, else waits for its end. */
void task_check_lease(loop_timer_t *timer);

int64_t task_get_checkpoint(const task_t *task);

/* Return: HTTP status; 404 if there is no such action. */
int task_act(task_t *task, const char *action,
             const http_exchange_t *exchange);

#endif
