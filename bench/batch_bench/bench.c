#include "bench.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void
get_time(const clock_source_t *clock, struct timespec *now)
{
    const bench_t *bench = (const bench_t *)clock;

    *now = timespec_add_ms((struct timespec){1000, 0}, bench->now_ms);
}

double
bench_get_cpu_us(void)
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

void
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

void
bench_clear(bench_t *bench)
{
    coordinator_free(bench->coordinator);
    cell_free(bench->cell);
    g_free(bench->demands);
    g_free(bench->tasks);
    g_rand_free(bench->random);
}

void
bench_submit(bench_t *bench, uint32_t job, int class,
             const job_size_t *declared, double run_ms)
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

void
bench_decide(bench_t *bench)
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

void
bench_step(bench_t *bench)
{
    bench->now_ms += STEP_MS;
    if (bench->now_ms % HEARTBEAT_MS < STEP_MS) {
        for (int i = 0; i < bench->workers; i++) {
            bench_heartbeat(bench, i);
        }
    }
    bench_run_tasks(bench);
    bench_decide(bench);
}

double
bench_draw_log_uniform(bench_t *bench, double low, double high)
{
    return exp(g_rand_double_range(bench->random, log(low), log(high)));
}
