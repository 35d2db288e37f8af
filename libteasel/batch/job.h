#ifndef TEASEL_BATCH_JOB_H
#define TEASEL_BATCH_JOB_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

enum {
    JOB_ID_MAX = 64,
    JOB_SPEC_MAX = 16 * 1024,
};

typedef enum job_priority {
    JOB_NORMAL,
    JOB_URGENT,
} job_priority_t;

/**
 * struct job_size - resources of a job or a worker
 */
typedef struct job_size {
    uint32_t cpu_milli;
    uint32_t accelerators;
    uint64_t memory_mb;
} job_size_t;

/**
 * struct job_spec - a checked job specification
 * @team: interned GRefString
 * @class_name: interned GRefString; jobs of a class behave alike
 * @run_ms: declared run time
 * @checkpoint_ms: interval of checkpoints, 0 if the job has none
 */
typedef struct job_spec {
    char *team;
    char *class_name;
    job_priority_t priority;
    job_size_t size;
    uint64_t run_ms;
    uint64_t checkpoint_ms;
} job_spec_t;

static inline bool
job_size_fits(const job_size_t *size, const job_size_t *room)
{
    return size->cpu_milli <= room->cpu_milli &&
           size->memory_mb <= room->memory_mb &&
           size->accelerators <= room->accelerators;
}

static inline void
job_size_add(job_size_t *sum, const job_size_t *size)
{
    sum->cpu_milli += size->cpu_milli;
    sum->memory_mb += size->memory_mb;
    sum->accelerators += size->accelerators;
}

/* Stops at 0: a worker's capacity may shrink below what it runs. */
static inline void
job_size_subtract(job_size_t *from, const job_size_t *size)
{
    from->cpu_milli -= MIN(from->cpu_milli, size->cpu_milli);
    from->memory_mb -= MIN(from->memory_mb, size->memory_mb);
    from->accelerators -= MIN(from->accelerators, size->accelerators);
}

/**
 * job_id_check() - letters, digits, dot, dash and underscore, 1 to 64
 */
bool job_id_check(const char *id, GError **error);

/**
 * job_spec_parse() - check a specification
 * @canonical: its canonical JSON (sorted keys, presets filled in); may be NULL
 * @error: names the key, the found value and what is allowed
 *
 * Free with job_spec_clear().
 */
bool job_spec_parse(const void *text, size_t length, job_spec_t *spec,
                    char **canonical, GError **error);
void job_spec_clear(job_spec_t *spec);

/**
 * job_body_hash() - XXH64 of a canonical specification
 */
uint64_t job_body_hash(const void *canonical, size_t length);

#ifdef __cplusplus
}
#endif

#endif
