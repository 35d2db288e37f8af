#ifndef TEASEL_BASE_HTTP_CLIENT_H
#define TEASEL_BASE_HTTP_CLIENT_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/error.h"
#include "base/http_server.h"
#include "base/loop.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct http_client http_client_t;
typedef struct http_call http_call_t;

/**
 * struct http_client_opts - options of http_client_new()
 * @address: IPv4:PORT of the server
 * @max_connections: limit of the connections kept open while idle
 */
typedef struct http_client_opts {
    loop_t *loop;
    const char *address;
    size_t max_connections;
} http_client_opts_t;

/**
 * struct http_call_opts - one request
 * @target: path and query
 * @timeout_ms: from http_client_send() to the end of the response
 * @stall_ms: 0, or the longest time without progress: bytes that move extend
 *     @timeout_ms, up to this time from now, by the time that they take at the
 *     lowest useful rate. The response may then take as long as its size
 *     allows; once it has begun, it fails after this time without a byte.
 * @max_response: bytes; a longer body fails with ERROR_TOO_LARGE
 * @fresh_connection: open a new connection; the server may close an idle one
 *     at the moment that it is reused
 * @reused_connection: send the request only on an idle connection, on which an
 *     earlier call was answered; without one the call fails unsent
 */
typedef struct http_call_opts {
    const char *method;
    const char *target;
    const http_header_t *headers;
    size_t header_count;
    const void *body;
    size_t body_length;
    uint64_t timeout_ms;
    uint64_t stall_ms;
    size_t max_response;
    bool fresh_connection;
    bool reused_connection;
} http_call_opts_t;

/**
 * struct http_response - a complete response, or the error of a failed call
 * @ok: a complete response was received
 * @sent: false if no byte of the request was sent; the server then cannot have
 *     executed it
 * @kind: error kind, set unless @ok
 * @detail: error message, set unless @ok
 */
typedef struct http_response {
    bool ok;
    bool sent;
    error_kind_t kind;
    const char *detail;
    int status;
    const http_header_t *headers;
    size_t header_count;
    const char *body;
    size_t body_length;
} http_response_t;

typedef void (*http_response_cb)(const http_response_t *response, void *data);

http_client_t *http_client_new(const http_client_opts_t *opts, GError **error);

/**
 * http_client_free() - cancel all calls, without their callbacks, and free
 *
 * Must not be called from inside the callback of one of its calls.
 */
void http_client_free(http_client_t *client);

/**
 * http_client_send() - send a request
 * @cb: called exactly once, unless the call is cancelled; never from inside
 *     this function
 *
 * Return: the call, valid until @cb returns or the call is cancelled.
 */
http_call_t *http_client_send(http_client_t *client,
                              const http_call_opts_t *opts,
                              http_response_cb cb, void *data);

/**
 * http_call_cancel() - close the connection and free the call, without its
 * callback
 */
void http_call_cancel(http_call_t *call);

/**
 * http_client_drop_idle() - close the idle connections
 *
 * Call this after a server did not respond: its other connections may be
 * unresponsive too.
 */
void http_client_drop_idle(http_client_t *client);

/**
 * http_response_get_header() - look up a header field
 * @name: in lower case
 *
 * Return: the value, or NULL.
 */
const char *http_response_get_header(const http_response_t *response,
                                     const char *name);

#ifdef __cplusplus
}
#endif

#endif
