#include "batch/learn.h"

#include <math.h>
#include <string.h>

/**
 * struct ratios - observed use divided by declared use
 * @values: ring of the newest observations
 * @next: where the next observation is written
 * @ratio: quantile of @values, 0 below LEARN_MIN_OBSERVATIONS
 */
typedef struct ratios {
    float values[LEARN_WINDOW];
    uint8_t count;
    uint8_t next;
    float ratio;
} ratios_t;

struct learn_class {
    ratios_t cpu;
    ratios_t memory;
    ratios_t run;
    int running;
};

struct learn {
    GHashTable *classes; /* "team/class" -> learn_class_t */
};

learn_t *
learn_new(void)
{
    learn_t *learn = g_new0(learn_t, 1);

    learn->classes =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return learn;
}

void
learn_free(learn_t *learn)
{
    if (learn == NULL) {
        return;
    }
    g_hash_table_destroy(learn->classes);
    g_free(learn);
}

learn_class_t *
learn_get_class(learn_t *learn, const job_spec_t *spec)
{
    learn_class_t *class_;
    char key[160];

    g_snprintf(key, sizeof(key), "%s/%s", spec->team, spec->class_name);
    class_ = g_hash_table_lookup(learn->classes, key);
    if (class_ == NULL &&
        g_hash_table_size(learn->classes) < LEARN_MAX_CLASSES) {
        class_ = g_new0(learn_class_t, 1);
        g_hash_table_insert(learn->classes, g_strdup(key), class_);
    }
    return class_;
}

static int
compare_floats(const void *a, const void *b)
{
    float x = *(const float *)a;
    float y = *(const float *)b;

    return (x > y) - (x < y);
}

static void
add_ratio(ratios_t *ratios, uint64_t observed, uint64_t declared,
          double quantile)
{
    float sorted[LEARN_WINDOW];

    if (observed == 0 || declared == 0) {
        return;
    }
    ratios->values[ratios->next] = (float)observed / (float)declared;
    ratios->next = (ratios->next + 1) % LEARN_WINDOW;
    ratios->count = MIN(ratios->count + 1, LEARN_WINDOW);
    if (ratios->count < LEARN_MIN_OBSERVATIONS) {
        return;
    }
    memcpy(sorted, ratios->values, sizeof(sorted));
    qsort(sorted, ratios->count, sizeof(float), compare_floats);
    ratios->ratio = sorted[(size_t)(quantile * (ratios->count - 1) + 0.5)];
}

void
learn_add_observation(learn_class_t *class_, const job_spec_t *spec,
                      const job_size_t *peak, uint64_t run_ms)
{
    if (class_ == NULL) {
        return;
    }
    add_ratio(&class_->cpu, peak->cpu_milli, spec->size.cpu_milli, 0.95);
    add_ratio(&class_->memory, peak->memory_mb, spec->size.memory_mb, 1.0);
    add_ratio(&class_->run, run_ms, spec->run_ms, 0.5);
}

void
learn_note_running(learn_class_t *class_, int change)
{
    if (class_ != NULL) {
        class_->running += change;
    }
}

bool
learn_has_estimate(const learn_class_t *class_)
{
    return class_ == NULL || class_->memory.count >= LEARN_MIN_OBSERVATIONS;
}

bool
learn_has_enough_samples(const learn_class_t *class_)
{
    return learn_has_estimate(class_) ||
           class_->memory.count + class_->running >= LEARN_MIN_OBSERVATIONS;
}

static uint64_t
scale(const ratios_t *ratios, uint64_t declared)
{
    uint64_t floor =
        (declared + LEARN_FLOOR_DIVISOR - 1) / LEARN_FLOOR_DIVISOR;

    if (ratios->ratio <= 0) {
        return declared;
    }
    return MAX((uint64_t)ceil((double)declared * ratios->ratio), floor);
}

void
learn_estimate(const learn_class_t *class_, const job_spec_t *spec,
               job_size_t *size, uint64_t *run_ms)
{
    *size = spec->size;
    *run_ms = spec->run_ms;
    if (class_ == NULL) {
        return;
    }
    size->cpu_milli = (uint32_t)scale(&class_->cpu, spec->size.cpu_milli);
    size->memory_mb = scale(&class_->memory, spec->size.memory_mb);
    *run_ms = scale(&class_->run, spec->run_ms);
}
