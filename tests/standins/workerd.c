/* Stand-in for a worker: simulates the tasks of one machine and injects
   faults. The protocol is in docs/standins.md. */

#include <unistd.h>

#include "task.h"

static const standin_fault_t fault_table[] = {
    {"delay_ms", offsetof(faults_t, delay_ms)},
    {"fail_all", offsetof(faults_t, fail_all)},
    {"drop_answers", offsetof(faults_t, drop_answers)},
    {"refuse", offsetof(faults_t, refuse)},
    {"usage_lag_ms", offsetof(faults_t, usage_lag_ms)},
    {NULL, 0},
};

worker_state_t worker = {
    .capacity_cpu = 8000,
    .capacity_memory = 16000,
    .version = 1,
};

static http_exchange_t *watcher; /* GET /status that waits for a change */
static loop_timer_t watch_timer;
static loop_timer_t lease_timer;

static json_object *
describe_status(void)
{
    json_object *status = json_object_new_object();
    json_object *list = json_object_new_array();

    standin_add_int(status, "incarnation", worker.incarnation);
    standin_add_int(status, "version", worker.version);
    standin_add_int(status, "cpu_milli", worker.capacity_cpu);
    standin_add_int(status, "memory_mb", worker.capacity_memory);
    standin_add_int(status, "accelerators", worker.capacity_accelerators);
    LIST_FOREACH (task, &worker.tasks, task_t, link) {
        task_update_progress(task);
        json_object_array_add(list, task_describe(task));
    }
    json_object_object_add(status, "tasks", list);
    return status;
}

static void
answer_watcher(void)
{
    http_exchange_t *exchange = watcher;

    loop_timer_stop(&watch_timer);
    watcher = NULL;
    if (exchange != NULL) {
        standin_reply_later(exchange, worker.faults.delay_ms, 200,
                            describe_status());
    }
}

static void
on_watch_timer(loop_timer_t *timer)
{
    answer_watcher();
}

/* Returns true if the fault "refuse" closed the connection; the request has
   no effect. */
static bool
is_refused(http_exchange_t *exchange)
{
    if (worker.faults.refuse == 0) {
        return false;
    }
    http_exchange_abort(exchange, NULL, 0);
    return true;
}

/* Answers a request that took effect, subject to the faults. */
static void
reply_effect(http_exchange_t *exchange, int status, json_object *body)
{
    if (standin_consume_fault(&worker.faults.drop_answers)) {
        json_object_put(body);
        http_exchange_abort(exchange, NULL, 0);
        return;
    }
    standin_reply_later(exchange, worker.faults.delay_ms, status, body);
}

static void
on_status(http_exchange_t *exchange, void *data)
{
    int64_t known_version = (int64_t)standin_get_query(exchange, "version", 0);
    int64_t wait_ms = (int64_t)standin_get_query(exchange, "wait_ms", 0);

    if (is_refused(exchange)) {
        return;
    }
    answer_watcher();
    watcher = exchange;
    if (known_version != worker.version || wait_ms <= 0) {
        answer_watcher();
        return;
    }
    loop_timer_start(&watch_timer, (uint64_t)wait_ms);
}

static void
on_lease(http_exchange_t *exchange, void *data)
{
    json_object *body;

    if (is_refused(exchange)) {
        return;
    }
    body = standin_parse_body(exchange);
    if (body != NULL) {
        /* If this process was stopped, the old lease may have expired
           before its timer ran; the tasks are suspended in that case. */
        task_check_lease(&lease_timer);
        worker.lease_end_ms = standin_get_int(body, "until_ms", 0);
        task_check_lease(&lease_timer);
        reply_effect(exchange, 200, body);
    }
}

static void
handle_start(http_exchange_t *exchange)
{
    json_object *body = standin_parse_body(exchange);
    const char *job_id = standin_get_string(body, "job_id", "");
    int64_t attempt = standin_get_int(body, "attempt", 0);
    task_t *task;

    if (body == NULL) {
        return;
    }
    if (task_find(job_id, attempt) != NULL) {
        reply_effect(exchange, 200, body);
        return;
    }
    task = task_parse(body);
    if (!task_fits(task) || worker.lease_end_ms <= standin_now_ms()) {
        g_free(task);
        json_object_put(body);
        standin_reply_error(exchange, 409,
                            "insufficient capacity or expired lease\n");
        return;
    }
    task_add(task, job_id, attempt);
    reply_effect(exchange, 201, body);
}

static void
handle_action(http_exchange_t *exchange, task_t *task, const char *name)
{
    json_object *answer = json_object_new_object();
    int status;

    standin_add_int(answer, "progress_ms", task_get_checkpoint(task));
    status = task_perform_action(task, name, exchange);
    reply_effect(exchange, status, answer);
}

static void
on_tasks(http_exchange_t *exchange, void *data)
{
    g_auto(GStrv) parts = g_strsplit(exchange->path, "/", 0);
    task_t *task = NULL;

    if (is_refused(exchange)) {
        return;
    }
    if (g_strv_length(parts) == 2) {
        handle_start(exchange);
        return;
    }
    if (g_strv_length(parts) == 5) {
        task = task_find(parts[2], g_ascii_strtoll(parts[3], NULL, 10));
    }
    if (task == NULL) {
        standin_reply_error(exchange, 404, "unknown task or attempt\n");
        return;
    }
    task_update_progress(task);
    handle_action(exchange, task, parts[4]);
}

static void
on_fault(http_exchange_t *exchange, void *data)
{
    json_object *body = standin_parse_body(exchange);

    if (body != NULL) {
        standin_set_faults(body, fault_table, &worker.faults);
        standin_reply_json(exchange, 200, body);
    }
}

static void
on_stats(http_exchange_t *exchange, void *data)
{
    json_object *stats = json_object_new_object();
    json_object *list = json_object_new_array();

    for (guint i = 0; i < worker.records->len; i++) {
        json_object_array_add(list,
                              task_describe_record(worker.records->pdata[i]));
    }
    json_object_object_add(stats, "tasks", list);
    standin_add_int(stats, "max_cpu_milli", worker.max_cpu);
    standin_add_int(stats, "max_memory_mb", worker.max_memory);
    standin_add_int(stats, "max_accelerators", worker.max_accelerators);
    standin_add_int(stats, "max_true_cpu_milli", worker.max_true_cpu);
    standin_add_int(stats, "max_true_memory_mb", worker.max_true_memory);
    standin_reply_json(exchange, 200, stats);
}

int
main(int argc, char **argv)
{
    static const http_route_t routes[] = {{"/status", on_status},
                                          {"/lease", on_lease},
                                          {"/tasks", on_tasks},
                                          {"/tasks/", on_tasks},
                                          {"/standin/stats", on_stats},
                                          {"/standin/fault", on_fault},
                                          {NULL, NULL}};
    char *listen = NULL;
    GOptionEntry entries[] = {
        {"listen", 0, 0, G_OPTION_ARG_STRING, &listen, "Address to serve",
         "IP:PORT"},
        {"cpu-milli", 0, 0, G_OPTION_ARG_INT64, &worker.capacity_cpu,
         "Processors in thousandths", "N"},
        {"memory-mb", 0, 0, G_OPTION_ARG_INT64, &worker.capacity_memory,
         "Memory", "MB"},
        {"accelerators", 0, 0, G_OPTION_ARG_INT64,
         &worker.capacity_accelerators, "Number of accelerators", "N"},
        {NULL}};

    standin_parse_options(argc, argv, entries);
    worker.incarnation = standin_wall_ms() * 1000 + getpid() % 1000;
    worker.on_change = answer_watcher;
    list_init(&worker.tasks);
    worker.records = g_ptr_array_new();
    loop_timer_init(&watch_timer, standin_loop, on_watch_timer, NULL);
    loop_timer_init(&lease_timer, standin_loop, task_check_lease, NULL);
    standin_listen(listen, routes);
    standin_run();
    return 0;
}
