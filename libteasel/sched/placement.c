#include "sched/placement.h"

#include <math.h>
#include <string.h>

/* Costs are in shares of an executor: 1.0 equals the difference in load
   between an empty and a full executor. */
/* For each run time by which a task takes longer far from its data. */
static const double COST_REMOTE_DATA = 1.4;
static const double COST_BEST_EFFORT_BESIDE_SERVING = 1.0;
static const double COST_SERVING_BESIDE_BEST_EFFORT = 1.0;
static const double COST_SERVING_SPREAD = 1.0;
static const double COST_FAILED_HERE = 1.0;
static const double COST_RUN_TIME_RATIO = 1.0;
/* Lasting tasks run on an executor that is on probation rather than not at
   all. */
static const double COST_PROBATION = 10.0;
/* A run time is compared with those of the runs of its step that ended earlier
   and are therefore shorter, so the average ratio is above 1.0. */
static const double NORMAL_RUN_TIME_RATIO = 1.6;

enum {
    /* Share of its CPU reservation that a serving task usually uses. */
    SERVING_UTILIZATION_PERCENT = 60,
    /* No slack is left where a best-effort task is throttled more than
       this. */
    MAX_SLOWDOWN_PERCENT = 20,
    /* Up to this share most processors of an executor aren't reserved. */
    UNRESERVED_PERCENT = 50,
};

/* Best-effort tasks are added up to this predicted ratio of tail latency to
   target. */
static const double MAX_TAIL_RATIO = 0.8;
/* A best-effort task with a smaller effect on the ratio is always allowed. */
static const double NEGLIGIBLE_EFFECT = 0.02;

static const char *const refusal_names[] = {
    [SCHED_REFUSAL_NONE] = "none",
    [SCHED_REFUSAL_SERVICE] = "service",
    [SCHED_REFUSAL_DISCONNECTED] = "disconnected",
    [SCHED_REFUSAL_EVACUATED] = "evacuated",
    [SCHED_REFUSAL_DRAINING] = "draining",
    [SCHED_REFUSAL_TRIAL] = "trial",
    [SCHED_REFUSAL_PROBATION] = "probation",
    [SCHED_REFUSAL_RESOURCES] = "resources",
    [SCHED_REFUSAL_CONSTRAINTS] = "constraints",
};

const char *
sched_refusal_to_string(sched_refusal_t refusal)
{
    return refusal_names[refusal];
}

static bool
may_overcommit(const sched_placement_t *placement,
               const sched_executor_t *executor)
{
    switch (placement->overcommit) {
    case SCHED_OVERCOMMIT_ANY:
        return true;
    case SCHED_OVERCOMMIT_UNRESERVED:
        return executor->reserved.cpu_milli * 100 <=
               executor->capacity.cpu_milli * UNRESERVED_PERCENT;
    default:
        return false;
    }
}

bool
sched_placement_has_resources(const sched_placement_t *placement,
                              const sched_executor_t *executor,
                              const Teasel__StepSpec *step)
{
    const sched_resources_t *capacity = &executor->capacity;
    const sched_resources_t *reserved = &executor->reserved;
    uint64_t cpu = reserved->cpu_milli + step->cpu_milli;

    /* Best-effort tasks use the CPU that other tasks leave unused, so they
       need some to be unused unless they may overcommit the executor. */
    if (step->filler && may_overcommit(placement, executor)) {
        cpu = 0;
    }
    else if (step->filler) {
        cpu += executor->best_effort_cpu;
        cpu -=
            executor->serving_cpu * (100 - SERVING_UTILIZATION_PERCENT) / 100;
    }
    return cpu <= capacity->cpu_milli &&
           reserved->memory_mb + step->memory_mb <= capacity->memory_mb &&
           reserved->accelerators + step->accelerators <=
               capacity->accelerators;
}

static bool
meets_constraints(const sched_executor_t *executor, const sched_step_t *step)
{
    const Teasel__StepSpec *spec = step->spec;
    uint32_t siblings = 0;

    if (spec->required_label[0] != '\0' &&
        !sched_executor_has_label(executor, spec->required_label)) {
        return false;
    }
    if (spec->max_per_executor == 0) {
        return true;
    }
    LIST_FOREACH (other, &executor->tasks, sched_task_t, executor_link) {
        siblings += other->step == step;
    }
    return siblings < spec->max_per_executor;
}

static bool
is_on_probation(const sched_placement_t *placement,
                const sched_executor_t *executor)
{
    return placement->now_ms < executor->probation_ms;
}

sched_refusal_t
sched_placement_check(const sched_placement_t *placement,
                      const sched_executor_t *executor,
                      const sched_step_t *step)
{
    const Teasel__JobSpec *job = step->occurrence->job->spec;

    if (!executor->connected || !executor->listed) {
        return SCHED_REFUSAL_DISCONNECTED;
    }
    if (g_strcmp0(executor->service, job->service) != 0) {
        return SCHED_REFUSAL_SERVICE;
    }
    if (evacuation_covers(placement->evacuation, executor->data_centre)) {
        return SCHED_REFUSAL_EVACUATED;
    }
    if (executor->draining) {
        return SCHED_REFUSAL_DRAINING;
    }
    if ((executor->trials > 0 && !placement->ignore_trials) ||
        (placement->no_trial_since_ms > 0 &&
         executor->trial_failed_ms >= placement->no_trial_since_ms)) {
        return SCHED_REFUSAL_TRIAL;
    }
    if (!step->spec->long_running && is_on_probation(placement, executor)) {
        return SCHED_REFUSAL_PROBATION;
    }
    if (!sched_placement_has_resources(placement, executor, step->spec)) {
        return SCHED_REFUSAL_RESOURCES;
    }
    if (!meets_constraints(executor, step) ||
        (placement->rack != NULL &&
         g_strcmp0(executor->rack, placement->rack) != 0)) {
        return SCHED_REFUSAL_CONSTRAINTS;
    }
    return SCHED_REFUSAL_NONE;
}

static double
get_load(const sched_executor_t *executor, const Teasel__StepSpec *step)
{
    uint64_t unused =
        executor->serving_cpu * (100 - SERVING_UTILIZATION_PERCENT) / 100;
    double cpu =
        (double)(executor->reserved.cpu_milli + executor->best_effort_cpu +
                 step->cpu_milli - unused) /
        fmax(1.0, (double)executor->capacity.cpu_milli);
    double memory = (double)(executor->reserved.memory_mb + step->memory_mb) /
                    fmax(1.0, (double)executor->capacity.memory_mb);

    return fmax(cpu, memory);
}

/* Serving tasks do not affect each other's latency, but best-effort tasks do.
   Serving tasks are therefore packed onto as few executors as possible, which
   leaves the others to best-effort tasks. */
static double
get_base_cost(const sched_executor_t *executor, const Teasel__StepSpec *spec)
{
    double load = get_load(executor, spec);

    if (spec->latency_target_ms == 0) {
        return load;
    }
    return -COST_SERVING_SPREAD * (double)executor->serving_cpu /
           fmax(1.0, (double)executor->capacity.cpu_milli);
}

/* The cost is the share of the remaining slack of the serving tasks that the
   task would use, so that tasks with little effect fill executors where others
   would be throttled. It is infinite where the task would make a serving task
   miss its target, unless it may overcommit the executor. */
static double
get_best_effort_cost(const sched_placement_t *placement,
                     const sched_executor_t *executor,
                     const sched_step_t *step)
{
    interference_prediction_t prediction;
    double slack;

    if (!step->spec->filler || executor->serving == 0) {
        return 0;
    }
    prediction = interference_predict(placement->interference, executor, step);
    slack = executor->slowdown > MAX_SLOWDOWN_PERCENT
                ? 0
                : MAX_TAIL_RATIO - (prediction.tail - prediction.effect);
    if (prediction.effect <= fmax(slack, NEGLIGIBLE_EFFECT)) {
        return COST_BEST_EFFORT_BESIDE_SERVING * prediction.effect /
               fmax(slack, NEGLIGIBLE_EFFECT);
    }
    if (!may_overcommit(placement, executor)) {
        return INFINITY;
    }
    return COST_BEST_EFFORT_BESIDE_SERVING *
           (1.0 + prediction.tail - MAX_TAIL_RATIO);
}

double
sched_placement_get_cost(const sched_placement_t *placement,
                         const sched_executor_t *executor,
                         const sched_step_t *step)
{
    const Teasel__StepSpec *spec = step->spec;
    double cost;

    if (sched_placement_check(placement, executor, step) !=
        SCHED_REFUSAL_NONE) {
        return INFINITY;
    }
    cost = get_base_cost(executor, spec);
    cost += COST_RUN_TIME_RATIO *
            fmax(0, executor->run_time_ratio - NORMAL_RUN_TIME_RATIO);
    if (sched_step_is_remote(step, executor)) {
        cost += COST_REMOTE_DATA * (placement->remote_factor - 1.0);
    }
    cost += get_best_effort_cost(placement, executor, step);
    if (is_on_probation(placement, executor)) {
        cost += COST_PROBATION;
    }
    if (spec->latency_target_ms > 0) {
        cost += COST_SERVING_BESIDE_BEST_EFFORT *
                (double)executor->best_effort_cpu /
                fmax(1.0, (double)executor->capacity.cpu_milli);
    }
    return cost;
}

/* Returns how many runs of a task speak against an executor, whose predecessor
   may have crashed under it. */
static guint
count_bad_runs(const sched_task_t *task, const sched_executor_t *executor)
{
    return avoid_list_count(task->avoided, executor->number) +
           (task->crashed_worker == executor->worker);
}

sched_executor_t *
sched_placement_choose(const sched_placement_t *placement,
                       const sched_task_t *task)
{
    sched_executor_t *best = NULL;
    double best_cost = INFINITY;

    LIST_FOREACH (executor, placement->executors, sched_executor_t, link) {
        double cost =
            sched_placement_get_cost(placement, executor, task->step) +
            COST_FAILED_HERE * count_bad_runs(task, executor);

        if (cost < best_cost) {
            best = executor;
            best_cost = cost;
        }
    }
    return best;
}
