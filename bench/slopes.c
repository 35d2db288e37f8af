/* Measures the slopes of docs/CAPACITY.md: processor time, memory and bytes
   that each additional unit of work costs. Prints Markdown. */

#include "slopes.h"

#include <malloc.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

static uint64_t
get_cpu_ns(void)
{
    struct timespec now;

    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return (uint64_t)now.tv_sec * 1000000000 + (uint64_t)now.tv_nsec;
}

static size_t
get_heap_bytes(void)
{
    struct mallinfo2 info = mallinfo2();

    return info.uordblks + info.hblkhd;
}

void
slope_begin(slope_mark_t *mark)
{
    mark->memory = get_heap_bytes();
    mark->cpu_ns = get_cpu_ns();
}

void
slope_end(const slope_mark_t *mark, uint64_t count, slope_result_t *result)
{
    result->cpu_ns = (double)(get_cpu_ns() - mark->cpu_ns) / (double)count;
    result->memory =
        ((double)get_heap_bytes() - (double)mark->memory) / (double)count;
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
    const char *prefix = argc > 1 ? argv[1] : ""; /* of the slope names */

    printf("| slope | unit | processor ns | memory bytes | wire bytes |\n");
    printf("|---|---|---|---|---|\n");
    for (size_t i = 0; i < sizeof(tables) / sizeof(tables[0]); i++) {
        for (const slope_t *slope = tables[i]; slope->name; slope++) {
            if (strncmp(slope->name, prefix, strlen(prefix)) == 0) {
                print_slope(slope);
            }
        }
    }
    return 0;
}
