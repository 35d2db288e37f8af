#include "batch/placement.h"
#include "slopes.h"
#include "world.h"

static void
add_workers(world_t *world)
{
    for (uint64_t i = 0; i < WORKERS; i++) {
        g_autofree char *name = world_worker_name(i);
        Teasel__DecisionItem item = TEASEL__DECISION_ITEM__INIT;
        Teasel__DecisionWorker worker = TEASEL__DECISION_WORKER__INIT;
        Teasel__Resources size = TEASEL__RESOURCES__INIT;
        Teasel__DecisionItem *items[] = {&item};

        size.cpu_milli = 32000;
        size.memory_mb = 125000;
        worker.worker = name;
        worker.incarnation = 1;
        worker.capacity = &size;
        item.item_case = TEASEL__DECISION_ITEM__ITEM_WORKER;
        item.worker = &worker;
        world_decide(world, items, 1);
    }
}

static world_t
make_world(void)
{
    world_t world = world_new();

    add_workers(&world);
    world.bytes = 0;
    return world;
}

typedef void (*fill_fn)(Teasel__DecisionItem *item, uint64_t number);

static void
fill_start(Teasel__DecisionItem *item, uint64_t number)
{
    Teasel__DecisionStart *start = g_new0(Teasel__DecisionStart, 1);

    teasel__decision_start__init(start);
    start->job_id = world_job_name(number);
    start->attempt = 1;
    start->worker = world_worker_name(number);
    start->incarnation = 1;
    start->size = g_new0(Teasel__Resources, 1);
    teasel__resources__init(start->size);
    start->size->cpu_milli = 2000;
    start->size->memory_mb = 8000;
    item->item_case = TEASEL__DECISION_ITEM__ITEM_START;
    item->start = start;
}

static void
fill_finish(Teasel__DecisionItem *item, uint64_t number)
{
    Teasel__DecisionFinish *finish = g_new0(Teasel__DecisionFinish, 1);

    teasel__decision_finish__init(finish);
    finish->job_id = world_job_name(number);
    finish->attempt = 1;
    finish->detail = "";
    finish->run_ms = 601234;
    finish->peak_cpu_milli = 1900;
    finish->peak_memory_mb = 7800;
    item->item_case = TEASEL__DECISION_ITEM__ITEM_FINISH;
    item->finish = finish;
}

static void
decide(world_t *world, uint64_t count, fill_fn fill)
{
    Teasel__DecisionItem items[PER_DECISION];
    Teasel__DecisionItem *list[PER_DECISION];

    for (uint64_t i = 0; i < count; i += PER_DECISION) {
        size_t used = MIN(PER_DECISION, count - i);

        for (size_t k = 0; k < used; k++) {
            teasel__decision_item__init(&items[k]);
            fill(&items[k], i + k);
            list[k] = &items[k];
        }
        world_decide(world, list, used);
    }
}

static void
run_submit(uint64_t count, slope_result_t *result)
{
    world_t world = make_world();
    slope_mark_t mark;

    slope_begin(&mark);
    world_submit(&world, count);
    slope_end(&mark, count, result);
    result->bytes = world.bytes / (double)count;
    cell_free(world.cell);
}

static void
run_start(uint64_t count, slope_result_t *result)
{
    world_t world = make_world();
    slope_mark_t mark;

    world_submit(&world, count);
    world.bytes = 0;
    slope_begin(&mark);
    decide(&world, count, fill_start);
    slope_end(&mark, count, result);
    result->memory = -1;
    result->bytes = world.bytes / (double)count;
    cell_free(world.cell);
}

static void
run_finish(uint64_t count, slope_result_t *result)
{
    world_t world = make_world();
    slope_mark_t mark;

    world_submit(&world, count);
    decide(&world, count, fill_start);
    world.bytes = 0;
    slope_begin(&mark);
    decide(&world, count, fill_finish);
    slope_end(&mark, count, result);
    result->memory = -1;
    result->bytes = world.bytes / (double)count;
    cell_free(world.cell);
}

static void
run_snapshot(uint64_t count, slope_result_t *result)
{
    world_t world = make_world();
    cell_t *copy = cell_new();
    slope_mark_t mark;
    GByteArray *snapshot;

    world_submit(&world, count);
    decide(&world, count, fill_start);
    slope_begin(&mark);
    snapshot = cell_encode(world.cell);
    cell_load(copy, snapshot->data, snapshot->len, NULL);
    slope_end(&mark, count, result);
    result->memory = -1;
    result->bytes = (double)snapshot->len / (double)count;
    g_byte_array_unref(snapshot);
    cell_free(world.cell);
    cell_free(copy);
}

static void
run_place(uint64_t count, slope_result_t *result)
{
    placement_t *placement = placement_new(&placement_best_fit);
    job_size_t capacity = {.cpu_milli = 32000, .memory_mb = 125000};
    job_size_t size = {.cpu_milli = 2000, .memory_mb = 8000};
    slope_mark_t mark;

    for (uint32_t i = 0; i < WORKERS; i++) {
        job_size_t free_size = {.cpu_milli = 1000 * (i % 32),
                                .memory_mb = 4000 * (i % 32)};

        placement_set_resources(placement, placement_add_worker(placement),
                                &capacity, &free_size);
    }
    slope_begin(&mark);
    for (uint64_t i = 0; i < count; i++) {
        placement_choose(placement, &size, NULL, 0);
    }
    slope_end(&mark, count, result);
    result->memory = -1;
    placement_free(placement);
}

const slope_t slopes_cell[] = {
    {"job-submit", "submission, unpacked and applied; a live job", LIVE_JOBS,
     run_submit},
    {"job-start", "start, 26 in a record, unpacked and applied", LIVE_JOBS,
     run_start},
    {"job-finish", "finish, 26 in a record, unpacked and applied", LIVE_JOBS,
     run_finish},
    {"job-snapshot", "running job in a snapshot, encoded and loaded",
     LIVE_JOBS, run_snapshot},
    {"place-choose", "placement among 1,000 workers", 100000, run_place},
    {NULL, NULL, 0, NULL},
};
