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
    SERVICE_IDEMPOTENT_UNSET, /* use the configuration of the service */
    SERVICE_IDEMPOTENT_NO,
    SERVICE_IDEMPOTENT_YES,
} service_idempotent_t;

/**
 * struct service_call - a request of a caller to a service
 * @service: service name from the path /svc/NAME/...
 * @target: path and query after /svc/NAME
 * @key: value of header Idempotency-Key, or NULL
 * @idempotent: from header Teasel-Idempotent
 * @timeout_ms: from header Teasel-Timeout-Ms, 0 if there is none
 * @headers: headers to forward; hop-by-hop headers are removed
 * @added_value: owned value of the header from service_call_add_header()
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
 * @submit: takes ownership of the call and must answer it exactly once, at
 *     any time, with service_call_reply() or service_call_fail()
 *
 * An invalid request is answered immediately and not submitted.
 */
void service_handler_handle(http_exchange_t *exchange,
                            service_submit_fn submit, void *data);

/**
 * service_call_add_header() - add a header to those that are forwarded
 *
 * May be called once per call. The value is copied; the name is not.
 */
void service_call_add_header(service_call_t *call,
                             const http_header_t *header);

/**
 * service_call_reply() - forward an executor's answer and free the call
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
