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
 * The scheduler that leads: loads the jobs from the store, answers calls,
 * writes each change before anything that depends on it leaves the process,
 * and leases the executors to their agents.
 */

typedef struct leader leader_t;

/**
 * struct leader_opts - options of leader_new()
 * @epoch: fences the writes of earlier leaders
 * @lease_ms: longest lease of an executor
 * @retain_ms: final jobs are forgotten after this time
 * @stop_ms: longest time that an executor takes to stop a run
 * @get_contact_ms: see cluster_get_contact_ms()
 * @on_store: writes fail, or succeed again
 * @on_fenced: a later leader has written; the leader must be freed
 */
typedef struct leader_opts {
    loop_t *loop;
    const clock_source_t *clock;
    store_t *store;
    uint64_t epoch;
    int64_t lease_ms;
    int64_t retain_ms;
    int64_t stop_ms;
    int64_t (*get_contact_ms)(void *data);
    void (*on_store)(bool usable, void *data);
    void (*on_fenced)(const char *reason, void *data);
    void *data;
} leader_opts_t;

leader_t *leader_new(const leader_opts_t *opts);

/**
 * leader_free() - calls that wait for an answer get none
 */
void leader_free(leader_t *leader);

/**
 * leader_is_ready() - the stored jobs are loaded
 */
bool leader_is_ready(const leader_t *leader);

/**
 * leader_call() - handle a call
 * @answer: called once, unless the leader is freed before
 * @owner: leader_forget() drops the calls of an owner
 */
void leader_call(leader_t *leader, const Teasel__JobCall *call,
                 job_answer_fn answer, void *owner);
void leader_forget(leader_t *leader, void *owner);

/**
 * leader_report() - handle the report of a node agent
 */
void leader_report(leader_t *leader, peer_t *peer, const char *node,
                   const Teasel__NodeReport *report);

/**
 * leader_lose_peer() - a connection is gone
 */
void leader_lose_peer(leader_t *leader, peer_t *peer);

/**
 * leader_is_idle() - no write is under way
 */
bool leader_is_idle(const leader_t *leader);

/**
 * leader_write_metrics() - append counters in the Prometheus text format
 */
void leader_write_metrics(const leader_t *leader, GString *out);

#ifdef __cplusplus
}
#endif

#endif
