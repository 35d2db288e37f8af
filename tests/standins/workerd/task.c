#include "task.h"

enum {
    FAIL_ALL_RUN_MS = 20,
    DEFAULT_CHECKPOINT_MS = 1000,
};

static const char *const state_names[] = {"running", "suspended", "done",
                                          "failed", "stopped"};

static int64_t
get_speed(const task_t *task)
{
    return task->state == RUNNING ? task->throttle : 0;
}

static int64_t
get_cpu_usage(const task_t *task)
{
    return task->true_cpu_milli * get_speed(task) / FULL_SPEED;
}

bool
task_is_alive(const task_t *task)
{
    return task->state == RUNNING || task->state == SUSPENDED;
}

static int64_t
get_memory_usage(const task_t *task)
{
    return task_is_alive(task) ? task->true_memory_mb : 0;
}

static bool
is_usage_reported(const task_t *task)
{
    return standin_now_ms() - task->usage_changed_ms >=
           worker.faults.usage_lag_ms;
}

json_object *
task_describe(const task_t *task)
{
    json_object *item = json_object_new_object();
    bool known = is_usage_reported(task);

    standin_add_string(item, "job_id", task->record->job_id);
    standin_add_int(item, "attempt", task->record->attempt);
    standin_add_string(item, "state", state_names[task->state]);
    standin_add_int(item, "progress_ms", (int64_t)task->progress_ms);
    standin_add_int(item, "throttle_percent", task->throttle);
    standin_add_int(item, "cpu_milli",
                    known ? get_cpu_usage(task) : task->reported_cpu);
    standin_add_int(item, "memory_mb",
                    known ? get_memory_usage(task) : task->reported_memory);
    standin_add_int(item, "declared_cpu_milli", task->cpu_milli);
    standin_add_int(item, "declared_memory_mb", task->memory_mb);
    standin_add_int(item, "declared_accelerators", task->accelerators);
    standin_add_string(item, "detail",
                       task->state == FAILED ? "the task failed" : "");
    return item;
}

/* Milliseconds by which the lease timer is late; a task makes no progress
   after the expiry of the lease. */
static int64_t
get_ms_past_lease(const task_t *task)
{
    int64_t end = MAX(worker.lease_end_ms, task->progress_time_ms);

    return MAX(standin_now_ms() - end, 0);
}

void
task_update_progress(task_t *task)
{
    int64_t now = standin_now_ms() - get_ms_past_lease(task);

    task->progress_ms += (double)(now - task->progress_time_ms) *
                         (double)get_speed(task) / FULL_SPEED;
    task->progress_ms = MIN(task->progress_ms, (double)task->run_ms);
    task->progress_time_ms = now;
}

static void
update_peak_usage(void)
{
    int64_t cpu = 0;
    int64_t memory = 0;
    int64_t accelerators = 0;
    int64_t true_cpu = 0;
    int64_t true_memory = 0;

    LIST_FOREACH (task, &worker.tasks, task_t, link) {
        if (task_is_alive(task)) {
            cpu += task->cpu_milli;
            memory += task->memory_mb;
            accelerators += task->accelerators;
            true_cpu += get_cpu_usage(task);
            true_memory += task->true_memory_mb;
        }
    }
    worker.max_cpu = MAX(worker.max_cpu, cpu);
    worker.max_memory = MAX(worker.max_memory, memory);
    worker.max_accelerators = MAX(worker.max_accelerators, accelerators);
    worker.max_true_cpu = MAX(worker.max_true_cpu, true_cpu);
    worker.max_true_memory = MAX(worker.max_true_memory, true_memory);
}

static void
start_end_timer(task_t *task)
{
    double left;

    if (task->state != RUNNING || task->throttle == 0) {
        loop_timer_stop(&task->timer);
        return;
    }
    left = ((double)task->run_ms - task->progress_ms) * FULL_SPEED /
           (double)task->throttle;
    loop_timer_start(&task->timer, (uint64_t)(left + 0.999));
}

void
task_set_state(task_t *task, task_state_t state, int64_t throttle)
{
    bool was_running = task->state == RUNNING;
    int64_t past_lease_ms = get_ms_past_lease(task);

    task_update_progress(task);
    if (is_usage_reported(task)) {
        task->reported_cpu = get_cpu_usage(task);
        task->reported_memory = get_memory_usage(task);
    }
    task->usage_changed_ms = standin_now_ms();
    task->state = state;
    task->throttle = throttle;
    if (was_running != (state == RUNNING)) {
        GArray *spans = task->record->spans;
        span_t span = {standin_wall_ms(), 0};

        if (was_running) {
            g_array_index(spans, span_t, spans->len - 1).to_ms =
                span.from_ms - past_lease_ms;
        }
        else {
            g_array_append_val(spans, span);
        }
    }
    start_end_timer(task);
    update_peak_usage();
    worker.version++;
    worker.on_change();
}

static void
suspend_all(void)
{
    LIST_FOREACH (task, &worker.tasks, task_t, link) {
        if (task->state == RUNNING) {
            task_set_state(task, SUSPENDED, task->throttle);
        }
    }
}

static void
on_task_timer(loop_timer_t *timer)
{
    task_t *task = timer->data;

    if (worker.lease_end_ms <= standin_now_ms()) {
        suspend_all();
    }
    task_update_progress(task);
    if (task->progress_ms < (double)task->run_ms) {
        start_end_timer(task);
        return;
    }
    task_set_state(task, task->fail ? FAILED : DONE, task->throttle);
}

void
task_check_lease(loop_timer_t *timer)
{
    int64_t left = worker.lease_end_ms - standin_now_ms();

    if (left > 0) {
        loop_timer_start(timer, (uint64_t)left);
    }
    else {
        suspend_all();
    }
}

task_t *
task_find(const char *job_id, int64_t attempt)
{
    LIST_FOREACH (task, &worker.tasks, task_t, link) {
        if (strcmp(task->record->job_id, job_id) == 0 &&
            task->record->attempt == attempt) {
            return task;
        }
    }
    return NULL;
}

bool
task_fits(const task_t *wanted)
{
    int64_t cpu = wanted->cpu_milli;
    int64_t memory = wanted->memory_mb;
    int64_t accelerators = wanted->accelerators;

    LIST_FOREACH (task, &worker.tasks, task_t, link) {
        if (task_is_alive(task)) {
            cpu += task->cpu_milli;
            memory += task->memory_mb;
            accelerators += task->accelerators;
        }
    }
    return cpu <= worker.capacity_cpu && memory <= worker.capacity_memory &&
           accelerators <= worker.capacity_accelerators;
}

task_t *
task_parse(json_object *body)
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
    task->fail =
        worker.faults.fail_all != 0 || standin_get_int(spec, "fail", 0);
    if (worker.faults.fail_all != 0) {
        task->run_ms = FAIL_ALL_RUN_MS;
    }
    task->true_cpu_milli =
        standin_get_int(spec, "true_cpu_milli", task->cpu_milli);
    task->true_memory_mb =
        standin_get_int(spec, "true_memory_mb", task->memory_mb);
    task->progress_ms = (double)standin_get_int(checkpoint, "progress_ms", 0);
    json_object_put(checkpoint);
    return task;
}

/* Returns the record of an attempt. An attempt that is removed and started
   again keeps its record, which then counts two starts. */
static attempt_record_t *
get_record(const char *job_id, int64_t attempt)
{
    attempt_record_t *record;

    for (guint i = 0; i < worker.records->len; i++) {
        record = worker.records->pdata[i];
        if (strcmp(record->job_id, job_id) == 0 &&
            record->attempt == attempt) {
            return record;
        }
    }
    record = g_new0(attempt_record_t, 1);
    record->job_id = g_strdup(job_id);
    record->attempt = attempt;
    record->spans = g_array_new(FALSE, FALSE, sizeof(span_t));
    g_ptr_array_add(worker.records, record);
    return record;
}

void
task_add(task_t *task, const char *job_id, int64_t attempt)
{
    task->record = get_record(job_id, attempt);
    task->record->starts++;
    task->progress_time_ms = standin_now_ms();
    task->state = SUSPENDED;
    list_append(&worker.tasks, &task->link);
    loop_timer_init(&task->timer, standin_loop, on_task_timer, task);
    task_set_state(task, RUNNING, FULL_SPEED);
}

void
task_remove(task_t *task)
{
    list_remove(&task->link);
    loop_timer_stop(&task->timer);
    g_free(task);
    worker.version++;
    worker.on_change();
}

json_object *
task_describe_record(const attempt_record_t *record)
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
