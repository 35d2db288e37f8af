#include "batch/learn.h"

#include <math.h>
#include <string.h>

typedef struct ratios {
    float values[LEARN_WINDOW];
    uint8_t count;
    uint8_t next;
} ratios_t;

typedef struct job_class {
    ratios_t cpu;
    ratios_t memory;
    ratios_t run;
} job_class_t;

struct learn {
    GHashTable *classes; /* "team/class" -> job_class_t */
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

static void
make_key(const job_spec_t *spec, char out[160])
{
    g_snprintf(out, 160, "%s/%s", spec->team, spec->class_name);
}

static void
add_ratio(ratios_t *ratios, uint64_t observed, uint64_t declared)
{
    if (observed == 0 || declared == 0) {
        return;
    }
    ratios->values[ratios->next] = (float)observed / (float)declared;
    ratios->next = (ratios->next + 1) % LEARN_WINDOW;
    ratios->count = MIN(ratios->count + 1, LEARN_WINDOW);
}

void
learn_add(learn_t *learn, const job_spec_t *spec, const job_size_t *peak,
          uint64_t run_ms)
{
    job_class_t *class;
    char key[160];

    make_key(spec, key);
    class = g_hash_table_lookup(learn->classes, key);
    if (class == NULL) {
        if (g_hash_table_size(learn->classes) >= LEARN_MAX_CLASSES) {
            return;
        }
        class = g_new0(job_class_t, 1);
        g_hash_table_insert(learn->classes, g_strdup(key), class);
    }
    add_ratio(&class->cpu, peak->cpu_milli, spec->size.cpu_milli);
    add_ratio(&class->memory, peak->memory_mb, spec->size.memory_mb);
    add_ratio(&class->run, run_ms, spec->run_ms);
}

static int
compare_floats(const void *a, const void *b)
{
    float x = *(const float *)a;
    float y = *(const float *)b;

    return (x > y) - (x < y);
}

static uint64_t
scale(const ratios_t *ratios, double quantile, uint64_t declared)
{
    float sorted[LEARN_WINDOW];
    uint64_t floor = (declared + LEARN_FLOOR - 1) / LEARN_FLOOR;
    double ratio;

    if (ratios->count < LEARN_ENOUGH) {
        return declared;
    }
    memcpy(sorted, ratios->values, sizeof(sorted));
    qsort(sorted, ratios->count, sizeof(float), compare_floats);
    ratio = sorted[(size_t)(quantile * (ratios->count - 1) + 0.5)];
    return MAX((uint64_t)ceil((double)declared * ratio), floor);
}

void
learn_get(const learn_t *learn, const job_spec_t *spec, job_size_t *size,
          uint64_t *run_ms)
{
    const job_class_t *class;
    char key[160];

    make_key(spec, key);
    *size = spec->size;
    *run_ms = spec->run_ms;
    class = g_hash_table_lookup(learn->classes, key);
    if (class == NULL) {
        return;
    }
    size->cpu_milli = (uint32_t)scale(&class->cpu, 0.95, spec->size.cpu_milli);
    size->memory_mb = scale(&class->memory, 1.0, spec->size.memory_mb);
    *run_ms = scale(&class->run, 0.5, spec->run_ms);
}
