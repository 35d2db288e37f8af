/* Stores the estimates that a leader has learned, for later leaders. */

#include <math.h>

#include "sched/sched_internal.h"

enum {
    WRITE_INTERVAL_MS = 2000,
};

static void
free_queue(void *data)
{
    Teasel__LearnedQueue *queue = data;

    g_free(queue->queue);
    g_free(queue);
}

static void
add_queues(const sched_t *sched, GPtrArray *queues)
{
    GHashTableIter iter;
    gpointer name;
    gpointer error;

    g_ptr_array_set_free_func(queues, free_queue);
    g_hash_table_iter_init(&iter, sched->estimate_errors);
    while (g_hash_table_iter_next(&iter, &name, &error)) {
        Teasel__LearnedQueue *queue = g_new(Teasel__LearnedQueue, 1);

        teasel__learned_queue__init(queue);
        queue->queue = g_strdup(name);
        queue->estimate_error = *(const double *)error;
        g_ptr_array_add(queues, queue);
    }
}

bool
sched_learned_is_due(const sched_t *sched)
{
    return sched->learned_dirty &&
           sched_now_ms(sched) - sched->learned_written_ms >=
               WRITE_INTERVAL_MS;
}

GByteArray *
sched_learned_to_record(sched_t *sched)
{
    Teasel__LearnedRecord record = TEASEL__LEARNED_RECORD__INIT;
    g_autoptr(GPtrArray) pairs = g_ptr_array_new();
    g_autoptr(GPtrArray) queues = g_ptr_array_new();
    GByteArray *out = g_byte_array_new();

    sched->learned_dirty = false;
    sched->learned_written_ms = sched_now_ms(sched);
    interference_to_pairs(sched->interference, pairs);
    add_queues(sched, queues);
    record.n_pairs = pairs->len;
    record.pairs = (Teasel__LearnedPair **)pairs->pdata;
    record.n_queues = queues->len;
    record.queues = (Teasel__LearnedQueue **)queues->pdata;
    g_byte_array_set_size(out,
                          teasel__learned_record__get_packed_size(&record));
    teasel__learned_record__pack(&record, out->data);
    return out;
}

static void
load_queue(sched_t *sched, const Teasel__LearnedQueue *queue)
{
    double *error = g_new(double, 1);

    *error = CLAMP(queue->estimate_error, 0.1, 10.0);
    g_hash_table_insert(sched->estimate_errors, g_strdup(queue->queue), error);
}

bool
sched_load_learned(sched_t *sched, const void *data, size_t length)
{
    Teasel__LearnedRecord *record =
        teasel__learned_record__unpack(NULL, length, data);

    if (record == NULL) {
        return false;
    }
    /* CLAMP() keeps a value that is no number. */
    for (size_t i = 0; i < record->n_pairs; i++) {
        if (isfinite(record->pairs[i]->weight)) {
            interference_add_pair(sched->interference, record->pairs[i]);
        }
    }
    for (size_t i = 0; i < record->n_queues; i++) {
        if (isfinite(record->queues[i]->estimate_error)) {
            load_queue(sched, record->queues[i]);
        }
    }
    teasel__learned_record__free_unpacked(record, NULL);
    return true;
}
