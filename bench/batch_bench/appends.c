/* Log appends at a steady rate of jobs. */

#include <stdio.h>

#include "bench.h"

static void
measure_appends(const policy_t *policy, int rate, int seed)
{
    const int seconds = 5;
    bench_t bench;
    uint32_t next = 0;
    double due = 0; /* number of jobs that should be submitted by now */
    double begin = bench_get_cpu_us();
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
            bench_submit(&bench, next, 0, &size, 2000);
        }
        bench_step(&bench);
        worst = MAX(worst, (double)bench.cell->queued_count);
    }
    printf("| %s | %d | %d | %" G_GUINT64_FORMAT " | %.3f | %.1f | %.0f | "
           "%.1f |\n",
           policy->name, rate, seed, bench.starts,
           (double)bench.appends / (double)bench.starts,
           (double)bench.appends * 1000 / (double)bench.now_ms, worst,
           (bench_get_cpu_us() - begin) / 1e4 / (double)bench.now_ms * 1000);
    bench_clear(&bench);
}

void
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
