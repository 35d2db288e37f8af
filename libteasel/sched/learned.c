/* Stores the estimates that a leader has learned, for later leaders. */

#include <math.h>
#include <string.h>

#include "base/events.h"
#include "sched/sched_internal.h"

enum {
    WRITE_INTERVAL_MS = 2000,
    /* Longest encoding of a tag and of the length of an entry. */
    ENTRY_HEADER_BYTES = 4,
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

static size_t
get_pair_size(const void *pair)
{
    return teasel__learned_pair__get_packed_size(pair);
}

static size_t
get_queue_size(const void *queue)
{
    return teasel__learned_queue__get_packed_size(queue);
}

/* Returns the number of entries for which there is room. */
static size_t
count_fitting(const GPtrArray *entries, size_t (*get_size)(const void *entry),
              size_t *room)
{
    for (guint i = 0; i < entries->len; i++) {
        size_t bytes =
            ENTRY_HEADER_BYTES + get_size(g_ptr_array_index(entries, i));

        if (bytes > *room) {
            return i;
        }
        *room -= bytes;
    }
    return entries->len;
}

static void
set_left_out(sched_t *sched, guint left_out)
{
    if (left_out > sched->learned_left_out) {
        event_log(EVENT_RECORD_FULL, "learned=%u left out", left_out);
    }
    sched->learned_left_out = left_out;
}

GByteArray *
sched_learned_to_record(sched_t *sched)
{
    Teasel__LearnedRecord record = TEASEL__LEARNED_RECORD__INIT;
    g_autoptr(GPtrArray) pairs = g_ptr_array_new();
    g_autoptr(GPtrArray) queues = g_ptr_array_new();
    GByteArray *out = g_byte_array_new();
    size_t room = sched->opts.record_bytes - SCHED_KEY_LENGTH_BYTES -
                  strlen(SCHED_LEARNED_KEY);

    sched->learned_dirty = false;
    sched->learned_written_ms = sched_now_ms(sched);
    interference_to_pairs(sched->interference, pairs);
    add_queues(sched, queues);
    record.n_queues = count_fitting(queues, get_queue_size, &room);
    record.queues = (Teasel__LearnedQueue **)queues->pdata;
    record.n_pairs = count_fitting(pairs, get_pair_size, &room);
    record.pairs = (Teasel__LearnedPair **)pairs->pdata;
    set_left_out(sched, (guint)(pairs->len + queues->len - record.n_pairs -
                                record.n_queues));
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
