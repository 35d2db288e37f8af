#ifndef TEASEL_BASE_HTTP_SERVER_H
#define TEASEL_BASE_HTTP_SERVER_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

#include "base/loop.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct http_server http_server_t;
typedef struct http_exchange http_exchange_t;
typedef void (*http_handler_fn)(http_exchange_t *exchange, void *data);

/**
 * struct http_route - handler of a path or path prefix
 * @path: exact path, or a prefix if it ends in a slash
 */
typedef struct http_route {
    const char *path;
    http_handler_fn handler;
} http_route_t;

/**
 * struct http_server_opts - options of http_server_new()
 * @listen: IPv4:PORT
 * @max_body: bytes; requests with a larger body get status 413
 * @routes: terminated by a NULL path; the first match is used
 * @data: passed to the handlers
 */
typedef struct http_server_opts {
    loop_t *loop;
    const char *listen;
    size_t max_body;
    const http_route_t *routes;
    void *data;
} http_server_opts_t;

/**
 * struct http_header - a header field
 */
typedef struct http_header {
    const char *name; /* lower case on received messages */
    const char *value;
} http_header_t;

/**
 * struct http_exchange - a request and its pending response
 * @path: without the query
 * @target: path and query as received
 * @host: value of the Host header, with the port; empty if there is none
 * @closed: the client closed the connection; a response is discarded. h2o does
 *     not read from a connection while a request is pending, so this may be
 *     detected late
 * @on_close: called when @closed is set; may be NULL
 *
 * Strings are NUL-terminated and valid until the reply. The handler must call
 * http_exchange_reply() exactly once, now or later, even if @closed.
 */
struct http_exchange {
    char *method;
    char *path;
    char *target;
    char *host;
    http_header_t *headers;
    size_t header_count;
    const char *body;
    size_t body_length;
    bool closed;
    void (*on_close)(http_exchange_t *exchange);
    void *user_data;
    void *internal;
};

http_server_t *http_server_new(const http_server_opts_t *opts, GError **error);

/**
 * http_server_close_listener() - stop accepting connections
 */
void http_server_close_listener(http_server_t *server);

/**
 * http_server_announce_shutdown() - send "Connection: close" with all further
 * responses, so that callers move to another instance
 */
void http_server_announce_shutdown(http_server_t *server);

/**
 * http_server_shutdown() - close idle connections now, and the others after
 * their response
 */
void http_server_shutdown(http_server_t *server);

/**
 * http_server_get_pending() - return the number of exchanges without a reply
 */
size_t http_server_get_pending(const http_server_t *server);

/**
 * http_server_get_connections() - return the number of open connections
 */
size_t http_server_get_connections(const http_server_t *server);

/**
 * http_server_free() - stop accepting connections, and free the server
 *
 * No handler runs after this: requests on connections that are still open are
 * refused with status 503.
 */
void http_server_free(http_server_t *server);

/**
 * http_exchange_get_header() - look up a header field of the request
 * @name: in lower case
 *
 * Return: the value, or NULL.
 */
const char *http_exchange_get_header(const http_exchange_t *exchange,
                                     const char *name);

/**
 * http_exchange_reply() - send the response and free the exchange
 * @headers: may be NULL; Content-Length is added
 */
void http_exchange_reply(http_exchange_t *exchange, int status,
                         const http_header_t *headers, size_t header_count,
                         const void *body, size_t body_length);

/**
 * http_exchange_abort() - close the connection without a complete response,
 * and free the exchange
 * @raw: bytes to send first; may be NULL
 *
 * For fault injection by the stand-ins of the tests.
 */
void http_exchange_abort(http_exchange_t *exchange, const void *raw,
                         size_t length);

/**
 * http_exchange_reply_text() - send a response with a text body and free the
 * exchange
 */
void http_exchange_reply_text(http_exchange_t *exchange, int status,
                              const char *content_type, const char *text);

#ifdef __cplusplus
}
#endif

#endif
