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
 * @max_attempts: for one request
 * @retry_percent: retries for 100 requests of a service
 * @retry_reserve: retries beyond that
 * @park_ms: how long a request waits for a usable member
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
 * struct forward_request - a request; everything it points to must stay until
 * the callback
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
 * struct forward_result - how a request ended
 * @outcome: not run only if that is true for every attempt
 * @kind: reason, if not answered
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
 * forwarder_free() - drop all requests without their callbacks
 */
void forwarder_free(forwarder_t *forwarder);

/**
 * forwarder_submit() - forward a request
 * @cb: called exactly once, possibly from inside
 */
void forwarder_submit(forwarder_t *forwarder, const forward_request_t *request,
                      forward_cb cb, void *data);

/**
 * forwarder_on_message() - handle Reply, NotRun or Unknown
 *
 * Answers that nobody waits for on this connection are dropped.
 */
void forwarder_on_message(forwarder_t *forwarder, peer_session_t *session,
                          const Teasel__Envelope *message);

/**
 * forwarder_on_disconnect() - the requests on a connection are unknown
 */
void forwarder_on_disconnect(forwarder_t *forwarder, peer_session_t *session);

/**
 * forwarder_on_member() - a member joined or reported; parked requests are
 * tried again
 */
void forwarder_on_member(forwarder_t *forwarder);

size_t forwarder_get_pending(const forwarder_t *forwarder);

#ifdef __cplusplus
}
#endif

#endif
