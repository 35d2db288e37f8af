#include "batch/placement.h"

#include <math.h>

typedef struct block {
    uint32_t cpu;
    uint32_t memory;
    uint32_t accelerators;
} block_t;

struct placement {
    const placement_strategy_t *strategy;
    GArray *workers; /* placement_worker_t */
    GArray *blocks;  /* block_t: most free resources of a worker */
    GArray *unused;  /* int: indexes of removed workers */
};

static double
best_fit_cost(const placement_worker_t *worker, const job_size_t *size)
{
    double cpu =
        (double)(worker->cpu - size->cpu_milli) / (double)worker->cpu_capacity;
    double memory = (double)(worker->memory - size->memory_mb) /
                    (double)worker->memory_capacity;
    double free = worker->accelerators - size->accelerators;
    double capacity = worker->accelerator_capacity;
    double cost = cpu + memory + fabs(cpu - memory) / 2;

    if (capacity == 0) {
        return cost;
    }
    if (size->accelerators == 0) {
        /* Jobs that need accelerators also need processors and memory: when
           those are used up, the free accelerators are stranded. */
        cost += 4 + MAX(0, free - capacity * MIN(cpu, memory));
    }
    return cost + 2 * free / capacity;
}

const placement_strategy_t placement_best_fit = {"best fit", best_fit_cost};
const placement_strategy_t placement_first_fit = {"first fit", NULL};

placement_t *
placement_new(const placement_strategy_t *strategy)
{
    placement_t *placement = g_new0(placement_t, 1);

    placement->strategy = strategy;
    placement->workers = g_array_new(FALSE, TRUE, sizeof(placement_worker_t));
    placement->blocks = g_array_new(FALSE, TRUE, sizeof(block_t));
    placement->unused = g_array_new(FALSE, FALSE, sizeof(int));
    return placement;
}

void
placement_free(placement_t *placement)
{
    if (placement == NULL) {
        return;
    }
    g_array_unref(placement->workers);
    g_array_unref(placement->blocks);
    g_array_unref(placement->unused);
    g_free(placement);
}

int
placement_add_worker(placement_t *placement)
{
    guint index = placement->workers->len;

    if (placement->unused->len > 0) {
        guint last = placement->unused->len - 1;
        int reused = g_array_index(placement->unused, int, last);

        g_array_set_size(placement->unused, last);
        return reused;
    }
    g_array_set_size(placement->workers, index + 1);
    g_array_set_size(placement->blocks, index / PLACEMENT_BLOCK_WORKERS + 1);
    return (int)index;
}

static void
refresh_block(placement_t *placement, guint number)
{
    block_t *block = &g_array_index(placement->blocks, block_t, number);
    guint end =
        MIN((number + 1) * PLACEMENT_BLOCK_WORKERS, placement->workers->len);

    *block = (block_t){0};
    for (guint i = number * PLACEMENT_BLOCK_WORKERS; i < end; i++) {
        const placement_worker_t *worker =
            &g_array_index(placement->workers, placement_worker_t, i);

        block->cpu = MAX(block->cpu, worker->cpu);
        block->memory = MAX(block->memory, worker->memory);
        block->accelerators = MAX(block->accelerators, worker->accelerators);
    }
}

void
placement_set_resources(placement_t *placement, int index,
                        const job_size_t *capacity,
                        const job_size_t *available)
{
    placement_worker_t *worker =
        &g_array_index(placement->workers, placement_worker_t, (guint)index);

    worker->cpu = available->cpu_milli;
    worker->memory = (uint32_t)available->memory_mb;
    worker->accelerators = available->accelerators;
    worker->cpu_capacity = capacity->cpu_milli;
    worker->memory_capacity = (uint32_t)capacity->memory_mb;
    worker->accelerator_capacity = capacity->accelerators;
    refresh_block(placement, (guint)index / PLACEMENT_BLOCK_WORKERS);
}

void
placement_remove_worker(placement_t *placement, int index)
{
    static const job_size_t none = {0};

    placement_set_resources(placement, index, &none, &none);
    g_array_append_val(placement->unused, index);
}

static bool
is_avoided(int index, const int *avoid, size_t avoid_count)
{
    for (size_t i = 0; i < avoid_count; i++) {
        if (avoid[i] == index) {
            return true;
        }
    }
    return false;
}

static bool
has_capacity(uint32_t cpu, uint32_t memory, uint32_t accelerators,
             const job_size_t *size)
{
    return size->cpu_milli <= cpu && size->memory_mb <= memory &&
           size->accelerators <= accelerators;
}

int
placement_choose(const placement_t *placement, const job_size_t *size,
                 const int *avoid, size_t avoid_count)
{
    const placement_worker_t *workers =
        (placement_worker_t *)placement->workers->data;
    const block_t *blocks = (block_t *)placement->blocks->data;
    double best_cost = INFINITY;
    int best = PLACEMENT_NONE;

    for (guint i = 0; i < placement->workers->len; i++) {
        const block_t *block = &blocks[i / PLACEMENT_BLOCK_WORKERS];
        double cost;

        if (i % PLACEMENT_BLOCK_WORKERS == 0 &&
            !has_capacity(block->cpu, block->memory, block->accelerators,
                          size)) {
            i += PLACEMENT_BLOCK_WORKERS - 1;
            continue;
        }
        if (!has_capacity(workers[i].cpu, workers[i].memory,
                          workers[i].accelerators, size) ||
            is_avoided((int)i, avoid, avoid_count)) {
            continue;
        }
        if (placement->strategy->cost == NULL) {
            return (int)i;
        }
        cost = placement->strategy->cost(&workers[i], size);
        if (cost < best_cost) {
            best_cost = cost;
            best = (int)i;
        }
    }
    return best;
}

static double
get_headroom(const placement_worker_t *worker, const job_size_t *size)
{
    double cpu = (double)worker->cpu / size->cpu_milli;
    double memory = (double)worker->memory / (double)size->memory_mb;
    double headroom = MIN(cpu, memory);

    if (size->accelerators > 0) {
        headroom =
            MIN(headroom, (double)worker->accelerators / size->accelerators);
    }
    return headroom;
}

int
placement_choose_reservation(const placement_t *placement,
                             const job_size_t *size, const int *avoid,
                             size_t avoid_count)
{
    const placement_worker_t *workers =
        (placement_worker_t *)placement->workers->data;
    double largest = -1;
    int best = PLACEMENT_NONE;

    for (guint i = 0; i < placement->workers->len; i++) {
        double headroom;

        if (!has_capacity(workers[i].cpu_capacity, workers[i].memory_capacity,
                          workers[i].accelerator_capacity, size) ||
            is_avoided((int)i, avoid, avoid_count)) {
            continue;
        }
        headroom = get_headroom(&workers[i], size);
        if (headroom > largest) {
            largest = headroom;
            best = (int)i;
        }
    }
    return best;
}
