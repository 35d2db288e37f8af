#ifndef TEASEL_CALLER_JOB_HANDLER_H
#define TEASEL_CALLER_JOB_HANDLER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/http_server.h"
#include "base/loop.h"
#include "base/metrics.h"
#include "stream/plog.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct job_handler job_handler_t;

/**
 * struct job_handler_opts - options of job_handler_new()
 * @cell: name of the cell's stream, "cell-0"
 * @entry_id: writer id of the appended records
 * @deadline_ms: a submission or cancellation that the handler has not read
 *     back from the log within this time is answered 504
 */
typedef struct job_handler_opts {
    loop_t *loop;
    const clock_source_t *clock;
    plog_t *log;
    metrics_t *metrics;
    const char *cell;
    const char *entry_id;
    uint64_t deadline_ms;
} job_handler_opts_t;

/**
 * job_handler_new() - follow the stream of the cell and serve job requests
 */
job_handler_t *job_handler_new(const job_handler_opts_t *opts);

/**
 * job_handler_free() - free the handler
 *
 * Every exchange must have been answered before.
 */
void job_handler_free(job_handler_t *handler);

/**
 * job_handler_on_job() - handle PUT, GET and DELETE of /jobs/ID
 *
 * Statuses of PUT: 201 for a new job, 200 for a repetition with the same body,
 * 409 for a repetition with another body, 400 or 413 if the job is invalid or
 * too large, 422 if no known worker is large enough, 503 if the job was not
 * written, 504 if its outcome is unknown. The exchange is answered after the
 * record has been read back from the log, so it may stay open for deadline_ms.
 */
void job_handler_on_job(job_handler_t *handler, http_exchange_t *exchange);

/**
 * job_handler_on_list() - handle GET /admin/jobs
 *
 * Answers {"epoch", "coordinator", "jobs": [...], "workers": [...]}.
 */
void job_handler_on_list(job_handler_t *handler, http_exchange_t *exchange);

/**
 * job_handler_is_ready() - check that the stream of the cell has been read to
 * its end once
 */
bool job_handler_is_ready(const job_handler_t *handler);

/**
 * job_handler_get_pending() - return the number of unanswered submissions and
 * cancellations
 */
size_t job_handler_get_pending(const job_handler_t *handler);

/**
 * job_handler_get_next_offset() - return the next offset to read from the
 * stream of the cell
 */
uint64_t job_handler_get_next_offset(const job_handler_t *handler);

#ifdef __cplusplus
}
#endif

#endif
