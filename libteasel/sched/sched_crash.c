/*
 * Finds tasks that crash each executor that starts them. An agent reports the
 * runs that had just started when their executor crashed; most of them only
 * ran beside the cause. A task is given up after several crashes in a row,
 * without a run that outlived its start. Suspected tasks start apart from each
 * other, so that the next crash tells them apart.
 */

#include "base/events.h"
#include "sched/sched_internal.h"

enum {
    MAX_CRASHES = 3,
    /* From this number of crashes on, a task is suspected. */
    SUSPECT_CRASHES = 2,
};

static void
give_up(sched_t *sched, sched_task_t *task, const char *name)
{
    event_log(EVENT_TASK_GIVEN_UP, "task=%s crashes=%u", name, task->crashes);
    if (task->phase == SCHED_TASK_WAITING) {
        sched_task_set_phase(task, SCHED_TASK_FAILED);
        task->step->waiting--;
    }
    sched_finish_job(sched, sched_task_get_job(task), SCHED_JOB_FAILED);
}

void
sched_apply_crash(sched_t *sched, const Teasel__RunRef *run)
{
    sched_task_t *task = sched_find_task(sched, run->task);

    if (task == NULL || sched_job_is_final(sched_task_get_job(task)) ||
        task->phase == SCHED_TASK_DONE || run->run > task->run ||
        run->run <= task->crashed_run) {
        return;
    }
    task->crashed_run = run->run;
    task->crashes++;
    sched_mark_dirty(sched, sched_task_get_job(task));
    event_log(EVENT_CRASH_COUNTED, "task=%s run=%u crashes=%u", run->task,
              run->run, task->crashes);
    if (task->crashes >= MAX_CRASHES) {
        give_up(sched, task, run->task);
    }
}

void
sched_task_settle(sched_t *sched, sched_task_t *task)
{
    task->settled = true;
    if (task->crashes > 0) {
        task->crashes = 0;
        sched_mark_dirty(sched, sched_task_get_job(task));
    }
}

bool
sched_task_is_suspect(const sched_task_t *task)
{
    return task->crashes >= SUSPECT_CRASHES && !task->settled;
}
