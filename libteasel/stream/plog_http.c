#include "stream/plog_http.h"

#include <json-c/json.h>
#include <string.h>

#include "base/http_client.h"
#include "base/list.h"

enum {
    MAX_CONNECTIONS = 16,
    MAX_APPEND_RESPONSE = 64 * 1024,
    /* The log returns up to 1 MiB of records, or one larger record. */
    MAX_READ_RESPONSE = 20 * 1024 * 1024,
    RECORD_HEADER_SIZE = 12,
};

typedef struct plog_http {
    plog_t base;
    uint64_t append_timeout_ms;
    http_client_t *client;
    list_t operations;
} plog_http_t;

typedef struct operation {
    list_t link;
    http_call_t *call;
    plog_append_cb append_cb;
    plog_read_cb read_cb;
    void *cb_data;
} operation_t;

static operation_t *
operation_new(plog_http_t *http, void *cb_data)
{
    operation_t *operation = g_new0(operation_t, 1);

    operation->cb_data = cb_data;
    list_append(&http->operations, &operation->link);
    return operation;
}

static void
operation_free(operation_t *operation)
{
    list_remove(&operation->link);
    g_free(operation);
}

static plog_outcome_t
classify_append(const http_response_t *response)
{
    if (!response->ok) {
        return response->sent ? PLOG_UNKNOWN : PLOG_REFUSED;
    }
    if (response->status == 200) {
        return PLOG_ACCEPTED;
    }
    if (response->status == 503 || response->status / 100 == 4) {
        return PLOG_REFUSED;
    }
    return PLOG_UNKNOWN;
}

static uint64_t
parse_offset(const http_response_t *response)
{
    json_object *body = json_tokener_parse(response->body);
    json_object *offset = NULL;
    int64_t value = 0;

    if (json_object_object_get_ex(body, "offset", &offset)) {
        value = json_object_get_int64(offset);
    }
    json_object_put(body);
    return value > 0 ? (uint64_t)value : 0;
}

static void
on_append_response(const http_response_t *response, void *data)
{
    operation_t *operation = data;
    plog_outcome_t outcome = classify_append(response);
    g_autofree char *detail = NULL;
    uint64_t offset = 0;

    if (outcome == PLOG_ACCEPTED) {
        offset = parse_offset(response);
        if (offset == 0) {
            outcome = PLOG_UNKNOWN;
            detail = g_strdup("the response of the log has no valid offset");
        }
    }
    else if (response->ok) {
        detail = g_strdup_printf("the log answered %d", response->status);
    }
    else {
        detail = g_strdup(response->detail);
    }
    operation->append_cb(outcome, offset, detail, operation->cb_data);
    operation_free(operation);
}

static void
append(plog_t *log, const char *stream, const uint8_t *data, size_t length,
       plog_append_cb cb, void *cb_data)
{
    plog_http_t *http = (plog_http_t *)log;
    operation_t *operation = operation_new(http, cb_data);
    g_autofree char *target = g_strdup_printf("/streams/%s/records", stream);
    http_call_opts_t opts = {
        .method = "POST",
        .target = target,
        .body = data,
        .body_length = length,
        .timeout_ms = http->append_timeout_ms,
        .max_response = MAX_APPEND_RESPONSE,
    };

    operation->append_cb = cb;
    operation->call =
        http_client_send(http->client, &opts, on_append_response, operation);
}

static uint64_t
read_big_endian(const uint8_t *data, size_t bytes)
{
    uint64_t value = 0;

    for (size_t i = 0; i < bytes; i++) {
        value = value << 8 | data[i];
    }
    return value;
}

/* Returns false if the body ends inside a record. */
static bool
parse_records(const http_response_t *response, GArray *records)
{
    const uint8_t *data = (const uint8_t *)response->body;
    size_t left = response->body_length;

    while (left >= RECORD_HEADER_SIZE) {
        plog_record_t record = {
            .offset = read_big_endian(data, 8),
            .length = read_big_endian(data + 8, 4),
            .data = data + RECORD_HEADER_SIZE,
        };

        if (left - RECORD_HEADER_SIZE < record.length) {
            return false;
        }
        g_array_append_val(records, record);
        data += RECORD_HEADER_SIZE + record.length;
        left -= RECORD_HEADER_SIZE + record.length;
    }
    return left == 0;
}

static bool
parse_position(const http_response_t *response, const char *name,
               uint64_t *out)
{
    const char *text = http_response_get_header(response, name);

    return text != NULL && g_ascii_string_to_unsigned(text, 10, 0, UINT64_MAX,
                                                      (guint64 *)out, NULL);
}

static void
parse_read(const http_response_t *response, GArray *records, plog_read_t *out)
{
    if (!response->ok) {
        out->detail = response->detail;
        return;
    }
    if (response->status != 200 && response->status != 410) {
        out->detail = "the log returned an HTTP status other than 200 and 410";
        return;
    }
    if (!parse_position(response, "log-first", &out->first) ||
        !parse_position(response, "log-next", &out->next)) {
        out->detail =
            "the response of the log lacks a valid Log-First or Log-Next";
        return;
    }
    if (response->status == 410) {
        out->ok = true;
        out->trimmed = true;
        return;
    }
    if (!parse_records(response, records)) {
        out->detail = "the response of the log ends inside a record";
        return;
    }
    out->ok = true;
    out->records = (const plog_record_t *)records->data;
    out->count = records->len;
}

static void
on_read_response(const http_response_t *response, void *data)
{
    operation_t *operation = data;
    GArray *records = g_array_new(FALSE, FALSE, sizeof(plog_record_t));
    plog_read_t result = {.ok = false};

    parse_read(response, records, &result);
    operation->read_cb(&result, operation->cb_data);
    g_array_free(records, TRUE);
    operation_free(operation);
}

static void *
read_records(plog_t *log, const char *stream, uint64_t from, uint64_t wait_ms,
             plog_read_cb cb, void *cb_data)
{
    plog_http_t *http = (plog_http_t *)log;
    operation_t *operation = operation_new(http, cb_data);
    g_autofree char *target =
        g_strdup_printf("/streams/%s/records?from=%" G_GUINT64_FORMAT
                        "&wait_ms=%" G_GUINT64_FORMAT,
                        stream, (guint64)from, (guint64)wait_ms);
    http_call_opts_t opts = {
        .method = "GET",
        .target = target,
        .timeout_ms = wait_ms + http->append_timeout_ms,
        .max_response = MAX_READ_RESPONSE,
    };

    operation->read_cb = cb;
    operation->call =
        http_client_send(http->client, &opts, on_read_response, operation);
    return operation;
}

static void
cancel_read(plog_t *log, void *read)
{
    operation_t *operation = read;

    (void)log;
    http_call_cancel(operation->call);
    operation_free(operation);
}

static void
plog_http_free(plog_t *log)
{
    plog_http_t *http = (plog_http_t *)log;

    http_client_free(http->client);
    LIST_FOREACH_SAFE (operation, &http->operations, operation_t, link) {
        if (operation->append_cb != NULL) {
            operation->append_cb(PLOG_UNKNOWN, 0, "the log client was closed",
                                 operation->cb_data);
        }
        operation_free(operation);
    }
    g_free(http);
}

static const plog_vtbl_t vtbl = {
    .append = append,
    .read = read_records,
    .cancel = cancel_read,
    .free = plog_http_free,
};

plog_t *
plog_http_new(const plog_http_opts_t *opts, GError **error)
{
    http_client_opts_t client_opts = {
        .loop = opts->loop,
        .address = opts->address,
        .max_connections = MAX_CONNECTIONS,
    };
    http_client_t *client = http_client_new(&client_opts, error);
    plog_http_t *http;

    if (client == NULL) {
        return NULL;
    }
    http = g_new0(plog_http_t, 1);
    http->base.vtbl = &vtbl;
    http->append_timeout_ms = opts->append_timeout_ms;
    http->client = client;
    list_init(&http->operations);
    return &http->base;
}
