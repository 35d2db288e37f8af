/* Stand-in for an executor: answers each request after its service time and
   injects faults. The protocol is in docs/standins.md. */

#include "base/list.h"
#include "standin.h"

enum {
    MAX_ANSWER = 16 * 1024 * 1024,
};

typedef struct execution {
    list_t link;
    http_exchange_t *exchange;
    loop_timer_t timer;
    int64_t end_us;
} execution_t;

typedef struct faults {
    int64_t delay_ms;
    int64_t slow_percent; /* of the normal service time */
    int64_t status;
    int64_t refuse;
    int64_t refuse_ms;
    int64_t cut_after;
    int64_t drop_answers;
    int64_t close_idle_ms;
} faults_t;

static const standin_fault_t fault_table[] = {
    {"delay_ms", offsetof(faults_t, delay_ms)},
    {"status", offsetof(faults_t, status)},
    {"refuse", offsetof(faults_t, refuse)},
    {"refuse_ms", offsetof(faults_t, refuse_ms)},
    {"cut_after", offsetof(faults_t, cut_after)},
    {"drop_answers", offsetof(faults_t, drop_answers)},
    {"close_idle_ms", offsetof(faults_t, close_idle_ms)},
    {NULL, 0},
};

static faults_t faults = {.slow_percent = 100};
static http_server_t *server;
static char *listen_address;
static int64_t slots = 8;
static int64_t connections = 64;
static double service_ms;
static list_t wait_queue;
static GHashTable *executions; /* request id -> number of runs */
static int64_t running;
static int64_t max_running;
static int64_t max_connections;
static int64_t total;
static int64_t refused;
static loop_timer_t reopen_timer;
static loop_timer_t idle_timer;

static int64_t
get_now_us(void)
{
    return timespec_to_us(clock_get_monotonic(clock_system()));
}

static void
count_execution(const http_exchange_t *exchange)
{
    const char *id = http_exchange_get_header(exchange, "teasel-request-id");
    gpointer count;

    total++;
    if (id != NULL) {
        count = g_hash_table_lookup(executions, id);
        g_hash_table_replace(executions, g_strdup(id),
                             GINT_TO_POINTER(GPOINTER_TO_INT(count) + 1));
    }
}

static void
send_cut_answer(http_exchange_t *exchange, const void *body, size_t length)
{
    g_autoptr(GString) raw = g_string_new(NULL);

    g_string_printf(raw, "HTTP/1.1 200 OK\r\ncontent-length: %zu\r\n\r\n",
                    length);
    g_string_append_len(raw, body, (gssize)length);
    http_exchange_abort(exchange, raw->str,
                        MIN(raw->len, (size_t)faults.cut_after));
}

static void
send_answer(http_exchange_t *exchange)
{
    int64_t bytes = (int64_t)standin_get_query(exchange, "bytes", -1);
    char *generated = NULL;
    const char *body = exchange->body;
    size_t length = exchange->body_length;

    if (bytes >= 0) {
        length = (size_t)MIN(bytes, MAX_ANSWER);
        generated = g_malloc(length + 1);
        memset(generated, 'x', length);
        body = generated;
    }
    if (standin_consume_fault(&faults.drop_answers)) {
        http_exchange_abort(exchange, NULL, 0);
    }
    else if (faults.cut_after > 0) {
        send_cut_answer(exchange, body, length);
    }
    else {
        http_exchange_reply(exchange,
                            faults.status > 0 ? (int)faults.status : 200, NULL,
                            0, body, length);
    }
    g_free(generated);
}

static void start_next(void);

static void
start_end_timer(execution_t *execution)
{
    int64_t remaining_ms = (execution->end_us - get_now_us() + 999) / 1000;

    loop_timer_start(&execution->timer, (uint64_t)MAX(remaining_ms, 0));
}

static void
on_end_timer(loop_timer_t *timer)
{
    execution_t *execution = timer->data;

    if (get_now_us() < execution->end_us) {
        start_end_timer(execution);
        return;
    }
    send_answer(execution->exchange);
    g_free(execution);
    running--;
    start_next();
}

static void
start_execution(execution_t *execution)
{
    double ms = standin_get_query(execution->exchange, "ms", service_ms);

    ms = ms * (double)faults.slow_percent / 100 + (double)faults.delay_ms;
    count_execution(execution->exchange);
    running++;
    max_running = MAX(max_running, running);
    if (ms <= 0) {
        send_answer(execution->exchange);
        g_free(execution);
        running--;
        return;
    }
    execution->end_us = get_now_us() + (int64_t)(ms * 1000);
    loop_timer_init(&execution->timer, standin_loop, on_end_timer, execution);
    start_end_timer(execution);
}

static void
start_next(void)
{
    while (running < slots && !list_is_empty(&wait_queue)) {
        execution_t *execution =
            LIST_ENTRY(wait_queue.next, execution_t, link);

        list_remove(&execution->link);
        start_execution(execution);
    }
}

static void
on_request(http_exchange_t *exchange, void *data)
{
    int64_t open = (int64_t)http_server_get_connections(server);
    execution_t *execution;

    max_connections = MAX(max_connections, open);
    if (faults.refuse != 0 || open > connections) {
        refused++;
        http_exchange_abort(exchange, NULL, 0);
        return;
    }
    execution = g_new0(execution_t, 1);
    execution->exchange = exchange;
    list_append(&wait_queue, &execution->link);
    start_next();
}

static void on_stats(http_exchange_t *exchange, void *data);
static void on_fault(http_exchange_t *exchange, void *data);

static const http_route_t routes[] = {{"/standin/stats", on_stats},
                                      {"/standin/fault", on_fault},
                                      {"/", on_request},
                                      {NULL, NULL}};

static void
on_reopen(loop_timer_t *timer)
{
    faults.refuse_ms = 0;
    server = standin_listen(listen_address, routes);
}

/* Closes the idle connections; those with a pending request stay open. */
static void
on_close_idle(loop_timer_t *timer)
{
    if (faults.close_idle_ms > 0) {
        http_server_shutdown(server);
        http_server_close_listener(server);
        server = standin_listen(listen_address, routes);
        loop_timer_start(&idle_timer, (uint64_t)faults.close_idle_ms);
    }
}

static void
on_fault(http_exchange_t *exchange, void *data)
{
    json_object *body = standin_parse_body(exchange);
    json_object *factor = NULL;

    if (body == NULL) {
        return;
    }
    standin_set_faults(body, fault_table, &faults);
    if (json_object_object_get_ex(body, "slow_factor", &factor)) {
        double value = json_object_get_double(factor);

        faults.slow_percent = value > 0 ? (int64_t)(value * 100) : 100;
    }
    standin_reply_json(exchange, 200, body);
    if (faults.refuse_ms > 0 && !loop_timer_is_active(&reopen_timer)) {
        http_server_close_listener(server);
        http_server_shutdown(server);
        loop_timer_start(&reopen_timer, (uint64_t)faults.refuse_ms);
    }
    if (faults.close_idle_ms > 0) {
        loop_timer_start(&idle_timer, (uint64_t)faults.close_idle_ms);
    }
}

static void
on_stats(http_exchange_t *exchange, void *data)
{
    json_object *stats = json_object_new_object();
    json_object *list = json_object_new_object();
    GHashTableIter iter;
    gpointer id;
    gpointer count;

    g_hash_table_iter_init(&iter, executions);
    while (g_hash_table_iter_next(&iter, &id, &count)) {
        standin_add_int(list, id, GPOINTER_TO_INT(count));
    }
    json_object_object_add(stats, "executions", list);
    standin_add_int(stats, "total", total);
    standin_add_int(stats, "refused", refused);
    standin_add_int(stats, "running", running);
    standin_add_int(stats, "max_running", max_running);
    standin_add_int(stats, "max_connections", max_connections);
    standin_reply_json(exchange, 200, stats);
}

int
main(int argc, char **argv)
{
    GOptionEntry entries[] = {
        {"listen", 0, 0, G_OPTION_ARG_STRING, &listen_address,
         "Address to serve", "IP:PORT"},
        {"slots", 0, 0, G_OPTION_ARG_INT64, &slots,
         "Number of requests that run at the same time", "N"},
        {"connections", 0, 0, G_OPTION_ARG_INT64, &connections,
         "Maximum number of connections", "N"},
        {"service-ms", 0, 0, G_OPTION_ARG_DOUBLE, &service_ms,
         "Service time of a request without ?ms=", "MS"},
        {NULL}};

    standin_parse_options(argc, argv, entries);
    executions = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    list_init(&wait_queue);
    loop_timer_init(&reopen_timer, standin_loop, on_reopen, NULL);
    loop_timer_init(&idle_timer, standin_loop, on_close_idle, NULL);
    server = standin_listen(listen_address, routes);
    standin_run();
    return 0;
}
