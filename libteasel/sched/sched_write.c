/* Writes of changed records to the store. */

#include <string.h>

#include "base/events.h"
#include "sched/sched_internal.h"

static void
free_change(void *data)
{
    sched_change_t *change = data;

    g_free(change->key);
    if (change->value != NULL) {
        g_byte_array_unref(change->value);
    }
    g_free(change);
}

GPtrArray *
sched_changes_new(void)
{
    return g_ptr_array_new_with_free_func(free_change);
}

void
sched_changes_add(GPtrArray *changes, const char *key, GByteArray *value)
{
    sched_change_t *change = g_new(sched_change_t, 1);

    change->key = g_strdup(key);
    change->value = value;
    g_ptr_array_add(changes, change);
}

/* Orders of jobs whose record did not fit into this write wait for the next
   write. */
static void
take_orders(sched_t *sched)
{
    LIST_FOREACH_SAFE (task, &sched->staged_orders, sched_task_t, order_link) {
        if (list_is_empty(&sched_task_get_job(task)->dirty_link)) {
            list_remove(&task->order_link);
            list_append(&sched->orders_in_write, &task->order_link);
        }
    }
}

/* Returns NULL if the store would refuse the record. */
static GByteArray *
make_record(const sched_t *sched, sched_job_t *job)
{
    uint32_t left_out = 0;
    GByteArray *record =
        sched_job_to_record(job, sched->opts.record_bytes, &left_out);
    bool held = record == NULL;

    if (held && !job->record_held) {
        event_log(EVENT_RECORD_FULL, "job=%s waits until runs have ended",
                  job->spec->id);
    }
    if (left_out > job->checkpoints_left_out) {
        event_log(EVENT_RECORD_FULL, "job=%s checkpoints=%u left out",
                  job->spec->id, left_out);
    }
    job->record_held = held;
    job->checkpoints_left_out = left_out;
    return record;
}

/* Returns the bytes taken. */
static size_t
take_deletions(sched_t *sched, GPtrArray *changes, size_t max_bytes)
{
    size_t bytes = 0;
    guint taken = 0;

    while (taken < sched->deleted_keys->len && bytes < max_bytes) {
        const char *key = g_ptr_array_index(sched->deleted_keys, taken++);

        sched_changes_add(changes, key, NULL);
        bytes += strlen(key);
    }
    g_ptr_array_remove_range(sched->deleted_keys, 0, taken);
    return bytes;
}

static void
take_dirty_jobs(sched_t *sched, GPtrArray *changes, size_t max_bytes)
{
    size_t bytes = 0;

    LIST_FOREACH_SAFE (job, &sched->dirty_jobs, sched_job_t, dirty_link) {
        GByteArray *record;

        if (bytes >= max_bytes) {
            return;
        }
        record = make_record(sched, job);
        if (record == NULL) {
            continue;
        }
        list_remove(&job->dirty_link);
        job->pending_state = job->state;
        job->write_pending = true;
        g_ptr_array_add(sched->jobs_in_write, job);
        sched_changes_add(changes, job->spec->id, record);
        bytes += record->len;
    }
}

bool
sched_take_changes(sched_t *sched, GPtrArray *changes, size_t max_bytes)
{
    size_t bytes;
    bool any = !list_is_empty(&sched->dirty_jobs) ||
               !list_is_empty(&sched->staged_orders) || sched->cursors_dirty ||
               sched->deleted_keys->len > 0 || sched_learned_is_due(sched);

    if (!any || sched->committing) {
        return false;
    }
    sched->committing = true;
    /* Before the records, as a new job may have the id of a removed one. */
    bytes = take_deletions(sched, changes, max_bytes);
    take_dirty_jobs(sched, changes, max_bytes - MIN(bytes, max_bytes));
    if (sched_learned_is_due(sched)) {
        sched_changes_add(changes, SCHED_LEARNED_KEY,
                          sched_learned_to_record(sched));
    }
    take_orders(sched);
    if (!list_is_empty(&sched->dirty_jobs)) {
        return true;
    }
    LIST_FOREACH (executor, &sched->executor_list, sched_executor_t, link) {
        executor->end_pending = executor->end_seen;
    }
    sched->cursors_dirty = false;
    return true;
}

void
sched_commit(sched_t *sched)
{
    sched->committing = false;
    for (guint i = 0; i < sched->jobs_in_write->len; i++) {
        sched_job_t *job = g_ptr_array_index(sched->jobs_in_write, i);

        job->visible_state = job->pending_state;
        job->stored = true;
        job->write_pending = false;
    }
    g_ptr_array_set_size(sched->jobs_in_write, 0);
    while (!list_is_empty(&sched->orders_in_write)) {
        sched_task_t *task =
            LIST_ENTRY(sched->orders_in_write.next, sched_task_t, order_link);

        list_remove(&task->order_link);
        if (task->executor != NULL) {
            list_append(&task->executor->orders, &task->order_link);
        }
    }
    LIST_FOREACH (executor, &sched->executor_list, sched_executor_t, link) {
        executor->end_stored =
            MAX(executor->end_stored, executor->end_pending);
    }
}
