#ifndef TEASEL_AGENT_REQUEST_TABLE_H
#define TEASEL_AGENT_REQUEST_TABLE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "agent/agent_link.h"
#include "base/clock.h"
#include "base/loop.h"
#include "base/metrics.h"
#include "executor/executor.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct request_table request_table_t;

/**
 * struct request_table_opts - options of request_table_new()
 * @executor: NULL: every request is answered not run
 * @services: names of the services of the executor, NULL-terminated
 * @limit: requests that run at a time
 * @max_queue: requests that wait at a time
 * @fill_load: adds to the load in answers what the table does not know
 * @on_idle: called when the last request has ended while leaving
 */
typedef struct request_table_opts {
    loop_t *loop;
    const clock_source_t *clock;
    metrics_t *metrics;
    executor_t *executor;
    char **services;
    size_t limit;
    size_t max_queue;
    void (*fill_load)(Teasel__Load *load, void *data);
    void (*on_idle)(void *data);
    void *data;
} request_table_opts_t;

request_table_t *request_table_new(const request_table_opts_t *opts);
void request_table_free(request_table_t *table);

/**
 * request_table_on_request() - run, queue or refuse a request of an entry
 *
 * It is answered on @link with exactly one of Reply, NotRun and Unknown,
 * unless that connection is lost before.
 */
void request_table_on_request(request_table_t *table, agent_link_t *link,
                              const Teasel__Request *message);

/**
 * request_table_on_cancel() - the entry no longer waits for an answer
 *
 * A waiting request is answered not run. A running one goes on, because the
 * executor cannot be stopped; its answer is dropped.
 */
void request_table_on_cancel(request_table_t *table, agent_link_t *link,
                             uint64_t request_id);

/**
 * request_table_on_down() - a connection is lost: drop its waiting requests
 * and the answers of its running ones
 */
void request_table_on_down(request_table_t *table, agent_link_t *link);

void request_table_leave(request_table_t *table, bool leaving);
bool request_table_is_idle(const request_table_t *table);

/**
 * request_table_set_limits() - change slots and queue, for a changed ticket
 */
void request_table_set_limits(request_table_t *table, size_t limit,
                              size_t max_queue);
void request_table_get_load(request_table_t *table, Teasel__Load *load);

/**
 * request_table_get_percent() - running and waiting requests relative to the
 * slots
 */
uint32_t request_table_get_percent(const request_table_t *table);

#ifdef __cplusplus
}
#endif

#endif
