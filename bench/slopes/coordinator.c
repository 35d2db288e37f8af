#include "batch/coordinator.h"

#include "slopes.h"
#include "world.h"

enum {
    TASKS_PER_WORKER = LIVE_JOBS / WORKERS,
};

/* A coordinator with 1,000 workers and its cell.
   messages: number of messages that the coordinator sent */
typedef struct fixture {
    world_t world;
    coordinator_t *coordinator;
    uint64_t messages;
} fixture_t;

static void
count_message(const char *agent, const Teasel__Envelope *message, void *data)
{
    ((fixture_t *)data)->messages++;
}

static void
decide_all(fixture_t *fixture)
{
    const Teasel__Decision *decision;

    while ((decision = coordinator_decide(fixture->coordinator)) != NULL) {
        world_decide(&fixture->world, decision->items, decision->n_items);
        coordinator_on_write_result(fixture->coordinator);
    }
}

/* Sends a heartbeat of each worker.
   @tasks: maximum number of running tasks of the cell to list for a worker */
static void
send_heartbeats(fixture_t *fixture, uint64_t round, size_t tasks)
{
    Teasel__RunningTask items[TASKS_PER_WORKER];
    Teasel__RunningTask *list[TASKS_PER_WORKER];

    for (uint64_t i = 0; i < WORKERS; i++) {
        g_autofree char *name = world_worker_name(i);
        Teasel__Heartbeat heartbeat = TEASEL__HEARTBEAT__INIT;
        Teasel__Resources capacity = TEASEL__RESOURCES__INIT;
        cell_worker_t *worker = cell_find_worker(fixture->world.cell, name);
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
        coordinator_on_heartbeat(fixture->coordinator, &heartbeat,
                                 clock_get_monotonic(clock_system()));
    }
}

static fixture_t *
fixture_new(void)
{
    fixture_t *fixture = g_new0(fixture_t, 1);
    coordinator_opts_t opts = {
        .clock = clock_system(),
        .lease_ms = 15000,
        .send = count_message,
        .data = fixture,
    };

    fixture->world = world_new();
    opts.cell = fixture->world.cell;
    fixture->coordinator = coordinator_new(&opts);
    coordinator_activate(fixture->coordinator, fixture->world.cell->epoch);
    send_heartbeats(fixture, 1, 0);
    decide_all(fixture);
    fixture->world.bytes = 0;
    return fixture;
}

static void
fixture_free(fixture_t *fixture)
{
    coordinator_free(fixture->coordinator);
    cell_free(fixture->world.cell);
    g_free(fixture);
}

static void
run_worker(uint64_t count, slope_result_t *result)
{
    slope_mark_t mark;
    fixture_t *fixture;

    slope_begin(&mark);
    fixture = fixture_new();
    slope_end(&mark, count, result);
    fixture_free(fixture);
}

static void
run_start(uint64_t count, slope_result_t *result)
{
    fixture_t *fixture = fixture_new();
    slope_mark_t mark;

    world_submit(&fixture->world, count);
    fixture->world.bytes = 0;
    fixture->messages = 0;
    slope_begin(&mark);
    decide_all(fixture);
    slope_end(&mark, fixture->messages, result);
    result->bytes = fixture->world.bytes / (double)fixture->messages;
    fixture_free(fixture);
}

static void
measure_heartbeats(uint64_t count, size_t tasks, slope_result_t *result)
{
    fixture_t *fixture = fixture_new();
    slope_mark_t mark;

    world_submit(&fixture->world, LIVE_JOBS);
    decide_all(fixture);
    send_heartbeats(fixture, 2, tasks);
    slope_begin(&mark);
    for (uint64_t i = 0; i < count; i += WORKERS) {
        send_heartbeats(fixture, 3 + i, tasks);
    }
    slope_end(&mark, count, result);
    result->memory = -1;
    fixture_free(fixture);
}

static void
run_heartbeat(uint64_t count, slope_result_t *result)
{
    measure_heartbeats(count, TASKS_PER_WORKER, result);
}

static void
run_finish(uint64_t count, slope_result_t *result)
{
    fixture_t *fixture = fixture_new();
    slope_mark_t mark;

    world_submit(&fixture->world, count);
    decide_all(fixture);
    fixture->world.bytes = 0;
    slope_begin(&mark);
    for (uint64_t i = 0; i < count; i++) {
        g_autofree char *name = world_job_name(i);
        cell_job_t *job = cell_find_job(fixture->world.cell, name);
        Teasel__TaskReport report = TEASEL__TASK_REPORT__INIT;

        report.agent_id = job->worker != NULL ? job->worker : "";
        report.incarnation = 1;
        report.job_id = name;
        report.attempt = job->attempt;
        report.outcome = TEASEL__OUTCOME__OUTCOME_DONE;
        report.run_ms = 600000;
        report.peak_cpu_milli = 1900;
        report.peak_memory_mb = 7800;
        coordinator_on_report(fixture->coordinator, &report);
        if (i % PER_DECISION == 0) {
            decide_all(fixture);
        }
    }
    decide_all(fixture);
    slope_end(&mark, count, result);
    result->memory = -1;
    result->bytes = fixture->world.bytes / (double)count;
    fixture_free(fixture);
}

const slope_t slopes_coordinator[] = {
    {"coordinator-worker", "worker registered with the coordinator", WORKERS,
     run_worker},
    {"coordinator-start", "start decided and applied, 1,000 workers",
     LIVE_JOBS, run_start},
    {"coordinator-heartbeat", "heartbeat of 12 tasks compared with the cell",
     100000, run_heartbeat},
    {"coordinator-finish", "finish decided and applied", LIVE_JOBS,
     run_finish},
    {NULL, NULL, 0, NULL},
};
