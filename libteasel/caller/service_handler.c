#include "caller/service_handler.h"

#include <string.h>
#include <strings.h>

enum {
    /* Limits the size of the records of stream "keys". */
    MAX_KEY_LENGTH = 255,
    MAX_TIMEOUT_MS = 3600 * 1000,
};

static const char prefix[] = "/svc/";

/* Hop-by-hop headers (RFC 9110, section 7.6.1), and headers that the HTTP
   library generates. */
static const char *const hop_by_hop_headers[] = {
    "connection", "content-length",    "expect",
    "host",       "keep-alive",        "proxy-authenticate",
    "te",         "proxy-connection",  "proxy-authorization",
    "trailer",    "transfer-encoding", "upgrade",
};

/* Headers that the HTTP library generates in an answer. */
static const char *const server_headers[] = {"date", "server"};

/* Returns whether the value of a Connection header contains a name. */
static bool
list_contains(const char *list, const char *name)
{
    size_t length = strlen(name);

    while (list != NULL && *list != '\0') {
        size_t item = strcspn(list, ", \t");

        if (item == length && strncasecmp(list, name, length) == 0) {
            return true;
        }
        list += item;
        list += strspn(list, ", \t");
    }
    return false;
}

static bool
is_hop_by_hop_header(const char *name, const char *connection)
{
    for (size_t i = 0; i < G_N_ELEMENTS(hop_by_hop_headers); i++) {
        if (strcasecmp(name, hop_by_hop_headers[i]) == 0) {
            return true;
        }
    }
    return list_contains(connection, name);
}

static bool
is_server_header(const char *name)
{
    for (size_t i = 0; i < G_N_ELEMENTS(server_headers); i++) {
        if (strcasecmp(name, server_headers[i]) == 0) {
            return true;
        }
    }
    return false;
}

static void
copy_headers(service_call_t *call)
{
    const http_exchange_t *exchange = call->exchange;
    const char *connection = http_exchange_get_header(exchange, "connection");

    call->headers = g_new(http_header_t, exchange->header_count + 1);
    for (size_t i = 0; i < exchange->header_count; i++) {
        if (!is_hop_by_hop_header(exchange->headers[i].name, connection)) {
            call->headers[call->header_count++] = exchange->headers[i];
        }
    }
}

static bool
parse_path(service_call_t *call)
{
    const char *name = call->exchange->target + strlen(prefix);
    size_t length = strcspn(name, "/?");

    call->service = g_strndup(name, length);
    call->target = name[length] == '/' ? name + length : "/";
    return length > 0;
}

static bool
parse_timeout(service_call_t *call)
{
    const char *text =
        http_exchange_get_header(call->exchange, "teasel-timeout-ms");
    guint64 number;

    if (text == NULL) {
        return true;
    }
    if (!g_ascii_string_to_unsigned(text, 10, 1, MAX_TIMEOUT_MS, &number,
                                    NULL)) {
        return false;
    }
    call->timeout_ms = (uint32_t)number;
    return true;
}

static bool
parse_idempotent(service_call_t *call)
{
    const char *text =
        http_exchange_get_header(call->exchange, "teasel-idempotent");

    if (text == NULL) {
        return true;
    }
    if (strcmp(text, "yes") == 0) {
        call->idempotent = SERVICE_IDEMPOTENT_YES;
        return true;
    }
    call->idempotent = SERVICE_IDEMPOTENT_NO;
    return strcmp(text, "no") == 0;
}

static bool
parse_key(service_call_t *call)
{
    size_t length;

    call->key = http_exchange_get_header(call->exchange, "idempotency-key");
    if (call->key == NULL) {
        return true;
    }
    length = strlen(call->key);
    return length > 0 && length <= MAX_KEY_LENGTH;
}

/**
 * struct parse_step - parser of one part of a request
 * @header: header that is parsed, or NULL for the path
 * @allowed: valid values, reported to the caller if the part is invalid
 */
typedef struct parse_step {
    bool (*parse)(service_call_t *call);
    const char *header;
    const char *allowed;
} parse_step_t;

static const parse_step_t parse_steps[] = {
    {parse_path, NULL, "/svc/NAME/..."},
    {parse_timeout, "teasel-timeout-ms", "an integer from 1 to 3600000"},
    {parse_idempotent, "teasel-idempotent", "yes or no"},
    {parse_key, "idempotency-key", "1 to 255 bytes"},
};

static void
call_free(service_call_t *call)
{
    g_free(call->headers);
    g_free(call->added_value);
    g_free(call->service);
    g_free(call);
}

static void
refuse(service_call_t *call, const parse_step_t *step)
{
    const http_exchange_t *exchange = call->exchange;
    const char *found = step->header == NULL
                            ? exchange->target
                            : http_exchange_get_header(exchange, step->header);
    g_autofree char *detail = g_strdup_printf(
        "%s: found \"%s\"; allowed: %s", step->header ? step->header : "path",
        found, step->allowed);
    problem_t problem = {ERROR_INVALID, false, detail};

    service_call_fail(call, &problem);
}

void
service_handler_handle(http_exchange_t *exchange, service_submit_fn submit,
                       void *data)
{
    service_call_t *call = g_new0(service_call_t, 1);

    call->exchange = exchange;
    for (size_t i = 0; i < G_N_ELEMENTS(parse_steps); i++) {
        if (!parse_steps[i].parse(call)) {
            refuse(call, &parse_steps[i]);
            return;
        }
    }
    copy_headers(call);
    submit(call, data);
}

void
service_call_add_header(service_call_t *call, const http_header_t *header)
{
    /* copy_headers() allocated space for one more header. */
    call->added_value = g_strdup(header->value);
    call->headers[call->header_count].name = header->name;
    call->headers[call->header_count].value = call->added_value;
    call->header_count++;
}

static const char *
find_connection_header(Teasel__Header *const *headers, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        if (strcasecmp(headers[i]->name, "connection") == 0) {
            return headers[i]->value;
        }
    }
    return NULL;
}

void
service_call_reply(service_call_t *call, int status,
                   Teasel__Header *const *headers, size_t header_count,
                   const void *body, size_t body_length)
{
    g_autofree http_header_t *kept = g_new(http_header_t, header_count + 1);
    const char *connection = find_connection_header(headers, header_count);
    size_t count = 0;

    for (size_t i = 0; i < header_count; i++) {
        if (!is_hop_by_hop_header(headers[i]->name, connection) &&
            !is_server_header(headers[i]->name)) {
            kept[count].name = headers[i]->name;
            kept[count].value = headers[i]->value;
            count++;
        }
    }
    http_exchange_reply(call->exchange, status, kept, count, body,
                        body_length);
    call_free(call);
}

void
service_call_fail(service_call_t *call, const problem_t *problem)
{
    problem_reply(call->exchange, problem);
    call_free(call);
}
