/* Measures makespan, decision time and log appends of the coordinator in
   virtual time, and compares with baseline policies in the same run. Prints
   Markdown. */

#include <malloc.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "batch/coordinator.h"

enum {
    STEP_MS = 20,
    HEARTBEAT_MS = 500,
    CLASSES = 24, /* job classes of the mix */
    MIX_WORKERS = 11,
    MIX_JOBS = 1000,
    MAX_VIRTUAL_MS = 4000000,
};

/* Actual resource use and run time of a job. The declared values differ by a
   factor of up to 4. */
typedef struct demand {
    job_size_t size;
    double run_ms;
} demand_t;

typedef struct task {
    uint32_t job;
    uint32_t attempt;
    int worker;
    double progress_ms;
    bool active;
} task_t;

/* Coordinator options to compare. "believed": declared sizes are used without
   correction. max_items: decisions in one log record, 0 for the default. */
typedef struct policy {
    const char *name;
    const placement_strategy_t *placement;
    bool use_declared_sizes;
    bool arrival_order;
    size_t max_items;
} policy_t;

static const policy_t policies[] = {
    {"teaselhaven", &placement_best_fit, false, false, 0},
    {"first fit in order of arrival", &placement_first_fit, true, true, 0},
    {"declared sizes believed", &placement_best_fit, true, false, 0},
};

typedef struct bench {
    clock_source_t clock;
    int64_t now_ms;
    cell_t *cell;
    coordinator_t *coordinator;
    uint64_t records;
    uint64_t appends;
    uint64_t starts;
    uint64_t evictions;
    int workers;
    int failing_worker;
    job_size_t capacity;
    demand_t *demands;
    task_t *tasks; /* newest attempt of each job */
    uint32_t jobs;
    GRand *random;
} bench_t;

static void
get_time(const clock_source_t *clock, struct timespec *now)
{
    const bench_t *bench = (const bench_t *)clock;

    *now = timespec_add_ms((struct timespec){1000, 0}, bench->now_ms);
}

static double
get_cpu_us(void)
{
    struct timespec now;

    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return (double)now.tv_sec * 1e6 + (double)now.tv_nsec / 1e3;
}

static void
apply(bench_t *bench, Teasel__LogRecord *record)
{
    uint8_t id[CELL_ID_SIZE] = {0};

    bench->records++;
    memcpy(id, &bench->records, sizeof(bench->records));
    record->id.data = id;
    record->id.len = sizeof(id);
    cell_apply(bench->cell, record, bench->records);
    record->id.data = NULL;
}

static void
on_send(const char *agent, const Teasel__Envelope *message, void *data)
{
    bench_t *bench = data;
    const Teasel__StartTask *start = message->start_task;
    task_t *task;

    if (message->body_case != TEASEL__ENVELOPE__BODY_START_TASK) {
        return;
    }
    task = &bench->tasks[atoi(start->job_id + 1)];
    if (task->active) {
        return;
    }
    bench->starts++;
    task->job = (uint32_t)(task - bench->tasks);
    task->attempt = start->attempt;
    task->worker = atoi(agent + 1);
    task->progress_ms =
        start->checkpoint.len > 0 ? *(double *)start->checkpoint.data : 0;
    task->active = true;
}

static void
claim(bench_t *bench)
{
    Teasel__LogRecord record = TEASEL__LOG_RECORD__INIT;
    Teasel__Claim claim = TEASEL__CLAIM__INIT;

    record.body_case = TEASEL__LOG_RECORD__BODY_CLAIM;
    record.claim = &claim;
    apply(bench, &record);
    coordinator_activate(bench->coordinator, bench->records);
}

static void
bench_init(bench_t *bench, const policy_t *policy, int workers, uint32_t jobs,
           uint32_t seed)
{
    static const clock_vtbl_t vtbl = {get_time, get_time};
    coordinator_opts_t opts = {
        .lease_ms = 15000,
        .placement = policy->placement,
        .use_declared_sizes = policy->use_declared_sizes,
        .arrival_order = policy->arrival_order,
        .max_items = policy->max_items,
        .send = on_send,
        .data = bench,
    };

    memset(bench, 0, sizeof(*bench));
    bench->clock.vtbl = &vtbl;
    bench->cell = cell_new();
    opts.clock = &bench->clock;
    opts.cell = bench->cell;
    bench->coordinator = coordinator_new(&opts);
    bench->workers = workers;
    bench->failing_worker = -1;
    bench->capacity = (job_size_t){32000, 0, 125000};
    bench->jobs = jobs;
    bench->demands = g_new0(demand_t, jobs + 1);
    bench->tasks = g_new0(task_t, jobs + 1);
    bench->random = g_rand_new_with_seed(seed);
    claim(bench);
}

static void
bench_clear(bench_t *bench)
{
    coordinator_free(bench->coordinator);
    cell_free(bench->cell);
    g_free(bench->demands);
    g_free(bench->tasks);
    g_rand_free(bench->random);
}

static void
submit(bench_t *bench, uint32_t job, int class, const job_size_t *declared,
       double run_ms)
{
    Teasel__LogRecord record = TEASEL__LOG_RECORD__INIT;
    Teasel__JobSubmit submit = TEASEL__JOB_SUBMIT__INIT;
    char id[16];
    char spec[256];

    g_snprintf(id, sizeof(id), "j%u", job);
    submit.spec.len = (size_t)g_snprintf(
        spec, sizeof(spec),
        "{\"class\":\"c%d\",\"cpu_milli\":%u,\"memory_mb\":%" G_GUINT64_FORMAT
        ",\"run_ms\":%.0f,\"team\":\"t%d\"}",
        class, declared->cpu_milli, declared->memory_mb, run_ms, class % 4);
    submit.spec.data = (uint8_t *)spec;
    submit.job_id = id;
    record.body_case = TEASEL__LOG_RECORD__BODY_JOB_SUBMIT;
    record.job_submit = &submit;
    apply(bench, &record);
}

static void
heartbeat(bench_t *bench, int worker)
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

/* Advances all tasks by one step. If the tasks of a worker use more than its
   processors, they slow down in proportion. */
static void
run_tasks(bench_t *bench)
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

static void
decide(bench_t *bench)
{
    const Teasel__Decision *decision = coordinator_decide(bench->coordinator);
    Teasel__LogRecord record = TEASEL__LOG_RECORD__INIT;

    if (decision == NULL) {
        return;
    }
    record.body_case = TEASEL__LOG_RECORD__BODY_DECISION;
    record.decision = (Teasel__Decision *)decision;
    bench->appends++;
    apply(bench, &record);
    coordinator_on_write_result(bench->coordinator);
}

static void
step(bench_t *bench)
{
    bench->now_ms += STEP_MS;
    if (bench->now_ms % HEARTBEAT_MS < STEP_MS) {
        for (int i = 0; i < bench->workers; i++) {
            heartbeat(bench, i);
        }
    }
    run_tasks(bench);
    decide(bench);
}

static double
draw_log_uniform(bench_t *bench, double low, double high)
{
    return exp(g_rand_double_range(bench->random, log(low), log(high)));
}

/* Submits jobs whose declared sizes and run times are wrong by a factor of up
   to 4 for each class; sizes vary by 5% either way within a class.
   Return: lower bound of the makespan in ms. */
static double
submit_mix(bench_t *bench, uint32_t *fitting)
{
    double error_factors[CLASSES][3];
    double cpu_ms = 0;
    double memory_ms = 0;
    double longest = 0;
    double workers = bench->workers - 1; /* one fails every task */

    for (int i = 0; i < CLASSES; i++) {
        for (int k = 0; k < 3; k++) {
            error_factors[i][k] = draw_log_uniform(bench, 0.25, 4);
        }
    }
    *fitting = 0;
    for (uint32_t i = 0; i < bench->jobs; i++) {
        int class = g_rand_int_range(bench->random, 0, CLASSES);
        demand_t *demand = &bench->demands[i];
        job_size_t declared = {0};

        demand->size.cpu_milli = (uint32_t)draw_log_uniform(bench, 500, 8000);
        demand->size.memory_mb = (uint64_t)draw_log_uniform(bench, 500, 24000);
        demand->run_ms = draw_log_uniform(bench, 5000, 60000);
        declared.cpu_milli =
            (uint32_t)(demand->size.cpu_milli * error_factors[class][0] *
                       g_rand_double_range(bench->random, 0.95, 1.05));
        declared.memory_mb =
            (uint64_t)((double)demand->size.memory_mb *
                       error_factors[class][1] *
                       g_rand_double_range(bench->random, 0.95, 1.05));
        declared.cpu_milli = MIN(declared.cpu_milli, 32000);
        declared.memory_mb = MIN(declared.memory_mb, 125000);
        if (g_rand_int_range(bench->random, 0, 20) == 0) {
            declared.cpu_milli = 64000; /* never fits */
        }
        else {
            (*fitting)++;
            cpu_ms += demand->run_ms * demand->size.cpu_milli;
            memory_ms += demand->run_ms * (double)demand->size.memory_mb;
            longest = MAX(longest, demand->run_ms);
        }
        submit(bench, i, class, &declared,
               demand->run_ms * error_factors[class][2]);
    }
    return MAX(longest,
               MAX(cpu_ms / workers / bench->capacity.cpu_milli,
                   memory_ms / workers / (double)bench->capacity.memory_mb));
}

static void
bench_makespan(int seeds)
{
    printf("### Makespan\n\n%d jobs in %d classes submitted at once to %d "
           "workers, one of which\nfails every task. Declared sizes and run "
           "times "
           "are wrong by a factor of up to 4 for each\nclass; 5%% of the jobs "
           "never fit. The lower bound counts the other workers.\n\n| policy "
           "| seed | lower bound s | makespan s | "
           "ratio | evictions | attempts | appends |\n"
           "|---|---|---|---|---|---|---|---|\n",
           MIX_JOBS, CLASSES, MIX_WORKERS);
    for (size_t p = 0; p < G_N_ELEMENTS(policies); p++) {
        for (int seed = 1; seed <= seeds; seed++) {
            bench_t bench;
            uint32_t fitting;
            double bound;

            bench_init(&bench, &policies[p], MIX_WORKERS, MIX_JOBS,
                       (uint32_t)seed);
            bench.failing_worker = 0;
            bound = submit_mix(&bench, &fitting);
            while (bench.cell->live_count > MIX_JOBS - fitting &&
                   bench.now_ms < MAX_VIRTUAL_MS) {
                step(&bench);
            }
            printf("| %s | %d | %.1f | %.1f | %.2f | %" G_GUINT64_FORMAT
                   " | %" G_GUINT64_FORMAT " | %" G_GUINT64_FORMAT " |\n",
                   policies[p].name, seed, bound / 1000,
                   (double)bench.now_ms / 1000, (double)bench.now_ms / bound,
                   bench.evictions, bench.starts, bench.appends);
            bench_clear(&bench);
        }
    }
}

static size_t
get_heap_bytes(void)
{
    struct mallinfo2 info = mallinfo2();

    return info.uordblks + info.hblkhd;
}

static void
submit_random(bench_t *bench, uint32_t from, uint32_t to)
{
    for (uint32_t i = from; i < to; i++) {
        job_size_t size = {(uint32_t)draw_log_uniform(bench, 2000, 16000), 0,
                           (uint64_t)draw_log_uniform(bench, 4000, 64000)};

        bench->demands[i].size = size;
        bench->demands[i].run_ms = 1e9;
        submit(bench, i, (int)(i % 100), &size, 60000);
    }
}

static void
measure_decisions(const policy_t *policy, int workers, uint32_t jobs)
{
    bench_t bench;
    size_t heap;
    size_t heap_workers;
    size_t heap_jobs;
    double begin;
    double fill_us;
    double scan_us;
    uint64_t started;

    bench_init(&bench, policy, workers, jobs, 1);
    heap = get_heap_bytes();
    for (int i = 0; i < workers; i++) {
        heartbeat(&bench, i);
    }
    decide(&bench);
    for (int i = 0; i < workers; i++) {
        heartbeat(&bench, i);
    }
    heap_workers = get_heap_bytes();
    submit_random(&bench, 0, jobs);
    heap_jobs = get_heap_bytes();
    begin = get_cpu_us();
    for (int i = 0; i < 30; i++) {
        decide(&bench);
    }
    fill_us = get_cpu_us() - begin;
    started = bench.starts;
    begin = get_cpu_us();
    for (int i = 0; i < 20; i++) {
        bench.now_ms += HEARTBEAT_MS + 1;
        for (int k = 0; k < workers; k++) {
            heartbeat(&bench, k);
        }
    }
    double beat_us = (get_cpu_us() - begin) / 20 / workers;
    begin = get_cpu_us();
    for (int i = 0; i < 20; i++) {
        bench.now_ms += HEARTBEAT_MS;
        decide(&bench);
    }
    scan_us = (get_cpu_us() - begin) / 20;
    printf("| %s | %d | %u | %" G_GUINT64_FORMAT
           " | %.1f | %.0f | %.1f | %.0f | %.0f |\n",
           policy->name, workers, jobs, started,
           fill_us / (double)MAX(started, 1), scan_us, beat_us,
           (double)(heap_workers - heap) / workers,
           (double)(heap_jobs - heap_workers) / jobs);
    bench_clear(&bench);
}

static void
bench_decisions(void)
{
    static const int sizes[] = {125, 250, 500, 1000};

    printf("\n### Decision time and memory\n\nAll jobs are queued at once. "
           "When the cell is full, the remaining jobs are scanned again. The "
           "time of a\nstart includes building and applying the record, and "
           "the message.\n\n| policy | workers "
           "| queued jobs | started | us per start | us per scan of the full "
           "cell | us per heartbeat (includes building the task list) | bytes "
           "per "
           "worker | bytes per job |\n|---|---|---|---|---|---|---|---|---|"
           "\n");
    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        measure_decisions(&policies[0], sizes[i], (uint32_t)sizes[i] * 10);
    }
    measure_decisions(&policies[0], 1000, 2500);
    measure_decisions(&policies[0], 100, 10000);
    measure_decisions(&policies[1], 1000, 10000);
}

static void
measure_appends(const policy_t *policy, int rate, int seed)
{
    const int seconds = 5;
    bench_t bench;
    uint32_t next = 0;
    double due = 0; /* number of jobs that should be submitted by now */
    double begin = get_cpu_us();
    double worst = 0;

    bench_init(&bench, policy, 400, (uint32_t)(rate * seconds),
               (uint32_t)seed);
    while (bench.starts < bench.jobs && bench.now_ms < 60000) {
        due += rate * STEP_MS / 1000.0 *
               g_rand_double_range(bench.random, 0.5, 1.5);
        for (; next < bench.jobs && next < due; next++) {
            job_size_t size = {500, 0, 1000};

            bench.demands[next].size = size;
            bench.demands[next].run_ms = 2000;
            submit(&bench, next, 0, &size, 2000);
        }
        step(&bench);
        worst = MAX(worst, (double)bench.cell->queued_count);
    }
    printf("| %s | %d | %d | %" G_GUINT64_FORMAT " | %.3f | %.1f | %.0f | "
           "%.1f |\n",
           policy->name, rate, seed, bench.starts,
           (double)bench.appends / (double)bench.starts,
           (double)bench.appends * 1000 / (double)bench.now_ms, worst,
           (get_cpu_us() - begin) / 1e4 / (double)bench.now_ms * 1000);
    bench_clear(&bench);
}

static void
bench_appends(int seeds)
{
    static const int rates[] = {10, 100, 1300};
    static const policy_t batched = {"batched", &placement_best_fit, false,
                                     false, 0};
    static const policy_t single = {"one append per decision",
                                    &placement_best_fit, false, false, 1};

    printf(
        "\n### Appends per start\n\nCounts appends of decisions only, at most "
        "one per 20 ms; 400 workers, jobs of 2 s. The same records hold\nthe "
        "finishes. The last column includes the simulated workers.\n\n"
        "| policy | starts/s offered | seed | starts | appends per start | "
        "appends/s | longest queue | %% of a core |\n"
        "|---|---|---|---|---|---|---|---|\n");
    for (size_t i = 0; i < G_N_ELEMENTS(rates); i++) {
        for (int seed = 1; seed <= seeds; seed++) {
            measure_appends(&batched, rates[i], seed);
        }
        measure_appends(&single, rates[i], 1);
    }
}

int
main(int argc, char **argv)
{
    int seeds = argc > 1 ? atoi(argv[1]) : 3;

    bench_makespan(seeds);
    bench_decisions();
    bench_appends(seeds);
    return 0;
}
