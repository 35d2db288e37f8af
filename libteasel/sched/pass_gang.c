/* Places gangs. */

#include "sched/pass.h"

static void
release_gang(sched_step_t *step)
{
    for (uint32_t i = 0; i < step->spec->count; i++) {
        sched_executor_detach(&step->tasks[i]);
    }
}

/* Reserves resources for all members of a gang, or for none. */
static bool
try_reserve_gang(sched_t *sched, sched_step_t *step, const char *rack)
{
    for (uint32_t i = 0; i < step->spec->count; i++) {
        sched_task_t *task = &step->tasks[i];
        sched_executor_t *executor = sched_choose_executor(sched, task, rack);

        if (executor == NULL) {
            release_gang(step);
            return false;
        }
        sched_executor_attach(executor, task);
    }
    return true;
}

static bool
reserve_gang(sched_t *sched, sched_step_t *step)
{
    if (step->spec->same_rack) {
        LIST_FOREACH (executor, &sched->executor_list, sched_executor_t,
                      link) {
            if (executor->rack != NULL &&
                try_reserve_gang(sched, step, executor->rack)) {
                return true;
            }
        }
    }
    return try_reserve_gang(sched, step, NULL);
}

/* All members of a gang have the same run number. */
static bool
is_taken(const pass_t *pass, const sched_step_t *step)
{
    bool restart = step->spec->long_running && step->tasks[0].run > 0;

    return step->waiting == step->spec->count &&
           pass->scope != PASS_SUSPECTS && (!pass->restarts || restart);
}

/* All members have the same checkpoint. */
void
pass_place_gang(const pass_t *pass, sched_step_t *step)
{
    const char *checkpoint = NULL;
    uint32_t run = 0;

    if (!is_taken(pass, step) || !reserve_gang(pass->sched, step)) {
        return;
    }
    for (uint32_t i = 0; i < step->spec->count; i++) {
        run = MAX(run, step->tasks[i].run);
        if (step->tasks[i].checkpoint != NULL) {
            checkpoint = step->tasks[i].checkpoint;
        }
    }
    checkpoint = g_strdup(checkpoint);
    for (uint32_t i = 0; i < step->spec->count; i++) {
        sched_task_t *task = &step->tasks[i];
        sched_executor_t *executor = task->executor;

        sched_executor_detach(task);
        g_free(task->checkpoint);
        task->checkpoint = g_strdup(checkpoint);
        sched_place_task(pass->sched, task, executor, run + 1);
    }
    g_free((char *)checkpoint);
}
