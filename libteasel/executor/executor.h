#ifndef TEASEL_EXECUTOR_EXECUTOR_H
#define TEASEL_EXECUTOR_EXECUTOR_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/error.h"
#include "base/http_server.h"
#include "base/loop.h"
#include "request/ledger.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct executor executor_t;

/**
 * struct executor_opts - options of executor_new()
 * @address: IPv4:PORT of the executor
 * @ledger: its slots and connections limit concurrent requests; some of the
 *     connections are reserved for idle ones
 * @timeout_ms: time without a complete answer after which a request ends with
 *     an unknown outcome and its slot is released
 * @max_response: longest response in bytes; the outcome of a longer one is
 *     unknown
 */
typedef struct executor_opts {
    loop_t *loop;
    const clock_source_t *clock;
    const char *address;
    ledger_t *ledger;
    uint64_t timeout_ms;
    size_t max_response;
} executor_opts_t;

/**
 * struct executor_request - one request
 * @idempotent: if false, the request is sent on a fresh connection, because
 *     the executor may close a reused one while the request is being sent
 */
typedef struct executor_request {
    const char *method;
    const char *target;
    const http_header_t *headers;
    size_t header_count;
    const void *body;
    size_t body_length;
    bool idempotent;
} executor_request_t;

typedef enum executor_outcome {
    EXECUTOR_ANSWERED,
    EXECUTOR_NOT_RUN, /* no byte of the request left this process */
    EXECUTOR_UNKNOWN, /* the executor may have run it */
} executor_outcome_t;

/**
 * struct executor_result - how a request ended
 * @kind: error kind; not set if @outcome is EXECUTOR_ANSWERED
 * @service_us: time from the start of sending to the end of the request
 */
typedef struct executor_result {
    executor_outcome_t outcome;
    error_kind_t kind;
    const char *detail;
    int status;
    const http_header_t *headers;
    size_t header_count;
    const void *body;
    size_t body_length;
    uint64_t service_us;
} executor_result_t;

typedef void (*executor_cb)(const executor_result_t *result, void *data);

executor_t *executor_new(const executor_opts_t *opts, GError **error);

/**
 * executor_free() - close all connections without running callbacks, and free
 */
void executor_free(executor_t *executor);

/**
 * executor_send() - send a request
 * @cb: runs exactly once, never from inside this function
 *
 * A request cannot be cancelled: the executor may not notice that the
 * connection was closed and continue, so the slot stays reserved until the
 * answer or the timeout.
 *
 * Return: false, with @missing set, if no slot or connection is free.
 */
bool executor_send(executor_t *executor, const executor_request_t *request,
                   executor_cb cb, void *data, ledger_kind_t *missing);

#ifdef __cplusplus
}
#endif

#endif
