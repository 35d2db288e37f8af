/* Encodes jobs for the store. */

#include <string.h>

#include "base/error.h"
#include "sched/executor.h"
#include "sched/job.h"

enum {
    /* A higher count cannot be followed by others in 32 bits. */
    MAX_COUNT = INT32_MAX,
    /* Longest encodings: a task without its checkpoint, an occurrence without
       its tasks, and the numbers of a job. */
    MAX_TASK_BYTES = 42,
    MAX_OCCURRENCE_BYTES = 16,
    MAX_JOB_BYTES = 64,
    /* A checkpoint adds its length, and lengthens those around it. */
    CHECKPOINT_HEADER_BYTES = 16,
    /* Part of a record that is left for the keys of executors. */
    PLACES_SHARE = 4,
};

/* Values of TaskRecord.stopping. */
enum {
    NOT_STOPPING,
    STOPPING,
    STOPPING_AS_DONE_BEFORE,
};

/* Keys of the executors that the tasks of a job are assigned to. */
typedef struct executor_table {
    GPtrArray *keys;
    GHashTable *indexes; /* key -> 1 + index */
} executor_table_t;

static uint32_t
add_executor(executor_table_t *executors, const sched_executor_t *executor)
{
    uint32_t index;

    if (executor == NULL) {
        return 0;
    }
    index = GPOINTER_TO_UINT(
        g_hash_table_lookup(executors->indexes, executor->key));
    if (index == 0) {
        g_ptr_array_add(executors->keys, executor->key);
        index = executors->keys->len;
        g_hash_table_insert(executors->indexes, executor->key,
                            GUINT_TO_POINTER(index));
    }
    return index;
}

static sched_task_phase_t
stored_phase(const sched_task_t *task)
{
    return task->phase <= SCHED_TASK_FAILED ? task->phase : SCHED_TASK_PLACED;
}

static uint32_t
stored_stopping(const sched_task_t *task)
{
    if (task->phase != SCHED_TASK_STOPPING) {
        return NOT_STOPPING;
    }
    return task->done_before ? STOPPING_AS_DONE_BEFORE : STOPPING;
}

static void
fill_task(Teasel__TaskRecord *record, const sched_task_t *task,
          executor_table_t *executors)
{
    teasel__task_record__init(record);
    record->state = stored_phase(task);
    record->run = task->run;
    record->failures = task->failures;
    record->crashes = task->crashes;
    record->unconfirmed_crashes = task->unconfirmed_crashes;
    record->crashed_run = task->crashed_run;
    record->crashed_worker =
        task->crashed_apart ? SCHED_SEVERAL_WORKERS : task->crashed_worker;
    record->stopping = stored_stopping(task);
    record->place = add_executor(executors, task->executor);
}

static uint32_t
count_tasks(const Teasel__JobSpec *spec)
{
    uint32_t count = 0;

    for (size_t i = 0; i < spec->n_steps; i++) {
        count += spec->steps[i]->count;
    }
    return count;
}

static Teasel__OccurrenceRecord *
new_occurrence_record(const sched_occurrence_t *occurrence,
                      executor_table_t *executors)
{
    const Teasel__JobSpec *spec = occurrence->job->spec;
    uint32_t count = count_tasks(spec);
    Teasel__OccurrenceRecord *record = g_new(Teasel__OccurrenceRecord, 1);
    Teasel__TaskRecord *tasks = g_new(Teasel__TaskRecord, count);
    size_t n = 0;

    teasel__occurrence_record__init(record);
    record->number = occurrence->number;
    record->tasks = g_new(Teasel__TaskRecord *, count);
    record->tasks[0] = tasks;
    for (size_t i = 0; i < spec->n_steps; i++) {
        for (uint32_t j = 0; j < spec->steps[i]->count; j++) {
            record->tasks[n] = &tasks[n];
            fill_task(&tasks[n], &occurrence->steps[i].tasks[j], executors);
            n++;
        }
    }
    record->n_tasks = n;
    return record;
}

static void
free_occurrence_record(void *data)
{
    Teasel__OccurrenceRecord *record = data;

    g_free(record->tasks[0]);
    g_free(record->tasks);
    g_free(record);
}

bool
sched_job_fits(const Teasel__JobSpec *spec, size_t occurrences,
               size_t max_bytes)
{
    size_t occurrence_bytes =
        MAX_OCCURRENCE_BYTES + (size_t)count_tasks(spec) * MAX_TASK_BYTES;
    size_t bytes = SCHED_KEY_LENGTH_BYTES + strlen(spec->id) + MAX_JOB_BYTES +
                   teasel__job_spec__get_packed_size(spec) +
                   occurrences * occurrence_bytes;

    return bytes <= max_bytes - max_bytes / PLACES_SHARE;
}

/* Adds the checkpoints of an occurrence for which there is room. Returns the
   number of the others. */
static uint32_t
add_checkpoints(Teasel__OccurrenceRecord *record,
                const sched_occurrence_t *occurrence, size_t *room)
{
    const Teasel__JobSpec *spec = occurrence->job->spec;
    uint32_t left_out = 0;
    size_t n = 0;

    for (size_t i = 0; i < spec->n_steps; i++) {
        for (uint32_t j = 0; j < spec->steps[i]->count; j++) {
            const sched_task_t *task = &occurrence->steps[i].tasks[j];
            Teasel__TaskRecord *out = record->tasks[n++];
            size_t bytes;

            if (task->checkpoint == NULL || task->phase == SCHED_TASK_DONE) {
                continue;
            }
            bytes = CHECKPOINT_HEADER_BYTES + strlen(task->checkpoint);
            if (bytes > *room) {
                left_out++;
                continue;
            }
            *room -= bytes;
            out->checkpoint = task->checkpoint;
        }
    }
    return left_out;
}

static GByteArray *
pack_record(Teasel__JobRecord *record, const sched_job_t *job,
            size_t max_bytes, uint32_t *left_out)
{
    size_t packed_size = teasel__job_record__get_packed_size(record);
    size_t bytes =
        SCHED_KEY_LENGTH_BYTES + strlen(job->spec->id) + packed_size;
    size_t initial_room = max_bytes - MIN(bytes, max_bytes);
    size_t room = initial_room;
    GByteArray *out;
    size_t n = 0;

    *left_out = 0;
    if (bytes > max_bytes) {
        return NULL;
    }
    LIST_FOREACH (occurrence, &job->occurrences, sched_occurrence_t, link) {
        if (n < record->n_occurrences) {
            *left_out +=
                add_checkpoints(record->occurrences[n++], occurrence, &room);
        }
    }
    if (room < initial_room) {
        packed_size = teasel__job_record__get_packed_size(record);
    }
    out = g_byte_array_new();
    g_byte_array_set_size(out, packed_size);
    teasel__job_record__pack(record, out->data);
    return out;
}

GByteArray *
sched_job_to_record(const sched_job_t *job, size_t max_bytes,
                    uint32_t *left_out)
{
    Teasel__JobRecord record = TEASEL__JOB_RECORD__INIT;
    executor_table_t executors = {
        .keys = g_ptr_array_new(),
        .indexes = g_hash_table_new(g_str_hash, g_str_equal),
    };
    GPtrArray *occurrences =
        g_ptr_array_new_with_free_func(free_occurrence_record);
    GByteArray *out;

    record.spec = job->spec;
    record.state = job->state;
    record.next_occurrence = job->next_occurrence;
    record.accepted = job->sequence;
    record.finished_ms = job->finished_ms;
    record.accepted_ms = job->accepted_ms;
    LIST_FOREACH (occurrence, &job->occurrences, sched_occurrence_t, link) {
        /* The tasks of a final job matter only while some may still run. */
        if (sched_job_is_final(job) && sched_job_count_placed(job) == 0) {
            break;
        }
        g_ptr_array_add(occurrences,
                        new_occurrence_record(occurrence, &executors));
    }
    record.n_occurrences = occurrences->len;
    record.occurrences = (Teasel__OccurrenceRecord **)occurrences->pdata;
    record.n_places = executors.keys->len;
    record.places = (char **)executors.keys->pdata;
    out = pack_record(&record, job, max_bytes, left_out);
    g_ptr_array_unref(occurrences);
    g_ptr_array_unref(executors.keys);
    g_hash_table_unref(executors.indexes);
    return out;
}

static bool
check_task(const Teasel__TaskRecord *task, const Teasel__JobRecord *record)
{
    return task->state <= SCHED_TASK_FAILED &&
           task->place <= record->n_places && task->run <= MAX_COUNT &&
           task->failures <= MAX_COUNT && task->crashes <= MAX_COUNT &&
           task->unconfirmed_crashes <= MAX_COUNT &&
           task->crashed_run <= task->run &&
           task->crashed_worker <= SCHED_LAST_WORKER &&
           task->stopping <= STOPPING_AS_DONE_BEFORE;
}

static bool
check_occurrence(const Teasel__OccurrenceRecord *occurrence,
                 const Teasel__JobRecord *record, GError **error)
{
    uint32_t count = count_tasks(record->spec);

    if (occurrence->n_tasks != count ||
        occurrence->number >= record->next_occurrence) {
        g_set_error(error, TEASEL_ERROR, ERROR_INVALID,
                    "record of job \"%s\": occurrence %u of %u has %zu tasks, "
                    "its steps have %u",
                    record->spec->id, occurrence->number,
                    record->next_occurrence, occurrence->n_tasks, count);
        return false;
    }
    for (size_t i = 0; i < occurrence->n_tasks; i++) {
        if (!check_task(occurrence->tasks[i], record)) {
            g_set_error(error, TEASEL_ERROR, ERROR_INVALID,
                        "record of job \"%s\": task %zu of occurrence %u has "
                        "a number out of range",
                        record->spec->id, i, occurrence->number);
            return false;
        }
    }
    return true;
}

static bool
check_occurrences(const Teasel__JobRecord *record, GError **error)
{
    for (size_t i = 0; i < record->n_occurrences; i++) {
        const Teasel__OccurrenceRecord *occurrence = record->occurrences[i];

        if (!check_occurrence(occurrence, record, error)) {
            return false;
        }
        if (i > 0 &&
            occurrence->number <= record->occurrences[i - 1]->number) {
            g_set_error(error, TEASEL_ERROR, ERROR_INVALID,
                        "record of job \"%s\": occurrence %u is out of order",
                        record->spec->id, occurrence->number);
            return false;
        }
    }
    return true;
}

static bool
is_time(int64_t ms)
{
    return ms >= 0 && ms <= SCHED_MAX_TIME_MS;
}

/* Another writer may have changed the record. */
static bool
check_record(const Teasel__JobRecord *record, const char *key, GError **error)
{
    if (strcmp(record->spec->id, key) != 0) {
        g_set_error(error, TEASEL_ERROR, ERROR_INVALID,
                    "record \"%.64s\" is of job \"%.64s\"", key,
                    record->spec->id);
        return false;
    }
    if (!sched_job_check(record->spec, error)) {
        return false;
    }
    if (record->state > SCHED_JOB_CANCELLED || record->accepted > INT64_MAX ||
        !is_time(record->finished_ms) || !is_time(record->accepted_ms) ||
        record->next_occurrence > MAX(1, record->spec->repeat_count)) {
        g_set_error(error, TEASEL_ERROR, ERROR_INVALID,
                    "record of job \"%s\": a number is out of range",
                    record->spec->id);
        return false;
    }
    return check_occurrences(record, error);
}

/* Earlier versions stored a long-running task as done after a run that had
   ended so. */
static sched_task_phase_t
get_stored_phase(const Teasel__StepSpec *spec,
                 const Teasel__TaskRecord *record)
{
    sched_task_phase_t phase = (sched_task_phase_t)record->state;

    return spec->long_running && phase == SCHED_TASK_DONE ? SCHED_TASK_WAITING
                                                          : phase;
}

/* A run that was being stopped, or whose job is final, is loaded as stopping:
   its stop order may have been lost when the leader that stored the record
   ended. */
static void
load_task(sched_task_t *task, const Teasel__TaskRecord *record,
          GPtrArray *executors)
{
    sched_step_t *step = task->step;

    task->phase = get_stored_phase(step->spec, record);
    task->run = record->run;
    task->failures = record->failures;
    task->crashes = record->crashes;
    task->unconfirmed_crashes = record->unconfirmed_crashes;
    task->crashed_run = record->crashed_run;
    task->crashed_apart = record->crashed_worker == SCHED_SEVERAL_WORKERS;
    task->crashed_worker = task->crashed_apart ? 0 : record->crashed_worker;
    task->done_before = record->stopping == STOPPING_AS_DONE_BEFORE;
    if (record->checkpoint[0] != '\0') {
        task->checkpoint = g_strdup(record->checkpoint);
    }
    if (task->phase != SCHED_TASK_WAITING) {
        step->waiting--;
    }
    if (task->phase == SCHED_TASK_DONE) {
        step->done++;
    }
    if (task->phase == SCHED_TASK_PLACED && record->place > 0 &&
        record->place <= executors->len) {
        task->start_sent = true;
        task->on_trial = sched_task_needs_trial(task);
        if (record->stopping != NOT_STOPPING ||
            sched_job_is_final(sched_task_get_job(task))) {
            task->phase = SCHED_TASK_STOPPING;
        }
        sched_executor_attach(g_ptr_array_index(executors, record->place - 1),
                              task);
    }
    else if (task->phase == SCHED_TASK_PLACED) {
        task->phase = SCHED_TASK_WAITING;
        step->waiting++;
    }
    sched_task_get_job(task)->starting += task->phase == SCHED_TASK_PLACED;
}

static void
load_occurrence(sched_job_t *job, const Teasel__OccurrenceRecord *record,
                GPtrArray *executors)
{
    sched_occurrence_t *occurrence;
    size_t n = 0;

    job->next_occurrence = record->number;
    occurrence = sched_job_add_occurrence(job);
    for (size_t i = 0; i < job->spec->n_steps; i++) {
        sched_step_t *step = &occurrence->steps[i];

        for (uint32_t j = 0; j < step->spec->count; j++) {
            load_task(&step->tasks[j], record->tasks[n++], executors);
        }
        /* Earlier versions stored gangs that had ended with a waiting
           member. */
        sched_step_finish_gang(step);
        occurrence->done_steps += step->done == step->spec->count;
    }
}

static void
free_record(Teasel__JobRecord *record)
{
    teasel__job_record__free_unpacked(record, NULL);
}

sched_job_t *
sched_job_from_record(const char *key, const void *data, size_t length,
                      sched_executor_lookup_fn lookup, void *lookup_data,
                      GError **error)
{
    Teasel__JobRecord *record = teasel__job_record__unpack(NULL, length, data);
    g_autoptr(GPtrArray) executors = g_ptr_array_new();
    sched_job_t *job;

    if (record == NULL || record->spec == NULL) {
        g_set_error(error, TEASEL_ERROR, ERROR_INVALID,
                    "stored job of %zu bytes is malformed", length);
        g_clear_pointer(&record, free_record);
        return NULL;
    }
    if (!check_record(record, key, error)) {
        free_record(record);
        return NULL;
    }
    job = sched_job_new(record->spec, record->accepted);
    record->spec = NULL;
    job->state = (sched_job_state_t)record->state;
    job->pending_state = job->state;
    job->visible_state = job->state;
    job->finished_ms = record->finished_ms;
    job->accepted_ms = record->accepted_ms;
    job->started = job->state != SCHED_JOB_QUEUED;
    job->stored = true;
    for (size_t i = 0; i < record->n_places; i++) {
        g_ptr_array_add(executors, lookup(record->places[i], lookup_data));
    }
    for (size_t i = 0; i < record->n_occurrences; i++) {
        load_occurrence(job, record->occurrences[i], executors);
    }
    job->next_occurrence = record->next_occurrence;
    free_record(record);
    return job;
}
