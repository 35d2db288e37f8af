#include <stdlib.h>
#include <string.h>

#include "batch/coordinator_internal.h"

/* Items and their members are allocated with malloc(), which g_new() uses,
   because teasel__decision__free_unpacked() frees them. */

bool
coordinator_is_full(const coordinator_t *coordinator, size_t limit)
{
    return coordinator->decision->n_items >= limit ||
           coordinator->item_bytes >= COORDINATOR_MAX_BYTES;
}

static Teasel__DecisionItem *
add_item(coordinator_t *coordinator, Teasel__DecisionItem__ItemCase kind,
         size_t bytes)
{
    Teasel__Decision *decision = coordinator->decision;
    Teasel__DecisionItem *item = g_new(Teasel__DecisionItem, 1);

    teasel__decision_item__init(item);
    item->item_case = kind;
    if (decision->n_items == coordinator->item_capacity) {
        coordinator->item_capacity = coordinator->item_capacity * 2 + 16;
        decision->items = g_renew(Teasel__DecisionItem *, decision->items,
                                  coordinator->item_capacity);
    }
    decision->items[decision->n_items++] = item;
    coordinator->item_bytes += bytes;
    return item;
}

static Teasel__Resources *
copy_size(const job_size_t *size)
{
    Teasel__Resources *out = g_new(Teasel__Resources, 1);

    teasel__resources__init(out);
    out->cpu_milli = size->cpu_milli;
    out->memory_mb = size->memory_mb;
    out->accelerators = size->accelerators;
    return out;
}

static void
copy_bytes(ProtobufCBinaryData *out, const ProtobufCBinaryData *in)
{
    out->len = in->len;
    out->data = in->len > 0 ? g_memdup2(in->data, in->len) : NULL;
}

void
coordinator_add_start(coordinator_t *coordinator, const cell_job_t *job,
                      const member_t *member, const job_size_t *size)
{
    Teasel__DecisionStart *start = g_new(Teasel__DecisionStart, 1);

    teasel__decision_start__init(start);
    start->job_id = g_strdup(job->id);
    start->attempt = job->attempt + 1;
    start->worker = g_strdup(member->name);
    start->incarnation = member->incarnation;
    start->size = copy_size(size);
    add_item(coordinator, TEASEL__DECISION_ITEM__ITEM_START, 100)->start =
        start;
}

void
coordinator_add_finish(coordinator_t *coordinator,
                       const Teasel__TaskReport *report)
{
    Teasel__DecisionFinish *finish = g_new(Teasel__DecisionFinish, 1);
    size_t bytes = 100 + report->checkpoint.len + strlen(report->detail);

    teasel__decision_finish__init(finish);
    finish->job_id = g_strdup(report->job_id);
    finish->attempt = report->attempt;
    finish->outcome = report->outcome;
    copy_bytes(&finish->checkpoint, &report->checkpoint);
    finish->detail = g_strdup(report->detail);
    finish->run_ms = report->run_ms;
    finish->peak_cpu_milli = report->peak_cpu_milli;
    finish->peak_memory_mb = report->peak_memory_mb;
    add_item(coordinator, TEASEL__DECISION_ITEM__ITEM_FINISH, bytes)->finish =
        finish;
}

void
coordinator_add_revoke(coordinator_t *coordinator, const cell_job_t *job,
                       const char *reason)
{
    Teasel__DecisionRevoke *revoke = g_new(Teasel__DecisionRevoke, 1);

    teasel__decision_revoke__init(revoke);
    revoke->job_id = g_strdup(job->id);
    revoke->attempt = job->attempt;
    revoke->reason = g_strdup(reason);
    add_item(coordinator, TEASEL__DECISION_ITEM__ITEM_REVOKE, 100)->revoke =
        revoke;
}

void
coordinator_add_expire(coordinator_t *coordinator, const cell_job_t *job)
{
    Teasel__DecisionExpire *expire = g_new(Teasel__DecisionExpire, 1);

    teasel__decision_expire__init(expire);
    expire->job_id = g_strdup(job->id);
    expire->attempt = job->attempt;
    add_item(coordinator, TEASEL__DECISION_ITEM__ITEM_EXPIRE, 80)->expire =
        expire;
}

void
coordinator_add_worker(coordinator_t *coordinator, const member_t *member,
                       const job_size_t *size, bool quarantined,
                       const char *reason)
{
    Teasel__DecisionWorker *worker = g_new(Teasel__DecisionWorker, 1);

    teasel__decision_worker__init(worker);
    worker->worker = g_strdup(member->name);
    worker->incarnation = member->has_heartbeat ? member->incarnation
                                                : member->worker->incarnation;
    worker->capacity = copy_size(size);
    worker->quarantined = quarantined;
    worker->reason = g_strdup(reason);
    add_item(coordinator, TEASEL__DECISION_ITEM__ITEM_WORKER, 120)->worker =
        worker;
}
