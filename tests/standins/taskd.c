/* Stand-in for an executor that runs tasks of the platform: holds each task
   for a fixed time, sends heartbeats to its node agent and injects faults.
   The protocol is in docs/standins.md. */

#include "base/http_client.h"
#include "standin.h"

typedef struct task {
    char *name;
    int64_t run;
    loop_timer_t timer;
} task_t;

typedef struct run_end {
    int64_t number;
    char *name;
    int64_t run;
    const char *outcome;
} run_end_t;

typedef struct faults {
    int64_t refuse;       /* 503 for each start */
    int64_t drop_answers; /* starts executed but not answered */
    int64_t work_ms;      /* duration of each task */
    int64_t draining;     /* heartbeats report the state "draining" */
} faults_t;

static const standin_fault_t fault_table[] = {
    {"refuse", offsetof(faults_t, refuse)},
    {"drop_answers", offsetof(faults_t, drop_answers)},
    {"work_ms", offsetof(faults_t, work_ms)},
    {"draining", offsetof(faults_t, draining)},
    {NULL, 0},
};

enum {
    HEARTBEAT_MS = 300,
    CALL_TIMEOUT_MS = 1000,
};

static faults_t faults = {.work_ms = 200};
static char *listen_address;
static char *node_address;
static char *instance_id;
static GPtrArray *tasks;      /* running; task_t */
static GPtrArray *ended_runs; /* run_end_t */
static GHashTable *last_runs; /* task -> last run that ended */
static GHashTable *starts;    /* task -> number of starts */
static int64_t next_end_number = 1;
static int64_t sequence;
static int64_t started_ms;
static int64_t fencing_token;
static int64_t acknowledged; /* highest AckCursor received */
static http_client_t *node;
static loop_timer_t heartbeat_timer;

static json_object *
new_answer(void)
{
    json_object *body = json_object_new_object();

    standin_add_int(body, "ClockMs", standin_now_ms());
    standin_add_int(body, "born", started_ms);
    return body;
}

static task_t *
find_task(const char *name)
{
    for (guint i = 0; i < tasks->len; i++) {
        task_t *task = g_ptr_array_index(tasks, i);

        if (strcmp(task->name, name) == 0) {
            return task;
        }
    }
    return NULL;
}

static void
end_task(task_t *task, const char *outcome)
{
    run_end_t *end = g_new(run_end_t, 1);

    end->number = next_end_number++;
    end->name = task->name;
    end->run = task->run;
    end->outcome = outcome;
    g_ptr_array_add(ended_runs, end);
    g_hash_table_insert(last_runs, g_strdup(task->name),
                        GSIZE_TO_POINTER((gsize)task->run));
    loop_timer_stop(&task->timer);
    g_ptr_array_remove(tasks, task);
    g_free(task);
}

static void
on_task_timer(loop_timer_t *timer)
{
    end_task(timer->data, "done");
}

static void
start_task(const char *name, int64_t run)
{
    task_t *task = g_new0(task_t, 1);
    gsize count = GPOINTER_TO_SIZE(g_hash_table_lookup(starts, name));

    task->name = g_strdup(name);
    task->run = run;
    g_hash_table_insert(starts, g_strdup(name), GSIZE_TO_POINTER(count + 1));
    loop_timer_init(&task->timer, standin_loop, on_task_timer, task);
    loop_timer_start(&task->timer, (uint64_t)faults.work_ms);
    g_ptr_array_add(tasks, task);
}

static void
reject(http_exchange_t *exchange, const char *reason)
{
    json_object *body = new_answer();

    standin_add_string(body, "Reason", reason);
    standin_reply_json(exchange, 409, body);
}

/* Rejects a call with an outdated fencing token and returns false. */
static bool
check_fence(http_exchange_t *exchange, json_object *body)
{
    int64_t value = standin_get_int(body, "FencingToken", 0);

    if (value < fencing_token) {
        reject(exchange, "fence");
        return false;
    }
    fencing_token = value;
    return true;
}

static void
handle_start(http_exchange_t *exchange, json_object *body)
{
    const char *name = standin_get_string(body, "Task", "");
    int64_t run = standin_get_int(body, "Run", 0);
    gsize last_run = GPOINTER_TO_SIZE(g_hash_table_lookup(last_runs, name));

    if (faults.refuse) {
        standin_reply_error(exchange, 503, "unhealthy");
        return;
    }
    if (find_task(name) == NULL && (gsize)run <= last_run) {
        reject(exchange, "old");
        return;
    }
    if (find_task(name) == NULL) {
        start_task(name, run);
    }
    if (standin_consume_fault(&faults.drop_answers)) {
        http_exchange_abort(exchange, NULL, 0);
        return;
    }
    standin_reply_json(exchange, 200, new_answer());
}

static void
handle_stop(http_exchange_t *exchange, json_object *body)
{
    const char *name = standin_get_string(body, "Task", "");
    task_t *task = find_task(name);

    if (task != NULL) {
        end_task(task, "stopped");
    }
    else {
        g_hash_table_insert(
            last_runs, g_strdup(name),
            GSIZE_TO_POINTER((gsize)standin_get_int(body, "Run", 0)));
    }
    standin_reply_json(exchange, 200, new_answer());
}

static json_object *
new_row(const char *first, int64_t second)
{
    json_object *row = json_object_new_array();

    json_object_array_add(row, json_object_new_string(first));
    json_object_array_add(row, json_object_new_int64(second));
    return row;
}

static json_object *
list_running(void)
{
    json_object *rows = json_object_new_array();

    for (guint i = 0; i < tasks->len; i++) {
        const task_t *task = g_ptr_array_index(tasks, i);
        json_object *row = new_row(task->name, task->run);

        json_object_array_add(row, json_object_new_string(""));
        json_object_array_add(row, json_object_new_int64(50));
        json_object_array_add(row, json_object_new_int64(100));
        json_object_array_add(rows, row);
    }
    return rows;
}

static json_object *
list_ended(int64_t cursor)
{
    json_object *rows = json_object_new_array();

    for (guint i = 0; i < ended_runs->len; i++) {
        const run_end_t *end = g_ptr_array_index(ended_runs, i);
        json_object *row;

        if (end->number <= cursor) {
            continue;
        }
        row = json_object_new_array();
        json_object_array_add(row, json_object_new_int64(end->number));
        json_object_array_add(row, json_object_new_string(end->name));
        json_object_array_add(row, json_object_new_int64(end->run));
        json_object_array_add(row, json_object_new_string(end->outcome));
        json_object_array_add(row, json_object_new_string(""));
        json_object_array_add(rows, row);
    }
    return rows;
}

static void
handle_hold(http_exchange_t *exchange, json_object *body)
{
    json_object *answer = new_answer();

    acknowledged = MAX(acknowledged, standin_get_int(body, "AckCursor", 0));
    json_object_object_add(answer, "Running", list_running());
    json_object_object_add(answer, "Ended", list_ended(acknowledged));
    standin_reply_later(exchange, MIN(20, standin_get_int(body, "WaitMs", 0)),
                        200, answer);
}

static void
handle_throttle(http_exchange_t *exchange, json_object *body)
{
    standin_reply_json(exchange, 200, new_answer());
}

/* Checks the addressed incarnation and the fencing token, then calls @handle.
 */
static void
dispatch_call(http_exchange_t *exchange,
              void (*handle)(http_exchange_t *exchange, json_object *body))
{
    const char *expected_instance =
        http_exchange_get_header(exchange, "x-expected-instance");
    json_object *body = standin_parse_body(exchange);

    if (body == NULL) {
        return;
    }
    if (g_strcmp0(expected_instance, instance_id) != 0) {
        standin_reply_error(exchange, 421, "another incarnation");
    }
    else if (check_fence(exchange, body)) {
        handle(exchange, body);
    }
    json_object_put(body);
}

static void
on_start(http_exchange_t *exchange, void *data)
{
    dispatch_call(exchange, handle_start);
}

static void
on_stop(http_exchange_t *exchange, void *data)
{
    dispatch_call(exchange, handle_stop);
}

static void
on_hold(http_exchange_t *exchange, void *data)
{
    dispatch_call(exchange, handle_hold);
}

static void
on_throttle(http_exchange_t *exchange, void *data)
{
    dispatch_call(exchange, handle_throttle);
}

static void
on_fault(http_exchange_t *exchange, void *data)
{
    json_object *body = standin_parse_body(exchange);

    if (body == NULL) {
        return;
    }
    standin_set_faults(body, fault_table, &faults);
    json_object_put(body);
    standin_reply_json(exchange, 200, json_object_new_object());
}

static void
on_stats(http_exchange_t *exchange, void *data)
{
    json_object *body = json_object_new_object();
    json_object *list = json_object_new_object();
    GHashTableIter iter;
    gpointer name;
    gpointer count;

    g_hash_table_iter_init(&iter, starts);
    while (g_hash_table_iter_next(&iter, &name, &count)) {
        standin_add_int(list, name, (int64_t)GPOINTER_TO_SIZE(count));
    }
    json_object_object_add(body, "starts", list);
    standin_add_int(body, "running", tasks->len);
    standin_add_int(body, "acknowledged", acknowledged);
    standin_reply_json(exchange, 200, body);
}

static const http_route_t routes[] = {
    {"/api/run-start", on_start},
    {"/api/run-stop", on_stop},
    {"/api/hold", on_hold},
    {"/api/pace", on_throttle},
    {"/standin/fault", on_fault},
    {"/standin/stats", on_stats},
    {NULL, NULL},
};

static void
on_heartbeat_answered(const http_response_t *response, void *data)
{
    loop_timer_start(&heartbeat_timer, HEARTBEAT_MS);
}

static json_object *
new_heartbeat(void)
{
    json_object *body = new_answer();
    json_object *capacity = json_object_new_object();
    json_object *labels = json_object_new_array();

    standin_add_string(body, "Service", "work");
    standin_add_string(body, "Address", listen_address);
    standin_add_string(body, "Zone", "dc");
    standin_add_string(body, "State", faults.draining ? "draining" : "ready");
    standin_add_int(body, "RemainingMs", faults.draining ? 3000 : 0);
    standin_add_int(body, "Sequence", ++sequence);
    standin_add_int(capacity, "Cpu", 8000);
    standin_add_int(capacity, "MemMb", 8000);
    standin_add_int(capacity, "Gpu", 0);
    json_object_object_add(body, "Capacity", capacity);
    json_object_array_add(labels, json_object_new_string("a"));
    json_object_array_add(labels, json_object_new_string("r1"));
    json_object_object_add(body, "Labels", labels);
    return body;
}

static void
send_heartbeat(loop_timer_t *timer)
{
    g_autofree char *target =
        g_strdup_printf("/api/executors/%s", instance_id);
    json_object *body = new_heartbeat();
    const char *text = json_object_to_json_string(body);
    http_call_opts_t opts = {
        .method = "PUT",
        .target = target,
        .body = text,
        .body_length = strlen(text),
        .timeout_ms = CALL_TIMEOUT_MS,
        .max_response = 4096,
    };

    http_client_send(node, &opts, on_heartbeat_answered, NULL);
    json_object_put(body);
}

int
main(int argc, char **argv)
{
    const GOptionEntry entries[] = {
        {"listen", 0, 0, G_OPTION_ARG_STRING, &listen_address,
         "Address to serve", "IPv4:PORT"},
        {"node", 0, 0, G_OPTION_ARG_STRING, &node_address,
         "Address of the node agent", "IPv4:PORT"},
        {"id", 0, 0, G_OPTION_ARG_STRING, &instance_id,
         "Id of this incarnation", "ID"},
        G_OPTION_ENTRY_NULL,
    };
    http_client_opts_t opts = {.max_connections = 2};

    standin_parse_options(argc, argv, entries);
    tasks = g_ptr_array_new();
    ended_runs = g_ptr_array_new();
    last_runs = g_hash_table_new(g_str_hash, g_str_equal);
    starts = g_hash_table_new(g_str_hash, g_str_equal);
    started_ms = standin_wall_ms();
    opts.loop = standin_loop;
    opts.address = node_address;
    node = http_client_new(&opts, NULL);
    standin_listen(listen_address, routes);
    loop_timer_init(&heartbeat_timer, standin_loop, send_heartbeat, NULL);
    loop_timer_start(&heartbeat_timer, 0);
    standin_run();
    return 0;
}
