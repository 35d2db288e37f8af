#ifndef TEASEL_SCHEDULER_LEADER_H
#define TEASEL_SCHEDULER_LEADER_H

#include "base/clock.h"
#include "base/loop.h"
#include "scheduler/job_call.h"
#include "sched/sched.h"
#include "store/store.h"
#include "wire/peer.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * The leading scheduler loads the jobs from the store, answers calls, leases
 * the executors to their agents, and writes each change to the store before it
 * sends any message that depends on it.
 *
 * It may have been replaced without knowing it, as it stood still or cannot
 * reach the store. An answer that follows a write is fenced by the store; any
 * other one that a later leader could contradict waits for a proof that no
 * other scheduler led when the call arrived.
 */

typedef struct leader leader_t;

/**
 * struct leader_opts - options of leader_new()
 * @epoch: epoch that fences the writes of earlier leaders
 * @lease_ms: longest lease that a leader grants for an executor
 * @max_lease_ms: longest lease that an executor accepts
 * @retain_ms: retention period of final jobs
 * @stop_ms: longest time that an executor takes to stop a run
 * @record_bytes: longest record that the store takes, with its key
 * @evacuation: evacuated data centres, see sched_opts_t
 * @random: draws the times after which refused callers try again; must outlive
 *     the leader
 * @remote_factor: see struct sched_opts
 * @max_storeless_ms: leases are extended for at most this long without the
 *     store
 * @get_acked_ms: see cluster_get_acked_ms()
 * @get_view_acked_ms: see cluster_get_view_acked_ms()
 * @is_alone: see cluster_is_alone()
 * @has_stale_leader: see cluster_has_stale_leader()
 * @request_acks: ask the other schedulers to confirm that they follow this
 *     leader; the callee calls leader_answer_proven() when one of them does
 * @on_store_change: writes to the store started to fail, or succeed again
 * @on_fenced: the store rejected a write because of a later leader; the
 *     callee must free the leader, but not inside the callback
 */
typedef struct leader_opts {
    loop_t *loop;
    const clock_source_t *clock;
    store_t *store;
    uint64_t epoch;
    int64_t lease_ms;
    int64_t max_lease_ms;
    int64_t retain_ms;
    int64_t stop_ms;
    size_t record_bytes;
    const evacuation_t *evacuation;
    GRand *random;
    double remote_factor;
    int64_t max_storeless_ms;
    int64_t (*get_acked_ms)(void *data);
    int64_t (*get_view_acked_ms)(void *data);
    bool (*is_alone)(void *data);
    bool (*has_stale_leader)(int64_t fenced_ms, void *data);
    void (*request_acks)(void *data);
    void (*on_store_change)(bool available, void *data);
    void (*on_fenced)(const char *reason, void *data);
    void *data;
} leader_opts_t;

leader_t *leader_new(const leader_opts_t *opts);

/**
 * leader_free() - free a leader; waiting calls are not answered
 */
void leader_free(leader_t *leader);

/**
 * leader_is_ready() - return whether the stored jobs are loaded
 */
bool leader_is_ready(const leader_t *leader);

/**
 * leader_handle_call() - handle a job call
 * @answer: called once, unless the leader is freed or the call is dropped
 *     first
 * @owner: passed to @answer; see leader_drop_calls()
 */
void leader_handle_call(leader_t *leader, const Teasel__JobCall *call,
                        job_answer_fn answer, void *owner);

/**
 * leader_answer_proven() - answer the calls for which there is a proof now
 * that no other scheduler led when they arrived
 */
void leader_answer_proven(leader_t *leader);

/**
 * leader_drop_calls() - drop the waiting calls of an owner unanswered
 */
void leader_drop_calls(leader_t *leader, void *owner);

/**
 * leader_handle_report() - handle a report of a node agent
 */
void leader_handle_report(leader_t *leader, peer_t *peer, const char *node,
                          const Teasel__NodeReport *report);

/**
 * leader_remove_peer() - drop the calls and the session of a closed connection
 */
void leader_remove_peer(leader_t *leader, peer_t *peer);

/**
 * leader_note_evacuation() - pass a change of the evacuated data centres on to
 * the agents, and end or stop the runs there that have not begun
 */
void leader_note_evacuation(leader_t *leader);

/**
 * leader_is_idle() - return whether no store call is pending
 */
bool leader_is_idle(const leader_t *leader);

/**
 * leader_write_metrics() - append metrics in the Prometheus text format
 */
void leader_write_metrics(const leader_t *leader, GString *out);

#ifdef __cplusplus
}
#endif

#endif
