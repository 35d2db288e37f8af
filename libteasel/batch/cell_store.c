#include <string.h>

#include "batch/cell.h"

static const char *const state_names[] = {
    [CELL_QUEUED] = "queued",   [CELL_RUNNING] = "running",
    [CELL_REVOKED] = "revoked", [CELL_DONE] = "done",
    [CELL_FAILED] = "failed",   [CELL_CANCELLED] = "cancelled",
};

const char *
cell_state_get_name(cell_state_t state)
{
    return state_names[state];
}

static guint
hash_id(gconstpointer key)
{
    guint hash;

    memcpy(&hash, key, sizeof(hash));
    return hash;
}

static gboolean
equal_ids(gconstpointer a, gconstpointer b)
{
    return memcmp(a, b, CELL_ID_SIZE) == 0;
}

cell_t *
cell_new(void)
{
    cell_t *cell = g_new0(cell_t, 1);

    cell->jobs = g_hash_table_new(g_str_hash, g_str_equal);
    cell->workers = g_hash_table_new(g_str_hash, g_str_equal);
    cell->recent = g_malloc0_n(CELL_RECENT_IDS, CELL_ID_SIZE);
    cell->recent_set = g_hash_table_new(hash_id, equal_ids);
    list_init(&cell->live);
    list_init(&cell->ended);
    list_init(&cell->worker_list);
    return cell;
}

static void
free_job(cell_job_t *job)
{
    list_remove(&job->link);
    list_remove(&job->worker_link);
    job_spec_clear(&job->spec);
    g_clear_pointer(&job->worker, g_ref_string_release);
    g_clear_pointer(&job->submitter, g_ref_string_release);
    g_clear_pointer(&job->checkpoint, g_bytes_unref);
    g_clear_pointer(&job->failed_workers, g_ptr_array_unref);
    g_free(job->spec_text);
    g_free(job->detail);
    g_free(job->id);
    g_free(job);
}

void
cell_remove_job(cell_t *cell, cell_job_t *job)
{
    if (cell->listener != NULL) {
        cell->listener->on_job_removed(job, cell->listener_data);
    }
    g_hash_table_remove(cell->jobs, job->id);
    free_job(job);
}

void
cell_remove_worker(cell_t *cell, cell_worker_t *worker)
{
    if (cell->listener != NULL) {
        cell->listener->on_worker_removed(worker, cell->listener_data);
    }
    g_hash_table_remove(cell->workers, worker->name);
    list_remove(&worker->link);
    g_free(worker->reason);
    g_free(worker->name);
    g_free(worker);
}

void
cell_clear(cell_t *cell)
{
    LIST_FOREACH_SAFE (job, &cell->live, cell_job_t, link) {
        cell_remove_job(cell, job);
    }
    LIST_FOREACH_SAFE (job, &cell->ended, cell_job_t, link) {
        cell_remove_job(cell, job);
    }
    LIST_FOREACH_SAFE (worker, &cell->worker_list, cell_worker_t, link) {
        cell_remove_worker(cell, worker);
    }
    g_hash_table_remove_all(cell->recent_set);
    g_clear_pointer(&cell->claim_agent, g_free);
    g_clear_pointer(&cell->claim_address, g_free);
    cell->claim_incarnation = 0;
    cell->lease_ms = 0;
    cell->epoch = 0;
    cell->live_count = 0;
    cell->ended_count = 0;
    cell->queued_count = 0;
    cell->recent_count = 0;
    cell->recent_next = 0;
}

void
cell_free(cell_t *cell)
{
    if (cell == NULL) {
        return;
    }
    cell->listener = NULL;
    cell_clear(cell);
    g_hash_table_destroy(cell->jobs);
    g_hash_table_destroy(cell->workers);
    g_hash_table_destroy(cell->recent_set);
    g_free(cell->recent);
    g_free(cell);
}

void
cell_set_listener(cell_t *cell, const cell_listener_t *listener, void *data)
{
    cell->listener = listener;
    cell->listener_data = data;
}

bool
cell_add_recent_id(cell_t *cell, const uint8_t *id)
{
    uint8_t *slot = cell->recent[cell->recent_next];

    if (g_hash_table_contains(cell->recent_set, id)) {
        return false;
    }
    if (cell->recent_count == CELL_RECENT_IDS) {
        g_hash_table_remove(cell->recent_set, slot);
    }
    else {
        cell->recent_count++;
    }
    memcpy(slot, id, CELL_ID_SIZE);
    g_hash_table_add(cell->recent_set, slot);
    cell->recent_next = (cell->recent_next + 1) % CELL_RECENT_IDS;
    return true;
}

cell_job_t *
cell_add_job(cell_t *cell, const char *id)
{
    cell_job_t *job = g_new0(cell_job_t, 1);

    job->id = g_strdup(id);
    list_init(&job->link);
    list_init(&job->worker_link);
    g_hash_table_insert(cell->jobs, job->id, job);
    return job;
}

cell_worker_t *
cell_add_worker(cell_t *cell, const char *name)
{
    cell_worker_t *worker = g_new0(cell_worker_t, 1);

    worker->name = g_strdup(name);
    list_init(&worker->jobs);
    list_append(&cell->worker_list, &worker->link);
    g_hash_table_insert(cell->workers, worker->name, worker);
    return worker;
}

void
cell_assign_job(cell_t *cell, cell_job_t *job)
{
    cell_worker_t *worker = cell_find_worker(cell, job->worker);

    list_append(&worker->jobs, &job->worker_link);
    job_size_add(&worker->used, &job->size);
}

cell_job_t *
cell_find_job(const cell_t *cell, const char *id)
{
    return g_hash_table_lookup(cell->jobs, id);
}

cell_worker_t *
cell_find_worker(const cell_t *cell, const char *name)
{
    return g_hash_table_lookup(cell->workers, name);
}
