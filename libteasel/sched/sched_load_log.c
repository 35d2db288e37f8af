/* Logs a summary of executors, tasks and CPU use. */

#include "base/events.h"
#include "sched/sched_internal.h"

typedef struct load_summary {
    unsigned executors;
    unsigned connected;
    unsigned placed;
    unsigned waiting;
    unsigned waiting_best_effort;
    unsigned idle_jobs; /* with waiting tasks and none that runs */
    unsigned best_effort;
    unsigned slowed; /* best-effort tasks below half of their speed */
    unsigned serving;
    unsigned missed; /* serving tasks above their latency target */
    uint64_t capacity_cpu;
    uint64_t reserved_cpu;
    uint64_t best_effort_cpu;
    uint64_t best_effort_used_cpu;
} load_summary_t;

static void
add_task(load_summary_t *load, const sched_task_t *task)
{
    const Teasel__StepSpec *spec = task->step->spec;

    load->placed++;
    if (spec->filler) {
        load->best_effort++;
        load->slowed += task->slowdown > 50;
        load->best_effort_used_cpu += task->measurement;
    }
    if (spec->latency_target_ms > 0) {
        load->serving++;
        load->missed += task->measurement > spec->latency_target_ms;
    }
}

static void
add_job(load_summary_t *load, const sched_job_t *job)
{
    load->idle_jobs +=
        job->running == 0 && sched_job_get_waiting_step(job) != NULL;
    LIST_FOREACH (occurrence, &job->occurrences, sched_occurrence_t, link) {
        for (size_t i = 0; i < job->spec->n_steps; i++) {
            const sched_step_t *step = &occurrence->steps[i];

            if (step->waiting > 0 && sched_step_is_ready(step)) {
                load->waiting += step->waiting;
                load->waiting_best_effort +=
                    step->spec->filler ? step->waiting : 0;
            }
        }
    }
}

void
sched_log_load(const sched_t *sched)
{
    load_summary_t load = {0};

    LIST_FOREACH (executor, &sched->executor_list, sched_executor_t, link) {
        load.executors++;
        load.connected += executor->connected;
        load.capacity_cpu += executor->capacity.cpu_milli;
        load.reserved_cpu += executor->reserved.cpu_milli;
        load.best_effort_cpu += executor->best_effort_cpu;
        LIST_FOREACH (task, &executor->tasks, sched_task_t, executor_link) {
            add_task(&load, task);
        }
    }
    LIST_FOREACH (job, &sched->active_jobs, sched_job_t, link) {
        add_job(&load, job);
    }
    event_log(
        EVENT_LOAD,
        "executors=%u connected=%u placed=%u waiting=%u "
        "waiting_fillers=%u idle_jobs=%u fillers=%u slowed=%u serving=%u "
        "missed=%u "
        "room_cpu=%" G_GUINT64_FORMAT " reserved_cpu=%" G_GUINT64_FORMAT
        " filler_cpu=%" G_GUINT64_FORMAT " filler_use=%" G_GUINT64_FORMAT,
        load.executors, load.connected, load.placed, load.waiting,
        load.waiting_best_effort, load.idle_jobs, load.best_effort,
        load.slowed, load.serving, load.missed, load.capacity_cpu,
        load.reserved_cpu, load.best_effort_cpu, load.best_effort_used_cpu);
}
