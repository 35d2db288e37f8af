#include "scheduler/queue_table.h"

#include <string.h>

static void
free_queue(void *data)
{
    queue_t *queue = data;

    g_free(queue->name);
    g_free(queue->host);
    g_free(queue->prefix);
    g_free(queue->service);
    g_free(queue);
}

queue_table_t *
queue_table_new(uint64_t version)
{
    queue_table_t *table = g_new0(queue_table_t, 1);

    table->version = version;
    table->queues = g_ptr_array_new_with_free_func(free_queue);
    return table;
}

void
queue_table_free(queue_table_t *table)
{
    if (table != NULL) {
        g_ptr_array_unref(table->queues);
        g_free(table);
    }
}

void
queue_table_add(queue_table_t *table, const queue_t *queue)
{
    queue_t *copy = g_new(queue_t, 1);

    *copy = *queue;
    copy->name = g_strdup(queue->name);
    copy->host = g_strdup(queue->host);
    copy->prefix = g_strdup(queue->prefix);
    copy->service = g_strdup(queue->service);
    g_ptr_array_add(table->queues, copy);
}

const queue_t *
queue_table_find(const queue_table_t *table, const char *host,
                 const char *path)
{
    const queue_t *best = NULL;
    size_t best_length = 0;

    for (guint i = 0; i < table->queues->len; i++) {
        const queue_t *queue = g_ptr_array_index(table->queues, i);
        size_t length = strlen(queue->prefix);

        if (g_ascii_strcasecmp(queue->host, host) == 0 &&
            strncmp(path, queue->prefix, length) == 0 &&
            (best == NULL || length > best_length)) {
            best = queue;
            best_length = length;
        }
    }
    return best;
}
