#include "base/http_server.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/error.h"
#include "base/list.h"
#include "base/settings.h"
#include "base/socket.h"

/* Limit per loop iteration, so that a burst of new connections does not delay
   the established ones. */
enum {
    MAX_ACCEPTS_PER_ITERATION = 16,
    /* From the last answer, or the begin of the connection, until a request
       has arrived whole. */
    REQUEST_TIMEOUT_MS = 10000,
};

typedef struct connection {
    list_t link;
    http_server_t *server;
    h2o_socket_t *sock;
    loop_timer_t request_timer; /* while no request is pending */
} connection_t;

struct http_server {
    http_server_opts_t opts;
    h2o_globalconf_t config;
    h2o_context_t context;
    h2o_accept_ctx_t accept_ctx;
    h2o_socket_t *listener;
    list_t connections;
    size_t connection_count;
    size_t pending;
    bool shutting_down;
    bool freed; /* by its owner; only open connections remain */
};

typedef struct handler {
    h2o_handler_t super;
    http_server_t *server;
} handler_t;

/* Allocated in the memory pool of the request, to detect when h2o frees it. */
typedef struct request_guard {
    connection_t *connection;
    http_exchange_t *exchange; /* NULL after the reply */
} request_guard_t;

typedef struct exchange_state {
    http_server_t *server;
    h2o_req_t *req;
    request_guard_t *guard;
    GStringChunk *strings;
} exchange_state_t;

static void
on_request_disposed(void *data)
{
    request_guard_t *guard = data;
    http_exchange_t *exchange = guard->exchange;
    exchange_state_t *state;

    loop_timer_start(&guard->connection->request_timer, REQUEST_TIMEOUT_MS);
    if (exchange == NULL) {
        return;
    }
    state = exchange->internal;
    state->req = NULL;
    state->guard = NULL;
    exchange->closed = true;
    if (exchange->on_close != NULL) {
        exchange->on_close(exchange);
    }
}

static char *
copy_iovec(GStringChunk *strings, h2o_iovec_t text)
{
    return g_string_chunk_insert_len(strings, text.base, (gssize)text.len);
}

static void
copy_headers(http_exchange_t *exchange, const h2o_headers_t *headers,
             GStringChunk *strings)
{
    exchange->headers = g_new(http_header_t, headers->size + 1);
    exchange->header_count = headers->size;
    for (size_t i = 0; i < headers->size; i++) {
        h2o_header_t *header = &headers->entries[i];

        exchange->headers[i].name = copy_iovec(strings, *header->name);
        exchange->headers[i].value = copy_iovec(strings, header->value);
    }
}

static connection_t *
get_connection(const h2o_req_t *req)
{
    return req->conn->callbacks->get_socket(req->conn)->on_close.data;
}

static http_exchange_t *
exchange_new(http_server_t *server, h2o_req_t *req)
{
    http_exchange_t *exchange = g_new0(http_exchange_t, 1);
    exchange_state_t *state = g_new0(exchange_state_t, 1);
    size_t path_length = req->input.path.len;

    state->server = server;
    state->req = req;
    state->strings = g_string_chunk_new(512);
    state->guard = h2o_mem_alloc_shared(&req->pool, sizeof(*state->guard),
                                        on_request_disposed);
    state->guard->connection = get_connection(req);
    state->guard->exchange = exchange;
    loop_timer_stop(&state->guard->connection->request_timer);
    if (req->input.query_at != SIZE_MAX) {
        path_length = req->input.query_at;
    }
    exchange->internal = state;
    exchange->method = copy_iovec(state->strings, req->input.method);
    exchange->target = copy_iovec(state->strings, req->input.path);
    exchange->host = copy_iovec(state->strings, req->input.authority);
    exchange->path = g_string_chunk_insert_len(
        state->strings, req->input.path.base, (gssize)path_length);
    copy_headers(exchange, &req->headers, state->strings);
    exchange->body_length = req->entity.len;
    exchange->body = g_string_chunk_insert_len(
        state->strings, req->entity.base ? req->entity.base : "",
        (gssize)req->entity.len);
    server->pending++;
    return exchange;
}

static bool
route_matches(const http_route_t *route, const char *path)
{
    size_t length = strlen(route->path);

    if (length > 0 && route->path[length - 1] == '/') {
        return strncmp(path, route->path, length) == 0;
    }
    return strcmp(path, route->path) == 0;
}

static int
on_request(h2o_handler_t *super, h2o_req_t *req)
{
    handler_t *handler = (handler_t *)super;
    http_server_t *server = handler->server;
    http_exchange_t *exchange = exchange_new(server, req);

    if (server->freed) {
        http_exchange_reply_text(exchange, 503, "text/plain", "stopped\n");
        return 0;
    }
    for (const http_route_t *route = server->opts.routes; route->path;
         route++) {
        if (route_matches(route, exchange->path)) {
            route->handler(exchange, server->opts.data);
            return 0;
        }
    }
    http_exchange_reply_text(exchange, 404, "text/plain", "not found\n");
    return 0;
}

static void
on_connection_closed(void *data)
{
    connection_t *connection = data;

    loop_timer_stop(&connection->request_timer);
    list_remove(&connection->link);
    connection->server->connection_count--;
    g_free(connection);
}

/* h2o reads the end of the stream then, and closes the connection at once if
   it is idle, else after its response. */
static void
end_requests(connection_t *connection)
{
    shutdown(h2o_socket_get_fd(connection->sock), SHUT_RD);
}

static void
on_request_timeout(loop_timer_t *timer)
{
    end_requests(timer->data);
}

static void
on_accept(h2o_socket_t *listener, const char *err)
{
    http_server_t *server = listener->data;

    if (err != NULL) {
        return;
    }
    for (int i = 0; i < MAX_ACCEPTS_PER_ITERATION; i++) {
        h2o_socket_t *sock = h2o_evloop_socket_accept(listener);
        connection_t *connection;

        if (sock == NULL) {
            return;
        }
        connection = g_new0(connection_t, 1);
        connection->server = server;
        connection->sock = sock;
        list_append(&server->connections, &connection->link);
        server->connection_count++;
        sock->on_close.cb = on_connection_closed;
        sock->on_close.data = connection;
        loop_timer_init(&connection->request_timer, server->opts.loop,
                        on_request_timeout, connection);
        loop_timer_start(&connection->request_timer, REQUEST_TIMEOUT_MS);
        h2o_accept(&server->accept_ctx, sock);
    }
}

static void
register_handler(http_server_t *server)
{
    h2o_hostconf_t *host = h2o_config_register_host(
        &server->config, h2o_iovec_init(H2O_STRLIT("default")), 65535);
    h2o_pathconf_t *path = h2o_config_register_path(host, "/", 0);
    handler_t *handler =
        (handler_t *)h2o_create_handler(path, sizeof(*handler));

    handler->super.on_req = on_request;
    handler->server = server;
}

http_server_t *
http_server_new(const http_server_opts_t *opts, GError **error)
{
    int fd = socket_listen(opts->listen, error);
    http_server_t *server;

    if (fd < 0) {
        return NULL;
    }
    server = g_new0(http_server_t, 1);
    server->opts = *opts;
    list_init(&server->connections);
    h2o_config_init(&server->config);
    server->config.server_name = h2o_iovec_init(H2O_STRLIT("teaselhaven"));
    server->config.max_request_entity_size = opts->max_body;
    server->config.http1.upgrade_to_http2 = 0;
    server->config.http1.req_timeout = loop_get_h2o_limit_ms(opts->loop);
    register_handler(server);
    h2o_context_init(&server->context, loop_get_h2o(opts->loop),
                     &server->config);
    server->accept_ctx.ctx = &server->context;
    server->accept_ctx.hosts = server->config.hosts;
    server->listener = h2o_evloop_socket_create(loop_get_h2o(opts->loop), fd,
                                                H2O_SOCKET_FLAG_DONT_READ);
    server->listener->data = server;
    h2o_socket_read_start(server->listener, on_accept);
    return server;
}

void
http_server_close_listener(http_server_t *server)
{
    if (server->listener != NULL) {
        h2o_socket_close(server->listener);
        server->listener = NULL;
    }
}

void
http_server_announce_shutdown(http_server_t *server)
{
    server->shutting_down = true;
}

void
http_server_shutdown(http_server_t *server)
{
    server->shutting_down = true;
    LIST_FOREACH (connection, &server->connections, connection_t, link) {
        end_requests(connection);
    }
}

size_t
http_server_get_pending(const http_server_t *server)
{
    return server->pending;
}

size_t
http_server_get_connections(const http_server_t *server)
{
    return server->connection_count;
}

void
http_server_free(http_server_t *server)
{
    if (server == NULL) {
        return;
    }
    http_server_close_listener(server);
    /* h2o 2.2 cannot dispose of a context with open HTTP/1 connections. The
       process is about to exit, and the kernel then closes them. */
    if (server->connection_count > 0) {
        server->freed = true;
        http_server_announce_shutdown(server);
        return;
    }
    h2o_context_dispose(&server->context);
    h2o_config_dispose(&server->config);
    g_free(server);
}

const char *
http_exchange_get_header(const http_exchange_t *exchange, const char *name)
{
    for (size_t i = 0; i < exchange->header_count; i++) {
        if (strcmp(exchange->headers[i].name, name) == 0) {
            return exchange->headers[i].value;
        }
    }
    return NULL;
}

static void
send_reply(http_server_t *server, h2o_req_t *req, int status,
           const http_header_t *headers, size_t header_count, const void *body,
           size_t body_length)
{
    req->res.status = status;
    req->res.reason = "";
    req->res.content_length = body_length;
    if (server->shutting_down) {
        req->http1_is_persistent = 0;
    }
    for (size_t i = 0; i < header_count; i++) {
        h2o_iovec_t name =
            h2o_strdup(&req->pool, headers[i].name, strlen(headers[i].name));
        h2o_iovec_t value =
            h2o_strdup(&req->pool, headers[i].value, strlen(headers[i].value));

        h2o_add_header_by_str(&req->pool, &req->res.headers, name.base,
                              name.len, 1, NULL, value.base, value.len);
    }
    h2o_send_inline(req, body, body_length);
}

void
http_exchange_reply(http_exchange_t *exchange, int status,
                    const http_header_t *headers, size_t header_count,
                    const void *body, size_t body_length)
{
    exchange_state_t *state = exchange->internal;

    state->server->pending--;
    if (state->req != NULL) {
        state->guard->exchange = NULL;
        send_reply(state->server, state->req, status, headers, header_count,
                   body, body_length);
    }
    g_string_chunk_free(state->strings);
    g_free(state);
    g_free(exchange->headers);
    g_free(exchange);
}

void
http_exchange_abort(http_exchange_t *exchange, const void *raw, size_t length)
{
    exchange_state_t *state = exchange->internal;

    if (state->req != NULL) {
        h2o_conn_t *conn = state->req->conn;
        int fd = h2o_socket_get_fd(conn->callbacks->get_socket(conn));

        if (length > 0) {
            (void)!send(fd, raw, length, MSG_NOSIGNAL | MSG_DONTWAIT);
        }
        shutdown(fd, SHUT_RDWR);
    }
    /* Writing this response fails, and h2o then closes the connection. */
    http_exchange_reply(exchange, 500, NULL, 0, NULL, 0);
}

void
http_exchange_reply_text(http_exchange_t *exchange, int status,
                         const char *content_type, const char *text)
{
    http_header_t header = {"content-type", content_type};

    http_exchange_reply(exchange, status, &header, 1, text, strlen(text));
}
