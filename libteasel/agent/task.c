#include "agent/task.h"

#include <json-c/json.h>

task_t *
task_new(struct task_runner *runner, const char *job_id, uint32_t attempt)
{
    task_t *task = g_new0(task_t, 1);

    list_init(&task->link);
    task->runner = runner;
    task->job_id = g_strdup(job_id);
    task->attempt = attempt;
    task->throttle = 100;
    task->checkpoint = g_bytes_new(NULL, 0);
    return task;
}

void
task_free(task_t *task)
{
    list_remove(&task->link);
    g_bytes_unref(task->checkpoint);
    g_free(task->job_id);
    g_free(task->detail);
    g_free(task->spec);
    g_free(task);
}

static uint64_t
read_checkpoint_ms(const char *spec)
{
    struct json_object *root = json_tokener_parse(spec);
    struct json_object *value;
    int64_t ms = 0;

    if (json_object_object_get_ex(root, "checkpoint_ms", &value)) {
        ms = json_object_get_int64(value);
    }
    json_object_put(root);
    return ms > 0 ? (uint64_t)ms : 0;
}

void
task_set_start(task_t *task, const Teasel__StartTask *message)
{
    if (message->size != NULL) {
        task->size = (ledger_amount_t){
            .units = {
                [LEDGER_CPU_MILLI] = message->size->cpu_milli,
                [LEDGER_MEMORY_MB] = message->size->memory_mb,
                [LEDGER_ACCELERATORS] = message->size->accelerators,
            }};
    }
    g_free(task->spec);
    task->spec =
        g_strndup((const char *)message->spec.data, message->spec.len);
    task->checkpoint_ms = read_checkpoint_ms(task->spec);
    g_bytes_unref(task->checkpoint);
    task->checkpoint =
        g_bytes_new(message->checkpoint.data, message->checkpoint.len);
}

void
task_set_measured(task_t *task, const worker_task_t *status)
{
    task->progress_ms = status->progress_ms;
    task->cpu_milli = status->cpu_milli;
    task->memory_mb = status->memory_mb;
    task->peak_cpu_milli = MAX(task->peak_cpu_milli, status->cpu_milli);
    task->peak_memory_mb = MAX(task->peak_memory_mb, status->memory_mb);
    task->worker_suspended = status->state == WORKER_TASK_SUSPENDED;
    task->throttle = status->throttle_percent;
}

uint64_t
task_get_lost_ms(const task_t *task)
{
    return task->checkpoint_ms > 0 ? task->progress_ms % task->checkpoint_ms
                                   : task->progress_ms;
}

bool
task_is_on_worker(const task_t *task)
{
    return task->state == TASK_STARTING || task->state == TASK_ACTIVE ||
           task->state == TASK_STOPPING;
}

void
task_fill_report(const task_t *task, Teasel__TaskReport *report)
{
    gsize length;
    const void *checkpoint = g_bytes_get_data(task->checkpoint, &length);

    report->job_id = task->job_id;
    report->attempt = task->attempt;
    report->outcome = task->outcome;
    report->checkpoint.data = (uint8_t *)checkpoint;
    report->checkpoint.len = length;
    report->detail = task->detail != NULL ? task->detail : "";
    report->run_ms = task->progress_ms;
    report->peak_cpu_milli = task->peak_cpu_milli;
    report->peak_memory_mb = task->peak_memory_mb;
}
