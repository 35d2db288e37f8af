#include "worker/worker_http.h"

#include <json-c/json.h>
#include <string.h>

#include "base/clock.h"
#include "base/http_client.h"
#include "base/list.h"
#include "worker/worker_status.h"

enum {
    MAX_RESPONSE_SIZE = 16 * 1024 * 1024,
    MAX_CONNECTIONS = 16,
};

typedef struct worker_http {
    worker_t super;
    uint64_t timeout_ms;
    http_client_t *client;
    list_t calls;
} worker_http_t;

typedef struct call {
    list_t link;
    worker_cb cb;
    worker_status_cb status_cb;
    void *data;
} call_t;

static const char *const action_names[] = {
    [WORKER_SUSPEND] = "suspend",   [WORKER_RESUME] = "resume",
    [WORKER_THROTTLE] = "throttle", [WORKER_STOP] = "stop",
    [WORKER_RELEASE] = "release",   [WORKER_FORGET] = "forget",
};

static call_t *
call_new(worker_http_t *worker, worker_cb cb, worker_status_cb status_cb,
         void *data)
{
    call_t *call = g_new0(call_t, 1);

    call->cb = cb;
    call->status_cb = status_cb;
    call->data = data;
    list_append(&worker->calls, &call->link);
    return call;
}

static void
call_free(call_t *call)
{
    list_remove(&call->link);
    g_free(call);
}

/* With status 4xx or 503 the worker has refused the call before any effect. */
static worker_outcome_t
get_outcome(const http_response_t *response)
{
    if (!response->ok) {
        return response->sent ? WORKER_UNKNOWN : WORKER_REFUSED;
    }
    if (response->status >= 200 && response->status < 300) {
        return WORKER_OK;
    }
    if (response->status < 500 || response->status == 503) {
        return WORKER_REFUSED;
    }
    return WORKER_UNKNOWN;
}

static void
on_answer(const http_response_t *response, void *data)
{
    call_t *call = data;
    worker_cb cb = call->cb;
    void *cb_data = call->data;
    worker_outcome_t outcome = get_outcome(response);
    g_autofree char *detail =
        response->ok ? g_strdup_printf("status %d: %.*s", response->status,
                                       (int)MIN(response->body_length, 200),
                                       response->body)
                     : g_strdup(response->detail);

    call_free(call);
    cb(outcome, response->body,
       outcome == WORKER_OK ? response->body_length : 0, detail, cb_data);
}

static void
post(worker_http_t *worker, const char *target, const char *body,
     size_t body_length, worker_cb cb, void *data)
{
    http_call_opts_t opts = {
        .method = "POST",
        .target = target,
        .body = body,
        .body_length = body_length,
        .timeout_ms = worker->timeout_ms,
        .max_response = MAX_RESPONSE_SIZE,
        .fresh_connection = true,
    };

    http_client_send(worker->client, &opts, on_answer,
                     call_new(worker, cb, NULL, data));
}

static void
on_status(const http_response_t *response, void *data)
{
    call_t *call = data;
    worker_status_cb cb = call->status_cb;
    void *cb_data = call->data;
    worker_status_t status = {.detail = "malformed status"};
    struct json_object *root = NULL;

    call_free(call);
    if (!response->ok) {
        status.detail = response->detail;
    }
    else if (response->status != 200) {
        status.detail = "the worker did not return its status";
    }
    else {
        root = json_tokener_parse(response->body);
        if (root == NULL || !worker_status_parse(root, &status)) {
            status.detail = "malformed status";
        }
    }
    cb(&status, cb_data);
    worker_status_clear(&status);
    json_object_put(root);
}

static void
watch(worker_t *super, uint64_t version, uint64_t wait_ms, worker_status_cb cb,
      void *data)
{
    worker_http_t *worker = (worker_http_t *)super;
    g_autofree char *target = g_strdup_printf(
        "/status?version=%" G_GUINT64_FORMAT "&wait_ms=%" G_GUINT64_FORMAT,
        version, wait_ms);
    http_call_opts_t opts = {
        .method = "GET",
        .target = target,
        .timeout_ms = wait_ms + worker->timeout_ms,
        .max_response = MAX_RESPONSE_SIZE,
    };

    http_client_send(worker->client, &opts, on_status,
                     call_new(worker, NULL, cb, data));
}

static void
renew(worker_t *super, struct timespec until, worker_cb cb, void *data)
{
    g_autofree char *body = g_strdup_printf(
        "{\"until_ms\": %" G_GUINT64_FORMAT "}", timespec_to_ms(until));

    post((worker_http_t *)super, "/lease", body, strlen(body), cb, data);
}

static void
add_bytes(struct json_object *object, const char *key, const void *bytes,
          size_t length)
{
    json_object_object_add(
        object, key,
        json_object_new_string_len(bytes ? bytes : "", (int)length));
}

static void
start(worker_t *super, const worker_start_t *task, worker_cb cb, void *data)
{
    struct json_object *body = json_object_new_object();
    struct json_object *spec = json_tokener_parse(task->spec);
    const char *text;

    json_object_object_add(body, "job_id",
                           json_object_new_string(task->job_id));
    json_object_object_add(body, "attempt",
                           json_object_new_int64(task->attempt));
    json_object_object_add(body, "cpu_milli",
                           json_object_new_int64(task->cpu_milli));
    json_object_object_add(body, "memory_mb",
                           json_object_new_uint64(task->memory_mb));
    json_object_object_add(body, "accelerators",
                           json_object_new_int64(task->accelerators));
    json_object_object_add(body, "spec", spec);
    add_bytes(body, "checkpoint", task->checkpoint, task->checkpoint_length);
    text = json_object_to_json_string_ext(body, JSON_C_TO_STRING_PLAIN);
    post((worker_http_t *)super, "/tasks", text, strlen(text), cb, data);
    json_object_put(body);
}

static void
act(worker_t *super, const char *job_id, uint32_t attempt,
    worker_action_t action, uint32_t value, worker_cb cb, void *data)
{
    g_autofree char *id = g_uri_escape_string(job_id, NULL, FALSE);
    g_autoptr(GString) target = g_string_new(NULL);

    g_string_printf(target, "/tasks/%s/%u/%s", id, attempt,
                    action_names[action]);
    if (action == WORKER_THROTTLE) {
        g_string_append_printf(target, "?value=%u", value);
    }
    post((worker_http_t *)super, target->str, "", 0, cb, data);
}

static void
worker_http_free(worker_t *super)
{
    worker_http_t *worker = (worker_http_t *)super;

    http_client_free(worker->client);
    LIST_FOREACH_SAFE (call, &worker->calls, call_t, link) {
        call_free(call);
    }
    g_free(worker);
}

worker_t *
worker_http_new(const worker_http_opts_t *opts, GError **error)
{
    static const worker_vtbl_t vtbl = {
        .watch = watch,
        .renew = renew,
        .start = start,
        .act = act,
        .free = worker_http_free,
    };
    http_client_opts_t client_opts = {
        .loop = opts->loop,
        .address = opts->address,
        .max_connections = MAX_CONNECTIONS,
    };
    worker_http_t *worker = g_new0(worker_http_t, 1);

    worker->super.vtbl = &vtbl;
    worker->timeout_ms = opts->timeout_ms;
    list_init(&worker->calls);
    worker->client = http_client_new(&client_opts, error);
    if (worker->client == NULL) {
        g_free(worker);
        return NULL;
    }
    return &worker->super;
}
