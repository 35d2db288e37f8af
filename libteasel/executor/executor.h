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
 * @ledger: its slots and connections limit what is sent at a time; a share of
 *     the connections is set aside for idle ones
 * @timeout_ms: a call without a complete answer is given up after this time,
 *     and its slot counts as free again
 * @max_response: longer answers are unknown outcomes
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
 * @idempotent: false: it is sent on a fresh connection, because the executor
 *     may close a reused one at the moment the request is sent
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
 * @kind: unless answered
 * @service_us: from sending to the end
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
 * executor_free() - close all connections without callbacks and free
 */
void executor_free(executor_t *executor);

/**
 * executor_send() - run a request
 * @cb: called exactly once, never from inside this function
 *
 * There is no cancellation: the executor may not notice a closed connection
 * and goes on, so the slot must stay taken until its answer.
 *
 * Return: false, with @missing set, if no slot or connection is free.
 */
bool executor_send(executor_t *executor, const executor_request_t *request,
                   executor_cb cb, void *data, ledger_kind_t *missing);

#ifdef __cplusplus
}
#endif

#endif
