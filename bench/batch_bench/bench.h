#ifndef TEASEL_BATCH_BENCH_BENCH_H
#define TEASEL_BATCH_BENCH_BENCH_H

#include "base/clock.h"
#include "batch/coordinator.h"

/*
 * A coordinator with simulated workers in virtual time.
 */

enum {
    STEP_MS = 20,
    HEARTBEAT_MS = 500,
};

/* Actual resource use and run time of a job. The declared values differ by a
   factor of up to 4. */
typedef struct demand {
    job_size_t size;
    double run_ms;
} demand_t;

typedef struct task {
    uint32_t job;
    uint32_t attempt;
    int worker;
    double progress_ms;
    bool active;
} task_t;

/* Coordinator options to compare. "believed": declared sizes are used without
   correction. max_items: decisions in one log record, 0 for the default. */
typedef struct policy {
    const char *name;
    const placement_strategy_t *placement;
    bool use_declared_sizes;
    bool arrival_order;
    size_t max_items;
} policy_t;

typedef struct bench {
    clock_source_t clock;
    int64_t now_ms;
    cell_t *cell;
    coordinator_t *coordinator;
    uint64_t records;
    uint64_t appends;
    uint64_t starts;
    uint64_t evictions;
    int workers;
    int failing_worker;
    job_size_t capacity;
    demand_t *demands;
    task_t *tasks; /* newest attempt of each job */
    uint32_t jobs;
    GRand *random;
} bench_t;

void bench_init(bench_t *bench, const policy_t *policy, int workers,
                uint32_t jobs, uint32_t seed);
void bench_clear(bench_t *bench);

/**
 * bench_submit() - submit a job
 * @job: its number, below the number of jobs of bench_init()
 * @run_ms: declared run time
 */
void bench_submit(bench_t *bench, uint32_t job, int class,
                  const job_size_t *declared, double run_ms);

/**
 * bench_heartbeat() - send the heartbeat of a worker to the coordinator
 */
void bench_heartbeat(bench_t *bench, int worker);

/**
 * bench_run_tasks() - advance all tasks by STEP_MS
 *
 * If the tasks of a worker use more than its processors, they slow down in
 * proportion.
 */
void bench_run_tasks(bench_t *bench);

/**
 * bench_decide() - let the coordinator decide once, and apply the decision
 */
void bench_decide(bench_t *bench);

/**
 * bench_step() - advance the time by STEP_MS
 */
void bench_step(bench_t *bench);
double bench_draw_log_uniform(bench_t *bench, double low, double high);
double bench_get_cpu_us(void);

/* Each prints a section of the report. */
void bench_makespan(const policy_t *policies, size_t count, int seeds);
void bench_decisions(const policy_t *best_fit, const policy_t *first_fit);
void bench_appends(int seeds);

#endif
