#include <string.h>

#include "base/error.h"
#include "batch/cell.h"

/* Messages of a snapshot that is being encoded. Their strings belong to the
   cell. */
typedef struct encoder {
    Teasel__CellSnapshot snapshot;
    Teasel__Claim claim;
    Teasel__CellJob *jobs;
    Teasel__DecisionWorker *workers;
    Teasel__Resources *sizes;
    size_t size_count;
} encoder_t;

static Teasel__Resources *
encode_size(encoder_t *encoder, const job_size_t *size)
{
    Teasel__Resources *out = &encoder->sizes[encoder->size_count++];

    teasel__resources__init(out);
    out->cpu_milli = size->cpu_milli;
    out->memory_mb = size->memory_mb;
    out->accelerators = size->accelerators;
    return out;
}

static void
encode_job(encoder_t *encoder, const cell_job_t *job)
{
    Teasel__CellJob *out = &encoder->jobs[encoder->snapshot.n_jobs];

    teasel__cell_job__init(out);
    encoder->snapshot.jobs[encoder->snapshot.n_jobs++] = out;
    out->job_id = job->id;
    out->state = job->state;
    out->attempt = job->attempt;
    out->incarnation = job->incarnation;
    out->cancel_wanted = job->cancel_wanted;
    out->submit_offset = job->submit_offset;
    out->failures = job->failures;
    out->body_hash = job->body_hash;
    out->submitter = job->submitter;
    if (job->worker != NULL) {
        out->worker = job->worker;
        out->size = encode_size(encoder, &job->size);
    }
    if (job->detail != NULL) {
        out->detail = job->detail;
    }
    if (job->spec_text != NULL) {
        out->spec.data = (uint8_t *)job->spec_text;
        out->spec.len = strlen(job->spec_text);
    }
    if (job->checkpoint != NULL) {
        gconstpointer data = g_bytes_get_data(job->checkpoint, NULL);

        out->checkpoint.data = (uint8_t *)data;
        out->checkpoint.len = g_bytes_get_size(job->checkpoint);
    }
    if (job->failed_workers != NULL) {
        out->failed_workers = (char **)job->failed_workers->pdata;
        out->n_failed_workers = job->failed_workers->len;
    }
}

static void
encode_worker(encoder_t *encoder, const cell_worker_t *worker)
{
    size_t index = encoder->snapshot.n_workers++;
    Teasel__DecisionWorker *out = &encoder->workers[index];

    teasel__decision_worker__init(out);
    encoder->snapshot.workers[index] = out;
    out->worker = worker->name;
    out->incarnation = worker->incarnation;
    out->capacity = encode_size(encoder, &worker->capacity);
    out->quarantined = worker->quarantined;
    if (worker->reason != NULL) {
        out->reason = worker->reason;
    }
}

static void
encode_ids(const cell_t *cell, ProtobufCBinaryData *out)
{
    size_t first = (cell->recent_next + CELL_RECENT_IDS - cell->recent_count) %
                   CELL_RECENT_IDS;

    out->len = cell->recent_count * CELL_ID_SIZE;
    out->data = g_malloc(out->len);
    for (size_t i = 0; i < cell->recent_count; i++) {
        memcpy(out->data + i * CELL_ID_SIZE,
               cell->recent[(first + i) % CELL_RECENT_IDS], CELL_ID_SIZE);
    }
}

static void
encode_claim(const cell_t *cell, encoder_t *encoder)
{
    teasel__claim__init(&encoder->claim);
    if (cell->claim_agent == NULL) {
        return;
    }
    encoder->claim.agent_id = cell->claim_agent;
    encoder->claim.peer_address = cell->claim_address;
    encoder->claim.incarnation = cell->claim_incarnation;
    encoder->claim.lease_ms = cell->lease_ms;
    encoder->snapshot.claim = &encoder->claim;
}

GByteArray *
cell_encode(const cell_t *cell)
{
    size_t jobs = cell->live_count + cell->ended_count;
    size_t workers = g_hash_table_size(cell->workers);
    encoder_t encoder = {.snapshot = TEASEL__CELL_SNAPSHOT__INIT};
    GByteArray *out = g_byte_array_new();

    encoder.jobs = g_new(Teasel__CellJob, jobs + 1);
    encoder.workers = g_new(Teasel__DecisionWorker, workers + 1);
    encoder.sizes = g_new(Teasel__Resources, jobs + workers + 1);
    encoder.snapshot.jobs = g_new(Teasel__CellJob *, jobs + 1);
    encoder.snapshot.workers = g_new(Teasel__DecisionWorker *, workers + 1);
    encoder.snapshot.epoch = cell->epoch;
    encode_claim(cell, &encoder);
    encode_ids(cell, &encoder.snapshot.recent_ids);
    LIST_FOREACH (worker, &cell->worker_list, cell_worker_t, link) {
        encode_worker(&encoder, worker);
    }
    LIST_FOREACH (job, &cell->live, cell_job_t, link) {
        encode_job(&encoder, job);
    }
    LIST_FOREACH (job, &cell->ended, cell_job_t, link) {
        encode_job(&encoder, job);
    }
    g_byte_array_set_size(
        out, (guint)teasel__cell_snapshot__get_packed_size(&encoder.snapshot));
    teasel__cell_snapshot__pack(&encoder.snapshot, out->data);
    g_free(encoder.snapshot.recent_ids.data);
    g_free(encoder.snapshot.jobs);
    g_free(encoder.snapshot.workers);
    g_free(encoder.jobs);
    g_free(encoder.workers);
    g_free(encoder.sizes);
    return out;
}

static void
load_size(const Teasel__Resources *in, job_size_t *size)
{
    if (in != NULL) {
        size->cpu_milli = in->cpu_milli;
        size->memory_mb = in->memory_mb;
        size->accelerators = in->accelerators;
    }
}

static bool
check_job(const cell_t *checked, const Teasel__CellJob *in, GError **error)
{
    bool live = in->state < CELL_DONE;
    bool running = live && in->state != CELL_QUEUED;
    job_spec_t spec = {0};
    bool ok = in->state <= CELL_CANCELLED &&
              (!running || cell_find_worker(checked, in->worker) != NULL);

    if (ok && live) {
        ok = job_spec_parse(in->spec.data, in->spec.len, &spec, NULL, NULL);
        job_spec_clear(&spec);
    }
    if (!ok) {
        g_set_error(error, TEASEL_ERROR, ERROR_PROTOCOL,
                    "cell snapshot: job \"%.80s\" in state %u on worker "
                    "\"%.80s\": unknown state or worker, or invalid "
                    "specification",
                    in->job_id, in->state, in->worker);
    }
    return ok;
}

static void
load_worker(cell_t *cell, const Teasel__DecisionWorker *in)
{
    cell_worker_t *worker = cell_add_worker(cell, in->worker);

    worker->incarnation = in->incarnation;
    load_size(in->capacity, &worker->capacity);
    worker->quarantined = in->quarantined;
    worker->reason = in->reason[0] ? g_strdup(in->reason) : NULL;
}

static void
load_job(cell_t *cell, const Teasel__CellJob *in)
{
    cell_job_t *job = cell_add_job(cell, in->job_id);

    job->state = (cell_state_t)in->state;
    job->attempt = in->attempt;
    job->incarnation = in->incarnation;
    job->cancel_wanted = in->cancel_wanted;
    job->submit_offset = in->submit_offset;
    job->failures = in->failures;
    job->body_hash = in->body_hash;
    job->submitter = g_ref_string_new_intern(in->submitter);
    job->detail = in->detail[0] ? g_strdup(in->detail) : NULL;
    load_size(in->size, &job->size);
    if (in->worker[0] != '\0') {
        job->worker = g_ref_string_new_intern(in->worker);
    }
    if (in->checkpoint.len > 0) {
        job->checkpoint = g_bytes_new(in->checkpoint.data, in->checkpoint.len);
    }
    for (size_t i = 0; i < in->n_failed_workers; i++) {
        if (job->failed_workers == NULL) {
            job->failed_workers =
                g_ptr_array_new_with_free_func((GDestroyNotify)g_free);
        }
        g_ptr_array_add(job->failed_workers, g_strdup(in->failed_workers[i]));
    }
    if (cell_job_is_ended(job)) {
        list_append(&cell->ended, &job->link);
        cell->ended_count++;
        return;
    }
    job->spec_text = g_strndup((char *)in->spec.data, in->spec.len);
    job_spec_parse(in->spec.data, in->spec.len, &job->spec, NULL, NULL);
    list_append(&cell->live, &job->link);
    cell->live_count++;
    if (job->state == CELL_QUEUED) {
        cell->queued_count++;
    }
    else {
        cell_assign_job(cell, job);
    }
}

static void
notify_all(cell_t *cell)
{
    LIST_FOREACH (worker, &cell->worker_list, cell_worker_t, link) {
        cell->listener->on_worker(worker, cell->listener_data);
    }
    LIST_FOREACH (job, &cell->live, cell_job_t, link) {
        cell->listener->on_job(job, -1, cell->listener_data);
    }
    cell->listener->on_claim(cell->epoch, cell->listener_data);
}

static bool
check_snapshot(const Teasel__CellSnapshot *in, GError **error)
{
    cell_t *scratch = cell_new();
    bool ok = in->recent_ids.len % CELL_ID_SIZE == 0;

    if (!ok) {
        g_set_error(error, TEASEL_ERROR, ERROR_PROTOCOL,
                    "cell snapshot: %zu bytes of record ids, expected a "
                    "multiple of %d",
                    in->recent_ids.len, CELL_ID_SIZE);
    }
    for (size_t i = 0; i < in->n_workers; i++) {
        load_worker(scratch, in->workers[i]);
    }
    for (size_t i = 0; ok && i < in->n_jobs; i++) {
        ok = check_job(scratch, in->jobs[i], error);
    }
    cell_free(scratch);
    return ok;
}

bool
cell_load(cell_t *cell, const uint8_t *data, size_t length, GError **error)
{
    Teasel__CellSnapshot *in =
        teasel__cell_snapshot__unpack(NULL, length, data);

    if (in == NULL) {
        g_set_error(error, TEASEL_ERROR, ERROR_PROTOCOL,
                    "cell snapshot of %zu bytes: not a valid message", length);
        return false;
    }
    if (!check_snapshot(in, error)) {
        teasel__cell_snapshot__free_unpacked(in, NULL);
        return false;
    }
    cell_clear(cell);
    cell->epoch = in->epoch;
    if (in->claim != NULL) {
        cell->claim_agent = g_strdup(in->claim->agent_id);
        cell->claim_address = g_strdup(in->claim->peer_address);
        cell->claim_incarnation = in->claim->incarnation;
        cell->lease_ms = in->claim->lease_ms;
    }
    for (size_t i = 0; i < in->recent_ids.len / CELL_ID_SIZE; i++) {
        cell_add_recent_id(cell, in->recent_ids.data + i * CELL_ID_SIZE);
    }
    for (size_t i = 0; i < in->n_workers; i++) {
        load_worker(cell, in->workers[i]);
    }
    for (size_t i = 0; i < in->n_jobs; i++) {
        load_job(cell, in->jobs[i]);
    }
    teasel__cell_snapshot__free_unpacked(in, NULL);
    if (cell->listener != NULL) {
        notify_all(cell);
    }
    return true;
}
