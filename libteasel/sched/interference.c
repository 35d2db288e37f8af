#include "sched/interference.h"

#include <math.h>

/* Weight of a pair of images without measurements: a best-effort task that
   uses an eighth of an executor adds a quarter of the target to the tail
   latency. */
static const double DEFAULT_WEIGHT = 2.0;
static const double MAX_WEIGHT = 20.0;
static const double WEIGHT_RATE = 0.2;
static const double BASELINE_RATE = 0.4;
/* Limits weight updates when best-effort tasks use little of the executor. */
static const double REGULARIZATION = 0.004;

enum {
    /* Bounds of the memory and of the stored record. */
    MAX_IMAGES = 4096,
    MAX_PAIRS = 4096,
};

/**
 * struct interference - see interference.h
 * @image_ids: image name -> number
 * @images: image names by number; number 0 is SCHED_NO_IMAGE
 * @weights: pair of numbers, see get_pair_key() -> double
 */
struct interference {
    GHashTable *image_ids;
    GPtrArray *images;
    GHashTable *weights;
};

interference_t *
interference_new(void)
{
    interference_t *table = g_new0(interference_t, 1);

    table->images = g_ptr_array_new_with_free_func(g_free);
    g_ptr_array_add(table->images, NULL);
    table->image_ids = g_hash_table_new(g_str_hash, g_str_equal);
    table->weights = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    return table;
}

void
interference_free(interference_t *table)
{
    g_hash_table_unref(table->weights);
    g_hash_table_unref(table->image_ids);
    g_ptr_array_unref(table->images);
    g_free(table);
}

uint16_t
interference_get_image_id(interference_t *table, const char *image)
{
    gpointer id = g_hash_table_lookup(table->image_ids, image);
    char *name;

    if (id != NULL) {
        return (uint16_t)GPOINTER_TO_UINT(id);
    }
    if (table->images->len >= MAX_IMAGES) {
        return SCHED_NO_IMAGE;
    }
    name = g_strdup(image);
    g_ptr_array_add(table->images, name);
    g_hash_table_insert(table->image_ids, name,
                        GUINT_TO_POINTER(table->images->len - 1));
    return (uint16_t)(table->images->len - 1);
}

static gpointer
get_pair_key(uint16_t best_effort, uint16_t serving)
{
    return GUINT_TO_POINTER((guint)best_effort << 16 | serving);
}

static double
get_weight(const interference_t *table, uint16_t best_effort, uint16_t serving)
{
    const double *weight = g_hash_table_lookup(
        table->weights, get_pair_key(best_effort, serving));

    return weight != NULL ? *weight : DEFAULT_WEIGHT;
}

static void
set_weight(interference_t *table, uint16_t best_effort, uint16_t serving,
           double weight)
{
    gpointer key = get_pair_key(best_effort, serving);
    double *stored = g_hash_table_lookup(table->weights, key);

    if (best_effort == SCHED_NO_IMAGE || serving == SCHED_NO_IMAGE) {
        return;
    }
    if (stored == NULL) {
        if (g_hash_table_size(table->weights) >= MAX_PAIRS) {
            return;
        }
        stored = g_new(double, 1);
        g_hash_table_insert(table->weights, key, stored);
    }
    *stored = CLAMP(weight, 0.0, MAX_WEIGHT);
}

static double
get_share(const sched_executor_t *executor, uint64_t cpu_milli)
{
    return (double)cpu_milli / fmax(1.0, (double)executor->capacity.cpu_milli);
}

static bool
is_running_best_effort(const sched_task_t *task)
{
    return task->step->spec->filler && task->phase == SCHED_TASK_RUNNING;
}

static void
update_weights(interference_t *table, sched_executor_t *executor,
               sched_task_t *serving)
{
    uint16_t image = sched_step_get_image_id(serving->step);
    double ratio =
        (double)serving->measurement / serving->step->spec->latency_target_ms;
    double pressure = 0;
    double norm = REGULARIZATION;
    double error;

    LIST_FOREACH (task, &executor->tasks, sched_task_t, executor_link) {
        double share = get_share(executor, task->measurement);

        if (is_running_best_effort(task)) {
            pressure +=
                share *
                get_weight(table, sched_step_get_image_id(task->step), image);
            norm += share * share;
        }
    }
    if (serving->baseline_ratio == 0) {
        serving->baseline_ratio = fmax(0.05, ratio - pressure);
    }
    error = ratio - serving->baseline_ratio - pressure;
    serving->baseline_ratio =
        fmax(0.05, serving->baseline_ratio + BASELINE_RATE * error);
    LIST_FOREACH (task, &executor->tasks, sched_task_t, executor_link) {
        double share = get_share(executor, task->measurement);

        if (is_running_best_effort(task) && share > 0) {
            uint16_t other = sched_step_get_image_id(task->step);

            set_weight(table, other, image,
                       get_weight(table, other, image) +
                           WEIGHT_RATE * error * share / norm);
        }
    }
}

static bool
is_serving(const sched_task_t *task)
{
    /* A task that has just started has no measurement yet. */
    return task->step->spec->latency_target_ms > 0 && task->measurement > 0 &&
           task->phase == SCHED_TASK_RUNNING;
}

void
interference_update(interference_t *table, sched_executor_t *executor)
{
    LIST_FOREACH (task, &executor->tasks, sched_task_t, executor_link) {
        if (is_serving(task)) {
            update_weights(table, executor, task);
        }
    }
}

/* Returns the predicted effect of best-effort tasks without a measurement.
   They were placed after the last report, so the measured latency does not
   include their effect yet. */
static double
get_pending_pressure(const interference_t *table,
                     const sched_executor_t *executor, uint16_t serving)
{
    double pressure = 0;

    LIST_FOREACH (task, &executor->tasks, sched_task_t, executor_link) {
        const Teasel__StepSpec *spec = task->step->spec;

        if (spec->filler && task->measurement == 0) {
            pressure += get_share(executor, spec->cpu_milli) *
                        get_weight(table, sched_step_get_image_id(task->step),
                                   serving);
        }
    }
    return pressure;
}

interference_prediction_t
interference_predict(const interference_t *table,
                     const sched_executor_t *executor,
                     const sched_step_t *best_effort)
{
    interference_prediction_t prediction = {0};
    double share = get_share(executor, best_effort->spec->cpu_milli);
    uint16_t image = sched_step_get_image_id(best_effort);

    LIST_FOREACH (task, &executor->tasks, sched_task_t, executor_link) {
        uint32_t target_ms = task->step->spec->latency_target_ms;
        uint16_t serving;
        double effect;
        double tail;

        if (target_ms == 0) {
            continue;
        }
        serving = sched_step_get_image_id(task->step);
        effect = share * get_weight(table, image, serving);
        tail = (double)task->measurement / target_ms + effect +
               get_pending_pressure(table, executor, serving);
        prediction.effect = fmax(prediction.effect, effect);
        prediction.tail = fmax(prediction.tail, tail);
    }
    return prediction;
}

double
interference_get_effect(const interference_t *table,
                        const sched_executor_t *executor,
                        const sched_step_t *best_effort)
{
    double share = get_share(executor, best_effort->spec->cpu_milli);
    uint16_t image = sched_step_get_image_id(best_effort);
    double effect = 0;

    LIST_FOREACH (task, &executor->tasks, sched_task_t, executor_link) {
        if (task->step->spec->latency_target_ms > 0) {
            uint16_t serving = sched_step_get_image_id(task->step);

            effect = fmax(effect, share * get_weight(table, image, serving));
        }
    }
    return effect;
}

static void
free_pair(void *data)
{
    Teasel__LearnedPair *pair = data;

    g_free(pair->filler);
    g_free(pair->serving);
    g_free(pair);
}

void
interference_to_pairs(const interference_t *table, GPtrArray *pairs)
{
    GHashTableIter iter;
    gpointer key;
    gpointer weight;

    g_ptr_array_set_free_func(pairs, free_pair);
    g_hash_table_iter_init(&iter, table->weights);
    while (g_hash_table_iter_next(&iter, &key, &weight)) {
        Teasel__LearnedPair *pair = g_new(Teasel__LearnedPair, 1);
        guint ids = GPOINTER_TO_UINT(key);

        teasel__learned_pair__init(pair);
        pair->filler = g_strdup(g_ptr_array_index(table->images, ids >> 16));
        pair->serving =
            g_strdup(g_ptr_array_index(table->images, ids & UINT16_MAX));
        pair->weight = *(const double *)weight;
        g_ptr_array_add(pairs, pair);
    }
}

void
interference_add_pair(interference_t *table, const Teasel__LearnedPair *pair)
{
    set_weight(table, interference_get_image_id(table, pair->filler),
               interference_get_image_id(table, pair->serving), pair->weight);
}
