#include "executor/executor.h"

#include <string.h>

#include "base/http_client.h"
#include "base/list.h"

struct executor {
    executor_opts_t opts;
    http_client_t *client;
    ledger_amount_t idle_connections;
    list_t calls;
};

typedef struct executor_call {
    list_t link;
    executor_t *executor;
    struct timespec started;
    executor_cb cb;
    void *data;
} executor_call_t;

static const ledger_amount_t call_amount = {
    .units = {[LEDGER_SLOTS] = 1, [LEDGER_CONNECTIONS] = 1},
};

/* Header fields that belong to one connection and are not forwarded. */
static const char *const connection_headers[] = {
    "connection",        "keep-alive", "proxy-connection",
    "transfer-encoding", "te",         "trailer",
    "upgrade",           "host",       "content-length",
};

static bool
is_connection_header(const char *name)
{
    for (size_t i = 0; i < G_N_ELEMENTS(connection_headers); i++) {
        if (g_ascii_strcasecmp(name, connection_headers[i]) == 0) {
            return true;
        }
    }
    return false;
}

/* Returns the number of connections that may be idle: at most one per slot,
   and so few that a fresh connection per slot still fits into the limit. */
static uint64_t
get_idle_connections(const ledger_t *ledger)
{
    uint64_t slots = ledger->capacity.units[LEDGER_SLOTS];
    uint64_t connections = ledger->capacity.units[LEDGER_CONNECTIONS];

    return connections > slots ? MIN(slots, connections - slots) : 0;
}

executor_t *
executor_new(const executor_opts_t *opts, GError **error)
{
    executor_t *executor = g_new0(executor_t, 1);
    http_client_opts_t client_opts = {
        .loop = opts->loop,
        .address = opts->address,
        .max_connections = get_idle_connections(opts->ledger),
    };

    executor->opts = *opts;
    executor->opts.address = NULL;
    list_init(&executor->calls);
    executor->idle_connections.units[LEDGER_CONNECTIONS] =
        client_opts.max_connections;
    executor->client = http_client_new(&client_opts, error);
    if (executor->client == NULL ||
        !ledger_reserve(opts->ledger, &executor->idle_connections, NULL)) {
        http_client_free(executor->client);
        g_free(executor);
        return NULL;
    }
    return executor;
}

static void
call_free(executor_call_t *call)
{
    ledger_release(call->executor->opts.ledger, &call_amount);
    list_remove(&call->link);
    g_free(call);
}

void
executor_free(executor_t *executor)
{
    if (executor == NULL) {
        return;
    }
    http_client_free(executor->client);
    LIST_FOREACH_SAFE (call, &executor->calls, executor_call_t, link) {
        call_free(call);
    }
    ledger_release(executor->opts.ledger, &executor->idle_connections);
    g_free(executor);
}

static executor_outcome_t
get_outcome(const http_response_t *response)
{
    if (response->ok) {
        return EXECUTOR_ANSWERED;
    }
    return response->sent ? EXECUTOR_UNKNOWN : EXECUTOR_NOT_RUN;
}

static void
on_response(const http_response_t *response, void *data)
{
    executor_call_t *call = data;
    executor_cb cb = call->cb;
    void *cb_data = call->data;
    struct timespec now = clock_get_monotonic(call->executor->opts.clock);
    executor_result_t result = {
        .outcome = get_outcome(response),
        .kind = response->kind,
        .detail = response->detail,
        .status = response->status,
        .headers = response->headers,
        .header_count = response->header_count,
        .body = response->body,
        .body_length = response->body_length,
        .service_us = (uint64_t)timespec_diff_us(now, call->started),
    };

    call_free(call);
    cb(&result, cb_data);
}

static size_t
copy_headers(http_header_t *out, const executor_request_t *request)
{
    size_t count = 0;

    for (size_t i = 0; i < request->header_count; i++) {
        if (!is_connection_header(request->headers[i].name)) {
            out[count++] = request->headers[i];
        }
    }
    return count;
}

bool
executor_send(executor_t *executor, const executor_request_t *request,
              executor_cb cb, void *data, ledger_kind_t *missing)
{
    g_autofree http_header_t *headers = NULL;
    http_call_opts_t opts = {
        .method = request->method,
        .target = request->target,
        .body = request->body,
        .body_length = request->body_length,
        .timeout_ms = executor->opts.timeout_ms,
        .max_response = executor->opts.max_response,
        .fresh_connection =
            !request->idempotent ||
            executor->idle_connections.units[LEDGER_CONNECTIONS] == 0,
    };
    executor_call_t *call;

    if (!ledger_reserve(executor->opts.ledger, &call_amount, missing)) {
        return false;
    }
    call = g_new0(executor_call_t, 1);
    call->executor = executor;
    call->started = clock_get_monotonic(executor->opts.clock);
    call->cb = cb;
    call->data = data;
    list_append(&executor->calls, &call->link);
    headers = g_new(http_header_t, request->header_count + 1);
    opts.headers = headers;
    opts.header_count = copy_headers(headers, request);
    http_client_send(executor->client, &opts, on_response, call);
    return true;
}
