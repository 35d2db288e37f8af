#include "entry/entry_service.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

enum {
    REQUEST_ID_SIZE = 96,
};

struct entry_service {
    entry_service_opts_t opts;
    uint64_t last_id;
};

entry_service_t *
entry_service_new(const entry_service_opts_t *opts)
{
    entry_service_t *service = g_new0(entry_service_t, 1);

    service->opts = *opts;
    return service;
}

void
entry_service_free(entry_service_t *service)
{
    g_free(service);
}

static bool
is_idempotent(const service_call_t *call, const config_service_t *config)
{
    const char *method = call->exchange->method;

    if (call->idempotent != SERVICE_IDEMPOTENT_UNSET) {
        return call->idempotent == SERVICE_IDEMPOTENT_YES;
    }
    if (config->idempotent != CONFIG_IDEMPOTENT_BY_METHOD) {
        return config->idempotent == CONFIG_IDEMPOTENT_YES;
    }
    return strcmp(method, "POST") != 0 && strcmp(method, "PATCH") != 0;
}

static uint32_t
get_timeout_ms(const service_call_t *call, const config_service_t *config)
{
    int64_t timeout_ms =
        call->timeout_ms != 0 ? call->timeout_ms : config->default_deadline_ms;

    return (uint32_t)MIN(timeout_ms, config->max_deadline_ms);
}

/* Equal for all repetitions of a request, which share an idempotency key. */
static uint64_t
hash_request(const service_call_t *call)
{
    const http_exchange_t *exchange = call->exchange;
    XXH64_hash_t hash =
        XXH64(exchange->method, strlen(exchange->method) + 1, 0);

    hash = XXH64(call->target, strlen(call->target) + 1, hash);
    return XXH64(exchange->body, exchange->body_length, hash);
}

static void
on_result(const forward_result_t *result, void *data)
{
    service_call_t *call = data;

    if (result->outcome == ATTEMPT_ANSWERED) {
        service_call_reply(call, result->status, result->headers,
                           result->header_count, result->body,
                           result->body_length);
    }
    else {
        problem_t problem = {
            .kind = result->kind,
            .maybe_run = result->outcome == ATTEMPT_UNKNOWN,
            .detail = result->detail,
        };

        service_call_fail(call, &problem);
    }
}

/* Adds an id by which executors can log the request; all attempts have the
   same id. An id that the caller set is kept. */
static void
add_request_id(entry_service_t *service, service_call_t *call,
               char id[REQUEST_ID_SIZE])
{
    http_header_t header = {"teasel-request-id", id};

    if (http_exchange_get_header(call->exchange, header.name) != NULL) {
        return;
    }
    snprintf(id, REQUEST_ID_SIZE, "%.40s-%" PRIx64 "-%" PRIu64,
             service->opts.entry_id, service->opts.incarnation,
             ++service->last_id);
    service_call_add_header(call, &header);
}

static bool
refuse_over_limit(const entry_service_t *service, service_call_t *call)
{
    size_t length = call->exchange->body_length;
    g_autofree char *detail = NULL;
    problem_t problem = {.kind = ERROR_OVERLOADED};

    if (length > service->opts.max_body) {
        problem.kind = ERROR_TOO_LARGE;
        detail = g_strdup_printf(
            "the request body has %zu bytes; allowed: at most %zu", length,
            service->opts.max_body);
    }
    else if (forwarder_get_pending(service->opts.forwarder) >=
             service->opts.max_in_flight) {
        detail =
            g_strdup_printf("the limit of %zu requests in flight is reached",
                            service->opts.max_in_flight);
    }
    else {
        return false;
    }
    problem.detail = detail;
    service_call_fail(call, &problem);
    return true;
}

void
entry_service_submit(service_call_t *call, void *data)
{
    entry_service_t *service = data;
    const config_service_t *config =
        config_reader_get_service(service->opts.config, call->service);
    char id[REQUEST_ID_SIZE];
    forward_request_t request = {
        .service = call->service,
        .method = call->exchange->method,
        .target = call->target,
        .body = call->exchange->body,
        .body_length = call->exchange->body_length,
        .idempotent = is_idempotent(call, config),
        .timeout_ms = get_timeout_ms(call, config),
    };

    if (refuse_over_limit(service, call)) {
        return;
    }
    add_request_id(service, call, id);
    request.headers = call->headers;
    request.header_count = call->header_count;
    if (call->key != NULL) {
        key_guard_submit(service->opts.key_guard, call->key,
                         hash_request(call), &request, on_result, call);
        return;
    }
    forwarder_submit(service->opts.forwarder, &request, on_result, call);
}
