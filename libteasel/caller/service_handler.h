#ifndef TEASEL_CALLER_SERVICE_HANDLER_H
#define TEASEL_CALLER_SERVICE_HANDLER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/http_server.h"
#include "caller/problem.h"
#include "wire/teasel.pb-c.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef enum service_idempotent {
    SERVICE_IDEMPOTENT_UNSET, /* the service's settings decide */
    SERVICE_IDEMPOTENT_NO,
    SERVICE_IDEMPOTENT_YES,
} service_idempotent_t;

/**
 * struct service_call - a request of a caller to a service
 * @service: name from the path /svc/NAME/...
 * @target: path and query after /svc/NAME
 * @key: value of Idempotency-Key, or NULL
 * @idempotent: from header Teasel-Idempotent
 * @timeout_ms: from header Teasel-Timeout-Ms, 0 if there is none
 * @headers: without those that concern one connection only
 */
typedef struct service_call {
    http_exchange_t *exchange;
    char *service;
    const char *target;
    const char *key;
    service_idempotent_t idempotent;
    uint32_t timeout_ms;
    http_header_t *headers;
    size_t header_count;
    char *added_value;
} service_call_t;

typedef void (*service_submit_fn)(service_call_t *call, void *data);

/**
 * service_handler_handle() - parse a request and submit it
 * @submit: must answer the call exactly once, at any later time
 *
 * A request that is not valid is answered at once.
 */
void service_handler_handle(http_exchange_t *exchange,
                            service_submit_fn submit, void *data);

/**
 * service_call_add_header() - add one header to those that are passed on
 *
 * May be called once; the value is copied.
 */
void service_call_add_header(service_call_t *call,
                             const http_header_t *header);

/**
 * service_call_reply() - pass on an executor's answer and free the call
 */
void service_call_reply(service_call_t *call, int status,
                        Teasel__Header *const *headers, size_t header_count,
                        const void *body, size_t body_length);

/**
 * service_call_fail() - answer with a problem document and free the call
 */
void service_call_fail(service_call_t *call, const problem_t *problem);

#ifdef __cplusplus
}
#endif

#endif
