/* Measures one decision turn of the scheduler with a backlog of best-effort
   tasks: the report of a run end, the placement that it allows, the write and
   the orders. Prints Markdown. */

#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "sched/sched.h"

enum {
    TURNS = 200,
    TASKS_PER_JOB = 40,
    SERVING_IMAGES = 16,
    BEST_EFFORT_IMAGES = 30,
    SERVING_PER_EXECUTOR = 5,
    CPU_MILLI = 32000,
    MEMORY_MB = 128000,
    TURN_MS = 5, /* time between two turns */
    MAX_WRITE_BYTES = 1024 * 1024,
};

static const unsigned executor_counts[] = {240, 1000, 4000};
static const unsigned backlog_counts[] = {1000, 10000, 50000};

typedef struct world {
    struct timespec now;
    clock_source_t clock;
    sched_t *sched;
    unsigned executors;
    unsigned next_job;
    uint64_t *next_end;
} world_t;

static void
read_clock(const clock_source_t *clock, struct timespec *now)
{
    *now = LIST_ENTRY(clock, const world_t, clock)->now;
}

static const clock_vtbl_t clock_vtbl = {
    .get_monotonic = read_clock,
    .get_wall = read_clock,
};

static void
advance_ms(world_t *world, int64_t ms)
{
    world->now = timespec_add_ms(world->now, ms);
}

static double
get_cpu_us(void)
{
    struct timespec now;

    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return (double)now.tv_sec * 1e6 + (double)now.tv_nsec / 1e3;
}

static Teasel__JobSpec *
new_job(world_t *world, bool serving, unsigned count)
{
    Teasel__JobSpec *spec = g_new(Teasel__JobSpec, 1);
    Teasel__StepSpec *step = g_new(Teasel__StepSpec, 1);

    teasel__job_spec__init(spec);
    teasel__step_spec__init(step);
    spec->id = g_strdup_printf("%016x", ++world->next_job);
    spec->queue = g_strdup(serving ? "serving" : "batch");
    spec->service = g_strdup("service");
    spec->payload = g_strdup("");
    spec->priority = serving ? 0 : 2;
    spec->n_steps = 1;
    spec->steps = g_new(Teasel__StepSpec *, 1);
    spec->steps[0] = step;
    step->count = count;
    step->cpu_milli = serving ? 6000 : 3500;
    step->memory_mb = 6400;
    step->estimated_ms = 2200;
    step->long_running = serving;
    step->filler = !serving;
    step->latency_target_ms = serving ? 18 : 0;
    step->required_label = g_strdup("");
    step->data_rack = g_strdup("");
    step->image = g_strdup_printf(
        "%s%u", serving ? "s" : "b",
        world->next_job % (serving ? SERVING_IMAGES : BEST_EFFORT_IMAGES));
    return spec;
}

static void
begin_report(Teasel__ExecutorReport *report, Teasel__Capacity *capacity,
             char *key)
{
    teasel__executor_report__init(report);
    teasel__capacity__init(capacity);
    capacity->cpu_milli = CPU_MILLI;
    capacity->memory_mb = MEMORY_MB;
    report->key = key;
    report->service = "service";
    report->data_centre = "dc";
    report->rack = "rack";
    report->capacity = capacity;
}

static char *
new_key(unsigned executor)
{
    return g_strdup_printf("10.0.%u.%u:80/id/1", executor / 256,
                           executor % 256);
}

static void
connect_executors(world_t *world)
{
    for (unsigned i = 0; i < world->executors; i++) {
        Teasel__ExecutorReport report;
        Teasel__Capacity capacity;
        g_autofree char *key = new_key(i);
        g_autofree char *node = g_strdup_printf("node-%u", i);

        begin_report(&report, &capacity, key);
        report.listed = true;
        sched_apply_report(world->sched, node, &report);
    }
}

static void
run_turn(world_t *world)
{
    g_autoptr(GPtrArray) changes = sched_changes_new();

    sched_run(world->sched);
    if (sched_take_changes(world->sched, changes, MAX_WRITE_BYTES)) {
        sched_commit(world->sched);
    }
}

static void
confirm_all(world_t *world)
{
    LIST_FOREACH (executor, sched_get_executors(world->sched),
                  sched_executor_t, link) {
        Teasel__ExecutorOrders *orders =
            sched_take_orders(world->sched, executor);

        if (orders != NULL) {
            sched_orders_free(orders);
        }
    }
}

static bool
is_best_effort(const sched_task_t *task)
{
    return task->step->spec->filler;
}

/* Reports the end of one best-effort run of an executor, and the figures of
   its serving tasks. */
static void
report_end(world_t *world, unsigned index)
{
    g_autofree char *key = new_key(index);
    g_autofree char *node = g_strdup_printf("node-%u", index);
    char name[SCHED_TASK_NAME_SIZE];
    Teasel__ExecutorReport report;
    Teasel__Capacity capacity;
    Teasel__RunEnd end = TEASEL__RUN_END__INIT;
    Teasel__RunEnd *ends[] = {&end};

    begin_report(&report, &capacity, key);
    LIST_FOREACH (executor, sched_get_executors(world->sched),
                  sched_executor_t, link) {
        if (g_strcmp0(executor->key, key) != 0) {
            continue;
        }
        LIST_FOREACH (task, &executor->tasks, sched_task_t, executor_link) {
            if (is_best_effort(task)) {
                sched_task_format_name(task, name);
                end.number = ++world->next_end[index];
                end.task = name;
                end.run = task->run;
                report.ended = ends;
                report.n_ended = 1;
                break;
            }
        }
    }
    sched_apply_report(world->sched, node, &report);
}

static double
measure(unsigned executors, unsigned backlog)
{
    world_t world = {.executors = executors, .now = {.tv_sec = 1000}};
    sched_opts_t opts = {.clock = &world.clock,
                         .predecessor_lease_ms = 6000,
                         .retain_ms = 600000,
                         .stop_ms = 1000,
                         .record_bytes = 256 * 1024};
    double spent_us = 0;

    world.clock.vtbl = &clock_vtbl;
    world.sched = sched_new(&opts);
    world.next_end = g_new0(uint64_t, executors);
    connect_executors(&world);
    for (unsigned i = 0; i < executors * SERVING_PER_EXECUTOR / 24; i++) {
        sched_submit(world.sched, new_job(&world, true, 24));
    }
    run_turn(&world);
    /* Six best-effort tasks an executor run, the others wait. */
    for (unsigned i = 0; i < (executors * 6 + backlog) / TASKS_PER_JOB; i++) {
        sched_submit(world.sched, new_job(&world, false, TASKS_PER_JOB));
    }
    advance_ms(&world, 1000);
    run_turn(&world);
    confirm_all(&world);
    for (unsigned i = 0; i < TURNS; i++) {
        double began_us;

        advance_ms(&world, TURN_MS);
        report_end(&world, i * 7 % executors);
        began_us = get_cpu_us();
        run_turn(&world);
        spent_us += get_cpu_us() - began_us;
        confirm_all(&world);
    }
    sched_free(world.sched);
    g_free(world.next_end);
    return spent_us / TURNS;
}

int
main(void)
{
    printf("Mean processor time of a decision turn in ms, %d turns each.\n\n"
           "| executors |",
           TURNS);
    for (size_t j = 0; j < G_N_ELEMENTS(backlog_counts); j++) {
        printf(" %u waiting |", backlog_counts[j]);
    }
    printf("\n|---|---|---|---|\n");
    for (size_t i = 0; i < G_N_ELEMENTS(executor_counts); i++) {
        printf("| %u |", executor_counts[i]);
        for (size_t j = 0; j < G_N_ELEMENTS(backlog_counts); j++) {
            printf(" %.3f |",
                   measure(executor_counts[i], backlog_counts[j]) / 1000.0);
            (void)fflush(stdout);
        }
        printf("\n");
    }
    return EXIT_SUCCESS;
}
