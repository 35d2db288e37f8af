/* The simulated workers: their heartbeats, and the use and progress of their
   tasks. */

#include "bench.h"

void
bench_heartbeat(bench_t *bench, int worker)
{
    Teasel__Heartbeat beat = TEASEL__HEARTBEAT__INIT;
    Teasel__Resources capacity = TEASEL__RESOURCES__INIT;
    struct timespec now = clock_get_monotonic(&bench->clock);
    Teasel__RunningTask items[256];
    Teasel__RunningTask *pointers[256];
    char ids[256][16];
    char name[16];

    g_snprintf(name, sizeof(name), "w%d", worker);
    for (uint32_t i = 0; i < bench->jobs && beat.n_tasks < 256; i++) {
        const task_t *task = &bench->tasks[i];

        if (task->active && task->worker == worker) {
            size_t n = beat.n_tasks++;

            teasel__running_task__init(&items[n]);
            g_snprintf(ids[n], sizeof(ids[n]), "j%u", i);
            items[n].job_id = ids[n];
            items[n].attempt = task->attempt;
            items[n].progress_ms = (uint64_t)task->progress_ms;
            items[n].cpu_milli = bench->demands[i].size.cpu_milli;
            items[n].memory_mb = bench->demands[i].size.memory_mb;
            pointers[n] = &items[n];
        }
    }
    capacity.cpu_milli = bench->capacity.cpu_milli;
    capacity.memory_mb = bench->capacity.memory_mb;
    beat.agent_id = name;
    beat.incarnation = 1;
    beat.capacity = &capacity;
    beat.tasks = pointers;
    coordinator_on_heartbeat(bench->coordinator, &beat, now);
}

static void
end_task(bench_t *bench, task_t *task, Teasel__Outcome outcome)
{
    Teasel__TaskReport report = TEASEL__TASK_REPORT__INIT;
    const demand_t *demand = &bench->demands[task->job];
    char job_id[16];
    char worker[16];

    g_snprintf(job_id, sizeof(job_id), "j%u", task->job);
    g_snprintf(worker, sizeof(worker), "w%d", task->worker);
    report.agent_id = worker;
    report.job_id = job_id;
    report.attempt = task->attempt;
    report.outcome = outcome;
    report.run_ms = (uint64_t)demand->run_ms;
    report.peak_cpu_milli = demand->size.cpu_milli;
    report.peak_memory_mb = demand->size.memory_mb;
    report.checkpoint.data = (uint8_t *)&task->progress_ms;
    report.checkpoint.len = sizeof(task->progress_ms);
    task->active = false;
    coordinator_on_report(bench->coordinator, &report);
}

/* Evicts the task with the least progress, as an agent does, until the tasks
   fit the memory of the worker. */
static void
evict_over_memory(bench_t *bench, int worker, job_size_t used)
{
    while (used.memory_mb > bench->capacity.memory_mb) {
        task_t *newest = NULL;

        for (uint32_t i = 0; i < bench->jobs; i++) {
            task_t *task = &bench->tasks[i];

            if (task->active && task->worker == worker &&
                (newest == NULL || task->progress_ms < newest->progress_ms)) {
                newest = task;
            }
        }
        if (newest == NULL) {
            return;
        }
        job_size_subtract(&used, &bench->demands[newest->job].size);
        bench->evictions++;
        end_task(bench, newest, TEASEL__OUTCOME__OUTCOME_EVICTED);
    }
}

void
bench_run_tasks(bench_t *bench)
{
    job_size_t *used = g_new0(job_size_t, bench->workers);

    for (uint32_t i = 0; i < bench->jobs; i++) {
        if (bench->tasks[i].active) {
            job_size_add(&used[bench->tasks[i].worker],
                         &bench->demands[i].size);
        }
    }
    for (int i = 0; i < bench->workers; i++) {
        evict_over_memory(bench, i, used[i]);
    }
    for (uint32_t i = 0; i < bench->jobs; i++) {
        task_t *task = &bench->tasks[i];
        double load;

        if (!task->active) {
            continue;
        }
        load = (double)used[task->worker].cpu_milli /
               (double)bench->capacity.cpu_milli;
        task->progress_ms += STEP_MS / MAX(load, 1);
        if (task->worker == bench->failing_worker && task->progress_ms > 500) {
            end_task(bench, task, TEASEL__OUTCOME__OUTCOME_FAILED);
        }
        else if (task->progress_ms >= bench->demands[i].run_ms) {
            end_task(bench, task, TEASEL__OUTCOME__OUTCOME_DONE);
        }
    }
    g_free(used);
}
