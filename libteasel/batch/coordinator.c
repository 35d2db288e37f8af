#include "batch/coordinator.h"

#include <string.h>

#include "batch/coordinator_internal.h"

static void
free_member(gpointer data)
{
    member_t *member = data;

    g_free(member->name);
    g_free(member);
}

static void
free_report(gpointer data)
{
    teasel__task_report__free_unpacked(data, NULL);
}

member_t *
coordinator_get_member(coordinator_t *coordinator, const char *name)
{
    member_t *member = g_hash_table_lookup(coordinator->members, name);

    if (member == NULL) {
        member = g_new0(member_t, 1);
        member->name = g_strdup(name);
        member->placement_index = placement_add_worker(coordinator->placement);
        if ((guint)member->placement_index >=
            coordinator->members_by_index->len) {
            g_ptr_array_set_size(coordinator->members_by_index,
                                 member->placement_index + 1);
        }
        coordinator->members_by_index->pdata[member->placement_index] = member;
        g_hash_table_insert(coordinator->members, member->name, member);
    }
    return member;
}

int64_t
coordinator_get_silence_ms(const coordinator_t *coordinator,
                           const member_t *member, struct timespec now)
{
    return timespec_diff_ms(now, member->has_heartbeat
                                     ? member->last_heartbeat
                                     : coordinator->active_since);
}

static bool
accepts_tasks(const coordinator_t *coordinator, const member_t *member)
{
    const cell_worker_t *worker = member->worker;
    struct timespec now = clock_get_monotonic(coordinator->opts.clock);

    if (worker == NULL || !member->has_heartbeat || !member->leased ||
        member->leaving || member->expiring || worker->quarantined ||
        worker->incarnation != member->incarnation) {
        return false;
    }
    if (coordinator_get_silence_ms(coordinator, member, now) >=
        COORDINATOR_MAX_SILENCE_MS) {
        return false;
    }
    return !quarantine_is_on_probation(coordinator->quarantine,
                                       member->name) ||
           worker->used.cpu_milli + member->planned.cpu_milli == 0;
}

void
coordinator_sync_member(coordinator_t *coordinator, member_t *member)
{
    static const job_size_t none = {0};
    job_size_t capacity;
    job_size_t available;

    if (!accepts_tasks(coordinator, member)) {
        coordinator_release_reservation(coordinator, member);
        placement_set_resources(coordinator->placement,
                                member->placement_index, &none, &none);
        return;
    }
    capacity.cpu_milli =
        MIN(member->capacity.cpu_milli, member->worker->capacity.cpu_milli);
    capacity.memory_mb =
        MIN(member->capacity.memory_mb, member->worker->capacity.memory_mb);
    capacity.accelerators = MIN(member->capacity.accelerators,
                                member->worker->capacity.accelerators);
    available = capacity;
    job_size_subtract(&available, &member->worker->used);
    job_size_subtract(&available, &member->planned);
    if (member->reserved_for != NULL) {
        placement_set_resources(coordinator->placement,
                                member->placement_index, &none, &none);
        return;
    }
    placement_set_resources(coordinator->placement, member->placement_index,
                            &capacity, &available);
}

void
coordinator_release_reservation(coordinator_t *coordinator, member_t *member)
{
    tracked_job_t *tracked;

    if (member->reserved_for == NULL) {
        return;
    }
    tracked = member->reserved_for->user_data;
    tracked->reserved = NULL;
    member->reserved_for = NULL;
    coordinator->reserved_count--;
    coordinator_sync_member(coordinator, member);
}

coordinator_t *
coordinator_new(const coordinator_opts_t *opts)
{
    coordinator_t *coordinator = g_new0(coordinator_t, 1);

    coordinator->opts = *opts;
    coordinator->cell = opts->cell;
    if (coordinator->opts.max_items == 0) {
        coordinator->opts.max_items = COORDINATOR_MAX_ITEMS;
    }
    coordinator->members =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_member);
    coordinator->members_by_index = g_ptr_array_new();
    coordinator->queues_by_team =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    coordinator->reports =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_report);
    list_init(&coordinator->queues);
    coordinator->placement =
        placement_new(opts->placement ? opts->placement : &placement_best_fit);
    coordinator->quota = quota_new();
    coordinator->learn = learn_new();
    coordinator->quarantine = quarantine_new(opts->clock);
    cell_set_listener(opts->cell, &coordinator_listener, coordinator);
    return coordinator;
}

void
coordinator_free(coordinator_t *coordinator)
{
    if (coordinator == NULL) {
        return;
    }
    cell_set_listener(coordinator->cell, NULL, NULL);
    LIST_FOREACH (job, &coordinator->cell->live, cell_job_t, link) {
        coordinator_untrack_job(coordinator, job);
    }
    coordinator_deactivate(coordinator);
    g_hash_table_destroy(coordinator->members);
    g_ptr_array_unref(coordinator->members_by_index);
    g_hash_table_destroy(coordinator->queues_by_team);
    g_hash_table_destroy(coordinator->reports);
    placement_free(coordinator->placement);
    quota_free(coordinator->quota);
    learn_free(coordinator->learn);
    quarantine_free(coordinator->quarantine);
    g_free(coordinator);
}

void
coordinator_activate(coordinator_t *coordinator, uint64_t epoch)
{
    coordinator->epoch = epoch;
    coordinator->active = true;
    coordinator->dirty = true;
    coordinator->active_since = clock_get_monotonic(coordinator->opts.clock);
}

void
coordinator_deactivate(coordinator_t *coordinator)
{
    GHashTableIter iter;
    gpointer value;

    coordinator->active = false;
    coordinator_on_write_result(coordinator);
    g_hash_table_remove_all(coordinator->reports);
    g_hash_table_iter_init(&iter, coordinator->members);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        member_t *member = value;

        member->has_heartbeat = false;
        member->leased = false;
        coordinator_sync_member(coordinator, member);
    }
}

bool
coordinator_is_active(const coordinator_t *coordinator)
{
    return coordinator->active;
}

void
coordinator_set_team(coordinator_t *coordinator, const char *name,
                     uint32_t weight, const job_size_t *limit)
{
    quota_team_t *team = quota_get_team(coordinator->quota, name);

    team->weight = weight;
    team->limit = *limit;
    coordinator->dirty = true;
}

void
coordinator_reset_teams(coordinator_t *coordinator)
{
    quota_reset_teams(coordinator->quota);
    coordinator->dirty = true;
}
