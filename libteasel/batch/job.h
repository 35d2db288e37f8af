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
 * @cpu_milli: thousandths of a processor
 */
typedef struct job_size {
    uint32_t cpu_milli;
    uint32_t accelerators;
    uint64_t memory_mb;
} job_size_t;

/**
 * struct job_spec - a valid job specification
 * @team: interned GRefString
 * @class_name: interned GRefString; jobs of a class have similar resource use
 *     and run times
 * @size: declared resources
 * @run_ms: declared run time
 * @checkpoint_ms: interval of checkpoints, 0 if the job takes none
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
job_size_fits(const job_size_t *size, const job_size_t *available)
{
    return size->cpu_milli <= available->cpu_milli &&
           size->memory_mb <= available->memory_mb &&
           size->accelerators <= available->accelerators;
}

static inline void
job_size_add(job_size_t *sum, const job_size_t *size)
{
    sum->cpu_milli += size->cpu_milli;
    sum->memory_mb += size->memory_mb;
    sum->accelerators += size->accelerators;
}

/* Saturates at 0, because a worker's capacity may shrink below the sum of the
   sizes that it runs. */
static inline void
job_size_subtract(job_size_t *from, const job_size_t *size)
{
    from->cpu_milli -= MIN(from->cpu_milli, size->cpu_milli);
    from->memory_mb -= MIN(from->memory_mb, size->memory_mb);
    from->accelerators -= MIN(from->accelerators, size->accelerators);
}

/**
 * job_id_check() - check that an id has 1 to JOB_ID_MAX letters, digits, dots,
 * dashes and underscores
 * @error: set to ERROR_INVALID otherwise
 */
bool job_id_check(const char *id, GError **error);

/**
 * job_spec_parse() - parse and check a job specification
 * @text: JSON object of @length bytes, at most JOB_SPEC_MAX
 * @spec: free with job_spec_clear()
 * @canonical: set to its canonical JSON (sorted keys, default priority filled
 *     in), free with g_free(); may be NULL
 * @error: set to ERROR_INVALID or ERROR_TOO_LARGE; names the key, the value
 *     found and the values allowed
 */
bool job_spec_parse(const void *text, size_t length, job_spec_t *spec,
                    char **canonical, GError **error);
void job_spec_clear(job_spec_t *spec);

/**
 * job_body_hash() - compute the XXH64 of a canonical specification
 */
uint64_t job_body_hash(const void *canonical, size_t length);

#ifdef __cplusplus
}
#endif

#endif
