#include "batch/coordinator_internal.h"

/* Finishes, worker changes and expiries leave one item in this many of a
   decision for starts. */
#define START_SHARE 4

static bool
is_worth_recording(const job_size_t *now, const job_size_t *recorded)
{
    /* Growth by 1/16 or less is not recorded, any reduction is. */
    return !job_size_fits(recorded, now) ||
           now->cpu_milli > recorded->cpu_milli + recorded->cpu_milli / 16 ||
           now->memory_mb > recorded->memory_mb + recorded->memory_mb / 16 ||
           now->accelerators > recorded->accelerators;
}

static void
plan_removal(coordinator_t *coordinator, member_t *member, int64_t silence)
{
    static const job_size_t none = {0};

    if (silence >= COORDINATOR_REMOVE_MS &&
        list_is_empty(&member->worker->jobs)) {
        coordinator_add_worker(coordinator, member, &none, false, "");
    }
}

static void
plan_quarantine(coordinator_t *coordinator, member_t *member)
{
    const cell_worker_t *worker = member->worker;
    quarantine_change_t change =
        quarantine_decide(coordinator->quarantine, member->name,
                          worker->quarantined, coordinator->quarantined_count,
                          g_hash_table_size(coordinator->cell->workers));

    if (change == QUARANTINE_ON) {
        coordinator_add_worker(coordinator, member, &worker->capacity, true,
                               "different jobs failed in a row");
        coordinator->quarantined_count++;
    }
    if (change == QUARANTINE_OFF) {
        coordinator_add_worker(coordinator, member, &worker->capacity, false,
                               "probation");
    }
}

static void
plan_worker(coordinator_t *coordinator, member_t *member, struct timespec now)
{
    cell_worker_t *worker = member->worker;
    int64_t silence = coordinator_get_silence_ms(coordinator, member, now);

    if (silence >= COORDINATOR_MAX_SILENCE_MS) {
        coordinator_sync_member(coordinator, member);
    }
    if (worker == NULL) {
        if (member->has_heartbeat && silence < COORDINATOR_MAX_SILENCE_MS &&
            member->capacity.cpu_milli > 0) {
            coordinator_add_worker(coordinator, member, &member->capacity,
                                   false, "");
        }
        return;
    }
    if (member->has_heartbeat &&
        (worker->incarnation != member->incarnation ||
         is_worth_recording(&member->capacity, &worker->capacity))) {
        coordinator_add_worker(coordinator, member, &member->capacity,
                               worker->quarantined,
                               worker->reason ? worker->reason : "");
        return;
    }
    plan_removal(coordinator, member, silence);
    plan_quarantine(coordinator, member);
}

static void
plan_expiries(coordinator_t *coordinator, member_t *member,
              struct timespec now, size_t limit)
{
    /* The previous coordinator may have granted longer leases. */
    int64_t lease =
        (int64_t)MAX(coordinator->opts.lease_ms, coordinator->cell->lease_ms);
    int64_t silence = coordinator_get_silence_ms(coordinator, member, now);
    int64_t waited = timespec_diff_ms(now, coordinator->active_since);

    /* A lease granted in this epoch ends at most one lease after the heartbeat
       that its renewal answers, one of the previous coordinator at most one
       lease after the claim. Another tenth allows for clock drift. */
    bool ended = MIN(silence, waited) * 10 >= lease * 11;
    bool silent = MIN(silence, waited) >= lease;

    LIST_FOREACH (job, &member->worker->jobs, cell_job_t, worker_link) {
        const tracked_job_t *tracked = job->user_data;

        if (coordinator_is_full(coordinator, limit)) {
            return;
        }
        if (ended || tracked->absent) {
            coordinator_add_expire(coordinator, job);
            member->expiring = true;
        }
        else if (silent && job->state == CELL_RUNNING) {
            coordinator_add_revoke(coordinator, job, "its worker is silent");
        }
    }
    if (member->expiring) {
        coordinator_sync_member(coordinator, member);
    }
}

static void
plan_finishes(coordinator_t *coordinator, size_t limit)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, coordinator->reports);
    while (!coordinator_is_full(coordinator, limit) &&
           g_hash_table_iter_next(&iter, NULL, &value)) {
        coordinator_add_finish(coordinator, value);
    }
}

static void
plan_members(coordinator_t *coordinator, size_t limit)
{
    struct timespec now = clock_get_monotonic(coordinator->opts.clock);
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, coordinator->members);
    while (!coordinator_is_full(coordinator, limit) &&
           g_hash_table_iter_next(&iter, NULL, &value)) {
        member_t *member = value;

        plan_worker(coordinator, member, now);
        if (member->worker != NULL) {
            plan_expiries(coordinator, member, now, limit);
        }
    }
}

const Teasel__Decision *
coordinator_decide(coordinator_t *coordinator)
{
    size_t limit = coordinator->opts.max_items;
    struct timespec now = clock_get_monotonic(coordinator->opts.clock);

    if (timespec_diff_ms(now, coordinator->last_decide) >=
        COORDINATOR_STALL_MS) {
        coordinator->active_since = now;
    }
    coordinator->last_decide = now;
    if (!coordinator->active || coordinator->decision != NULL) {
        return NULL;
    }
    coordinator->decision = g_new(Teasel__Decision, 1);
    teasel__decision__init(coordinator->decision);
    coordinator->decision->epoch = coordinator->epoch;
    coordinator->item_capacity = 0;
    coordinator->item_bytes = 0;
    plan_finishes(coordinator, limit - limit / START_SHARE);
    plan_members(coordinator, limit - limit / START_SHARE);
    if (coordinator->dirty || timespec_diff_ms(now, coordinator->last_scan) >=
                                  COORDINATOR_IDLE_SCAN_MS) {
        coordinator->dirty = false;
        coordinator->last_scan = now;
        coordinator_plan_starts(coordinator);
    }
    if (coordinator->decision->n_items == 0) {
        teasel__decision__free_unpacked(coordinator->decision, NULL);
        coordinator->decision = NULL;
    }
    return coordinator->decision;
}

static void
clear_planned_start(coordinator_t *coordinator,
                    const Teasel__DecisionItem *item)
{
    const cell_job_t *job;
    member_t *member;

    if (item->item_case == TEASEL__DECISION_ITEM__ITEM_START) {
        member = coordinator_get_member(coordinator, item->start->worker);
        member->planned = (job_size_t){0};
        job = cell_find_job(coordinator->cell, item->start->job_id);
        if (job != NULL && job->user_data != NULL) {
            ((tracked_job_t *)job->user_data)->planned = false;
        }
        coordinator_sync_member(coordinator, member);
    }
}

void
coordinator_on_write_result(coordinator_t *coordinator)
{
    Teasel__Decision *decision = coordinator->decision;
    GHashTableIter iter;
    gpointer value;

    if (decision == NULL) {
        return;
    }
    coordinator->decision = NULL;
    for (size_t i = 0; i < decision->n_items; i++) {
        clear_planned_start(coordinator, decision->items[i]);
    }
    g_hash_table_iter_init(&iter, coordinator->members);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        ((member_t *)value)->expiring = false;
    }
    teasel__decision__free_unpacked(decision, NULL);
    coordinator->dirty = true;
}

bool
coordinator_has_work(const coordinator_t *coordinator)
{
    return coordinator->active && coordinator->decision == NULL &&
           (coordinator->dirty || g_hash_table_size(coordinator->reports) > 0);
}
