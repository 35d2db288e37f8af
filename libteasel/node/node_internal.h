#ifndef TEASEL_NODE_NODE_INTERNAL_H
#define TEASEL_NODE_NODE_INTERNAL_H

#include "base/list.h"
#include "node/node.h"
#include "node/node_link.h"

typedef enum run_phase {
    RUN_QUEUED,   /* the start was not sent */
    RUN_STARTING, /* a start is under way, or was not answered */
    RUN_STARTED,
    RUN_STOPPING, /* a stop is under way */
    RUN_STOPPED,  /* the executor took the stop; the lists tell the end */
} run_phase_t;

/**
 * struct run - a run that this agent was ordered to start, or found
 * @doubtful: a start was not answered, so that it may still be carried out
 * @phase_ms: when the phase began
 * @changed: the leader has not been told of its start
 */
typedef struct run {
    list_t link;
    struct node_executor *executor;
    char *task;
    uint32_t run;
    run_phase_t phase;
    char *payload;
    char *checkpoint;
    uint32_t latency_target_ms;
    bool filler;
    uint32_t percent;
    uint32_t figure;
    bool doubtful;
    bool calling;
    bool stop_wanted;
    bool changed;
    unsigned tries;
    int64_t phase_ms;
    int64_t retry_ms;
    int64_t seen_ms; /* last listed as running */
    /* pace of a filler; a predecessor may have set that of a found run */
    uint32_t pace;
    bool pace_known;
    bool pacing;
} run_t;

/**
 * struct run_call - a call on a run, which may end before the answer comes
 * @link: on the list of its executor
 * @pace: percentage that the call sets
 */
typedef struct run_call {
    list_t link;
    struct node_executor *executor;
    char *task;
    uint32_t run;
    uint32_t pace;
} run_call_t;

/**
 * struct node_executor - one life of an executor
 * @key: unique name of this life
 * @clock_ms: its clock, as read at @clock_read_ms of this process
 * @deadline_ms: highest end of the lease that was sent to it
 * @polled: its lists are known
 * @must_list: the next report has to hold the complete lists
 * @end_known: number of the newest end that was read
 * @end_cursor: ends up to here are stored
 * @ends: Teasel__RunEnd that are not stored yet
 * @ends_sent: of these, sent on this connection
 * @rejected: Teasel__RejectedStart to be reported
 * @ending_ms: it will have ended by then; 0 if it does not end
 */
typedef struct node_executor {
    list_t link;
    node_t *node;
    executor_api_t *api;
    char *key;
    char *id;
    int64_t started_ms;
    char *address;
    char *service;
    char *data_centre;
    char *rack;
    char **labels;
    Teasel__Capacity capacity;
    bool draining;
    int64_t leaves_ms;
    uint64_t sequence;
    int64_t clock_ms;
    int64_t clock_read_ms;
    int64_t deadline_ms;
    bool polled;
    bool polling;
    bool silent;
    int64_t poll_sent_ms;
    int64_t retry_ms;
    bool must_list;
    bool changed;
    bool dead; /* ended; freed by the next turn of the loop */
    uint64_t end_known;
    uint64_t end_cursor;
    GPtrArray *ends;
    guint ends_sent;
    GPtrArray *rejected;
    list_t runs;
    list_t calls; /* run_call_t under way */
    unsigned starting;
    int64_t ending_ms;
    uint32_t pace; /* of the fillers on it, in percent */
    int64_t paced_ms;
    int64_t harmed_ms; /* since when a serving task misses its target, or 0 */
} node_executor_t;

struct node {
    node_opts_t opts;
    node_link_t *link;
    list_t executors;
    GPtrArray *gone; /* keys of ended lives to be reported */
    loop_timer_t tick;
    loop_timer_t flush;
    uint64_t epoch;
    int64_t lease_until_ms;
    int64_t reported_ms;
    uint64_t starts;
    uint64_t rejections;
    uint64_t polls;
    uint64_t poll_failures;
};

int64_t node_now_ms(const node_t *node);

/**
 * node_wake() - report what has changed, once per turn of the loop
 */
void node_wake(node_t *node);
void node_send_report(node_t *node, bool heartbeat);

node_executor_t *node_executor_new(node_t *node, const executor_info_t *info,
                                   GError **error);
void node_executor_free(node_executor_t *executor);
void node_executor_update(node_executor_t *executor,
                          const executor_info_t *info);

/**
 * node_executor_end() - this life is over, or all that ran on it is; free it
 */
void node_executor_end(node_executor_t *executor, const char *reason);

/**
 * node_executor_check() - send what is due
 */
void node_executor_check(node_executor_t *executor);
void node_executor_order(node_executor_t *executor,
                         const Teasel__ExecutorOrders *orders);

/**
 * node_executor_get_deadline() - end of the lease on the executor's clock
 *
 * Return: 0 if there is no lease
 */
int64_t node_executor_get_deadline(const node_executor_t *executor);

run_t *run_find(node_executor_t *executor, const char *task, uint32_t number);
run_t *run_new(node_executor_t *executor, const char *task, uint32_t number);
void run_free(run_t *run);
void run_reject(run_t *run, const char *reason);

run_call_t *run_call_new(const run_t *run);

/**
 * run_call_finish() - free a call that was answered
 *
 * Return: its run, or NULL if that has ended
 */
run_t *run_call_finish(run_call_t *call);
void run_call_free(run_call_t *call);

/**
 * run_check() - send the start, the stop or a repeat that is due
 *
 * May free the run.
 */
void run_check(run_t *run);

/**
 * pace_check() - slow down fillers that disturb serving tasks
 */
void pace_check(node_executor_t *executor);

#endif
