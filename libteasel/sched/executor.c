#include "sched/executor.h"

#include <string.h>
#include <xxhash.h>

#include "base/text.h"

enum {
    /* Clocks of executors may be slow by 2%; the rest and the margin cover
       message delays. */
    DRIFT_PERCENT = 4,
    LEASE_MARGIN_MS = 300,
};

char *
sched_executor_key(const char *address, const char *id, int64_t started_ms)
{
    return g_strdup_printf("%s/%s/%" G_GINT64_FORMAT, address, id, started_ms);
}

int64_t
sched_executor_key_started_ms(const char *key)
{
    const char *last = strrchr(key, '/');

    return last != NULL ? g_ascii_strtoll(last + 1, NULL, 10) : 0;
}

uint32_t
sched_executor_key_worker(const char *key)
{
    size_t length = strcspn(key, "/");

    if (length == 0) {
        return 0;
    }
    return SCHED_FIRST_WORKER +
           XXH32(key, length, 0) %
               (SCHED_LAST_WORKER - SCHED_FIRST_WORKER + 1);
}

bool
sched_executor_key_replaces(const char *later, const char *older)
{
    size_t address = strcspn(older, "/");

    return strncmp(later, older, address + 1) == 0 &&
           sched_executor_key_started_ms(later) >
               sched_executor_key_started_ms(older);
}

bool
sched_executor_key_restarts(const char *later, const char *older)
{
    const char *last = strrchr(older, '/');
    size_t length = last != NULL ? (size_t)(last - older) + 1 : 0;

    return strncmp(later, older, length) == 0 &&
           strchr(later + length, '/') == NULL &&
           sched_executor_key_replaces(later, older);
}

sched_node_t *
sched_node_new(const char *name)
{
    sched_node_t *node = g_new0(sched_node_t, 1);

    node->name = g_strdup(name);
    list_init(&node->executors);
    return node;
}

void
sched_node_free(sched_node_t *node)
{
    LIST_FOREACH_SAFE (executor, &node->executors, sched_executor_t,
                       node_link) {
        sched_executor_set_node(executor, NULL);
    }
    g_free(node->name);
    g_free(node);
}

static void
free_orphan(void *data)
{
    sched_orphan_t *orphan = data;

    g_free(orphan->task);
    g_free(orphan);
}

sched_executor_t *
sched_executor_new(const char *key)
{
    sched_executor_t *executor = g_new0(sched_executor_t, 1);

    executor->key = g_strdup(key);
    executor->worker = sched_executor_key_worker(key);
    executor->run_time_ratio = 1.0;
    executor->orphans = g_ptr_array_new_with_free_func(free_orphan);
    list_init(&executor->link);
    list_init(&executor->node_link);
    list_init(&executor->tasks);
    list_init(&executor->orders);
    return executor;
}

void
sched_executor_free(sched_executor_t *executor)
{
    LIST_FOREACH_SAFE (task, &executor->tasks, sched_task_t, executor_link) {
        sched_executor_detach(task);
    }
    LIST_FOREACH_SAFE (task, &executor->orders, sched_task_t, order_link) {
        list_remove(&task->order_link);
    }
    list_remove(&executor->link);
    list_remove(&executor->node_link);
    g_ptr_array_unref(executor->orphans);
    g_strfreev(executor->labels);
    g_free(executor->key);
    g_free(executor->service);
    g_free(executor->data_centre);
    g_free(executor->rack);
    g_free(executor);
}

static char **
copy_strings(char *const *strings, size_t count)
{
    char **copy = g_new0(char *, count + 1);

    for (size_t i = 0; i < count; i++) {
        copy[i] = g_strdup(strings[i]);
    }
    return copy;
}

void
sched_executor_set_node(sched_executor_t *executor, sched_node_t *node)
{
    executor->node = node;
    list_remove(&executor->node_link);
    if (node != NULL) {
        list_append(&node->executors, &executor->node_link);
    }
}

void
sched_executor_update(sched_executor_t *executor,
                      const Teasel__ExecutorReport *report, int64_t now_ms)
{
    text_replace(&executor->service, report->service);
    text_replace(&executor->data_centre, report->data_centre);
    text_replace(&executor->rack, report->rack);
    g_strfreev(executor->labels);
    executor->labels = copy_strings(report->labels, report->n_labels);
    executor->draining = report->draining;
    executor->leaves_ms = now_ms + report->remaining_ms;
    if (report->capacity != NULL) {
        executor->capacity.cpu_milli = report->capacity->cpu_milli;
        executor->capacity.memory_mb = report->capacity->memory_mb;
        executor->capacity.accelerators = report->capacity->accelerators;
    }
}

int64_t
sched_executor_get_lease_end_ms(int64_t now_ms, int64_t lease_ms)
{
    return now_ms + lease_ms + lease_ms * DRIFT_PERCENT / 100 +
           LEASE_MARGIN_MS;
}

void
sched_executor_skip_time(sched_executor_t *executor, int64_t skipped_ms,
                         int64_t now_ms)
{
    LIST_FOREACH (task, &executor->tasks, sched_task_t, executor_link) {
        task->progress_ms = MIN(now_ms, task->progress_ms + skipped_ms);
        if (task->slowed_since_ms != 0) {
            task->slowed_since_ms =
                MIN(now_ms, task->slowed_since_ms + skipped_ms);
        }
    }
}

static sched_resources_t
get_size(const Teasel__StepSpec *spec)
{
    return (sched_resources_t){.cpu_milli = spec->cpu_milli,
                               .memory_mb = spec->memory_mb,
                               .accelerators = spec->accelerators};
}

static void
add_size(sched_executor_t *executor, const sched_resources_t *size,
         bool best_effort, int sign)
{
    if (best_effort) {
        executor->best_effort_cpu += (uint64_t)sign * size->cpu_milli;
    }
    else {
        executor->reserved.cpu_milli += (uint64_t)sign * size->cpu_milli;
    }
    executor->reserved.memory_mb += (uint64_t)sign * size->memory_mb;
    executor->reserved.accelerators += (uint64_t)sign * size->accelerators;
}

static void
add_reservation(sched_executor_t *executor, const Teasel__StepSpec *spec,
                int sign)
{
    sched_resources_t size = get_size(spec);

    add_size(executor, &size, spec->filler, sign);
    if (spec->latency_target_ms > 0) {
        executor->serving += (uint32_t)sign;
        executor->serving_cpu += (uint64_t)sign * spec->cpu_milli;
    }
}

void
sched_executor_attach(sched_executor_t *executor, sched_task_t *task)
{
    task->executor = executor;
    list_append(&executor->tasks, &task->executor_link);
    executor->stopping += task->phase == SCHED_TASK_STOPPING;
    executor->trials += task->on_trial;
    add_reservation(executor, task->step->spec, 1);
}

void
sched_executor_detach(sched_task_t *task)
{
    if (task->executor == NULL) {
        return;
    }
    add_reservation(task->executor, task->step->spec, -1);
    task->executor->stopping -= task->phase == SCHED_TASK_STOPPING;
    task->executor->trials -= task->on_trial;
    list_remove(&task->executor_link);
    task->executor = NULL;
}

void
sched_executor_update_slowdown(sched_executor_t *executor)
{
    executor->slowdown = 0;
    LIST_FOREACH (task, &executor->tasks, sched_task_t, executor_link) {
        executor->slowdown = MAX(executor->slowdown, task->slowdown);
    }
}

static sched_orphan_t *
find_orphan(const sched_executor_t *executor, const char *task, uint32_t run,
            guint *index)
{
    for (guint i = 0; i < executor->orphans->len; i++) {
        sched_orphan_t *orphan = g_ptr_array_index(executor->orphans, i);

        if (orphan->run == run && strcmp(orphan->task, task) == 0) {
            *index = i;
            return orphan;
        }
    }
    return NULL;
}

static sched_orphan_t *
add_orphan(sched_executor_t *executor, const Teasel__RunStatus *status,
           const Teasel__StepSpec *spec)
{
    sched_orphan_t *orphan = g_new0(sched_orphan_t, 1);

    orphan->task = g_strdup(status->task);
    orphan->run = status->run;
    if (spec != NULL) {
        orphan->size = get_size(spec);
        orphan->best_effort = spec->filler;
    }
    add_size(executor, &orphan->size, orphan->best_effort, 1);
    g_ptr_array_add(executor->orphans, orphan);
    return orphan;
}

void
sched_executor_note_orphan(sched_executor_t *executor,
                           const Teasel__RunStatus *status,
                           const Teasel__StepSpec *spec, uint64_t report)
{
    guint index;
    sched_orphan_t *orphan =
        find_orphan(executor, status->task, status->run, &index);

    if (orphan == NULL) {
        orphan = add_orphan(executor, status, spec);
    }
    orphan->report = report;
    orphan->stop_due = true;
}

static void
remove_orphan_at(sched_executor_t *executor, guint index)
{
    const sched_orphan_t *orphan = g_ptr_array_index(executor->orphans, index);

    add_size(executor, &orphan->size, orphan->best_effort, -1);
    g_ptr_array_remove_index(executor->orphans, index);
}

bool
sched_executor_remove_orphan(sched_executor_t *executor, const char *task,
                             uint32_t run)
{
    guint index;

    if (find_orphan(executor, task, run, &index) == NULL) {
        return false;
    }
    remove_orphan_at(executor, index);
    return true;
}

bool
sched_executor_remove_unlisted_orphans(sched_executor_t *executor,
                                       uint64_t report)
{
    guint before = executor->orphans->len;

    for (guint i = before; i > 0; i--) {
        const sched_orphan_t *orphan =
            g_ptr_array_index(executor->orphans, i - 1);

        if (orphan->report != report) {
            remove_orphan_at(executor, i - 1);
        }
    }
    return executor->orphans->len < before;
}

bool
sched_executor_has_label(const sched_executor_t *executor, const char *label)
{
    return executor->labels != NULL &&
           g_strv_contains((const char *const *)executor->labels, label);
}

bool
sched_step_is_remote(const sched_step_t *step,
                     const sched_executor_t *executor)
{
    const char *rack = step->spec->data_rack;

    return rack[0] != '\0' && !sched_executor_has_label(executor, rack);
}
