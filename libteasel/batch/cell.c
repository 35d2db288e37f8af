#include "batch/cell.h"

#include <string.h>

typedef bool (*item_fn)(cell_t *cell, const Teasel__DecisionItem *item);

static void
notify_job(cell_t *cell, cell_job_t *job, int before)
{
    if (cell->listener != NULL) {
        cell->listener->on_job(job, before, cell->listener_data);
    }
}

static void
end_job(cell_t *cell, cell_job_t *job, cell_state_t state)
{
    job->state = state;
    g_clear_pointer(&job->spec_text, g_free);
    g_clear_pointer(&job->checkpoint, g_bytes_unref);
    list_remove(&job->link);
    list_append(&cell->ended, &job->link);
    cell->live_count--;
    cell->ended_count++;
}

static void
requeue_job(cell_t *cell, cell_job_t *job)
{
    if (job->cancel_wanted) {
        end_job(cell, job, CELL_CANCELLED);
        return;
    }
    job->state = CELL_QUEUED;
    cell->queued_count++;
}

static void
unassign_job(cell_t *cell, cell_job_t *job)
{
    cell_worker_t *worker = cell_find_worker(cell, job->worker);

    list_remove(&job->worker_link);
    job_size_subtract(&worker->used, &job->size);
}

static void
trim_ended_jobs(cell_t *cell)
{
    while (cell->ended_count > CELL_ENDED_JOBS) {
        cell_remove_job(cell, LIST_ENTRY(cell->ended.next, cell_job_t, link));
        cell->ended_count--;
    }
}

static bool
apply_submit(cell_t *cell, const Teasel__JobSubmit *submit, uint64_t offset)
{
    cell_job_t *job;
    job_spec_t spec;

    if (!job_id_check(submit->job_id, NULL) ||
        cell_find_job(cell, submit->job_id) != NULL) {
        return false;
    }
    if (!job_spec_parse(submit->spec.data, submit->spec.len, &spec, NULL,
                        NULL)) {
        return false;
    }
    job = cell_add_job(cell, submit->job_id);
    job->spec = spec;
    job->spec_text = g_strndup((char *)submit->spec.data, submit->spec.len);
    job->body_hash = job_body_hash(submit->spec.data, submit->spec.len);
    job->submitter = g_ref_string_new_intern(submit->submitter);
    job->submit_offset = offset;
    list_append(&cell->live, &job->link);
    cell->live_count++;
    cell->queued_count++;
    notify_job(cell, job, -1);
    return true;
}

static bool
cancel_job(cell_t *cell, const char *id)
{
    cell_job_t *job = cell_find_job(cell, id);
    int before;

    if (job == NULL || cell_job_is_ended(job) || job->cancel_wanted) {
        return false;
    }
    before = job->state;
    job->cancel_wanted = true;
    if (job->state == CELL_QUEUED) {
        cell->queued_count--;
        end_job(cell, job, CELL_CANCELLED);
    }
    notify_job(cell, job, before);
    return true;
}

static bool
apply_cancel(cell_t *cell, const Teasel__JobCancel *cancel)
{
    bool changed = cancel_job(cell, cancel->job_id);

    for (size_t i = 0; i < cancel->n_more_ids; i++) {
        changed |= cancel_job(cell, cancel->more_ids[i]);
    }
    return changed;
}

static bool
apply_claim(cell_t *cell, const Teasel__Claim *claim, uint64_t offset)
{
    if (claim->after_epoch != cell->epoch) {
        return false;
    }
    cell->epoch = offset;
    g_free(cell->claim_agent);
    g_free(cell->claim_address);
    cell->claim_agent = g_strdup(claim->agent_id);
    cell->claim_address = g_strdup(claim->peer_address);
    cell->claim_incarnation = claim->incarnation;
    cell->lease_ms = MAX(cell->lease_ms, claim->lease_ms);
    if (cell->listener != NULL) {
        cell->listener->on_claim(offset, cell->listener_data);
    }
    return true;
}

static job_size_t
get_size(const Teasel__Resources *resources)
{
    job_size_t size = {0};

    if (resources != NULL) {
        size.cpu_milli = resources->cpu_milli;
        size.memory_mb = resources->memory_mb;
        size.accelerators = resources->accelerators;
    }
    return size;
}

static bool
start_fits(const cell_worker_t *worker, const job_size_t *size)
{
    job_size_t available = worker->capacity;

    job_size_subtract(&available, &worker->used);
    return size->cpu_milli > 0 && job_size_fits(size, &available);
}

static bool
apply_start(cell_t *cell, const Teasel__DecisionItem *item)
{
    const Teasel__DecisionStart *start = item->start;
    cell_job_t *job = cell_find_job(cell, start->job_id);
    cell_worker_t *worker = cell_find_worker(cell, start->worker);
    job_size_t size = get_size(start->size);

    if (job == NULL || worker == NULL || job->state != CELL_QUEUED ||
        start->attempt != job->attempt + 1 || !start_fits(worker, &size)) {
        return false;
    }
    g_clear_pointer(&job->worker, g_ref_string_release);
    job->worker = g_ref_string_new_intern(worker->name);
    job->attempt = start->attempt;
    job->incarnation = start->incarnation;
    job->size = size;
    job->state = CELL_RUNNING;
    cell->queued_count--;
    cell_assign_job(cell, job);
    notify_job(cell, job, CELL_QUEUED);
    return true;
}

static cell_job_t *
find_attempt(cell_t *cell, const char *id, uint32_t attempt)
{
    cell_job_t *job = cell_find_job(cell, id);

    if (job == NULL || !cell_job_is_running(job) || job->attempt != attempt) {
        return NULL;
    }
    return job;
}

static bool
record_failure(cell_job_t *job)
{
    job->failures++;
    if (job->failed_workers == NULL) {
        job->failed_workers =
            g_ptr_array_new_with_free_func((GDestroyNotify)g_free);
    }
    if (!g_ptr_array_find_with_equal_func(job->failed_workers, job->worker,
                                          g_str_equal, NULL)) {
        g_ptr_array_add(job->failed_workers, g_strdup(job->worker));
    }
    return job->failed_workers->len >= CELL_MAX_FAILED_WORKERS ||
           job->failures >= CELL_MAX_FAILURES;
}

static void
finish_job(cell_t *cell, cell_job_t *job, const Teasel__DecisionFinish *finish)
{
    if (finish->outcome == TEASEL__OUTCOME__OUTCOME_DONE) {
        end_job(cell, job, CELL_DONE);
        return;
    }
    if (finish->outcome == TEASEL__OUTCOME__OUTCOME_FAILED &&
        record_failure(job) && !job->cancel_wanted) {
        end_job(cell, job, CELL_FAILED);
        return;
    }
    /* Without a checkpoint in the report (none taken, or lost) the previous
       one stays. */
    if (finish->checkpoint.len > 0) {
        g_clear_pointer(&job->checkpoint, g_bytes_unref);
        job->checkpoint =
            g_bytes_new(finish->checkpoint.data, finish->checkpoint.len);
    }
    requeue_job(cell, job);
}

static bool
apply_finish(cell_t *cell, const Teasel__DecisionItem *item)
{
    const Teasel__DecisionFinish *finish = item->finish;
    cell_job_t *job = find_attempt(cell, finish->job_id, finish->attempt);
    int before;

    if (job == NULL) {
        return false;
    }
    before = job->state;
    unassign_job(cell, job);
    g_free(job->detail);
    job->detail = finish->detail[0] ? g_strdup(finish->detail) : NULL;
    finish_job(cell, job, finish);
    if (cell->listener != NULL) {
        cell->listener->on_finish(job, finish, cell->listener_data);
    }
    notify_job(cell, job, before);
    return true;
}

static bool
revoke_job(cell_t *cell, cell_job_t *job)
{
    if (job == NULL || job->state != CELL_RUNNING) {
        return false;
    }
    job->state = CELL_REVOKED;
    notify_job(cell, job, CELL_RUNNING);
    return true;
}

static bool
apply_revoke(cell_t *cell, const Teasel__DecisionItem *item)
{
    const Teasel__DecisionRevoke *revoke = item->revoke;

    return revoke_job(cell,
                      find_attempt(cell, revoke->job_id, revoke->attempt));
}

static bool
apply_expire(cell_t *cell, const Teasel__DecisionItem *item)
{
    const Teasel__DecisionExpire *expire = item->expire;
    cell_job_t *job = find_attempt(cell, expire->job_id, expire->attempt);
    int before;

    if (job == NULL) {
        return false;
    }
    before = job->state;
    unassign_job(cell, job);
    requeue_job(cell, job);
    notify_job(cell, job, before);
    return true;
}

static bool
apply_worker(cell_t *cell, const Teasel__DecisionItem *item)
{
    const Teasel__DecisionWorker *decision = item->worker;
    cell_worker_t *worker;

    if (decision->worker[0] == '\0') {
        return false;
    }
    worker = cell_find_worker(cell, decision->worker);
    if (worker == NULL) {
        worker = cell_add_worker(cell, decision->worker);
    }
    worker->incarnation = decision->incarnation;
    worker->capacity = get_size(decision->capacity);
    worker->quarantined = decision->quarantined;
    g_free(worker->reason);
    worker->reason = decision->reason[0] ? g_strdup(decision->reason) : NULL;
    /* A worker with neither capacity nor tasks is removed. Workers that were
       replaced under another name would otherwise stay forever. */
    if (worker->capacity.cpu_milli == 0 && list_is_empty(&worker->jobs)) {
        cell_remove_worker(cell, worker);
        return true;
    }
    if (cell->listener != NULL) {
        cell->listener->on_worker(worker, cell->listener_data);
    }
    return true;
}

static const item_fn item_table[] = {
    [TEASEL__DECISION_ITEM__ITEM_START] = apply_start,
    [TEASEL__DECISION_ITEM__ITEM_FINISH] = apply_finish,
    [TEASEL__DECISION_ITEM__ITEM_REVOKE] = apply_revoke,
    [TEASEL__DECISION_ITEM__ITEM_EXPIRE] = apply_expire,
    [TEASEL__DECISION_ITEM__ITEM_WORKER] = apply_worker,
};

static bool
apply_decision(cell_t *cell, const Teasel__Decision *decision)
{
    bool changed = false;

    if (decision->epoch != cell->epoch) {
        return false;
    }
    for (size_t i = 0; i < decision->n_items; i++) {
        const Teasel__DecisionItem *item = decision->items[i];
        size_t which = item->item_case;

        if (which < G_N_ELEMENTS(item_table) && item_table[which] != NULL) {
            changed |= item_table[which](cell, item);
        }
    }
    return changed;
}

bool
cell_apply(cell_t *cell, const Teasel__LogRecord *record, uint64_t offset)
{
    bool changed = false;

    if (record->id.len != CELL_ID_SIZE ||
        !cell_add_recent_id(cell, record->id.data)) {
        return false;
    }
    switch (record->body_case) {
    case TEASEL__LOG_RECORD__BODY_JOB_SUBMIT:
        changed = apply_submit(cell, record->job_submit, offset);
        break;
    case TEASEL__LOG_RECORD__BODY_JOB_CANCEL:
        changed = apply_cancel(cell, record->job_cancel);
        break;
    case TEASEL__LOG_RECORD__BODY_CLAIM:
        changed = apply_claim(cell, record->claim, offset);
        break;
    case TEASEL__LOG_RECORD__BODY_DECISION:
        changed = apply_decision(cell, record->decision);
        break;
    default:
        break;
    }
    trim_ended_jobs(cell);
    return changed;
}
