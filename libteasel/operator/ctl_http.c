#include "operator/ctl_http.h"

#include <string.h>

enum {
    MAX_RESPONSE_BYTES = 64 * 1024 * 1024, /* job list of a large cell */
};

static void
on_response(const http_response_t *response, void *data)
{
    ctl_fetch_t *fetch = data;

    fetch->ok = response->ok;
    fetch->sent = response->sent;
    fetch->kind = response->kind;
    fetch->status = response->status;
    fetch->text = response->ok
                      ? g_strndup(response->body, response->body_length)
                      : g_strdup(response->detail);
    (*fetch->pending)--;
}

static const char *
get_author(const ctl_t *ctl)
{
    return ctl->flags.author != NULL ? ctl->flags.author
                                     : ctl->settings.author;
}

static bool
start(ctl_t *ctl, ctl_fetch_t *fetch, int64_t timeout_ms)
{
    const http_header_t headers[] = {{"content-type", "application/json"},
                                     {"teasel-author", get_author(ctl)}};
    http_client_opts_t client_opts = {
        .loop = ctl->loop,
        .address = fetch->address,
        .max_connections = 1,
    };
    http_call_opts_t opts = {
        .method = fetch->method,
        .target = fetch->target,
        .headers = headers,
        .header_count = headers[1].value != NULL ? 2 : 1,
        .body = fetch->body,
        .body_length = fetch->body != NULL ? strlen(fetch->body) : 0,
        .timeout_ms = (uint64_t)timeout_ms,
        .max_response = MAX_RESPONSE_BYTES,
    };
    g_autoptr(GError) error = NULL;

    fetch->client = http_client_new(&client_opts, &error);
    if (fetch->client == NULL) {
        fetch->kind = ERROR_CONNECT;
        fetch->text = g_strdup(error->message);
        return false;
    }
    http_client_send(fetch->client, &opts, on_response, fetch);
    return true;
}

void
ctl_fetch_all(ctl_t *ctl, ctl_fetch_t *fetches, size_t count,
              int64_t timeout_ms)
{
    unsigned pending = 0;

    for (size_t i = 0; i < count; i++) {
        fetches[i].pending = &pending;
        if (start(ctl, &fetches[i], timeout_ms)) {
            pending++;
        }
    }
    while (pending > 0) {
        loop_run_once(ctl->loop, 1000);
    }
    for (size_t i = 0; i < count; i++) {
        fetches[i].pending = NULL;
        if (fetches[i].client != NULL) {
            http_client_free(fetches[i].client);
            fetches[i].client = NULL;
        }
    }
}

void
ctl_fetch_clear(ctl_fetch_t *fetch)
{
    g_clear_pointer(&fetch->text, g_free);
}

/* The "type" of a problem document ends with the name of the error kind,
   after the last "/" or ":". */
static bool
find_kind(const char *type, error_kind_t *kind)
{
    const char *slash = strrchr(type, '/');
    const char *colon = strrchr(type, ':');
    const char *name = MAX(slash != NULL ? slash + 1 : type,
                           colon != NULL ? colon + 1 : type);

    for (error_kind_t i = 0; i < ERROR_KIND_COUNT; i++) {
        if (strcmp(error_get_info(i)->name, name) == 0) {
            *kind = i;
            return true;
        }
    }
    return false;
}

static void
set_problem_error(const ctl_fetch_t *fetch, struct json_object *answer,
                  GError **error)
{
    const char *detail = ctl_json_get_string(answer, "detail");
    error_kind_t kind = fetch->status < 500 ? ERROR_INVALID : ERROR_INTERNAL;

    if (fetch->status == 404) {
        kind = ERROR_NOT_FOUND;
    }
    find_kind(ctl_json_get_string(answer, "type"), &kind);
    g_set_error(error, TEASEL_ERROR, (gint)kind, "entry %s: %s %s: %d %s",
                fetch->address, fetch->method, fetch->target, fetch->status,
                detail[0] != '\0' ? detail : g_strchomp(fetch->text));
}

static struct json_object *
parse_response(ctl_fetch_t *fetch, GError **error)
{
    struct json_object *answer = json_tokener_parse(fetch->text);

    if (fetch->status >= 200 && fetch->status < 300) {
        return answer != NULL ? answer : json_object_new_object();
    }
    set_problem_error(fetch, answer, error);
    json_object_put(answer);
    return NULL;
}

static bool
is_get(const ctl_fetch_t *fetch)
{
    return strcmp(fetch->method, "GET") == 0;
}

static void
set_unreachable_error(const ctl_fetch_t *fetch, GError **error)
{
    g_clear_error(error);
    g_set_error(error, TEASEL_ERROR, (gint)fetch->kind, "entry %s: %s%s",
                fetch->address,
                is_get(fetch) ? "no answer: "
                : fetch->sent ? "outcome unknown: "
                              : "not reached: ",
                fetch->text != NULL ? fetch->text : "");
}

struct json_object *
ctl_fetch_any(ctl_t *ctl, const char *method, const char *target,
              const char *body, int *status, GError **error)
{
    struct json_object *answer = NULL;
    bool finished = false;

    if (ctl->settings.entries[0] == NULL) {
        g_set_error(error, TEASEL_ERROR, ERROR_INVALID,
                    "the address of an entry is missing; give --entry ADDRESS "
                    "or key \"entries\" in the settings");
        return NULL;
    }
    for (char **entry = ctl->settings.entries; *entry && !finished; entry++) {
        ctl_fetch_t fetch = {.address = *entry,
                             .method = method,
                             .target = target,
                             .body = body};

        ctl_fetch_all(ctl, &fetch, 1, ctl->settings.timeout_ms);
        finished = fetch.ok || (fetch.sent && !is_get(&fetch));
        if (fetch.ok) {
            g_clear_error(error);
            *status = fetch.status;
            answer = parse_response(&fetch, error);
        }
        else {
            set_unreachable_error(&fetch, error);
        }
        ctl_fetch_clear(&fetch);
    }
    return answer;
}
