#include "caller/job_handler.h"

#include <string.h>

#include "base/list.h"
#include "batch/cell.h"
#include "batch/job.h"
#include "caller/job_view.h"
#include "caller/problem.h"
#include "stream/stream.h"

enum {
    /* Cancellations that arrive within this time share a record, so that a
       burst does not use up the append capacity of the log. */
    CANCEL_BATCH_MS = 20,
    /* Keeps the size of a cancellation record below 256 KiB. */
    MAX_CANCELS_PER_RECORD = 2000,
};

struct job_handler {
    job_handler_opts_t opts;
    cell_t *cell;
    stream_t *stream;
    loop_timer_t cancel_timer;
    list_t cancels; /* cancel_t, not yet appended */
    size_t pending;
    metric_t submitted;
    metric_t refused;
    metric_t cancelled;
};

typedef struct submission {
    job_handler_t *handler;
    http_exchange_t *exchange;
    char *job_id;
    uint64_t body_hash;
} submission_t;

typedef struct cancel {
    list_t link;
    http_exchange_t *exchange;
    char *job_id;
} cancel_t;

typedef struct cancel_batch {
    job_handler_t *handler;
    list_t cancels;
} cancel_batch_t;

static void
on_record(const Teasel__LogRecord *record, uint64_t offset, void *data)
{
    job_handler_t *handler = data;

    cell_apply(handler->cell, record, offset);
}

static bool
on_snapshot(const uint8_t *snapshot, size_t length, uint64_t covers_through,
            void *data)
{
    job_handler_t *handler = data;

    return cell_load(handler->cell, snapshot, length, NULL);
}

static void
on_caught_up(void *data)
{
}

static const stream_handler_t stream_handler = {
    .apply = on_record,
    .load_snapshot = on_snapshot,
    .caught_up = on_caught_up,
};

static void
refuse(job_handler_t *handler, http_exchange_t *exchange, error_kind_t kind,
       const char *detail)
{
    problem_t problem = {.kind = kind, .detail = detail};

    problem.maybe_run = error_get_info(kind)->executed;
    handler->refused.value++;
    problem_reply(exchange, &problem);
}

static void
refuse_error(job_handler_t *handler, http_exchange_t *exchange, GError *error)
{
    refuse(handler, exchange, (error_kind_t)error->code, error->message);
    g_error_free(error);
}

static void
reply_job(http_exchange_t *exchange, int status, const cell_job_t *job)
{
    g_autofree char *text = job_view_render(job);

    http_exchange_reply_text(exchange, status, "application/json", text);
}

static void
reply_existing_job(job_handler_t *handler, http_exchange_t *exchange,
                   const cell_job_t *job, uint64_t body_hash, int status)
{
    if (job->body_hash == body_hash) {
        reply_job(exchange, status, job);
        return;
    }
    g_autofree char *detail =
        g_strdup_printf("job \"%s\" was submitted with another body at offset "
                        "%" G_GUINT64_FORMAT,
                        job->id, job->submit_offset);
    refuse(handler, exchange, ERROR_CONFLICT, detail);
}

static void
refuse_append(job_handler_t *handler, http_exchange_t *exchange,
              stream_outcome_t outcome, const char *detail)
{
    refuse(handler, exchange,
           outcome == STREAM_REFUSED ? ERROR_LOG_UNAVAILABLE
                                     : ERROR_LOG_UNKNOWN,
           detail);
}

static void
on_submitted(stream_outcome_t outcome, uint64_t offset, const char *detail,
             void *data)
{
    submission_t *submission = data;
    job_handler_t *handler = submission->handler;
    const cell_job_t *job = cell_find_job(handler->cell, submission->job_id);

    handler->pending--;
    if (outcome != STREAM_APPLIED) {
        refuse_append(handler, submission->exchange, outcome, detail);
    }
    else if (job == NULL) {
        refuse(handler, submission->exchange, ERROR_INTERNAL,
               "the job record was appended but did not create the job");
    }
    else {
        bool is_new = job->submit_offset == offset;

        handler->submitted.value += is_new;
        reply_existing_job(handler, submission->exchange, job,
                           submission->body_hash, is_new ? 201 : 200);
    }
    g_free(submission->job_id);
    g_free(submission);
}

static void
append_submission(job_handler_t *handler, http_exchange_t *exchange,
                  const char *job_id, char *canonical)
{
    submission_t *submission = g_new0(submission_t, 1);
    const char *submitter =
        http_exchange_get_header(exchange, "teasel-author");
    Teasel__JobSubmit submit = TEASEL__JOB_SUBMIT__INIT;
    Teasel__LogRecord record = TEASEL__LOG_RECORD__INIT;

    submission->handler = handler;
    submission->exchange = exchange;
    submission->job_id = g_strdup(job_id);
    submission->body_hash = job_body_hash(canonical, strlen(canonical));
    submit.job_id = submission->job_id;
    submit.spec.data = (uint8_t *)canonical;
    submit.spec.len = strlen(canonical);
    submit.submitter = (char *)(submitter != NULL ? submitter : "caller");
    record.body_case = TEASEL__LOG_RECORD__BODY_JOB_SUBMIT;
    record.job_submit = &submit;
    handler->pending++;
    stream_append(handler->stream, &record, handler->opts.deadline_ms,
                  on_submitted, submission);
}

/* Returns true also if no worker has reported its capacity, since the largest
   possible job is then unknown. */
static bool
fits_some_worker(const cell_t *cell, const job_size_t *size)
{
    bool any_capacity_known = false;

    LIST_FOREACH (worker, &cell->worker_list, cell_worker_t, link) {
        if (worker->capacity.cpu_milli == 0) {
            continue;
        }
        any_capacity_known = true;
        if (job_size_fits(size, &worker->capacity)) {
            return true;
        }
    }
    return !any_capacity_known;
}

static void
check_submission(job_handler_t *handler, http_exchange_t *exchange,
                 const char *job_id, const job_spec_t *spec, char *canonical)
{
    const cell_job_t *job = cell_find_job(handler->cell, job_id);

    if (job != NULL) {
        reply_existing_job(handler, exchange, job,
                           job_body_hash(canonical, strlen(canonical)), 200);
        return;
    }
    if (!fits_some_worker(handler->cell, &spec->size)) {
        g_autofree char *detail = g_strdup_printf(
            "no known worker has the cpu_milli=%u memory_mb=%" G_GUINT64_FORMAT
            " accelerators=%u that job \"%s\" requests",
            spec->size.cpu_milli, spec->size.memory_mb,
            spec->size.accelerators, job_id);

        refuse(handler, exchange, ERROR_UNPLACEABLE, detail);
        return;
    }
    append_submission(handler, exchange, job_id, canonical);
}

static void
on_put(job_handler_t *handler, http_exchange_t *exchange, const char *job_id)
{
    g_autofree char *canonical = NULL;
    GError *error = NULL;
    job_spec_t spec;

    if (exchange->body_length > JOB_SPEC_MAX) {
        g_autofree char *detail = g_strdup_printf(
            "job \"%s\": the body has %zu bytes; allowed: at most %d", job_id,
            exchange->body_length, JOB_SPEC_MAX);

        refuse(handler, exchange, ERROR_TOO_LARGE, detail);
        return;
    }
    if (!job_spec_parse(exchange->body, exchange->body_length, &spec,
                        &canonical, &error)) {
        refuse_error(handler, exchange, error);
        return;
    }
    check_submission(handler, exchange, job_id, &spec, canonical);
    job_spec_clear(&spec);
}

static void
on_get(job_handler_t *handler, http_exchange_t *exchange, const char *job_id)
{
    reply_job(exchange, 200, cell_find_job(handler->cell, job_id));
}

static void
reply_cancel(job_handler_t *handler, cancel_t *cancel,
             stream_outcome_t outcome, const char *detail)
{
    const cell_job_t *job = cell_find_job(handler->cell, cancel->job_id);

    if (outcome != STREAM_APPLIED) {
        refuse_append(handler, cancel->exchange, outcome, detail);
    }
    else if (job == NULL) {
        refuse(handler, cancel->exchange, ERROR_NOT_FOUND, cancel->job_id);
    }
    else {
        /* 202: the job is still running and is being stopped. */
        reply_job(cancel->exchange, cell_job_is_ended(job) ? 200 : 202, job);
        handler->cancelled.value++;
    }
    handler->pending--;
    list_remove(&cancel->link);
    g_free(cancel->job_id);
    g_free(cancel);
}

static void
on_cancelled(stream_outcome_t outcome, uint64_t offset, const char *detail,
             void *data)
{
    cancel_batch_t *batch = data;

    LIST_FOREACH_SAFE (cancel, &batch->cancels, cancel_t, link) {
        reply_cancel(batch->handler, cancel, outcome, detail);
    }
    g_free(batch);
}

static void
append_cancels(job_handler_t *handler)
{
    g_autoptr(GPtrArray) ids = g_ptr_array_new();
    cancel_batch_t *batch = g_new0(cancel_batch_t, 1);
    Teasel__JobCancel message = TEASEL__JOB_CANCEL__INIT;
    Teasel__LogRecord record = TEASEL__LOG_RECORD__INIT;

    batch->handler = handler;
    list_init(&batch->cancels);
    LIST_FOREACH_SAFE (cancel, &handler->cancels, cancel_t, link) {
        if (ids->len < MAX_CANCELS_PER_RECORD) {
            list_remove(&cancel->link);
            list_append(&batch->cancels, &cancel->link);
            g_ptr_array_add(ids, cancel->job_id);
        }
    }
    message.job_id = ids->pdata[0];
    message.more_ids = (char **)ids->pdata + 1;
    message.n_more_ids = ids->len - 1;
    message.author = (char *)handler->opts.entry_id;
    record.body_case = TEASEL__LOG_RECORD__BODY_JOB_CANCEL;
    record.job_cancel = &message;
    stream_append(handler->stream, &record, handler->opts.deadline_ms,
                  on_cancelled, batch);
}

static void
on_cancel_timer(loop_timer_t *timer)
{
    job_handler_t *handler = timer->data;

    while (!list_is_empty(&handler->cancels)) {
        append_cancels(handler);
    }
}

static void
on_delete(job_handler_t *handler, http_exchange_t *exchange,
          const char *job_id)
{
    const cell_job_t *job = cell_find_job(handler->cell, job_id);
    cancel_t *cancel;

    if (cell_job_is_ended(job)) {
        reply_job(exchange, 200, job);
        return;
    }
    cancel = g_new0(cancel_t, 1);
    cancel->exchange = exchange;
    cancel->job_id = g_strdup(job_id);
    list_append(&handler->cancels, &cancel->link);
    handler->pending++;
    if (!loop_timer_is_active(&handler->cancel_timer)) {
        loop_timer_start(&handler->cancel_timer, CANCEL_BATCH_MS);
    }
}

typedef struct method {
    const char *name;
    bool needs_job;
    void (*handle)(job_handler_t *handler, http_exchange_t *exchange,
                   const char *job_id);
} method_t;

static const method_t methods[] = {
    {"PUT", false, on_put},
    {"GET", true, on_get},
    {"DELETE", true, on_delete},
};

static const method_t *
find_method(const char *name)
{
    for (size_t i = 0; i < G_N_ELEMENTS(methods); i++) {
        if (strcmp(methods[i].name, name) == 0) {
            return &methods[i];
        }
    }
    return NULL;
}

void
job_handler_on_job(job_handler_t *handler, http_exchange_t *exchange)
{
    const method_t *method = find_method(exchange->method);
    const char *job_id = exchange->path + strlen("/jobs/");
    GError *error = NULL;

    if (method == NULL) {
        g_autofree char *detail = g_strdup_printf(
            "method %s is not supported; allowed: PUT, GET, DELETE",
            exchange->method);

        refuse(handler, exchange, ERROR_INVALID, detail);
    }
    else if (!job_id_check(job_id, &error)) {
        refuse_error(handler, exchange, error);
    }
    else if (!job_handler_is_ready(handler)) {
        refuse(handler, exchange, ERROR_LOG_UNAVAILABLE,
               "the stream of the cell has not been read to its end yet");
    }
    else if (method->needs_job &&
             cell_find_job(handler->cell, job_id) == NULL) {
        g_autofree char *detail =
            g_strdup_printf("job \"%s\" is not known", job_id);

        refuse(handler, exchange, ERROR_NOT_FOUND, detail);
    }
    else {
        method->handle(handler, exchange, job_id);
    }
}

void
job_handler_on_list(job_handler_t *handler, http_exchange_t *exchange)
{
    g_autofree char *text = job_view_render_cell(handler->cell);

    http_exchange_reply_text(exchange, 200, "application/json", text);
}

job_handler_t *
job_handler_new(const job_handler_opts_t *opts)
{
    job_handler_t *handler = g_new0(job_handler_t, 1);
    stream_opts_t stream_opts = {
        .loop = opts->loop,
        .clock = opts->clock,
        .log = opts->log,
        .name = opts->cell,
        .writer = opts->entry_id,
        .handler = &stream_handler,
        .data = handler,
    };

    handler->opts = *opts;
    handler->cell = cell_new();
    list_init(&handler->cancels);
    loop_timer_init(&handler->cancel_timer, opts->loop, on_cancel_timer,
                    handler);
    metrics_add(opts->metrics, &handler->submitted, METRIC_COUNTER,
                "teasel_entry_jobs_submitted_total", NULL,
                "jobs that were accepted");
    metrics_add(opts->metrics, &handler->refused, METRIC_COUNTER,
                "teasel_entry_jobs_refused_total", NULL,
                "job requests that were refused or of unknown outcome");
    metrics_add(opts->metrics, &handler->cancelled, METRIC_COUNTER,
                "teasel_entry_jobs_cancelled_total", NULL,
                "cancellations that were accepted");
    handler->stream = stream_new(&stream_opts);
    return handler;
}

void
job_handler_free(job_handler_t *handler)
{
    if (handler == NULL) {
        return;
    }
    loop_timer_stop(&handler->cancel_timer);
    stream_free(handler->stream);
    cell_free(handler->cell);
    metrics_remove(&handler->submitted);
    metrics_remove(&handler->refused);
    metrics_remove(&handler->cancelled);
    g_free(handler);
}

bool
job_handler_is_ready(const job_handler_t *handler)
{
    return stream_is_caught_up(handler->stream);
}

size_t
job_handler_get_pending(const job_handler_t *handler)
{
    return handler->pending;
}

uint64_t
job_handler_get_next_offset(const job_handler_t *handler)
{
    return stream_get_next_offset(handler->stream);
}
