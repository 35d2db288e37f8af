#ifndef TEASEL_SCHEDULER_QUEUE_TABLE_H
#define TEASEL_SCHEDULER_QUEUE_TABLE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct queue - job queue, selected by host and path prefix
 * @service: service whose executors run the tasks
 * @max_attempts: limit of the attempts of a task
 * @priority: 0 is the highest priority
 * @allowance_ms: constant part of the target latency of a job
 * @slack_percent: part of the target latency of a job that grows with its
 *     critical path, as a percentage of the path's estimated duration
 * @uses_advisor: the queue has an advisor that restricts the executors of a
 *     step; this is not supported
 */
typedef struct queue {
    char *name;
    char *host;
    char *prefix;
    char *service;
    uint32_t max_attempts;
    uint32_t priority;
    uint32_t allowance_ms;
    uint32_t slack_percent;
    bool uses_advisor;
} queue_t;

/**
 * struct queue_table - queues of one version of the configuration
 */
typedef struct queue_table {
    uint64_t version;
    GPtrArray *queues; /* queue_t, owned */
} queue_table_t;

queue_table_t *queue_table_new(uint64_t version);
void queue_table_free(queue_table_t *table);

/**
 * queue_table_add() - add a queue
 * @queue: its strings are copied
 */
void queue_table_add(queue_table_t *table, const queue_t *queue);

/**
 * queue_table_find() - return the queue of a host with the longest prefix that
 * matches a path, or NULL
 */
const queue_t *queue_table_find(const queue_table_t *table, const char *host,
                                const char *path);

#ifdef __cplusplus
}
#endif

#endif
