#include "sched/place.h"

#include <math.h>
#include <string.h>

/* Costs are shares of an executor: 1.0 weighs as much as the difference
   between an empty and a full one. */
static const double COST_REMOTE_DATA = 0.7;
static const double COST_FILLER_BESIDE_SERVING = 1.0;
static const double COST_SERVING_BESIDE_FILLER = 1.0;
static const double COST_SERVING_APART = 1.0;
static const double COST_FAILED_HERE = 1.0;
static const double COST_SLOWNESS = 1.0;
/* Tasks of a step that end late are compared with those that ended early, so
   that the average lies above 1.0. */
static const double NORMAL_SLOWNESS = 1.6;

/* Share of its reservation that a serving task uses as a rule. */
enum {
    SERVING_USE_PERCENT = 60,
    MAX_SLOWDOWN = 20,
};

/* Fillers are added up to this predicted tail latency over target. */
static const double MAX_TAIL = 0.9;

static bool
is_open(const sched_executor_t *executor, const Teasel__JobSpec *job,
        int64_t now_ms)
{
    return executor->connected && executor->listed && !executor->draining &&
           now_ms >= executor->probation_ms &&
           g_strcmp0(executor->service, job->service) == 0;
}

static bool
has_room(const sched_places_t *places, const sched_executor_t *executor,
         const Teasel__StepSpec *step)
{
    const sched_room_t *room = &executor->room;
    const sched_room_t *used = &executor->used;
    uint64_t cpu = used->cpu_milli + step->cpu_milli;

    /* Fillers get what the others leave unused, so they wait for some. */
    if (step->filler && places->idle) {
        cpu = 0;
    }
    else if (step->filler) {
        cpu += executor->filler_cpu;
        cpu -= executor->serving_cpu * (100 - SERVING_USE_PERCENT) / 100;
        if (executor->slowdown > MAX_SLOWDOWN) {
            return false;
        }
    }
    return cpu <= room->cpu_milli &&
           used->memory_mb + step->memory_mb <= room->memory_mb &&
           used->accelerators + step->accelerators <= room->accelerators;
}

static bool
is_allowed(const sched_executor_t *executor, const sched_task_t *task)
{
    const Teasel__StepSpec *spec = task->step->spec;
    uint32_t siblings = 0;

    if (spec->required_label[0] != '\0' &&
        !sched_executor_has_label(executor, spec->required_label)) {
        return false;
    }
    if (spec->max_per_executor == 0) {
        return true;
    }
    LIST_FOREACH (other, &executor->tasks, sched_task_t, place_link) {
        siblings += other->step == task->step;
    }
    return siblings < spec->max_per_executor;
}

static double
get_load(const sched_executor_t *executor, const Teasel__StepSpec *step)
{
    uint64_t unused =
        executor->serving_cpu * (100 - SERVING_USE_PERCENT) / 100;
    double cpu = (double)(executor->used.cpu_milli + executor->filler_cpu +
                          step->cpu_milli - unused) /
                 fmax(1.0, (double)executor->room.cpu_milli);
    double memory = (double)(executor->used.memory_mb + step->memory_mb) /
                    fmax(1.0, (double)executor->room.memory_mb);

    return fmax(cpu, memory);
}

/* Serving tasks do not disturb each other, so they share as few executors as
   possible and leave the others to the fillers, which disturb them. */
static double
get_base_cost(const sched_executor_t *executor, const Teasel__StepSpec *spec)
{
    double load = get_load(executor, spec);

    if (spec->latency_target_ms == 0) {
        return load;
    }
    return -COST_SERVING_APART * (double)executor->serving_cpu /
           fmax(1.0, (double)executor->room.cpu_milli);
}

/* Infinite where the filler would make a task miss its target, unless its job
   stands still. */
static double
get_filler_cost(const sched_places_t *places, const sched_executor_t *executor,
                const Teasel__StepSpec *spec)
{
    double tail;

    if (!spec->filler || executor->serving == 0) {
        return 0;
    }
    tail = interference_predict(places->interference, executor, spec);
    if (tail > MAX_TAIL && !places->idle) {
        return INFINITY;
    }
    return COST_FILLER_BESIDE_SERVING * tail;
}

static double
get_cost(const sched_places_t *places, const sched_executor_t *executor,
         const sched_task_t *task)
{
    const Teasel__StepSpec *spec = task->step->spec;
    double cost = get_base_cost(executor, spec);

    cost += COST_SLOWNESS * fmax(0, executor->slowness - NORMAL_SLOWNESS);
    if (spec->data_rack[0] != '\0' &&
        !sched_executor_has_label(executor, spec->data_rack)) {
        cost += COST_REMOTE_DATA;
    }
    cost += get_filler_cost(places, executor, spec);
    if (spec->latency_target_ms > 0) {
        cost += COST_SERVING_BESIDE_FILLER * (double)executor->filler_cpu /
                fmax(1.0, (double)executor->room.cpu_milli);
    }
    if (task->avoid == executor) {
        cost += COST_FAILED_HERE;
    }
    return cost;
}

sched_executor_t *
sched_place_choose(const sched_places_t *places, const sched_task_t *task)
{
    const Teasel__JobSpec *job = sched_task_get_job(task)->spec;
    sched_executor_t *best = NULL;
    double best_cost = INFINITY;

    LIST_FOREACH (executor, places->executors, sched_executor_t, link) {
        double cost;

        if (!is_open(executor, job, places->now_ms) ||
            !has_room(places, executor, task->step->spec) ||
            !is_allowed(executor, task) ||
            (places->rack != NULL &&
             g_strcmp0(executor->rack, places->rack) != 0)) {
            continue;
        }
        cost = get_cost(places, executor, task);
        if (cost < best_cost) {
            best = executor;
            best_cost = cost;
        }
    }
    return best;
}
