/* Stand-in of a worker; protocol in docs/standins.md. */

#include <unistd.h>

#include "base/list.h"
#include "standin.h"

enum {
    EXACT_DELAY_MS = 20,
    FAIL_ALL_MS = 20,
    FULL_SPEED = 100,
    DEFAULT_CHECKPOINT_MS = 1000,
};

typedef enum task_state {
    RUNNING,
    SUSPENDED,
    DONE,
    FAILED,
    STOPPED,
} task_state_t;

static const char *const state_names[] = {"running", "suspended", "done",
                                          "failed", "stopped"};

typedef struct span {
    int64_t from_ms;
    int64_t to_ms; /* 0 while running */
} span_t;

/* Kept after the task is forgotten, for the statistics. */
typedef struct record {
    char *job_id;
    int64_t attempt;
    int64_t starts;
    int64_t stops;
    int64_t effects;
    GArray *spans;
} record_t;

typedef struct task {
    list_t link;
    record_t *record;
    task_state_t state;
    int64_t cpu_milli;
    int64_t memory_mb;
    int64_t accelerators;
    int64_t true_cpu_milli;
    int64_t true_memory_mb;
    int64_t run_ms;
    int64_t checkpoint_ms;
    bool fail;
    bool released;
    int64_t throttle;
    int64_t reported_cpu; /* usage before the last change */
    int64_t reported_memory;
    int64_t changed_ms; /* time of the last change of the usage */
    double progress_ms;
    int64_t counted_ms; /* time up to which progress is counted */
    loop_timer_t timer;
} task_t;

typedef struct faults {
    int64_t delay_ms;
    int64_t fail_all;
    int64_t drop_answers;
    int64_t refuse;
    int64_t usage_lag_ms;
} faults_t;

static const standin_fault_t fault_table[] = {
    {"delay_ms", offsetof(faults_t, delay_ms)},
    {"fail_all", offsetof(faults_t, fail_all)},
    {"drop_answers", offsetof(faults_t, drop_answers)},
    {"refuse", offsetof(faults_t, refuse)},
    {"usage_lag_ms", offsetof(faults_t, usage_lag_ms)},
    {NULL, 0},
};

static faults_t faults;
static int64_t capacity_cpu = 8000;
static int64_t capacity_memory = 16000;
static int64_t capacity_accelerators;
static int64_t incarnation;
static int64_t version = 1;
static int64_t lease_end_ms;
static list_t tasks;
static GPtrArray *records;
static http_exchange_t *watcher;
static loop_timer_t watch_timer;
static loop_timer_t lease_timer;
static int64_t max_cpu;
static int64_t max_memory;
static int64_t max_accelerators;
static int64_t max_true_cpu;
static int64_t max_true_memory;

static int64_t
speed_of(const task_t *task)
{
    return task->state == RUNNING ? task->throttle : 0;
}

static int64_t
usage_of(const task_t *task)
{
    return task->true_cpu_milli * speed_of(task) / FULL_SPEED;
}

static bool
is_alive(const task_t *task)
{
    return task->state == RUNNING || task->state == SUSPENDED;
}

static bool
is_usage_known(const task_t *task)
{
    return standin_now_ms() - task->changed_ms >= faults.usage_lag_ms;
}

static json_object *
describe_task(const task_t *task)
{
    json_object *item = json_object_new_object();
    bool known = is_usage_known(task);

    standin_add_string(item, "job_id", task->record->job_id);
    standin_add_int(item, "attempt", task->record->attempt);
    standin_add_string(item, "state", state_names[task->state]);
    standin_add_int(item, "progress_ms", (int64_t)task->progress_ms);
    standin_add_int(item, "throttle_percent", task->throttle);
    standin_add_int(item, "cpu_milli",
                    known ? usage_of(task) : task->reported_cpu);
    standin_add_int(item, "memory_mb",
                    known && is_alive(task) ? task->true_memory_mb
                                            : task->reported_memory);
    standin_add_string(item, "detail",
                       task->state == FAILED ? "the task failed" : "");
    return item;
}

static void
count_progress(task_t *task)
{
    int64_t now = standin_now_ms();

    task->progress_ms +=
        (double)(now - task->counted_ms) * (double)speed_of(task) / FULL_SPEED;
    task->progress_ms = MIN(task->progress_ms, (double)task->run_ms);
    task->counted_ms = now;
}

static json_object *
describe_status(void)
{
    json_object *status = json_object_new_object();
    json_object *list = json_object_new_array();

    standin_add_int(status, "incarnation", incarnation);
    standin_add_int(status, "version", version);
    standin_add_int(status, "cpu_milli", capacity_cpu);
    standin_add_int(status, "memory_mb", capacity_memory);
    standin_add_int(status, "accelerators", capacity_accelerators);
    LIST_FOREACH (task, &tasks, task_t, link) {
        count_progress(task);
        json_object_array_add(list, describe_task(task));
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
        standin_reply_later(exchange, faults.delay_ms, 200, describe_status());
    }
}

static void
on_watch_timer(loop_timer_t *timer)
{
    answer_watcher();
}

static void
note_highest_use(void)
{
    int64_t cpu = 0;
    int64_t memory = 0;
    int64_t accelerators = 0;
    int64_t true_cpu = 0;
    int64_t true_memory = 0;

    LIST_FOREACH (task, &tasks, task_t, link) {
        if (is_alive(task)) {
            cpu += task->cpu_milli;
            memory += task->memory_mb;
            accelerators += task->accelerators;
            true_cpu += usage_of(task);
            true_memory += task->true_memory_mb;
        }
    }
    max_cpu = MAX(max_cpu, cpu);
    max_memory = MAX(max_memory, memory);
    max_accelerators = MAX(max_accelerators, accelerators);
    max_true_cpu = MAX(max_true_cpu, true_cpu);
    max_true_memory = MAX(max_true_memory, true_memory);
}

static void
schedule_end(task_t *task)
{
    double left;

    if (task->state != RUNNING || task->throttle == 0) {
        loop_timer_stop(&task->timer);
        return;
    }
    left = ((double)task->run_ms - task->progress_ms) * FULL_SPEED /
           (double)task->throttle;
    /* Timers round longer delays up by up to a tenth. */
    loop_timer_start(
        &task->timer,
        (uint64_t)(left > EXACT_DELAY_MS ? left * 10 / 11 : left + 0.999));
}

static void
set_state(task_t *task, task_state_t state, int64_t throttle)
{
    bool was_running = task->state == RUNNING;

    count_progress(task);
    if (is_usage_known(task)) {
        task->reported_cpu = usage_of(task);
        task->reported_memory = is_alive(task) ? task->true_memory_mb : 0;
    }
    task->changed_ms = standin_now_ms();
    task->state = state;
    task->throttle = throttle;
    if (was_running != (state == RUNNING)) {
        GArray *spans = task->record->spans;
        span_t span = {standin_wall_ms(), 0};

        if (was_running) {
            g_array_index(spans, span_t, spans->len - 1).to_ms = span.from_ms;
        }
        else {
            g_array_append_val(spans, span);
        }
    }
    schedule_end(task);
    note_highest_use();
    version++;
    answer_watcher();
}

static void
on_task_timer(loop_timer_t *timer)
{
    task_t *task = timer->data;

    count_progress(task);
    if (task->progress_ms < (double)task->run_ms) {
        schedule_end(task);
        return;
    }
    set_state(task, task->fail ? FAILED : DONE, task->throttle);
}

static void
on_lease_end(loop_timer_t *timer)
{
    int64_t left = lease_end_ms - standin_now_ms();

    if (left > 0) {
        loop_timer_start(
            timer, (uint64_t)(left > EXACT_DELAY_MS ? left * 10 / 11 : left));
        return;
    }
    LIST_FOREACH (task, &tasks, task_t, link) {
        if (task->state == RUNNING) {
            set_state(task, SUSPENDED, task->throttle);
        }
    }
}

/* Return: true if the request was ended by a fault before its effect. */
static bool
is_refused(http_exchange_t *exchange)
{
    if (faults.refuse == 0) {
        return false;
    }
    http_exchange_abort(exchange, NULL, 0);
    return true;
}

static void
reply_effect(http_exchange_t *exchange, int status, json_object *body)
{
    if (standin_take(&faults.drop_answers)) {
        json_object_put(body);
        http_exchange_abort(exchange, NULL, 0);
        return;
    }
    standin_reply_later(exchange, faults.delay_ms, status, body);
}

static void
on_status(http_exchange_t *exchange, void *data)
{
    int64_t known = (int64_t)standin_get_query(exchange, "version", 0);
    int64_t wait_ms = (int64_t)standin_get_query(exchange, "wait_ms", 0);

    if (is_refused(exchange)) {
        return;
    }
    answer_watcher();
    watcher = exchange;
    if (known != version || wait_ms <= 0) {
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
        lease_end_ms = standin_now_ms() + standin_get_int(body, "lease_ms", 0);
        on_lease_end(&lease_timer);
        reply_effect(exchange, 200, body);
    }
}

static task_t *
find_task(const char *job_id, int64_t attempt)
{
    LIST_FOREACH (task, &tasks, task_t, link) {
        if (strcmp(task->record->job_id, job_id) == 0 &&
            task->record->attempt == attempt) {
            return task;
        }
    }
    return NULL;
}

static bool
fits(const task_t *wanted)
{
    int64_t cpu = wanted->cpu_milli;
    int64_t memory = wanted->memory_mb;
    int64_t accelerators = wanted->accelerators;

    LIST_FOREACH (task, &tasks, task_t, link) {
        if (is_alive(task)) {
            cpu += task->cpu_milli;
            memory += task->memory_mb;
            accelerators += task->accelerators;
        }
    }
    return cpu <= capacity_cpu && memory <= capacity_memory &&
           accelerators <= capacity_accelerators;
}

static task_t *
parse_task(json_object *body)
{
    task_t *task = g_new0(task_t, 1);
    json_object *spec = NULL;
    json_object *checkpoint =
        json_tokener_parse(standin_get_string(body, "checkpoint", ""));

    json_object_object_get_ex(body, "spec", &spec);
    task->cpu_milli = standin_get_int(body, "cpu_milli", 0);
    task->memory_mb = standin_get_int(body, "memory_mb", 0);
    task->accelerators = standin_get_int(body, "accelerators", 0);
    task->run_ms = standin_get_int(spec, "true_run_ms",
                                   standin_get_int(spec, "run_ms", 0));
    task->checkpoint_ms =
        standin_get_int(spec, "checkpoint_ms", DEFAULT_CHECKPOINT_MS);
    task->fail = faults.fail_all != 0 || standin_get_int(spec, "fail", 0);
    if (faults.fail_all != 0) {
        task->run_ms = FAIL_ALL_MS;
    }
    task->true_cpu_milli =
        standin_get_int(spec, "true_cpu_milli", task->cpu_milli);
    task->true_memory_mb =
        standin_get_int(spec, "true_memory_mb", task->memory_mb);
    task->progress_ms = (double)standin_get_int(checkpoint, "progress_ms", 0);
    json_object_put(checkpoint);
    return task;
}

/* A forgotten attempt that is started again shows as two starts. */
static record_t *
get_record(const char *job_id, int64_t attempt)
{
    record_t *record;

    for (guint i = 0; i < records->len; i++) {
        record = records->pdata[i];
        if (strcmp(record->job_id, job_id) == 0 &&
            record->attempt == attempt) {
            return record;
        }
    }
    record = g_new0(record_t, 1);
    record->job_id = g_strdup(job_id);
    record->attempt = attempt;
    record->spans = g_array_new(FALSE, FALSE, sizeof(span_t));
    g_ptr_array_add(records, record);
    return record;
}

static void
add_task(task_t *task, const char *job_id, int64_t attempt)
{
    task->record = get_record(job_id, attempt);
    task->record->starts++;
    task->counted_ms = standin_now_ms();
    task->state = SUSPENDED;
    list_append(&tasks, &task->link);
    loop_timer_init(&task->timer, standin_loop, on_task_timer, task);
    set_state(task, RUNNING, FULL_SPEED);
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
    if (find_task(job_id, attempt) != NULL) {
        reply_effect(exchange, 200, body);
        return;
    }
    task = parse_task(body);
    if (!fits(task) || lease_end_ms <= standin_now_ms()) {
        g_free(task);
        json_object_put(body);
        standin_reply_error(exchange, 409, "no room or no lease\n");
        return;
    }
    add_task(task, job_id, attempt);
    reply_effect(exchange, 201, body);
}

/* Actions return an HTTP status. */
typedef int (*action_fn)(task_t *task, const http_exchange_t *exchange);

static int
act_suspend(task_t *task, const http_exchange_t *exchange)
{
    if (task->state == RUNNING) {
        set_state(task, SUSPENDED, task->throttle);
    }
    return task->state == SUSPENDED ? 200 : 409;
}

static int
act_resume(task_t *task, const http_exchange_t *exchange)
{
    if (!is_alive(task) || lease_end_ms <= standin_now_ms()) {
        return 409;
    }
    if (task->state == SUSPENDED) {
        set_state(task, RUNNING, task->throttle);
    }
    return 200;
}

static int
act_throttle(task_t *task, const http_exchange_t *exchange)
{
    int64_t percent =
        (int64_t)standin_get_query(exchange, "value", FULL_SPEED);

    if (!is_alive(task) || percent < 1 || percent > FULL_SPEED) {
        return 409;
    }
    set_state(task, task->state, percent);
    return 200;
}

static int
act_stop(task_t *task, const http_exchange_t *exchange)
{
    if (is_alive(task)) {
        task->record->stops++;
        set_state(task, STOPPED, task->throttle);
    }
    return task->state == STOPPED ? 200 : 409;
}

static int
act_release(task_t *task, const http_exchange_t *exchange)
{
    if (task->state != DONE) {
        return 409;
    }
    if (!task->released) {
        task->released = true;
        task->record->effects++;
    }
    return 200;
}

static int
act_forget(task_t *task, const http_exchange_t *exchange)
{
    if (is_alive(task)) {
        return 409;
    }
    list_remove(&task->link);
    loop_timer_stop(&task->timer);
    g_free(task);
    version++;
    answer_watcher();
    return 200;
}

static const struct {
    const char *name;
    action_fn act;
} actions[] = {
    {"suspend", act_suspend},   {"resume", act_resume},
    {"throttle", act_throttle}, {"stop", act_stop},
    {"release", act_release},   {"forget", act_forget},
};

static int64_t
checkpoint_of(const task_t *task)
{
    if (task->checkpoint_ms <= 0) {
        return 0;
    }
    return (int64_t)task->progress_ms / task->checkpoint_ms *
           task->checkpoint_ms;
}

static void
handle_action(http_exchange_t *exchange, task_t *task, const char *name)
{
    json_object *answer = json_object_new_object();
    int status = 404;

    standin_add_int(answer, "progress_ms", checkpoint_of(task));
    for (size_t i = 0; i < G_N_ELEMENTS(actions); i++) {
        if (strcmp(actions[i].name, name) == 0) {
            status = actions[i].act(task, exchange);
        }
    }
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
        task = find_task(parts[2], g_ascii_strtoll(parts[3], NULL, 10));
    }
    if (task == NULL) {
        standin_reply_error(exchange, 404, "no such task\n");
        return;
    }
    count_progress(task);
    handle_action(exchange, task, parts[4]);
}

static void
on_fault(http_exchange_t *exchange, void *data)
{
    json_object *body = standin_parse_body(exchange);

    if (body != NULL) {
        standin_set_faults(body, fault_table, &faults);
        standin_reply_json(exchange, 200, body);
    }
}

static json_object *
describe_record(const record_t *record)
{
    json_object *item = json_object_new_object();
    json_object *runs = json_object_new_array();

    standin_add_string(item, "job_id", record->job_id);
    standin_add_int(item, "attempt", record->attempt);
    standin_add_int(item, "starts", record->starts);
    standin_add_int(item, "stops", record->stops);
    standin_add_int(item, "effects", record->effects);
    for (guint i = 0; i < record->spans->len; i++) {
        const span_t *span = &g_array_index(record->spans, span_t, i);
        json_object *pair = json_object_new_array();

        json_object_array_add(pair, json_object_new_int64(span->from_ms));
        json_object_array_add(pair, json_object_new_int64(span->to_ms));
        json_object_array_add(runs, pair);
    }
    json_object_object_add(item, "runs", runs);
    return item;
}

static void
on_stats(http_exchange_t *exchange, void *data)
{
    json_object *stats = json_object_new_object();
    json_object *list = json_object_new_array();

    for (guint i = 0; i < records->len; i++) {
        json_object_array_add(list, describe_record(records->pdata[i]));
    }
    json_object_object_add(stats, "tasks", list);
    standin_add_int(stats, "max_cpu_milli", max_cpu);
    standin_add_int(stats, "max_memory_mb", max_memory);
    standin_add_int(stats, "max_accelerators", max_accelerators);
    standin_add_int(stats, "max_true_cpu_milli", max_true_cpu);
    standin_add_int(stats, "max_true_memory_mb", max_true_memory);
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
        {"listen", 0, 0, G_OPTION_ARG_STRING, &listen, "IP:PORT", NULL},
        {"cpu-milli", 0, 0, G_OPTION_ARG_INT64, &capacity_cpu, "", NULL},
        {"memory-mb", 0, 0, G_OPTION_ARG_INT64, &capacity_memory, "", NULL},
        {"accelerators", 0, 0, G_OPTION_ARG_INT64, &capacity_accelerators, "",
         NULL},
        {NULL}};

    standin_parse_options(argc, argv, entries);
    incarnation = standin_wall_ms() * 1000 + getpid() % 1000;
    list_init(&tasks);
    records = g_ptr_array_new();
    loop_timer_init(&watch_timer, standin_loop, on_watch_timer, NULL);
    loop_timer_init(&lease_timer, standin_loop, on_lease_end, NULL);
    standin_listen(listen, routes);
    standin_run();
    return 0;
}
