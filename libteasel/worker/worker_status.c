#include "worker/worker_status.h"

#include <glib.h>
#include <string.h>

static const char *const state_names[] = {
    [WORKER_TASK_RUNNING] = "running", [WORKER_TASK_SUSPENDED] = "suspended",
    [WORKER_TASK_DONE] = "done",       [WORKER_TASK_FAILED] = "failed",
    [WORKER_TASK_STOPPED] = "stopped",
};

static bool
read_number(struct json_object *object, const char *key, uint64_t *out)
{
    struct json_object *value;

    if (!json_object_object_get_ex(object, key, &value) ||
        !json_object_is_type(value, json_type_int) ||
        json_object_get_int64(value) < 0) {
        return false;
    }
    *out = json_object_get_uint64(value);
    return true;
}

static bool
read_number32(struct json_object *object, const char *key, uint32_t *out)
{
    uint64_t number;

    if (!read_number(object, key, &number) || number > UINT32_MAX) {
        return false;
    }
    *out = (uint32_t)number;
    return true;
}

static const char *
read_string(struct json_object *object, const char *key)
{
    struct json_object *value;

    if (!json_object_object_get_ex(object, key, &value) ||
        !json_object_is_type(value, json_type_string)) {
        return NULL;
    }
    return json_object_get_string(value);
}

static bool
read_state(struct json_object *object, worker_task_state_t *out)
{
    const char *name = read_string(object, "state");

    for (size_t i = 0; name != NULL && i < G_N_ELEMENTS(state_names); i++) {
        if (strcmp(name, state_names[i]) == 0) {
            *out = (worker_task_state_t)i;
            return true;
        }
    }
    return false;
}

static bool
read_task(struct json_object *object, worker_task_t *task)
{
    task->job_id = read_string(object, "job_id");
    task->detail = read_string(object, "detail");
    if (task->detail == NULL) {
        task->detail = "";
    }
    return task->job_id != NULL &&
           read_number32(object, "attempt", &task->attempt) &&
           read_state(object, &task->state) &&
           read_number(object, "progress_ms", &task->progress_ms) &&
           read_number32(object, "throttle_percent",
                         &task->throttle_percent) &&
           read_number32(object, "cpu_milli", &task->cpu_milli) &&
           read_number(object, "memory_mb", &task->memory_mb) &&
           read_number32(object, "declared_cpu_milli",
                         &task->declared_cpu_milli) &&
           read_number(object, "declared_memory_mb",
                       &task->declared_memory_mb) &&
           read_number32(object, "declared_accelerators",
                         &task->declared_accelerators);
}

static bool
read_tasks(struct json_object *list, worker_status_t *status)
{
    size_t count = json_object_array_length(list);
    worker_task_t *tasks = g_new0(worker_task_t, count + 1);

    status->tasks = tasks;
    status->task_count = count;
    for (size_t i = 0; i < count; i++) {
        if (!read_task(json_object_array_get_idx(list, i), &tasks[i])) {
            return false;
        }
    }
    return true;
}

bool
worker_status_parse(struct json_object *root, worker_status_t *status)
{
    struct json_object *list;

    memset(status, 0, sizeof(*status));
    status->detail = "";
    if (!read_number(root, "incarnation", &status->incarnation) ||
        !read_number(root, "version", &status->version) ||
        !read_number32(root, "cpu_milli", &status->cpu_milli) ||
        !read_number(root, "memory_mb", &status->memory_mb) ||
        !read_number32(root, "accelerators", &status->accelerators) ||
        !json_object_object_get_ex(root, "tasks", &list) ||
        !json_object_is_type(list, json_type_array)) {
        return false;
    }
    if (!read_tasks(list, status)) {
        worker_status_clear(status);
        return false;
    }
    status->ok = true;
    return true;
}

void
worker_status_clear(worker_status_t *status)
{
    g_free((void *)status->tasks);
    status->tasks = NULL;
    status->task_count = 0;
}
