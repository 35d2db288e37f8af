#include "sched/size_share.h"

#include <math.h>

enum {
    /* Recent jobs of a queue among which a new job is ranked. */
    RECENT_JOBS = 64,
    MIN_RECENT_JOBS = 10,
    LARGEST_PERCENT = 10,
    LARGE_PERCENT = 30, /* including the largest */
    HALF_LIFE_MS = 30000,
    MAX_QUEUES = 1024,
};

/* A class is favoured below this part of the started share of its queue. */
static const double FAVOUR_BELOW = 0.7;

/**
 * struct queue_share - jobs of a queue
 * @recent: work of the last jobs, a ring buffer
 * @jobs: decayed number of jobs by class
 * @starts: decayed number of jobs by class that were started while of use
 */
typedef struct queue_share {
    double recent[RECENT_JOBS];
    unsigned recent_count;
    unsigned next_recent;
    double jobs[SIZE_CLASS_COUNT];
    double starts[SIZE_CLASS_COUNT];
} queue_share_t;

struct size_share {
    GHashTable *queues; /* name -> queue_share_t */
};

size_share_t *
size_share_new(void)
{
    size_share_t *share = g_new(size_share_t, 1);

    share->queues =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return share;
}

void
size_share_free(size_share_t *share)
{
    g_hash_table_unref(share->queues);
    g_free(share);
}

static size_class_t
get_class(const queue_share_t *queue, double work)
{
    unsigned larger = 0;

    if (queue->recent_count < MIN_RECENT_JOBS) {
        return SIZE_CLASS_USUAL;
    }
    for (unsigned i = 0; i < queue->recent_count; i++) {
        larger += queue->recent[i] > work;
    }
    if (larger * 100 < LARGEST_PERCENT * queue->recent_count) {
        return SIZE_CLASS_LARGEST;
    }
    return larger * 100 < LARGE_PERCENT * queue->recent_count
               ? SIZE_CLASS_LARGE
               : SIZE_CLASS_USUAL;
}

static void
add_recent(queue_share_t *queue, double work)
{
    queue->recent[queue->next_recent] = work;
    queue->next_recent = (queue->next_recent + 1) % RECENT_JOBS;
    queue->recent_count = MIN(queue->recent_count + 1, RECENT_JOBS);
}

size_class_t
size_share_get_class(const size_share_t *share, const char *queue_name,
                     double work)
{
    const queue_share_t *queue =
        g_hash_table_lookup(share->queues, queue_name);

    return queue != NULL ? get_class(queue, work) : SIZE_CLASS_USUAL;
}

size_class_t
size_share_add_job(size_share_t *share, const char *queue_name, double work)
{
    queue_share_t *queue = g_hash_table_lookup(share->queues, queue_name);
    size_class_t size;

    if (queue == NULL) {
        if (g_hash_table_size(share->queues) >= MAX_QUEUES) {
            return SIZE_CLASS_USUAL;
        }
        queue = g_new0(queue_share_t, 1);
        g_hash_table_insert(share->queues, g_strdup(queue_name), queue);
    }
    size = get_class(queue, work);
    add_recent(queue, work);
    queue->jobs[size]++;
    return size;
}

void
size_share_add_start(size_share_t *share, const char *queue_name,
                     size_class_t size)
{
    queue_share_t *queue = g_hash_table_lookup(share->queues, queue_name);

    if (queue != NULL) {
        queue->starts[size]++;
    }
}

void
size_share_remove_start(size_share_t *share, const char *queue_name,
                        size_class_t size)
{
    queue_share_t *queue = g_hash_table_lookup(share->queues, queue_name);

    if (queue != NULL) {
        queue->starts[size] = MAX(0, queue->starts[size] - 1);
    }
}

bool
size_share_is_behind(const size_share_t *share, const char *queue_name,
                     size_class_t size)
{
    const queue_share_t *queue =
        g_hash_table_lookup(share->queues, queue_name);
    double jobs = 0;
    double starts = 0;

    if (queue == NULL) {
        return false;
    }
    for (int i = 0; i < SIZE_CLASS_COUNT; i++) {
        jobs += queue->jobs[i];
        starts += queue->starts[i];
    }
    return queue->starts[size] * jobs <
           FAVOUR_BELOW * starts * queue->jobs[size];
}

void
size_share_decay(size_share_t *share, int64_t elapsed_ms)
{
    double factor = pow(0.5, (double)elapsed_ms / HALF_LIFE_MS);
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, share->queues);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        queue_share_t *queue = value;

        for (int i = 0; i < SIZE_CLASS_COUNT; i++) {
            queue->jobs[i] *= factor;
            queue->starts[i] *= factor;
        }
    }
}
