#include "standin.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Reply that is sent when the timer expires. */
typedef struct delayed {
    loop_timer_t timer;
    http_exchange_t *exchange;
    int status;
    char *body;
} delayed_t;

loop_t *standin_loop;

int64_t
standin_now_ms(void)
{
    return (int64_t)timespec_to_ms(clock_get_monotonic(clock_system()));
}

int64_t
standin_wall_ms(void)
{
    return (int64_t)timespec_to_ms(clock_get_wall(clock_system()));
}

int64_t
standin_get_int(json_object *object, const char *key, int64_t fallback)
{
    json_object *value = NULL;

    if (!json_object_object_get_ex(object, key, &value)) {
        return fallback;
    }
    return json_object_get_int64(value);
}

const char *
standin_get_string(json_object *object, const char *key, const char *fallback)
{
    json_object *value = NULL;

    if (!json_object_object_get_ex(object, key, &value)) {
        return fallback;
    }
    return json_object_get_string(value);
}

void
standin_add_int(json_object *object, const char *key, int64_t value)
{
    json_object_object_add(object, key, json_object_new_int64(value));
}

void
standin_add_string(json_object *object, const char *key, const char *value)
{
    json_object_object_add(object, key, json_object_new_string(value));
}

double
standin_get_query(const http_exchange_t *exchange, const char *key,
                  double fallback)
{
    const char *query = strchr(exchange->target, '?');
    size_t length = strlen(key);

    while (query != NULL) {
        query++;
        if (strncmp(query, key, length) == 0 && query[length] == '=') {
            return g_ascii_strtod(query + length + 1, NULL);
        }
        query = strchr(query, '&');
    }
    return fallback;
}

bool
standin_consume_fault(int64_t *counter)
{
    if (*counter <= 0) {
        return false;
    }
    (*counter)--;
    return true;
}

void
standin_reply_json(http_exchange_t *exchange, int status, json_object *body)
{
    http_exchange_reply_text(exchange, status, "application/json",
                             json_object_to_json_string(body));
    json_object_put(body);
}

void
standin_reply_error(http_exchange_t *exchange, int status, const char *text)
{
    http_exchange_reply_text(exchange, status, "text/plain", text);
}

static void
on_delayed(loop_timer_t *timer)
{
    delayed_t *delayed = timer->data;

    http_exchange_reply_text(delayed->exchange, delayed->status,
                             "application/json", delayed->body);
    g_free(delayed->body);
    g_free(delayed);
}

void
standin_reply_later(http_exchange_t *exchange, int64_t ms, int status,
                    json_object *body)
{
    delayed_t *delayed;

    if (ms <= 0) {
        standin_reply_json(exchange, status, body);
        return;
    }
    delayed = g_new0(delayed_t, 1);
    delayed->exchange = exchange;
    delayed->status = status;
    delayed->body = g_strdup(json_object_to_json_string(body));
    json_object_put(body);
    loop_timer_init(&delayed->timer, standin_loop, on_delayed, delayed);
    loop_timer_start(&delayed->timer, (uint64_t)ms);
}

json_object *
standin_parse_body(http_exchange_t *exchange)
{
    json_object *body = json_tokener_parse(exchange->body);

    if (!json_object_is_type(body, json_type_object)) {
        json_object_put(body);
        standin_reply_error(exchange, 400,
                            "request body is not a JSON object\n");
        return NULL;
    }
    return body;
}

void
standin_set_faults(json_object *body, const standin_fault_t *table,
                   void *faults)
{
    for (; table->key != NULL; table++) {
        int64_t *field = (int64_t *)((char *)faults + table->offset);

        *field = standin_get_int(body, table->key, *field);
    }
}

void
standin_parse_options(int argc, char **argv, const GOptionEntry *entries)
{
    g_autoptr(GOptionContext) context = g_option_context_new(NULL);
    g_autoptr(GError) error = NULL;

    g_option_context_add_main_entries(context, entries, NULL);
    if (!g_option_context_parse(context, &argc, &argv, &error)) {
        fprintf(stderr, "%s: %s\n", argv[0], error->message);
        exit(2);
    }
    standin_loop = loop_new();
}

static void
on_signal(int signal_number, void *data)
{
    loop_stop(standin_loop);
}

http_server_t *
standin_listen(const char *address, const http_route_t *routes)
{
    http_server_opts_t opts = {
        .loop = standin_loop,
        .listen = address,
        .max_body = 20 * 1024 * 1024,
        .routes = routes,
    };
    GError *error = NULL;
    http_server_t *server = http_server_new(&opts, &error);

    if (server == NULL) {
        fprintf(stderr, "%s\n", error->message);
        exit(1);
    }
    return server;
}

void
standin_run(void)
{
    GError *error = NULL;

    if (!loop_on_signals(standin_loop, on_signal, NULL, &error)) {
        fprintf(stderr, "%s\n", error->message);
        exit(1);
    }
    loop_run(standin_loop);
}
