/* Time until a mix of jobs is done. */

#include <stdio.h>

#include "bench.h"

enum {
    CLASSES = 24, /* job classes of the mix */
    MIX_WORKERS = 11,
    MIX_JOBS = 1000,
    MAX_VIRTUAL_MS = 4000000,
};

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
            error_factors[i][k] = bench_draw_log_uniform(bench, 0.25, 4);
        }
    }
    *fitting = 0;
    for (uint32_t i = 0; i < bench->jobs; i++) {
        int class = g_rand_int_range(bench->random, 0, CLASSES);
        demand_t *demand = &bench->demands[i];
        job_size_t declared = {0};

        demand->size.cpu_milli =
            (uint32_t)bench_draw_log_uniform(bench, 500, 8000);
        demand->size.memory_mb =
            (uint64_t)bench_draw_log_uniform(bench, 500, 24000);
        demand->run_ms = bench_draw_log_uniform(bench, 5000, 60000);
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
        bench_submit(bench, i, class, &declared,
                     demand->run_ms * error_factors[class][2]);
    }
    return MAX(longest,
               MAX(cpu_ms / workers / bench->capacity.cpu_milli,
                   memory_ms / workers / (double)bench->capacity.memory_mb));
}

void
bench_makespan(const policy_t *policies, size_t count, int seeds)
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
    for (size_t p = 0; p < count; p++) {
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
                bench_step(&bench);
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
