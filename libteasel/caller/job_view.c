#include "caller/job_view.h"

#include <json-c/json.h>

static void
add_string(struct json_object *object, const char *key, const char *value)
{
    json_object_object_add(object, key,
                           value ? json_object_new_string(value) : NULL);
}

static void
add_number(struct json_object *object, const char *key, uint64_t value)
{
    json_object_object_add(object, key, json_object_new_uint64(value));
}

static void
add_size(struct json_object *object, const char *key, const job_size_t *size)
{
    struct json_object *member = json_object_new_object();

    add_number(member, "cpu_milli", size->cpu_milli);
    add_number(member, "memory_mb", size->memory_mb);
    add_number(member, "accelerators", size->accelerators);
    json_object_object_add(object, key, member);
}

static struct json_object *
describe_job(const cell_job_t *job)
{
    struct json_object *object = json_object_new_object();

    add_string(object, "job_id", job->id);
    add_string(object, "state", cell_state_get_name(job->state));
    add_string(object, "team", job->spec.team);
    add_string(object, "class", job->spec.class_name);
    add_number(object, "attempt", job->attempt);
    add_number(object, "failures", job->failures);
    add_string(object, "worker", job->attempt > 0 ? job->worker : NULL);
    add_string(object, "submitter", job->submitter);
    add_number(object, "submit_offset", job->submit_offset);
    json_object_object_add(object, "cancel_wanted",
                           json_object_new_boolean(job->cancel_wanted));
    add_string(object, "detail", job->detail);
    return object;
}

static struct json_object *
describe_worker(const cell_worker_t *worker)
{
    struct json_object *object = json_object_new_object();

    add_string(object, "worker", worker->name);
    add_size(object, "capacity", &worker->capacity);
    add_size(object, "used", &worker->used);
    json_object_object_add(object, "quarantined",
                           json_object_new_boolean(worker->quarantined));
    add_string(object, "reason", worker->reason);
    return object;
}

static char *
render(struct json_object *object)
{
    char *text = g_strdup_printf("%s\n", json_object_to_json_string_ext(
                                             object, JSON_C_TO_STRING_PLAIN));

    json_object_put(object);
    return text;
}

char *
job_view_render(const cell_job_t *job)
{
    return render(describe_job(job));
}

char *
job_view_render_cell(const cell_t *cell)
{
    struct json_object *object = json_object_new_object();
    struct json_object *jobs = json_object_new_array();
    struct json_object *workers = json_object_new_array();

    LIST_FOREACH (job, &cell->live, cell_job_t, link) {
        json_object_array_add(jobs, describe_job(job));
    }
    LIST_FOREACH (job, &cell->ended, cell_job_t, link) {
        json_object_array_add(jobs, describe_job(job));
    }
    LIST_FOREACH (worker, &cell->worker_list, cell_worker_t, link) {
        json_object_array_add(workers, describe_worker(worker));
    }
    add_number(object, "epoch", cell->epoch);
    add_string(object, "coordinator", cell->claim_agent);
    json_object_object_add(object, "jobs", jobs);
    json_object_object_add(object, "workers", workers);
    return render(object);
}
