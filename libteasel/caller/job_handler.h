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
 * @entry_id: writer of the records
 * @deadline_ms: a submission without read-back is answered 504 after this
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
 * job_handler_new() - follow the cell and serve jobs
 */
job_handler_t *job_handler_new(const job_handler_opts_t *opts);

/**
 * job_handler_free() - every exchange must be answered before
 */
void job_handler_free(job_handler_t *handler);

/**
 * job_handler_on_job() - PUT, GET and DELETE of /jobs/ID
 *
 * PUT: 201 new, 200 same body again, 409 other body, 422 invalid or no known
 * worker is large enough, 503 not written, 504 unknown. The answer comes
 * after the read-back, so the exchange may stay open for @deadline_ms.
 */
void job_handler_on_job(job_handler_t *handler, http_exchange_t *exchange);

/**
 * job_handler_on_list() - GET /admin/jobs: {"epoch", "coordinator",
 * "jobs": [...], "workers": [...]}
 */
void job_handler_on_list(job_handler_t *handler, http_exchange_t *exchange);

/**
 * job_handler_is_ready() - the cell was read to its end once
 */
bool job_handler_is_ready(const job_handler_t *handler);

/**
 * job_handler_get_pending() - submissions and cancellations not answered yet
 */
size_t job_handler_get_pending(const job_handler_t *handler);

/**
 * job_handler_get_next_offset() - next offset of the cell that will be read
 */
uint64_t job_handler_get_next_offset(const job_handler_t *handler);

#ifdef __cplusplus
}
#endif

#endif
