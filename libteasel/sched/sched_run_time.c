/* Learns from the run times of tasks that are done. */

#include "sched/sched_internal.h"

/* Weight of a new run in the moving average of an executor. */
static const double RUN_TIME_RATIO_WEIGHT = 0.25;

/* Returns how long the latest run of a task lasted, or would have lasted in
   the rack of its data. */
static double
get_run_ms(const sched_t *sched, const sched_task_t *task)
{
    double ran_ms = (double)(sched_now_ms(sched) - task->running_ms);

    return sched_step_is_remote(task->step, task->executor)
               ? ran_ms / sched->opts.remote_factor
               : ran_ms;
}

/* Compares the run time with those of the other tasks of the step, because the
   estimates in job specifications are inaccurate. */
void
sched_learn_run_time(sched_t *sched, sched_task_t *task)
{
    sched_step_t *step = task->step;
    sched_executor_t *executor = task->executor;
    double ran_ms = get_run_ms(sched, task);

    if (task->running_ms == 0 || task->checkpoint != NULL ||
        step->spec->long_running) {
        return;
    }
    sched_update_estimate_error(sched, task, ran_ms);
    if (step->timed_runs > 0 && step->run_ms_total > 0) {
        double ratio = ran_ms * step->timed_runs / step->run_ms_total;

        ratio = CLAMP(ratio, 0.25, 4.0);
        executor->run_time_ratio +=
            RUN_TIME_RATIO_WEIGHT * (ratio - executor->run_time_ratio);
    }
    step->timed_runs++;
    step->run_ms_total += ran_ms;
}
