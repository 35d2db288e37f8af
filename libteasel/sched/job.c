#include "sched/job.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "sched/executor.h"

static bool
refuse(GError **error, const Teasel__JobSpec *spec, const char *fault,
       size_t step)
{
    g_set_error(error, TEASEL_ERROR, ERROR_INVALID, "job \"%s\": step %zu %s",
                spec->id, step, fault);
    return false;
}

static bool
check_step(const Teasel__JobSpec *spec, size_t number, GError **error)
{
    const Teasel__StepSpec *step = spec->steps[number];

    if (step->count == 0) {
        return refuse(error, spec, "has no tasks", number);
    }
    for (size_t i = 0; i < step->n_after; i++) {
        if (step->after[i] >= number) {
            return refuse(error, spec, "waits for itself or a later step",
                          number);
        }
    }
    return true;
}

static bool
check_schedule(const Teasel__JobSpec *spec, uint64_t tasks, GError **error)
{
    if (spec->repeat_count == 0) {
        return true;
    }
    if (tasks * spec->repeat_count > SCHED_MAX_REPEATED_TASKS) {
        g_set_error(error, TEASEL_ERROR, ERROR_TOO_LARGE,
                    "job \"%s\" has %" G_GUINT64_FORMAT
                    " tasks %u times, allowed are %d in total",
                    spec->id, tasks, spec->repeat_count,
                    SCHED_MAX_REPEATED_TASKS);
        return false;
    }
    if (spec->first_start_ms < 0 || spec->first_start_ms > SCHED_MAX_TIME_MS ||
        spec->interval_ms < 0 || spec->interval_ms > SCHED_MAX_INTERVAL_MS) {
        g_set_error(error, TEASEL_ERROR, ERROR_INVALID,
                    "job \"%s\" starts at %" G_GINT64_FORMAT
                    " ms every %" G_GINT64_FORMAT " ms, which is out of range",
                    spec->id, spec->first_start_ms, spec->interval_ms);
        return false;
    }
    return true;
}

bool
sched_job_check(const Teasel__JobSpec *spec, GError **error)
{
    uint64_t tasks = 0;

    if (spec->id[0] == '\0' || strlen(spec->id) > SCHED_MAX_ID_LENGTH) {
        g_set_error(error, TEASEL_ERROR, ERROR_INVALID,
                    "job \"%.64s\" has an id of %zu characters, allowed are 1 "
                    "to %d",
                    spec->id, strlen(spec->id), SCHED_MAX_ID_LENGTH);
        return false;
    }
    if (spec->n_steps == 0 || spec->n_steps > SCHED_MAX_STEPS) {
        g_set_error(error, TEASEL_ERROR, ERROR_INVALID,
                    "job \"%s\" has %zu steps, allowed are 1 to %d", spec->id,
                    spec->n_steps, SCHED_MAX_STEPS);
        return false;
    }
    for (size_t i = 0; i < spec->n_steps; i++) {
        if (!check_step(spec, i, error)) {
            return false;
        }
        tasks += spec->steps[i]->count;
    }
    if (tasks > SCHED_MAX_TASKS) {
        g_set_error(error, TEASEL_ERROR, ERROR_TOO_LARGE,
                    "job \"%s\" has %" G_GUINT64_FORMAT
                    " tasks, allowed are %d",
                    spec->id, tasks, SCHED_MAX_TASKS);
        return false;
    }
    return check_schedule(spec, tasks, error);
}

sched_job_t *
sched_job_new(Teasel__JobSpec *spec, uint64_t sequence)
{
    sched_job_t *job = g_new0(sched_job_t, 1);

    job->spec = spec;
    job->sequence = sequence;
    job->image_ids = g_new0(uint16_t, spec->n_steps);
    list_init(&job->link);
    list_init(&job->dirty_link);
    list_init(&job->occurrences);
    return job;
}

static void
free_step(sched_step_t *step)
{
    for (uint32_t i = 0; i < step->spec->count; i++) {
        list_remove(&step->tasks[i].order_link);
        sched_executor_detach(&step->tasks[i]);
        g_free(step->tasks[i].checkpoint);
        avoid_list_clear(&step->tasks[i].avoided);
    }
    g_free(step->tasks);
}

void
sched_job_remove_occurrence(sched_occurrence_t *occurrence)
{
    for (size_t i = 0; i < occurrence->job->spec->n_steps; i++) {
        free_step(&occurrence->steps[i]);
    }
    list_remove(&occurrence->link);
    g_free(occurrence->steps);
    g_free(occurrence);
}

void
sched_job_free(sched_job_t *job)
{
    LIST_FOREACH_SAFE (occurrence, &job->occurrences, sched_occurrence_t,
                       link) {
        sched_job_remove_occurrence(occurrence);
    }
    list_remove(&job->link);
    list_remove(&job->dirty_link);
    teasel__job_spec__free_unpacked(job->spec, NULL);
    g_free(job->image_ids);
    g_free(job);
}

static const char *const state_names[] = {
    [SCHED_JOB_QUEUED] = "queued",       [SCHED_JOB_RUNNING] = "running",
    [SCHED_JOB_COMPLETED] = "completed", [SCHED_JOB_FAILED] = "failed",
    [SCHED_JOB_CANCELLED] = "cancelled",
};

static const char *const end_names[] = {
    [SCHED_END_DONE] = "done",       [SCHED_END_FAILED] = "failed",
    [SCHED_END_STOPPED] = "stopped", [SCHED_END_LAPSED] = "lapsed",
    [SCHED_END_BROKEN] = "broken",   [SCHED_END_ALONE] = "alone",
};

const char *
sched_job_state_to_string(sched_job_state_t state)
{
    return state < G_N_ELEMENTS(state_names) ? state_names[state] : "?";
}

const char *
sched_end_to_string(sched_end_t end)
{
    return end < G_N_ELEMENTS(end_names) ? end_names[end] : "?";
}

sched_job_state_t
sched_job_get_visible_state(const sched_job_t *job)
{
    if (job->visible_state == SCHED_JOB_QUEUED && job->started) {
        return SCHED_JOB_RUNNING;
    }
    return job->visible_state;
}

bool
sched_job_is_final(const sched_job_t *job)
{
    return job->state >= SCHED_JOB_COMPLETED;
}

static void
init_step(sched_step_t *step, sched_occurrence_t *occurrence, uint32_t number)
{
    step->occurrence = occurrence;
    step->spec = occurrence->job->spec->steps[number];
    step->number = number;
    step->waiting = step->spec->count;
    step->tasks = g_new0(sched_task_t, step->spec->count);
    for (uint32_t i = 0; i < step->spec->count; i++) {
        sched_task_t *task = &step->tasks[i];

        list_init(&task->order_link);
        list_init(&task->executor_link);
        task->step = step;
        task->index = i;
    }
}

sched_occurrence_t *
sched_job_add_occurrence(sched_job_t *job)
{
    sched_occurrence_t *occurrence = g_new0(sched_occurrence_t, 1);

    occurrence->job = job;
    occurrence->number = job->next_occurrence++;
    occurrence->steps = g_new0(sched_step_t, job->spec->n_steps);
    for (uint32_t i = 0; i < job->spec->n_steps; i++) {
        init_step(&occurrence->steps[i], occurrence, i);
    }
    list_append(&job->occurrences, &occurrence->link);
    return occurrence;
}

static uint32_t
count_tasks(const sched_job_t *job, bool (*matches)(const sched_task_t *task))
{
    uint32_t count = 0;

    LIST_FOREACH (occurrence, &job->occurrences, sched_occurrence_t, link) {
        for (size_t i = 0; i < job->spec->n_steps; i++) {
            const sched_step_t *step = &occurrence->steps[i];

            for (uint32_t j = 0; j < step->spec->count; j++) {
                count += matches(&step->tasks[j]);
            }
        }
    }
    return count;
}

static bool
is_placed(const sched_task_t *task)
{
    return task->executor != NULL;
}

uint32_t
sched_job_count_placed(const sched_job_t *job)
{
    return count_tasks(job, is_placed);
}

const sched_step_t *
sched_job_get_waiting_step(const sched_job_t *job)
{
    LIST_FOREACH (occurrence, &job->occurrences, sched_occurrence_t, link) {
        for (size_t i = 0; i < job->spec->n_steps; i++) {
            const sched_step_t *step = &occurrence->steps[i];

            if (step->waiting > 0 && sched_step_is_ready(step)) {
                return step;
            }
        }
    }
    return NULL;
}

int64_t
sched_job_get_start_ms(const sched_job_t *job, uint32_t occurrence)
{
    if (job->spec->repeat_count == 0) {
        return 0;
    }
    return job->spec->first_start_ms + occurrence * job->spec->interval_ms;
}

sched_task_t *
sched_job_find_task(const sched_job_t *job, uint32_t occurrence, uint32_t step,
                    uint32_t index)
{
    if (step >= job->spec->n_steps || index >= job->spec->steps[step]->count) {
        return NULL;
    }
    LIST_FOREACH (found, &job->occurrences, sched_occurrence_t, link) {
        if (found->number == occurrence) {
            return &found->steps[step].tasks[index];
        }
    }
    return NULL;
}

sched_job_t *
sched_task_get_job(const sched_task_t *task)
{
    return task->step->occurrence->job;
}

void
sched_task_set_phase(sched_task_t *task, sched_task_phase_t phase)
{
    sched_job_t *job = sched_task_get_job(task);

    job->running -= task->phase == SCHED_TASK_RUNNING;
    job->running += phase == SCHED_TASK_RUNNING;
    job->starting -= task->phase == SCHED_TASK_PLACED;
    job->starting += phase == SCHED_TASK_PLACED;
    if (task->executor != NULL) {
        task->executor->stopping -= task->phase == SCHED_TASK_STOPPING;
        task->executor->stopping += phase == SCHED_TASK_STOPPING;
    }
    task->phase = phase;
}

void
sched_task_mark_done(sched_task_t *task)
{
    if (task->phase == SCHED_TASK_DONE) {
        return;
    }
    if (task->phase == SCHED_TASK_WAITING) {
        task->step->waiting--;
    }
    sched_task_set_phase(task, SCHED_TASK_DONE);
    task->step->done++;
    g_clear_pointer(&task->checkpoint, g_free);
    avoid_list_clear(&task->avoided);
}

bool
sched_step_is_finished_gang(const sched_step_t *step)
{
    return step->spec->gang && step->done > 0;
}

void
sched_step_finish_gang(sched_step_t *step)
{
    if (!sched_step_is_finished_gang(step)) {
        return;
    }
    for (uint32_t i = 0; i < step->spec->count; i++) {
        if (step->tasks[i].phase == SCHED_TASK_WAITING) {
            sched_task_mark_done(&step->tasks[i]);
        }
    }
}

uint16_t
sched_step_get_image_id(const sched_step_t *step)
{
    return step->occurrence->job->image_ids[step->number];
}

bool
sched_step_is_ready(const sched_step_t *step)
{
    const sched_step_t *steps = step->occurrence->steps;

    for (size_t i = 0; i < step->spec->n_after; i++) {
        const sched_step_t *before = &steps[step->spec->after[i]];

        if (before->done < before->spec->count) {
            return false;
        }
    }
    return true;
}

void
sched_task_format_name(const sched_task_t *task,
                       char name[SCHED_TASK_NAME_SIZE])
{
    const sched_occurrence_t *occurrence = task->step->occurrence;

    snprintf(name, SCHED_TASK_NAME_SIZE, "%s.%u.%u.%u",
             occurrence->job->spec->id, occurrence->number, task->step->number,
             task->index);
}

/* Parses ".NUMBER" at the end of a name and shortens @length to the rest. */
static bool
split_number(const char *name, size_t *length, uint32_t *number)
{
    size_t start = *length;
    uint64_t value = 0;

    while (start > 0 && g_ascii_isdigit(name[start - 1])) {
        start--;
    }
    if (start == *length || start == 0 || name[start - 1] != '.' ||
        *length - start > 9) {
        return false;
    }
    for (size_t i = start; i < *length; i++) {
        value = value * 10 + (uint64_t)(name[i] - '0');
    }
    *number = (uint32_t)value;
    *length = start - 1;
    return true;
}

bool
sched_task_parse_name(const char *name, char **job_id, uint32_t *occurrence,
                      uint32_t *step, uint32_t *index)
{
    size_t length = strlen(name);

    if (!split_number(name, &length, index) ||
        !split_number(name, &length, step) ||
        !split_number(name, &length, occurrence) || length == 0) {
        return false;
    }
    *job_id = g_strndup(name, length);
    return true;
}
