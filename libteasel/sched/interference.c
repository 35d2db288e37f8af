#include "sched/interference.h"

#include <math.h>
#include <string.h>

/* Weight of a pair of images without measurements: a best-effort task that
   uses an eighth of an executor adds a quarter of the target to the tail
   latency. */
static const double DEFAULT_WEIGHT = 2.0;
static const double MAX_WEIGHT = 20.0;
static const double WEIGHT_RATE = 0.2;
static const double BASELINE_RATE = 0.4;
/* Limits weight updates when best-effort tasks use little of the executor. */
static const double REGULARIZATION = 0.004;

struct interference {
    GHashTable *weights; /* "BEST EFFORT IMAGE/SERVING IMAGE" -> double */
};

interference_t *
interference_new(void)
{
    interference_t *table = g_new0(interference_t, 1);

    table->weights =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return table;
}

void
interference_free(interference_t *table)
{
    g_hash_table_unref(table->weights);
    g_free(table);
}

static char *
new_key(const Teasel__StepSpec *best_effort, const Teasel__StepSpec *serving)
{
    return g_strconcat(best_effort->image, "/", serving->image, NULL);
}

static double
get_weight(const interference_t *table, const Teasel__StepSpec *best_effort,
           const Teasel__StepSpec *serving)
{
    g_autofree char *key = new_key(best_effort, serving);
    const double *weight = g_hash_table_lookup(table->weights, key);

    return weight != NULL ? *weight : DEFAULT_WEIGHT;
}

static void
adjust_weight(interference_t *table, const Teasel__StepSpec *best_effort,
              const Teasel__StepSpec *serving, double step)
{
    double *weight = g_new(double, 1);

    *weight =
        CLAMP(get_weight(table, best_effort, serving) + step, 0.0, MAX_WEIGHT);
    g_hash_table_insert(table->weights, new_key(best_effort, serving), weight);
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
    const Teasel__StepSpec *spec = serving->step->spec;
    double ratio = (double)serving->measurement / spec->latency_target_ms;
    double pressure = 0;
    double norm = REGULARIZATION;
    double error;

    LIST_FOREACH (task, &executor->tasks, sched_task_t, executor_link) {
        double share = get_share(executor, task->measurement);

        if (is_running_best_effort(task)) {
            pressure += share * get_weight(table, task->step->spec, spec);
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
            adjust_weight(table, task->step->spec, spec,
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
                     const sched_executor_t *executor,
                     const Teasel__StepSpec *serving)
{
    double pressure = 0;

    LIST_FOREACH (task, &executor->tasks, sched_task_t, executor_link) {
        const Teasel__StepSpec *spec = task->step->spec;

        if (spec->filler && task->measurement == 0) {
            pressure += get_share(executor, spec->cpu_milli) *
                        get_weight(table, spec, serving);
        }
    }
    return pressure;
}

double
interference_predict(const interference_t *table,
                     const sched_executor_t *executor,
                     const Teasel__StepSpec *best_effort)
{
    double worst = 0;

    LIST_FOREACH (task, &executor->tasks, sched_task_t, executor_link) {
        const Teasel__StepSpec *serving = task->step->spec;
        double ratio;

        if (serving->latency_target_ms == 0) {
            continue;
        }
        ratio = (double)task->measurement / serving->latency_target_ms +
                get_pending_pressure(table, executor, serving) +
                get_share(executor, best_effort->cpu_milli) *
                    get_weight(table, best_effort, serving);
        worst = fmax(worst, ratio);
    }
    return worst;
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
        const char *slash = strchr(key, '/');

        teasel__learned_pair__init(pair);
        pair->filler = g_strndup(key, (gsize)(slash - (const char *)key));
        pair->serving = g_strdup(slash + 1);
        pair->weight = *(const double *)weight;
        g_ptr_array_add(pairs, pair);
    }
}

void
interference_add_pair(interference_t *table, const Teasel__LearnedPair *pair)
{
    double *weight = g_new(double, 1);

    *weight = CLAMP(pair->weight, 0.0, MAX_WEIGHT);
    g_hash_table_insert(table->weights,
                        g_strconcat(pair->filler, "/", pair->serving, NULL),
                        weight);
}
