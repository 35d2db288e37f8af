#ifndef TEASEL_ENTRY_FORWARDER_H
#define TEASEL_ENTRY_FORWARDER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/http_server.h"
#include "base/loop.h"
#include "base/metrics.h"
#include "entry/peer_session.h"
#include "request/attempt.h"
#include "request/route.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct forwarder forwarder_t;

/**
 * struct forwarder_opts - options of forwarder_new()
 * @max_attempts: limit of attempts per request
 * @retry_percent: retries that a service may make per 100 requests
 * @retry_reserve: size of the retry budget of a service, full at the start
 * @park_ms: a request for which no member is available is parked, that is,
 *     queued for up to this long
 */
typedef struct forwarder_opts {
    loop_t *loop;
    const clock_source_t *clock;
    metrics_t *metrics;
    member_table_t *members;
    route_t *route;
    unsigned max_attempts;
    uint32_t retry_percent;
    uint32_t retry_reserve;
    uint64_t park_ms;
} forwarder_opts_t;

/**
 * struct forward_request - a request to a service
 * @target: path and query
 * @idempotent: the request may be run more than once
 * @timeout_ms: time until the deadline
 *
 * All pointers must stay valid until the callback of the request.
 */
typedef struct forward_request {
    const char *service;
    const char *method;
    const char *target;
    const http_header_t *headers;
    size_t header_count;
    const void *body;
    size_t body_length;
    bool idempotent;
    uint32_t timeout_ms;
} forward_request_t;

/**
 * struct forward_result - result of a request
 * @outcome: ATTEMPT_NOT_RUN only if no attempt can have been run
 * @kind: reason, if not answered
 * @detail: description of @kind, or NULL
 *
 * Valid during the callback only.
 */
typedef struct forward_result {
    attempt_outcome_t outcome;
    error_kind_t kind;
    const char *detail;
    int status;
    Teasel__Header **headers;
    size_t header_count;
    const void *body;
    size_t body_length;
} forward_result_t;

typedef void (*forward_cb)(const forward_result_t *result, void *data);

forwarder_t *forwarder_new(const forwarder_opts_t *opts);

/**
 * forwarder_free() - free the forwarder
 *
 * Pending requests are dropped; their callbacks are not called.
 */
void forwarder_free(forwarder_t *forwarder);

/**
 * forwarder_submit() - forward a request to an agent
 * @cb: called exactly once, possibly before this function returns
 */
void forwarder_submit(forwarder_t *forwarder, const forward_request_t *request,
                      forward_cb cb, void *data);

/**
 * forwarder_on_message() - handle a Reply, NotRun or Unknown
 *
 * An answer that matches no pending attempt on this connection is counted and
 * dropped.
 */
void forwarder_on_message(forwarder_t *forwarder, peer_session_t *session,
                          const Teasel__Envelope *message);

/**
 * forwarder_on_disconnect() - end the attempts on a lost connection
 *
 * Their outcome is ATTEMPT_UNKNOWN.
 */
void forwarder_on_disconnect(forwarder_t *forwarder, peer_session_t *session);

/**
 * forwarder_on_member() - retry parked requests
 *
 * To be called when a member joined or reported its load.
 */
void forwarder_on_member(forwarder_t *forwarder);

/**
 * forwarder_get_pending() - return the number of requests in flight
 */
size_t forwarder_get_pending(const forwarder_t *forwarder);

#ifdef __cplusplus
}
#endif

#endif
