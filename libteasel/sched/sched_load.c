/* A summary of the load for the log. */

#include "base/events.h"
#include "sched/sched_internal.h"

typedef struct load {
    unsigned executors;
    unsigned connected;
    unsigned running;
    unsigned waiting;
    unsigned waiting_fillers;
    unsigned fillers;
    unsigned slowed; /* fillers below half of their speed */
    unsigned serving;
    unsigned missed; /* serving tasks over their target */
    uint64_t room_cpu;
    uint64_t used_cpu;
    uint64_t filler_cpu;
    uint64_t filler_use;
} load_t;

static void
add_task(load_t *load, const sched_task_t *task)
{
    const Teasel__StepSpec *spec = task->step->spec;

    load->running++;
    if (spec->filler) {
        load->fillers++;
        load->slowed += task->slowdown > 50;
        load->filler_use += task->figure;
    }
    if (spec->latency_target_ms > 0) {
        load->serving++;
        load->missed += task->figure > spec->latency_target_ms;
    }
}

static void
add_job(load_t *load, const sched_job_t *job)
{
    LIST_FOREACH (occurrence, &job->occurrences, sched_occurrence_t, link) {
        for (size_t i = 0; i < job->spec->n_steps; i++) {
            const sched_step_t *step = &occurrence->steps[i];

            if (step->waiting > 0 && sched_step_is_open(step)) {
                load->waiting += step->waiting;
                load->waiting_fillers +=
                    step->spec->filler ? step->waiting : 0;
            }
        }
    }
}

void
sched_log_load(const sched_t *sched)
{
    load_t load = {0};

    LIST_FOREACH (executor, &sched->executor_list, sched_executor_t, link) {
        load.executors++;
        load.connected += executor->connected;
        load.room_cpu += executor->room.cpu_milli;
        load.used_cpu += executor->used.cpu_milli;
        load.filler_cpu += executor->filler_cpu;
        LIST_FOREACH (task, &executor->tasks, sched_task_t, place_link) {
            add_task(&load, task);
        }
    }
    LIST_FOREACH (job, &sched->active, sched_job_t, link) {
        add_job(&load, job);
    }
    event_log(EVENT_LOAD,
              "executors=%u connected=%u placed=%u waiting=%u "
              "waiting_fillers=%u fillers=%u slowed=%u serving=%u missed=%u "
              "room_cpu=%" G_GUINT64_FORMAT " reserved_cpu=%" G_GUINT64_FORMAT
              " filler_cpu=%" G_GUINT64_FORMAT
              " filler_use=%" G_GUINT64_FORMAT,
              load.executors, load.connected, load.running, load.waiting,
              load.waiting_fillers, load.fillers, load.slowed, load.serving,
              load.missed, load.room_cpu, load.used_cpu, load.filler_cpu,
              load.filler_use);
}
