/* Measures makespan, decision time and log appends of the coordinator in
   virtual time, and compares with baseline policies in the same run. Prints
   Markdown. */

#include <stdlib.h>

#include "bench.h"

static const policy_t policies[] = {
    {"teaselhaven", &placement_best_fit, false, false, 0},
    {"first fit in order of arrival", &placement_first_fit, true, true, 0},
    {"declared sizes believed", &placement_best_fit, true, false, 0},
};

int
main(int argc, char **argv)
{
    int seeds = argc > 1 ? atoi(argv[1]) : 3;

    bench_makespan(policies, G_N_ELEMENTS(policies), seeds);
    bench_decisions(&policies[0], &policies[1]);
    bench_appends(seeds);
    return 0;
}
