#include "world.h"

#include <string.h>

char *
world_job_name(uint64_t number)
{
    return g_strdup_printf("typeset-2026-12-04-%09u", (unsigned)number);
}

char *
world_worker_name(uint64_t number)
{
    return g_strdup_printf("agent-accra-%05u", (unsigned)(number % WORKERS));
}

void
world_apply(world_t *world, Teasel__LogRecord *record)
{
    uint64_t id[2] = {++world->offset, 7};
    g_autofree uint8_t *packed = NULL;
    Teasel__LogRecord *unpacked;
    size_t length;

    record->id.data = (uint8_t *)id;
    record->id.len = sizeof(id);
    record->writer = "agent-accra-00017";
    record->wall_ms = 1796367422761;
    length = teasel__log_record__get_packed_size(record);
    packed = g_malloc(length);
    teasel__log_record__pack(record, packed);
    world->bytes += (double)length;
    unpacked = teasel__log_record__unpack(NULL, length, packed);
    cell_apply(world->cell, unpacked, world->offset);
    teasel__log_record__free_unpacked(unpacked, NULL);
    record->id.data = NULL;
}

void
world_decide(world_t *world, Teasel__DecisionItem **items, size_t count)
{
    Teasel__LogRecord record = TEASEL__LOG_RECORD__INIT;
    Teasel__Decision decision = TEASEL__DECISION__INIT;

    decision.epoch = world->cell->epoch;
    decision.n_items = count;
    decision.items = items;
    record.body_case = TEASEL__LOG_RECORD__BODY_DECISION;
    record.decision = &decision;
    world_apply(world, &record);
}

world_t
world_new(void)
{
    world_t world = {cell_new(), 0, 0};
    Teasel__LogRecord record = TEASEL__LOG_RECORD__INIT;
    Teasel__Claim claim = TEASEL__CLAIM__INIT;

    claim.agent_id = "agent-accra-00017";
    claim.incarnation = 1;
    claim.peer_address = "10.0.0.1:7000";
    record.body_case = TEASEL__LOG_RECORD__BODY_CLAIM;
    record.claim = &claim;
    world_apply(&world, &record);
    return world;
}

void
world_submit(world_t *world, uint64_t count)
{
    for (uint64_t i = 0; i < count; i++) {
        g_autofree char *name = world_job_name(i);
        g_autofree char *spec = g_strdup_printf(
            "{\"checkpoint_ms\":60000,\"class\":\"typeset-a5\",\"cpu_milli\":"
            "2000,\"memory_mb\":8000,\"priority\":\"normal\",\"run_ms\":"
            "600000,\"team\":\"team-%u\"}",
            (unsigned)(i % 74));
        Teasel__LogRecord record = TEASEL__LOG_RECORD__INIT;
        Teasel__JobSubmit submit = TEASEL__JOB_SUBMIT__INIT;

        submit.job_id = name;
        submit.spec.data = (uint8_t *)spec;
        submit.spec.len = strlen(spec);
        submit.submitter = "entry-accra-1";
        record.body_case = TEASEL__LOG_RECORD__BODY_JOB_SUBMIT;
        record.job_submit = &submit;
        world_apply(world, &record);
    }
}
