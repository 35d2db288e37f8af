/*
 * Finds tasks that crash each executor that starts them. An agent reports the
 * runs that had just started when their executor crashed; most of them only
 * ran beside the cause. A run that outlives its start clears its task. After
 * some crashes in a row a task is put on trial: it starts while no other run
 * is starting on its executor, so that a crash then proves that it is the
 * cause. A start without answer may not have begun: a crash after it leads to
 * a trial, but never to the end of the job. A lasting task is not given up but
 * contained: it waits for longer and longer before it is tried again, if its
 * crashes were on several workers. One that goes down by itself looks the
 * same. The leader itself counts the crashes that an agent cannot report, as
 * it was killed.
 */

#include "base/events.h"
#include "sched/sched_internal.h"

enum {
    /* A trial also ends this long after the run was reported as running, as
       agents of earlier versions do not report settled runs. */
    TRIAL_TIMEOUT_MS = 5000,
    /* From this number of crashes in a row on, a task is put on trial. */
    SUSPECT_CRASHES = 2,
    /* A crash in a trial is a proof only if it is not the first one that is
       confirmed, as an executor may also crash by itself. */
    MIN_CRASHES_BEFORE_PROOF = 1,
    /* A task is given up after this number of crashes without a proof, as the
       proof may be lost with its agent. Long-running tasks have no limit on
       their runs. */
    MAX_CRASHES = 5,
    /* Wait of a lasting task after a proof; each further crash doubles it, up
       to 640 s. */
    CONTAINED_MS = 5000,
    MAX_CONTAINED_DOUBLINGS = 7,
    /* The number of crashes up to which it isn't doubled. */
    FIRST_PROOF_CRASHES = 3,
};

static void
contain(sched_t *sched, sched_task_t *task, const char *name)
{
    int64_t further = (int64_t)task->crashes - FIRST_PROOF_CRASHES;
    int64_t wait_ms = (int64_t)CONTAINED_MS
                      << CLAMP(further, 0, MAX_CONTAINED_DOUBLINGS);

    event_log(EVENT_TASK_CONTAINED,
              "task=%s crashes=%u wait_ms=%" G_GINT64_FORMAT, name,
              task->crashes, wait_ms);
    task->not_before_ms = sched_now_ms(sched) + wait_ms;
}

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

/* Agents repeat their reports on a new connection. */
static bool
is_new_crash(const sched_task_t *task, uint32_t run)
{
    return !sched_job_is_final(sched_task_get_job(task)) &&
           task->phase != SCHED_TASK_DONE && !task->done_before &&
           run <= task->run && run > task->crashed_run;
}

/* Agents of earlier versions don't name the executor. */
static uint32_t
get_worker(const sched_task_t *task, const Teasel__CrashedRun *run)
{
    if (run->executor[0] == '\0' && run->run == task->run &&
        task->executor != NULL) {
        return task->executor->worker;
    }
    return sched_executor_key_worker(run->executor);
}

static void
note_worker(sched_task_t *task, uint32_t worker)
{
    if (worker == 0) {
        return;
    }
    task->crashed_apart |=
        task->crashed_worker != 0 && task->crashed_worker != worker;
    task->crashed_worker = worker;
}

static void
count_crash(sched_t *sched, sched_task_t *task, const Teasel__CrashedRun *run)
{
    bool was_suspect = sched_task_is_suspect(task);
    bool proven;

    if (!is_new_crash(task, run->run)) {
        return;
    }
    task->crashed_run = run->run;
    if (run->unconfirmed) {
        task->unconfirmed_crashes++;
    }
    else {
        task->crashes++;
        note_worker(task, get_worker(task, run));
    }
    proven = was_suspect && run->alone && !run->unconfirmed &&
             task->crashes > MIN_CRASHES_BEFORE_PROOF;
    sched_mark_dirty(sched, sched_task_get_job(task));
    event_log(EVENT_CRASH_COUNTED,
              "task=%s run=%u crashes=%u alone=%d unconfirmed=%u", run->task,
              run->run, task->crashes, run->alone, task->unconfirmed_crashes);
    if (task->step->spec->long_running) {
        if (proven && task->crashed_apart) {
            contain(sched, task, run->task);
        }
    }
    else if (proven || task->crashes >= MAX_CRASHES) {
        give_up(sched, task, run->task);
    }
}

void
sched_apply_crash(sched_t *sched, const Teasel__CrashedRun *run)
{
    sched_task_t *task = sched_find_task(sched, run->task);

    if (task != NULL) {
        count_crash(sched, task, run);
    }
}

static void
infer_crash(sched_t *sched, sched_task_t *task)
{
    Teasel__CrashedRun run = TEASEL__CRASHED_RUN__INIT;
    char name[SCHED_TASK_NAME_SIZE];

    sched_task_format_name(task, name);
    run.task = name;
    run.run = task->run;
    count_crash(sched, task, &run);
}

static bool
has_just_started(const sched_task_t *task)
{
    return task->phase == SCHED_TASK_RUNNING && !task->settled;
}

void
sched_infer_crashes(sched_t *sched, const sched_executor_t *executor)
{
    g_autoptr(GPtrArray) started = g_ptr_array_new();

    if (executor->draining) {
        return;
    }
    LIST_FOREACH (task, &executor->tasks, sched_task_t, executor_link) {
        if (has_just_started(task)) {
            g_ptr_array_add(started, task);
        }
    }
    /* To give a task up may end others on the same executor. */
    for (guint i = 0; i < started->len; i++) {
        infer_crash(sched, g_ptr_array_index(started, i));
    }
}

bool
sched_task_is_suspect(const sched_task_t *task)
{
    return task->crashes + task->unconfirmed_crashes >= SUSPECT_CRASHES;
}

bool
sched_task_needs_trial(const sched_task_t *task)
{
    return sched_task_is_suspect(task) && !task->step->spec->gang;
}

void
sched_check_trial(sched_t *sched, sched_task_t *task, int64_t now_ms)
{
    /* Nothing is known of a run whose executor is not connected. */
    if (task->on_trial && task->phase == SCHED_TASK_RUNNING &&
        task->executor->connected &&
        now_ms - task->running_ms > TRIAL_TIMEOUT_MS) {
        sched_task_settle(sched, task);
    }
}

void
sched_task_settle(sched_t *sched, sched_task_t *task)
{
    task->settled = true;
    avoid_list_clear(&task->avoided);
    if (task->on_trial) {
        task->on_trial = false;
        task->executor->trials--;
        sched->placement_needed = true;
    }
    if (task->crashes > 0 || task->unconfirmed_crashes > 0) {
        task->crashes = 0;
        task->unconfirmed_crashes = 0;
        task->crashed_worker = 0;
        task->crashed_apart = false;
        sched_mark_dirty(sched, sched_task_get_job(task));
    }
}
