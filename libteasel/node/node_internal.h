#ifndef TEASEL_NODE_NODE_INTERNAL_H
#define TEASEL_NODE_NODE_INTERNAL_H

#include "base/list.h"
#include "node/announcement_filter.h"
#include "node/node.h"
#include "node/node_link.h"
#include "node/notice_list.h"
#include "node/run_state.h"

/**
 * struct run - a run that this agent was ordered to start or stop, or that an
 * executor has listed
 * @tail_effect: by how much a best-effort run, at full speed, raises the
 *     highest ratio of tail latency to target
 * @percent: progress
 * @measured: measured value of the task: tail latency in ms of a serving task,
 *     CPU use in milli-CPU of others
 * @alone: its start waits until no other run is starting, and starts of others
 *     wait until it has settled
 * @settled: it was listed some time after its start
 * @call_pending: a start or stop call is in progress
 * @unreported: the start has not been reported to the leader
 * @phase_ms: time of the newest call, or confirmation of a call, that began a
 *     phase; 0 if the phase is only known from an order or a list
 * @retry_ms: earliest time of the next call
 * @listed_ms: time at which it was last listed as running
 * @throttle_percent: share of full speed that is in effect
 * @throttle_known: @throttle_percent is confirmed; false for a run that was
 *     found on the executor, as a previous agent process may have throttled it
 * @throttle_pending: a throttle call is in progress
 */
typedef struct run {
    list_t link;
    struct node_executor *executor;
    char *task;
    uint32_t run;
    run_state_t state;
    char *payload;
    char *checkpoint;
    uint32_t latency_target_ms;
    bool best_effort;
    double tail_effect;
    uint32_t percent;
    uint32_t measured;
    bool alone;
    bool settled;
    bool call_pending;
    bool unreported;
    int64_t phase_ms;
    int64_t retry_ms;
    int64_t listed_ms;
    uint32_t throttle_percent;
    bool throttle_known;
    bool throttle_pending;
} run_t;

/**
 * struct run_call - a call in progress; its run may end before the answer
 * @link: in the list of calls of @executor
 * @throttle_percent: value that a throttle call sets
 */
typedef struct run_call {
    list_t link;
    struct node_executor *executor;
    char *task;
    uint32_t run;
    uint32_t throttle_percent;
} run_call_t;

/**
 * struct node_executor - one incarnation of an executor
 * @key: unique name of the incarnation
 * @predecessor: key of the incarnation that it has replaced under the same id,
 *     or NULL
 * @leaves_ms: earliest time at which a draining executor leaves
 * @announcements: tells its announcements from others that name it
 * @announced_ms: time of its newest announcement
 * @clock_ms: clock of the executor at @clock_read_ms of this process, or -1
 * @heartbeat_us: heartbeat_us of the node for the first heartbeat that
 *     contained it, or 0
 * @lease_until_ms: end of the lease that the leader grants for it
 * @deadline_ms: latest end of the lease that was sent to it
 * @polled: at least one poll has succeeded, so the incarnation exists
 * @poll_failed: the newest poll was not answered
 * @unreachable: the newest poll could not be sent
 * @silent: it has not answered polls for SILENT_AFTER_MS
 * @full_report_due: the next report has to contain all runs and all ends
 * @unreported: the next report has to include the executor
 * @restarted_ms: time at which a later incarnation under the same id answered,
 *     or 0; the leader is not told before that one is known, as it may have
 *     carried out calls that were meant for this one
 * @has_ended: the incarnation is over; freed in the next turn of the loop
 * @last_end_read: number of the newest run end that was received
 * @end_cursor: the leader has stored the run ends up to this number
 * @ends: Teasel__RunEnd that the leader has not stored yet
 * @ends_sent: number of @ends already sent on the present connection
 * @rejected: Teasel__RejectedStart to be reported
 * @calls: run_call_t in progress
 * @starting: number of start calls in progress
 * @ended_by_ms: time from which a retiring executor that cannot be reached
 *     has exited, otherwise 0
 * @effect_limit: limit of the sum of the effects of its best-effort tasks on
 *     the tail latency, in units of the latency target; INFINITY if none
 * @throttle_updated_ms: time of the last choice of @effect_limit
 * @target_missed_since_ms: time since which a serving task has missed its
 *     latency target, or 0
 */
typedef struct node_executor {
    list_t link;
    node_t *node;
    executor_api_t *api;
    char *key;
    char *predecessor;
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
    announcement_filter_t announcements;
    int64_t announced_ms;
    int64_t clock_ms;
    int64_t clock_read_ms;
    uint64_t heartbeat_us;
    int64_t lease_until_ms;
    int64_t deadline_ms;
    bool polled;
    bool polling;
    bool poll_failed;
    bool unreachable;
    bool silent;
    int64_t poll_sent_ms;
    int64_t retry_ms;
    bool full_report_due;
    bool unreported;
    int64_t restarted_ms;
    bool has_ended;
    uint64_t last_end_read;
    uint64_t end_cursor;
    GPtrArray *ends;
    guint ends_sent;
    GPtrArray *rejected;
    list_t runs;
    list_t calls;
    unsigned starting;
    int64_t ended_by_ms;
    double effect_limit;
    int64_t throttle_updated_ms;
    int64_t target_missed_since_ms;
} node_executor_t;

/**
 * struct node - the node agent
 * @ended_keys: keys of ended incarnations
 * @crashes: Teasel__CrashedRun that had just started when their executor
 *     crashed
 * @epoch: highest epoch of a leader that sent orders
 * @longest_lease_ms: no leader grants a longer lease, also not to an earlier
 *     agent process
 * @ordered_ms: time of the newest orders of a leader
 * @evacuated: names of the evacuated data centres, NULL before any leader has
 *     named them
 * @heartbeat_us: time of the last heartbeat, which differs from that of every
 *     other one
 * @reported_ms: time of the last heartbeat
 */
struct node {
    node_opts_t opts;
    node_link_t *link;
    list_t executors;
    notice_list_t *ended_keys;
    notice_list_t *crashes;
    loop_timer_t tick;
    loop_timer_t flush;
    uint64_t epoch;
    int64_t longest_lease_ms;
    int64_t ordered_ms;
    char **evacuated;
    uint64_t heartbeat_us;
    int64_t reported_ms;
    uint64_t starts;
    uint64_t rejections;
    uint64_t polls;
    uint64_t poll_failures;
};

int64_t node_now_ms(const node_t *node);

/**
 * node_schedule_report() - send a report of all changes in the next turn of
 * the loop
 */
void node_schedule_report(node_t *node);
void node_send_report(node_t *node, bool heartbeat);

/**
 * node_is_evacuated() - return whether no run may be started in a data centre
 */
bool node_is_evacuated(const node_t *node, const char *data_centre);

/**
 * node_end_older_incarnations() - end the incarnations that an executor has
 * replaced, as it has the id or the address of each
 */
void node_end_older_incarnations(node_executor_t *executor);

node_executor_t *node_executor_new(node_t *node, const executor_info_t *info,
                                   GError **error);
void node_executor_free(node_executor_t *executor);
void node_executor_update(node_executor_t *executor,
                          const executor_info_t *info);

/**
 * node_executor_end() - mark an incarnation as ended and schedule its release
 *
 * Called when the incarnation is over or its last lease has expired. In either
 * case all its runs have ended, and the leader is told so.
 */
void node_executor_end(node_executor_t *executor, const char *reason);

/**
 * node_executor_replace() - mark an incarnation as ended that has restarted
 * under its id
 * @executor: its successor, with whose report the leader is told that the
 * older one is over, and that its runs may exist at the successor
 */
void node_executor_replace(node_executor_t *executor, node_executor_t *older);

/**
 * node_executor_check_result() - handle the answer of another incarnation
 *
 * Return: false if the incarnation is over.
 */
bool node_executor_check_result(node_executor_t *executor,
                                executor_result_t result);

/**
 * node_executor_check() - make the calls to the executor that are due
 */
void node_executor_check(node_executor_t *executor);

/**
 * node_executor_apply_lists() - compare the runs with the lists of an executor
 * @now_ms: time of the answer to the poll
 */
void node_executor_apply_lists(node_executor_t *executor,
                               const executor_poll_reply_t *reply,
                               int64_t now_ms);

/**
 * node_executor_order() - carry out orders of the leader for an executor
 */
void node_executor_order(node_executor_t *executor,
                         const Teasel__ExecutorOrders *orders);

/**
 * node_executor_is_known() - whether the leader knows of an executor
 * @echo_us: newest heartbeat that the leader has received
 */
bool node_executor_is_known(const node_executor_t *executor, uint64_t echo_us);

/**
 * node_executor_renew_lease() - extend the lease of an executor
 * @echo_us: heartbeat from which the lease is counted; without effect if it
 *     did not contain the executor, as the leader does not know of it then
 */
void node_executor_renew_lease(node_executor_t *executor, uint64_t echo_us,
                               uint32_t lease_ms);

/**
 * node_executor_get_held_ms() - return how long the executor may hold its
 * lease yet
 *
 * Return: 0 unless that is longer than any leader grants.
 */
uint32_t node_executor_get_held_ms(const node_executor_t *executor);

/**
 * node_executor_get_deadline() - return the end of the lease on the executor's
 * clock
 *
 * Return: 0 if no lease can be granted.
 */
int64_t node_executor_get_deadline(const node_executor_t *executor);

/**
 * run_apply() - change what is known of a run by an event
 *
 * Return: what the caller has to do.
 */
run_decision_t run_apply(run_t *run, run_event_t event);

run_t *run_find(node_executor_t *executor, const char *task, uint32_t number);
run_t *run_new(node_executor_t *executor, const char *task, uint32_t number);
void run_free(run_t *run);

/**
 * run_is_starting() - check whether a start was sent, perhaps by an earlier
 * agent process, that may still turn out to crash the executor
 */
bool run_is_starting(const run_t *run);

/**
 * run_set_tail_effect() - set the effect of a best-effort run on the tail
 * latency
 * @permille: in thousandths of the latency target, 0 if not known
 */
void run_set_tail_effect(run_t *run, uint32_t permille);

/**
 * run_reject() - report that a run does not exist and never will, and free it
 */
void run_reject(run_t *run, const char *reason);

run_call_t *run_call_new(const run_t *run);

/**
 * run_call_finish() - free a call that was answered
 *
 * Return: its run, or NULL if the run has ended.
 */
run_t *run_call_finish(run_call_t *call);
void run_call_free(run_call_t *call);

/**
 * run_check() - send the pending start or stop of a run, or repeat it
 *
 * May free the run.
 */
void run_check(run_t *run);

/**
 * throttle_update() - adjust the throttling of the best-effort tasks to the
 * tail latencies of the serving tasks
 */
void throttle_update(node_executor_t *executor);

#endif
