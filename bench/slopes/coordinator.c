#include "batch/coordinator.h"

#include "slopes.h"
#include "world.h"

enum {
    TASKS_PER_WORKER = LIVE_JOBS / WORKERS,
};

/* A coordinator of 1,000 workers and the cell that it decides for. */
typedef struct desk {
    world_t world;
    coordinator_t *coordinator;
    uint64_t messages;
} desk_t;

static void
count_message(const char *agent, const Teasel__Envelope *message, void *data)
{
    ((desk_t *)data)->messages++;
}

static void
decide_all(desk_t *desk)
{
    const Teasel__Decision *decision;

    while ((decision = coordinator_decide(desk->coordinator)) != NULL) {
        world_decide(&desk->world, decision->items, decision->n_items);
        coordinator_on_write_result(desk->coordinator);
    }
}

/* @tasks: as many running tasks as the fold has on each worker, or 0 */
static void
send_heartbeats(desk_t *desk, uint64_t round, size_t tasks)
{
    Teasel__RunningTask items[TASKS_PER_WORKER];
    Teasel__RunningTask *list[TASKS_PER_WORKER];

    for (uint64_t i = 0; i < WORKERS; i++) {
        g_autofree char *name = world_worker_name(i);
        Teasel__Heartbeat heartbeat = TEASEL__HEARTBEAT__INIT;
        Teasel__Resources capacity = TEASEL__RESOURCES__INIT;
        cell_worker_t *worker = cell_find_worker(desk->world.cell, name);
        size_t count = 0;

        capacity.cpu_milli = 32000;
        capacity.memory_mb = 125000;
        heartbeat.agent_id = name;
        heartbeat.incarnation = 1;
        heartbeat.sequence = round;
        heartbeat.capacity = &capacity;
        heartbeat.data_centre = "accra";
        heartbeat.rack = "accra-rack-1";
        if (tasks > 0 && worker != NULL) {
            LIST_FOREACH (job, &worker->jobs, cell_job_t, worker_link) {
                if (count < tasks) {
                    teasel__running_task__init(&items[count]);
                    items[count].job_id = job->id;
                    items[count].attempt = job->attempt;
                    items[count].throttle = 100;
                    list[count] = &items[count];
                    count++;
                }
            }
        }
        heartbeat.n_tasks = count;
        heartbeat.tasks = list;
        coordinator_on_heartbeat(desk->coordinator, &heartbeat,
                                 clock_get_monotonic(clock_system()));
    }
}

static desk_t *
desk_new(void)
{
    desk_t *desk = g_new0(desk_t, 1);
    coordinator_opts_t opts = {
        .clock = clock_system(),
        .lease_ms = 15000,
        .send = count_message,
        .data = desk,
    };

    desk->world = world_new();
    opts.cell = desk->world.cell;
    desk->coordinator = coordinator_new(&opts);
    coordinator_activate(desk->coordinator, desk->world.cell->epoch);
    send_heartbeats(desk, 1, 0);
    decide_all(desk);
    desk->world.bytes = 0;
    return desk;
}

static void
desk_free(desk_t *desk)
{
    coordinator_free(desk->coordinator);
    cell_free(desk->world.cell);
    g_free(desk);
}

static void
run_worker(uint64_t count, slope_result_t *result)
{
    slope_mark_t mark;
    desk_t *desk;

    slope_begin(&mark);
    desk = desk_new();
    slope_end(&mark, count, result);
    desk_free(desk);
}

static void
run_start(uint64_t count, slope_result_t *result)
{
    desk_t *desk = desk_new();
    slope_mark_t mark;

    world_submit(&desk->world, count);
    desk->world.bytes = 0;
    desk->messages = 0;
    slope_begin(&mark);
    decide_all(desk);
    slope_end(&mark, desk->messages, result);
    result->bytes = desk->world.bytes / (double)desk->messages;
    desk_free(desk);
}

static void
measure_heartbeats(uint64_t count, size_t tasks, slope_result_t *result)
{
    desk_t *desk = desk_new();
    slope_mark_t mark;

    world_submit(&desk->world, LIVE_JOBS);
    decide_all(desk);
    send_heartbeats(desk, 2, tasks);
    slope_begin(&mark);
    for (uint64_t i = 0; i < count; i += WORKERS) {
        send_heartbeats(desk, 3 + i, tasks);
    }
    slope_end(&mark, count, result);
    result->memory = -1;
    desk_free(desk);
}

static void
run_heartbeat(uint64_t count, slope_result_t *result)
{
    measure_heartbeats(count, TASKS_PER_WORKER, result);
}

static void
run_finish(uint64_t count, slope_result_t *result)
{
    desk_t *desk = desk_new();
    slope_mark_t mark;

    world_submit(&desk->world, count);
    decide_all(desk);
    desk->world.bytes = 0;
    slope_begin(&mark);
    for (uint64_t i = 0; i < count; i++) {
        g_autofree char *name = world_job_name(i);
        cell_job_t *job = cell_find_job(desk->world.cell, name);
        Teasel__TaskReport report = TEASEL__TASK_REPORT__INIT;

        report.agent_id = job->worker != NULL ? job->worker : "";
        report.incarnation = 1;
        report.job_id = name;
        report.attempt = job->attempt;
        report.outcome = TEASEL__OUTCOME__OUTCOME_DONE;
        report.run_ms = 600000;
        report.peak_cpu_milli = 1900;
        report.peak_memory_mb = 7800;
        coordinator_on_report(desk->coordinator, &report);
        if (i % PER_DECISION == 0) {
            decide_all(desk);
        }
    }
    decide_all(desk);
    slope_end(&mark, count, result);
    result->memory = -1;
    result->bytes = desk->world.bytes / (double)count;
    desk_free(desk);
}

const slope_t slopes_coordinator[] = {
    {"coordinator-worker", "worker taken in by the coordinator", WORKERS,
     run_worker},
    {"coordinator-start", "start decided and folded, 1,000 workers", LIVE_JOBS,
     run_start},
    {"coordinator-heartbeat", "heartbeat of 12 tasks compared with the fold",
     100000, run_heartbeat},
    {"coordinator-finish", "finish decided and folded", LIVE_JOBS, run_finish},
    {NULL, NULL, 0, NULL},
};
