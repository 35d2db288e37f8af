#ifndef TEASEL_SCHED_EXECUTOR_H
#define TEASEL_SCHED_EXECUTOR_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/list.h"
#include "sched/job.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct sched_room - processors, memory and accelerators
 */
typedef struct sched_room {
    uint64_t cpu_milli;
    uint64_t memory_mb;
    uint64_t accelerators;
} sched_room_t;

/**
 * struct sched_stray - a run that an executor reports and no task expects
 */
typedef struct sched_stray {
    char *task;
    uint32_t run;
} sched_stray_t;

/**
 * struct sched_executor - one life of an executor
 * @key: unique name of this life
 * @node: name of the agent that reports it, NULL until it is reported
 * @connected: its agent is connected
 * @listed: its agent has sent a complete list of runs on this connection
 * @leaves_ms: when a draining executor may leave
 * @lapse_ms: everything on it has ended by then, unless the lease is renewed
 * @room: its capacity
 * @used: taken by the tasks that may run on it, without the processor share
 *     of fillers
 * @filler_cpu: processor share that the fillers on it ask for
 * @serving: tasks on it with a latency target
 * @serving_cpu: processor share that these reserve
 * @slowdown: highest slowdown of a filler on it, in percent
 * @end_seen: number of the newest end that was processed
 * @end_taken: @end_seen when the records that are being written were made
 * @end_stored: newest end whose effect is stored; the executor may forget it
 * @end_sent: last cursor that was sent to the agent
 * @untold: its agent, perhaps restarted, does not know the traits of its runs
 * @orders: tasks with a start or stop to be sent
 * @strays: runs to be stopped
 * @slowness: moving average of run times against those of other executors;
 *     1.0 is normal
 * @failed_in_row: different jobs that failed in a row
 * @last_failed: the job among these that failed last
 * @probation_ms: gets no new tasks before
 */
struct sched_executor {
    list_t link;
    char *key;
    char *node;
    char *service;
    char *data_centre;
    char *rack;
    char **labels;
    bool connected;
    bool listed;
    bool draining;
    int64_t leaves_ms;
    int64_t lapse_ms;
    sched_room_t room;
    sched_room_t used;
    uint64_t filler_cpu;
    uint32_t serving;
    uint64_t serving_cpu;
    uint32_t slowdown;
    uint64_t end_seen;
    uint64_t end_taken;
    uint64_t end_stored;
    uint64_t end_sent;
    bool untold;
    list_t tasks;
    list_t orders;
    GPtrArray *strays; /* sched_stray_t */
    double slowness;
    uint32_t failed_in_row;
    uint64_t last_failed;
    int64_t probation_ms;
};

/*
 * A key has the form ADDRESS/ID/BORN, where BORN is the wall clock of the
 * start of this life in ms.
 */

/**
 * sched_executor_key() - key of a life; free with g_free()
 */
char *sched_executor_key(const char *address, const char *id, int64_t born_ms);

/**
 * sched_executor_key_replaces() - a life that started later at the same
 * address, so that the older one has ended
 */
bool sched_executor_key_replaces(const char *later, const char *older);

sched_executor_t *sched_executor_new(const char *key);
void sched_executor_free(sched_executor_t *executor);

/**
 * sched_executor_describe() - take over what a report says of an executor
 */
void sched_executor_describe(sched_executor_t *executor, const char *node,
                             const Teasel__ExecutorReport *report,
                             int64_t now_ms);

/**
 * sched_executor_attach() - reserve the room of a task
 */
void sched_executor_attach(sched_executor_t *executor, sched_task_t *task);

/**
 * sched_executor_detach() - give the room of a task back, if it has any
 */
void sched_executor_detach(sched_task_t *task);

/**
 * sched_executor_measure() - summarize the figures of the tasks on it
 */
void sched_executor_measure(sched_executor_t *executor);

void sched_executor_add_stray(sched_executor_t *executor, const char *task,
                              uint32_t run);

bool sched_executor_has_label(const sched_executor_t *executor,
                              const char *label);

#ifdef __cplusplus
}
#endif

#endif
