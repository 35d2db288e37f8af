/* Measures the cost of one unit of work of each kind; see docs/CAPACITY.md. */

#include "slopes.h"

#include <malloc.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

static uint64_t
cpu_now_ns(void)
{
    struct timespec now;

    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return (uint64_t)now.tv_sec * 1000000000 + (uint64_t)now.tv_nsec;
}

static size_t
heap_in_use(void)
{
    struct mallinfo2 info = mallinfo2();

    return info.uordblks + info.hblkhd;
}

void
slope_begin(slope_mark_t *mark)
{
    mark->memory = heap_in_use();
    mark->cpu_ns = cpu_now_ns();
}

void
slope_end(const slope_mark_t *mark, uint64_t count, slope_result_t *result)
{
    result->cpu_ns = (double)(cpu_now_ns() - mark->cpu_ns) / (double)count;
    result->memory =
        ((double)heap_in_use() - (double)mark->memory) / (double)count;
}

static void
print_cell(double value)
{
    if (value < 0) {
        printf(" - |");
        return;
    }
    printf(" %.0f |", value);
}

static void
print_slope(const slope_t *slope)
{
    slope_result_t result = {-1, -1, -1};

    slope->run(slope->count, &result);
    printf("| %s | %s |", slope->name, slope->unit);
    print_cell(result.cpu_ns);
    print_cell(result.memory);
    print_cell(result.bytes);
    printf("\n");
    fflush(stdout);
}

int
main(int argc, char **argv)
{
    const slope_t *const tables[] = {slopes_wire, slopes_config, slopes_cell,
                                     slopes_coordinator, slopes_request};
    const char *wanted = argc > 1 ? argv[1] : "";

    printf("| slope | unit | processor ns | memory bytes | wire bytes |\n");
    printf("|---|---|---|---|---|\n");
    for (size_t i = 0; i < sizeof(tables) / sizeof(tables[0]); i++) {
        for (const slope_t *slope = tables[i]; slope->name; slope++) {
            if (strncmp(slope->name, wanted, strlen(wanted)) == 0) {
                print_slope(slope);
            }
        }
    }
    return 0;
}
