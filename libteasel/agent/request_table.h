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
 * @executor: if NULL, every request is answered with NotRun
 * @services: names of the executor's services, NULL-terminated
 * @limit: maximum number of running requests
 * @max_queue: maximum number of queued requests
 * @fill_load: called to fill in the fields of a Load message that the table
 *     does not set itself
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
 * Sends exactly one of Reply, NotRun and Unknown on @link, unless the
 * connection is lost or the request is cancelled while it runs.
 */
void request_table_on_request(request_table_t *table, agent_link_t *link,
                              const Teasel__Request *message);

/**
 * request_table_on_cancel() - cancel a request for the entry that sent it
 *
 * A queued request is answered with NotRun. A running request continues,
 * because a request at the executor cannot be stopped; its answer is dropped.
 */
void request_table_on_cancel(request_table_t *table, agent_link_t *link,
                             uint64_t request_id);

/**
 * request_table_on_disconnect() - drop the queued requests of a lost
 * connection and the answers of its running requests
 */
void request_table_on_disconnect(request_table_t *table, agent_link_t *link);

/**
 * request_table_set_leaving() - start or stop refusing new requests
 *
 * Calls on_idle at once if @leaving and no request is left.
 */
void request_table_set_leaving(request_table_t *table, bool leaving);
bool request_table_is_idle(const request_table_t *table);

/**
 * request_table_set_limits() - set the maximum numbers of running and queued
 * requests when the service's ticket has changed
 */
void request_table_set_limits(request_table_t *table, size_t limit,
                              size_t max_queue);

/**
 * request_table_get_load() - fill in a Load message
 */
void request_table_get_load(request_table_t *table, Teasel__Load *load);

/**
 * request_table_get_percent() - get the number of running and queued requests
 * as a percentage of the slots
 */
uint32_t request_table_get_percent(const request_table_t *table);

#ifdef __cplusplus
}
#endif

#endif
