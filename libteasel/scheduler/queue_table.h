#ifndef TEASEL_SCHEDULER_QUEUE_TABLE_H
#define TEASEL_SCHEDULER_QUEUE_TABLE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct queue - a queue of jobs, selected by host and path
 * @service: executors that run its tasks
 * @priority: 0 goes first
 * @allowance_ms: the objective of a job is this much more than
 * @slack_percent: this share of its longest chain of work
 * @uses_advisor: its policy lets only some executors run a step, which is not
 *     supported
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
 * struct queue_table - the queues of one version of the configuration
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
 * queue_table_find() - queue of a host with the longest prefix of a path
 */
const queue_t *queue_table_find(const queue_table_t *table, const char *host,
                                const char *path);

#ifdef __cplusplus
}
#endif

#endif
