/* Time and memory of the decisions on a large queue. */

#include <malloc.h>
#include <stdio.h>

#include "bench.h"

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
        job_size_t size = {
            (uint32_t)bench_draw_log_uniform(bench, 2000, 16000), 0,
            (uint64_t)bench_draw_log_uniform(bench, 4000, 64000)};

        bench->demands[i].size = size;
        bench->demands[i].run_ms = 1e9;
        bench_submit(bench, i, (int)(i % 100), &size, 60000);
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
        bench_heartbeat(&bench, i);
    }
    bench_decide(&bench);
    for (int i = 0; i < workers; i++) {
        bench_heartbeat(&bench, i);
    }
    heap_workers = get_heap_bytes();
    submit_random(&bench, 0, jobs);
    heap_jobs = get_heap_bytes();
    begin = bench_get_cpu_us();
    for (int i = 0; i < 30; i++) {
        bench_decide(&bench);
    }
    fill_us = bench_get_cpu_us() - begin;
    started = bench.starts;
    begin = bench_get_cpu_us();
    for (int i = 0; i < 20; i++) {
        bench.now_ms += HEARTBEAT_MS + 1;
        for (int k = 0; k < workers; k++) {
            bench_heartbeat(&bench, k);
        }
    }
    double beat_us = (bench_get_cpu_us() - begin) / 20 / workers;
    begin = bench_get_cpu_us();
    for (int i = 0; i < 20; i++) {
        bench.now_ms += HEARTBEAT_MS;
        bench_decide(&bench);
    }
    scan_us = (bench_get_cpu_us() - begin) / 20;
    printf("| %s | %d | %u | %" G_GUINT64_FORMAT
           " | %.1f | %.0f | %.1f | %.0f | %.0f |\n",
           policy->name, workers, jobs, started,
           fill_us / (double)MAX(started, 1), scan_us, beat_us,
           (double)(heap_workers - heap) / workers,
           (double)(heap_jobs - heap_workers) / jobs);
    bench_clear(&bench);
}

void
bench_decisions(const policy_t *best_fit, const policy_t *first_fit)
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
        measure_decisions(best_fit, sizes[i], (uint32_t)sizes[i] * 10);
    }
    measure_decisions(best_fit, 1000, 2500);
    measure_decisions(best_fit, 100, 10000);
    measure_decisions(first_fit, 1000, 10000);
}
