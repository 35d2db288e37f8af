/*
 * Holds executors for lasting tasks that need more room than becomes free at
 * once. Short tasks would take each piece of it; a held executor gets no more
 * of them. A hold lapses unless later passes renew it.
 */

#include "base/events.h"
#include "sched/pass.h"

enum {
    /* Longer than the interval between passes that renew it. */
    HOLD_MS = 500,
    HOLD_INTERVAL_MS = 200,
    /* One of this number of the executors of a service may be held, and one in
       any case. */
    EXECUTORS_PER_HOLD = 8,
};

void
pass_begin_holds(pass_t *pass)
{
    sched_t *sched = pass->sched;

    pass->may_hold = pass->now_ms - sched->last_hold_ms >= HOLD_INTERVAL_MS;
    if (pass->may_hold) {
        sched->last_hold_ms = pass->now_ms;
    }
}

static bool
is_renewed(const pass_t *pass, const sched_executor_t *executor)
{
    return executor->held_until_ms == pass->now_ms + HOLD_MS;
}

static bool
is_held(const pass_t *pass, const sched_executor_t *executor)
{
    return executor->held_until_ms > pass->now_ms;
}

static bool
may_hold_another(const pass_t *pass, const char *service)
{
    unsigned executors = 0;
    unsigned held = 0;

    LIST_FOREACH (executor, &pass->sched->executor_list, sched_executor_t,
                  link) {
        if (executor->connected &&
            g_strcmp0(executor->service, service) == 0) {
            executors++;
            held += is_held(pass, executor);
        }
    }
    return held < MAX(1, executors / EXECUTORS_PER_HOLD);
}

/* The one that is held already has less to wait for than any other. */
static bool
is_better(const pass_t *pass, const sched_executor_t *a,
          const sched_executor_t *b)
{
    if (b == NULL || is_held(pass, a) != is_held(pass, b)) {
        return b == NULL || is_held(pass, a);
    }
    return a->capacity.cpu_milli - a->reserved.cpu_milli >
           b->capacity.cpu_milli - b->reserved.cpu_milli;
}

static sched_executor_t *
choose(const pass_t *pass, const sched_task_t *task)
{
    sched_placement_t placement =
        sched_new_placement(pass->sched, sched_task_get_job(task), NULL);
    sched_executor_t *best = NULL;

    placement.may_overcommit =
        sched_may_overcommit(pass->sched, task, pass->now_ms);
    LIST_FOREACH (executor, &pass->sched->executor_list, sched_executor_t,
                  link) {
        if (!is_renewed(pass, executor) &&
            sched_placement_can_clear(&placement, executor, task->step) &&
            is_better(pass, executor, best)) {
            best = executor;
        }
    }
    return best;
}

static void
log_hold(const sched_task_t *task, const sched_executor_t *executor)
{
    char name[SCHED_TASK_NAME_SIZE];

    sched_task_format_name(task, name);
    event_log(EVENT_ROOM_HELD,
              "task=%s executor=%s free_cpu=%" G_GINT64_FORMAT
              " free_mb=%" G_GINT64_FORMAT,
              name, executor->key,
              (int64_t)executor->capacity.cpu_milli -
                  (int64_t)executor->reserved.cpu_milli,
              (int64_t)executor->capacity.memory_mb -
                  (int64_t)executor->reserved.memory_mb);
}

void
pass_hold_room(pass_t *pass, const sched_task_t *task)
{
    const Teasel__JobSpec *job = sched_task_get_job(task)->spec;
    sched_executor_t *executor;

    if (!pass->may_hold ||
        demand_list_covers(pass->not_held, task->step, false)) {
        return;
    }
    executor = choose(pass, task);
    if (executor == NULL) {
        demand_list_add(pass->not_held, task->step, false);
        return;
    }
    if (!is_held(pass, executor)) {
        if (!may_hold_another(pass, job->service)) {
            return;
        }
        log_hold(task, executor);
    }
    executor->held_until_ms = pass->now_ms + HOLD_MS;
    executor->held_priority = job->priority;
}
