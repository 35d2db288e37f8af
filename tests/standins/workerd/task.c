#include "task.h"

enum {
    EXACT_DELAY_MS = 20,
    FAIL_ALL_MS = 20,
    DEFAULT_CHECKPOINT_MS = 1000,
};

static const char *const state_names[] = {"running", "suspended", "done",
                                          "failed", "stopped"};

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

bool
task_is_alive(const task_t *task)
{
    return task->state == RUNNING || task->state == SUSPENDED;
}

static int64_t
memory_of(const task_t *task)
{
    return task_is_alive(task) ? task->true_memory_mb : 0;
}

static bool
is_usage_known(const task_t *task)
{
    return standin_now_ms() - task->changed_ms >= worker.faults.usage_lag_ms;
}

json_object *
task_describe(const task_t *task)
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
                    known ? memory_of(task) : task->reported_memory);
    standin_add_int(item, "declared_cpu_milli", task->cpu_milli);
    standin_add_int(item, "declared_memory_mb", task->memory_mb);
    standin_add_int(item, "declared_accelerators", task->accelerators);
    standin_add_string(item, "detail",
                       task->state == FAILED ? "the task failed" : "");
    return item;
}

/* A task does not run past the lease, even if the timer is late. */
static int64_t
get_late_ms(const task_t *task)
{
    int64_t end = MAX(worker.lease_end_ms, task->counted_ms);

    return MAX(standin_now_ms() - end, 0);
}

void
task_count_progress(task_t *task)
{
    int64_t now = standin_now_ms() - get_late_ms(task);

    task->progress_ms +=
        (double)(now - task->counted_ms) * (double)speed_of(task) / FULL_SPEED;
    task->progress_ms = MIN(task->progress_ms, (double)task->run_ms);
    task->counted_ms = now;
}

static void
note_highest_use(void)
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
            true_cpu += usage_of(task);
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

void
task_set_state(task_t *task, task_state_t state, int64_t throttle)
{
    bool was_running = task->state == RUNNING;
    int64_t late_ms = get_late_ms(task);

    task_count_progress(task);
    if (is_usage_known(task)) {
        task->reported_cpu = usage_of(task);
        task->reported_memory = memory_of(task);
    }
    task->changed_ms = standin_now_ms();
    task->state = state;
    task->throttle = throttle;
    if (was_running != (state == RUNNING)) {
        GArray *spans = task->record->spans;
        span_t span = {standin_wall_ms(), 0};

        if (was_running) {
            g_array_index(spans, span_t, spans->len - 1).to_ms =
                span.from_ms - late_ms;
        }
        else {
            g_array_append_val(spans, span);
        }
    }
    schedule_end(task);
    note_highest_use();
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
    task_count_progress(task);
    if (task->progress_ms < (double)task->run_ms) {
        schedule_end(task);
        return;
    }
    task_set_state(task, task->fail ? FAILED : DONE, task->throttle);
}

void
task_check_lease(loop_timer_t *timer)
{
    int64_t left = worker.lease_end_ms - standin_now_ms();

    if (left > 0) {
        loop_timer_start(
            timer, (uint64_t)(left > EXACT_DELAY_MS ? left * 10 / 11 : left));
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

    for (guint i = 0; i < worker.records->len; i++) {
        record = worker.records->pdata[i];
        if (strcmp(record->job_id, job_id) == 0 &&
            record->attempt == attempt) {
            return record;
        }
    }
    record = g_new0(record_t, 1);
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
    task->counted_ms = standin_now_ms();
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
task_describe_record(const record_t *record)
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
