#include "agent/task_runner_internal.h"
#include "base/events.h"

static void
apply_level(task_t *task, pressure_level_t level)
{
    event_log(EVENT_PRESSURE_STEP, "job=%s attempt=%u from=%d to=%d",
              task->job_id, task->attempt, (int)task->level, (int)level);
    task->level = level;
    if (level == PRESSURE_EVICTED) {
        task_stop(task, TEASEL__STOP_REASON__STOP_REASON_EVICT);
        return;
    }
    task_step(task);
}

void
task_pressure_update(task_runner_t *runner)
{
    g_autoptr(GArray) states =
        g_array_new(FALSE, FALSE, sizeof(pressure_task_t));
    g_autoptr(GPtrArray) tasks = g_ptr_array_new();
    pressure_step_t step;

    LIST_FOREACH (task, &runner->tasks, task_t, link) {
        if (task->state == TASK_ACTIVE) {
            pressure_task_t state = {
                .level = task->level,
                .unsaved_ms = task_get_lost_ms(task),
            };

            g_array_append_val(states, state);
            g_ptr_array_add(tasks, task);
        }
    }
    if (pressure_update(
            &runner->pressure,
            runner->opts.handler->get_load_percent(runner->opts.data),
            (pressure_task_t *)states->data, states->len, &step)) {
        apply_level(tasks->pdata[step.index], step.level);
    }
}
