/* Takes runs that have not begun from executors in evacuated data centres.
   Runs that are at work go on. */

#include "base/events.h"
#include "sched/sched_internal.h"

enum {
    /* The agents have connected to a new leader and named their executors
       after this time. */
    AGENTS_CONNECT_MS = 5000,
};

static const char REASON[] = "its data centre is evacuated";

bool
sched_is_evacuated(const sched_t *sched, const sched_executor_t *executor)
{
    return evacuation_covers(sched->opts.evacuation, executor->data_centre);
}

void
sched_note_evacuation(sched_t *sched)
{
    sched->check_needed = true;
    sched->placement_needed = true;
}

sched_evacuation_counts_t
sched_count_evacuated(const sched_t *sched)
{
    return sched->evacuated;
}

/* A run that was at work is started again if a list of its agent lacks it. */
static bool
is_start_due(const sched_task_t *task)
{
    return task->phase == SCHED_TASK_PLACED ||
           (task->phase == SCHED_TASK_RUNNING &&
            !list_is_empty(&task->order_link));
}

/* A run whose start was sent may be at work; the list of its agent shows it.
   Until then no order can reach the agent either. */
static sched_task_t *
find_start(const sched_executor_t *executor)
{
    LIST_FOREACH (task, &executor->tasks, sched_task_t, executor_link) {
        if (is_start_due(task) && (!task->start_sent || executor->listed)) {
            return task;
        }
    }
    return NULL;
}

static void
take_task(sched_t *sched, sched_task_t *task)
{
    if (task->start_sent) {
        sched->evacuated.stopped++;
    }
    else {
        sched->evacuated.released++;
    }
    sched_stop_task(sched, task, REASON);
}

/* The other members of a gang would wait for this one until they time out. */
static void
take_gang(sched_t *sched, sched_task_t *task)
{
    sched_step_t *step = task->step;

    for (uint32_t i = 0; step->spec->gang && i < step->spec->count; i++) {
        sched_task_t *other = &step->tasks[i];

        if (other != task && other->phase == SCHED_TASK_PLACED) {
            take_task(sched, other);
        }
    }
    take_task(sched, task);
}

static bool
has_executor(const sched_t *sched, const char *data_centre)
{
    LIST_FOREACH (executor, &sched->executor_list, sched_executor_t, link) {
        if (g_strcmp0(executor->data_centre, data_centre) == 0) {
            return true;
        }
    }
    return false;
}

/* Logs each evacuation once whose data centre has no executors: its name may
   be misspelt. */
static void
check_names(sched_t *sched)
{
    const evacuation_t *evacuation = sched->opts.evacuation;
    uint64_t checked = sched->names_checked;

    if (sched_now_ms(sched) - sched->created_ms < AGENTS_CONNECT_MS) {
        return;
    }
    for (guint i = 0; i < evacuation_count(evacuation); i++) {
        const char *name = evacuation_get_name(evacuation, i);
        uint64_t offset = evacuation_get_offset(evacuation, i);

        if (offset >= checked && !has_executor(sched, name)) {
            event_log(EVENT_EVACUATION_UNMATCHED,
                      "data_centre=%s offset=%" G_GUINT64_FORMAT, name,
                      offset);
        }
        sched->names_checked = MAX(sched->names_checked, offset + 1);
    }
}

void
sched_evacuate_runs(sched_t *sched)
{
    sched_evacuation_counts_t before = sched->evacuated;
    sched_task_t *task;

    if (evacuation_count(sched->opts.evacuation) == 0) {
        return;
    }
    check_names(sched);
    LIST_FOREACH (executor, &sched->executor_list, sched_executor_t, link) {
        while (sched_is_evacuated(sched, executor) &&
               (task = find_start(executor)) != NULL) {
            take_gang(sched, task);
        }
    }
    if (sched->evacuated.released != before.released ||
        sched->evacuated.stopped != before.stopped) {
        event_log(EVENT_RUNS_EVACUATED,
                  "released=%" G_GUINT64_FORMAT " stopped=%" G_GUINT64_FORMAT,
                  sched->evacuated.released - before.released,
                  sched->evacuated.stopped - before.stopped);
    }
}
