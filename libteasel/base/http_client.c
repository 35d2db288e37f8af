#include "base/http_client.h"

#include <string.h>

#include "base/list.h"
#include "base/settings.h"
#include "base/socket.h"

enum {
    /* The client closes connections that are idle for this long. h2o counts by
       the time of day: after a step ahead connections are made anew, after a
       step back idle ones stay for longer. */
    IDLE_TIMEOUT_MS = 5000,
    PROGRESS_INTERVAL_MS = 50,
    /* A slower transfer counts as stalled. The slowest links carry 2 Mbit/s,
       which several calls may share. */
    MIN_BYTES_PER_S = 16 * 1024,
};

/* Pool of idle connections. A replaced pool is freed after the last call that
   took a connection from it. */
typedef struct idle_pool {
    h2o_socketpool_t sockets;
    loop_timer_t dispose_timer;
    unsigned users;
} idle_pool_t;

struct http_client {
    loop_t *loop;
    char host[16];
    uint16_t port;
    struct sockaddr_in name;
    size_t max_connections;
    idle_pool_t *pool;
    h2o_timeout_t io_timeout;
    h2o_http1client_ctx_t context;
    list_t calls;
};

struct http_call {
    list_t link;
    http_client_t *client;
    idle_pool_t *pool; /* NULL for a fresh connection */
    h2o_http1client_t *transport;
    loop_timer_t timer;
    http_response_cb cb;
    void *data;
    char *head;
    char *body;
    h2o_iovec_t buffers[2];
    size_t buffer_count;
    size_t max_response;
    bool is_head;
    bool starting; /* inside http_client_send() */
    bool finished;
    bool delimited; /* the response states where it ends */
    bool sent;
    int64_t left_ms;      /* until the call fails */
    int64_t checked_ms;   /* when left_ms was last brought up to date */
    int64_t stall_ms;     /* 0: progress does not count */
    uint64_t moved_bytes; /* by the connection, as last read */
    int status;
    GArray *headers; /* http_header_t */
    GStringChunk *strings;
    GString *received;
    http_response_t response;
};

static void
on_dispose(loop_timer_t *timer)
{
    idle_pool_t *pool = timer->data;

    h2o_socketpool_dispose(&pool->sockets);
    g_free(pool);
}

static idle_pool_t *
pool_new(http_client_t *client)
{
    idle_pool_t *pool = g_new0(idle_pool_t, 1);

    h2o_socketpool_init_by_address(
        &pool->sockets, (struct sockaddr *)&client->name, sizeof(client->name),
        0, client->max_connections);
    h2o_socketpool_set_timeout(&pool->sockets, loop_get_h2o(client->loop),
                               IDLE_TIMEOUT_MS);
    loop_timer_init(&pool->dispose_timer, client->loop, on_dispose, pool);
    pool->users = 1;
    return pool;
}

static void
pool_release(idle_pool_t *pool)
{
    /* The transport returns its connection to the pool after the callback that
       ends the call, so a timer frees the pool. */
    if (--pool->users == 0) {
        loop_timer_start(&pool->dispose_timer, 0);
    }
}

http_client_t *
http_client_new(const http_client_opts_t *opts, GError **error)
{
    struct sockaddr_in name;
    http_client_t *client;
    h2o_loop_t *loop = loop_get_h2o(opts->loop);

    if (!socket_resolve(opts->address, &name, error)) {
        return NULL;
    }
    client = g_new0(http_client_t, 1);
    client->loop = opts->loop;
    address_parse(opts->address, client->host, &client->port, NULL);
    list_init(&client->calls);
    client->name = name;
    client->max_connections = opts->max_connections;
    client->pool = pool_new(client);
    /* Each call has its own timeout. */
    h2o_timeout_init(loop, &client->io_timeout,
                     loop_get_h2o_limit_ms(opts->loop));
    client->context.loop = loop;
    client->context.io_timeout = &client->io_timeout;
    return client;
}

static void
call_free(http_call_t *call)
{
    loop_timer_stop(&call->timer);
    list_remove(&call->link);
    if (call->pool != NULL) {
        pool_release(call->pool);
    }
    g_array_free(call->headers, TRUE);
    g_string_chunk_free(call->strings);
    g_string_free(call->received, TRUE);
    g_free(call->head);
    g_free(call->body);
    g_free(call);
}

static void
deliver(http_call_t *call)
{
    call->response.sent = call->sent;
    call->response.status = call->status;
    call->response.headers = (http_header_t *)call->headers->data;
    call->response.header_count = call->headers->len;
    call->response.body = call->received->str;
    call->response.body_length = call->received->len;
    call->cb(&call->response, call->data);
    call_free(call);
}

static void
set_result(http_call_t *call, bool ok, error_kind_t kind, const char *detail)
{
    call->transport = NULL;
    call->finished = true;
    call->response.ok = ok;
    call->response.kind = kind;
    call->response.detail = detail;
}

/* The transport frees itself after the callback that calls this function. */
static void
finish(http_call_t *call, bool ok, error_kind_t kind, const char *detail)
{
    set_result(call, ok, kind, detail);
    if (!call->starting) {
        deliver(call);
    }
}

static void
start_timer(http_call_t *call)
{
    call->checked_ms = loop_get_now_ms(call->client->loop);
    loop_timer_start(&call->timer,
                     (uint64_t)(call->stall_ms > 0
                                    ? MIN(call->left_ms, PROGRESS_INTERVAL_MS)
                                    : call->left_ms));
}

/* Returns the bytes that have moved since the last call. */
static uint64_t
take_moved_bytes(http_call_t *call)
{
    uint64_t before = call->moved_bytes;

    call->moved_bytes =
        socket_get_moved_bytes(h2o_socket_get_fd(call->transport->sock));
    return call->moved_bytes > before ? call->moved_bytes - before : 0;
}

/* Extends the time limit by what the moved bytes take at the lowest rate. */
static void
extend_limit(http_call_t *call)
{
    uint64_t credit_ms;

    if (call->stall_ms == 0 || !call->sent) {
        return;
    }
    credit_ms = take_moved_bytes(call) * 1000 / MIN_BYTES_PER_S;
    call->left_ms =
        MAX(call->left_ms,
            MIN(call->stall_ms, call->left_ms + (int64_t)credit_ms));
}

static void
on_timer(loop_timer_t *timer)
{
    http_call_t *call = timer->data;

    if (call->finished) {
        deliver(call);
        return;
    }
    call->left_ms -= loop_get_now_ms(call->client->loop) - call->checked_ms;
    extend_limit(call);
    if (call->left_ms > 0) {
        start_timer(call);
        return;
    }
    h2o_http1client_cancel(call->transport);
    finish(call, false, call->sent ? ERROR_TIMEOUT : ERROR_CONNECT,
           "no response before the deadline");
}

static int
on_body(h2o_http1client_t *transport, const char *err)
{
    http_call_t *call = transport->data;

    if (err != NULL && err != h2o_http1client_error_is_eos) {
        finish(call, false, ERROR_TRUNCATED, err);
        return -1;
    }
    if (transport->sock != NULL) {
        h2o_buffer_t **input = &transport->sock->input;

        g_string_append_len(call->received, (*input)->bytes,
                            (gssize)(*input)->size);
        h2o_buffer_consume(input, (*input)->size);
    }
    if (call->received->len > call->max_response) {
        finish(call, false, ERROR_TOO_LARGE,
               "the response exceeds the size limit");
        return -1;
    }
    if (err == h2o_http1client_error_is_eos) {
        if (call->delimited) {
            finish(call, true, ERROR_INTERNAL, NULL);
        }
        else {
            finish(call, false, ERROR_TRUNCATED,
                   "the response has no length and may be truncated");
        }
    }
    return 0;
}

static void
store_header(http_call_t *call, const h2o_iovec_t *name, h2o_iovec_t value)
{
    http_header_t header;
    char *lower = g_ascii_strdown(name->base, (gssize)name->len);

    header.name = g_string_chunk_insert(call->strings, lower);
    header.value = g_string_chunk_insert_len(call->strings, value.base,
                                             (gssize)value.len);
    g_free(lower);
    g_array_append_val(call->headers, header);
    if (strcmp(header.name, "content-length") == 0 ||
        strcmp(header.name, "transfer-encoding") == 0) {
        call->delimited = true;
    }
}

static h2o_http1client_body_cb
on_head(h2o_http1client_t *transport, const char *err, int minor_version,
        int status, h2o_iovec_t message, h2o_header_t *headers,
        size_t header_count, int rlen)
{
    http_call_t *call = transport->data;

    if (err != NULL && err != h2o_http1client_error_is_eos) {
        finish(call, false, ERROR_CONNECTION_LOST, err);
        return NULL;
    }
    call->status = status;
    if (call->stall_ms > 0) {
        call->left_ms = MIN(call->left_ms, call->stall_ms);
    }
    for (size_t i = 0; i < header_count; i++) {
        store_header(call, headers[i].name, headers[i].value);
    }
    if (call->is_head || status == 204 || status == 304) {
        call->delimited = true;
    }
    if (err == h2o_http1client_error_is_eos) {
        if (call->delimited) {
            finish(call, true, ERROR_INTERNAL, NULL);
        }
        else {
            finish(call, false, ERROR_TRUNCATED,
                   "the response has no length and no body");
        }
        return NULL;
    }
    return on_body;
}

static h2o_http1client_head_cb
on_connect(h2o_http1client_t *transport, const char *err,
           h2o_iovec_t **buffers, size_t *buffer_count, int *method_is_head)
{
    http_call_t *call = transport->data;

    if (err != NULL) {
        finish(call, false, ERROR_CONNECT, err);
        return NULL;
    }
    call->sent = true;
    if (call->stall_ms > 0) {
        take_moved_bytes(call);
    }
    *buffers = call->buffers;
    *buffer_count = call->buffer_count;
    *method_is_head = call->is_head;
    return on_head;
}

static void
build_request(http_call_t *call, const http_call_opts_t *opts)
{
    GString *head = g_string_sized_new(256);

    g_string_append_printf(head, "%s %s HTTP/1.1\r\nhost: %s:%u\r\n",
                           opts->method, opts->target, call->client->host,
                           call->client->port);
    for (size_t i = 0; i < opts->header_count; i++) {
        g_string_append_printf(head, "%s: %s\r\n", opts->headers[i].name,
                               opts->headers[i].value);
    }
    if (opts->fresh_connection) {
        g_string_append(head, "connection: close\r\n");
    }
    g_string_append_printf(head, "content-length: %zu\r\n\r\n",
                           opts->body_length);
    call->buffers[0] = h2o_iovec_init(head->str, head->len);
    call->head = g_string_free(head, FALSE);
    call->buffer_count = 1;
    if (opts->body_length > 0) {
        call->body = g_memdup2(opts->body, opts->body_length);
        call->buffers[1] = h2o_iovec_init(call->body, opts->body_length);
        call->buffer_count = 2;
    }
}

static void
connect_fresh(http_call_t *call)
{
    http_client_t *client = call->client;

    h2o_http1client_connect(&call->transport, call, &client->context,
                            h2o_iovec_init(client->host, strlen(client->host)),
                            client->port, 0, on_connect);
}

static void
connect_with_pool(http_call_t *call)
{
    call->pool = call->client->pool;
    call->pool->users++;
    h2o_http1client_connect_with_pool(&call->transport, call,
                                      &call->client->context,
                                      &call->pool->sockets, on_connect);
}

/* The pool hands out an idle connection at once, or opens a new one if those
   that it has were closed by the server. */
static void
connect_reused(http_call_t *call)
{
    if (!h2o_linklist_is_empty(&call->client->pool->sockets._shared.sockets)) {
        connect_with_pool(call);
        if (call->sent || call->finished) {
            return;
        }
        h2o_http1client_cancel(call->transport);
    }
    set_result(call, false, ERROR_CONNECT, "no connection is idle");
}

http_call_t *
http_client_send(http_client_t *client, const http_call_opts_t *opts,
                 http_response_cb cb, void *data)
{
    http_call_t *call = g_new0(http_call_t, 1);

    call->client = client;
    call->cb = cb;
    call->data = data;
    call->max_response = opts->max_response;
    call->left_ms = (int64_t)opts->timeout_ms;
    call->stall_ms = (int64_t)opts->stall_ms;
    call->is_head = strcmp(opts->method, "HEAD") == 0;
    call->headers = g_array_new(FALSE, FALSE, sizeof(http_header_t));
    call->strings = g_string_chunk_new(256);
    call->received = g_string_new(NULL);
    list_append(&client->calls, &call->link);
    loop_timer_init(&call->timer, client->loop, on_timer, call);
    build_request(call, opts);
    call->starting = true;
    if (opts->fresh_connection) {
        connect_fresh(call);
    }
    else if (opts->reused_connection) {
        connect_reused(call);
    }
    else {
        connect_with_pool(call);
    }
    call->starting = false;
    if (call->finished) {
        loop_timer_start(&call->timer, 0);
    }
    else {
        start_timer(call);
    }
    return call;
}

void
http_call_cancel(http_call_t *call)
{
    if (!call->finished) {
        h2o_http1client_cancel(call->transport);
    }
    call_free(call);
}

void
http_client_free(http_client_t *client)
{
    if (client == NULL) {
        return;
    }
    LIST_FOREACH_SAFE (call, &client->calls, http_call_t, link) {
        http_call_cancel(call);
    }
    /* All calls are freed, so nothing else uses the pool. */
    loop_timer_stop(&client->pool->dispose_timer);
    on_dispose(&client->pool->dispose_timer);
    h2o_timeout_dispose(loop_get_h2o(client->loop), &client->io_timeout);
    g_free(client);
}

void
http_client_drop_idle(http_client_t *client)
{
    pool_release(client->pool);
    client->pool = pool_new(client);
}

const char *
http_response_get_header(const http_response_t *response, const char *name)
{
    for (size_t i = 0; i < response->header_count; i++) {
        if (strcmp(response->headers[i].name, name) == 0) {
            return response->headers[i].value;
        }
    }
    return NULL;
}
