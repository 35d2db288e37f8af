#ifndef TEASEL_CLUSTER_CLUSTER_H
#define TEASEL_CLUSTER_CLUSTER_H

#include "base/clock.h"
#include "base/loop.h"
#include "store/store.h"
#include "wire/peer.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Scheduler membership and leader election.
 *
 * A scheduler becomes leader when its record is appended to the control topic
 * at the expected end offset. The epoch is derived from the offset and fences
 * the writes of earlier leaders. Schedulers keep connections to each other to
 * detect the failure of the leader. The connections also let a leader continue
 * while the store is unavailable to all schedulers.
 *
 * The schedulers with the most CPU are the candidates, which succeed a failed
 * leader. Each scheduler is connected to the leader, and the candidates to
 * each other, so that the number of connections does not grow with the square
 * of the number of schedulers.
 */

enum {
    /* A leader extends leases for at most this long without a write to the
       store. All schedulers have to use the same value. */
    CLUSTER_MAX_STORELESS_MS = 60000,
    /* A new leader that its predecessor may not know waits for this time, and
       then for a lease, before it treats an executor as lost that it has not
       heard of. It allows for the drift of both clocks. */
    CLUSTER_STALE_LEADER_MS = CLUSTER_MAX_STORELESS_MS * 105 / 100,
};

typedef struct cluster cluster_t;

/**
 * struct cluster_handler - callbacks of a cluster
 * @on_elected: this process became the leader
 * @on_deposed: this process stopped being the leader
 * @on_leader_ready: another scheduler leads and calls can be sent to it
 * @on_status: another scheduler sent a status while this process leads, so
 *     cluster_get_acked_ms() may have changed
 * @on_answer: the leader answered a call
 * @on_call: another scheduler sent a call
 * @on_report: a node agent sent a report
 * @on_peer_closed: an inbound connection, the source of calls and reports,
 *     was closed
 */
typedef struct cluster_handler {
    void (*on_elected)(uint64_t epoch, void *data);
    void (*on_deposed)(void *data);
    void (*on_leader_ready)(void *data);
    void (*on_status)(void *data);
    void (*on_answer)(const Teasel__JobAnswer *answer, void *data);
    void (*on_call)(peer_t *peer, const Teasel__JobCall *call, void *data);
    void (*on_report)(peer_t *peer, const char *node,
                      const Teasel__NodeReport *report, void *data);
    void (*on_peer_closed)(peer_t *peer, void *data);
} cluster_handler_t;

/**
 * struct cluster_opts - options of cluster_new()
 * @name: unique name of this process
 * @address: address to listen on, which is also advertised to other processes
 * @incarnation: distinguishes this process from earlier ones with its name
 * @cpu_milli: CPU share of the instance; schedulers with more lead first
 * @silence_ms: a connection is closed after this time without a message
 * @status_ms: interval of the status messages between schedulers
 */
typedef struct cluster_opts {
    loop_t *loop;
    const clock_source_t *clock;
    store_t *store;
    const char *name;
    const char *address;
    uint64_t incarnation;
    uint32_t cpu_milli;
    uint64_t silence_ms;
    uint64_t status_ms;
    const cluster_handler_t *handler;
    void *data;
} cluster_opts_t;

cluster_t *cluster_new(const cluster_opts_t *opts, GError **error);

/**
 * cluster_free() - free a cluster; no callback runs after this
 *
 * Must not be called from inside a callback of the handler.
 */
void cluster_free(cluster_t *cluster);

bool cluster_is_leading(const cluster_t *cluster);

/**
 * cluster_has_leader() - return whether this process leads or receives
 * statuses from the leader
 */
bool cluster_has_leader(const cluster_t *cluster);

/**
 * cluster_send_call() - send a call to the leader
 *
 * Return: false if there is no connection to a live leader or the message
 * could not be queued; nothing is sent then.
 */
bool cluster_send_call(cluster_t *cluster, Teasel__JobCall *call);

/**
 * cluster_resign() - give up leadership so that another scheduler takes over
 * @reason: written to the log
 */
void cluster_resign(cluster_t *cluster, const char *reason);

/**
 * cluster_leave() - resign, do not stand for election again, and remove the
 * record of this process so that others forget it
 */
void cluster_leave(cluster_t *cluster);

/**
 * cluster_get_acked_ms() - return when every other scheduler last confirmed
 * that it follows this leader
 *
 * Return: the earliest of the send times, on the monotonic clock, of the last
 * status that each other scheduler acknowledged; 0 if one of them is
 * disconnected, does not follow this leader or is not known from the store
 * yet, or if none is known.
 */
int64_t cluster_get_acked_ms(const cluster_t *cluster);

/**
 * cluster_get_view_acked_ms() - as cluster_get_acked_ms(), for leases
 *
 * A scheduler that the stored view of this leader does not cover need not
 * confirm anything, as it waits after its election (see
 * cluster_has_stale_leader()).
 *
 * Return: 0 also if the view of this leader is not stored yet.
 */
int64_t cluster_get_view_acked_ms(const cluster_t *cluster);

/**
 * cluster_is_alone() - return whether the stored view of this leader covers no
 * other scheduler, and none is known from a connection
 */
bool cluster_is_alone(const cluster_t *cluster);

/**
 * cluster_has_stale_leader() - return whether an earlier leader may not know
 * of this one, and so may extend leases without the store
 * @fenced_ms: from which time on the store rejects the writes of earlier
 *     leaders
 *
 * That is at most for CLUSTER_STALE_LEADER_MS, and only until the process of
 * the earlier leader has ended or confirms this one.
 */
bool cluster_has_stale_leader(cluster_t *cluster, int64_t fenced_ms);

/**
 * cluster_request_acks() - ask all other schedulers to confirm that they
 * follow this leader
 */
void cluster_request_acks(cluster_t *cluster);

/**
 * cluster_set_store_available() - record whether the writes of this leader
 * succeed
 *
 * While they fail, the other schedulers probe whether they reach the store.
 */
void cluster_set_store_available(cluster_t *cluster, bool available);

/**
 * cluster_others_reach_store() - return whether another scheduler has reached
 * the store since cluster_set_store_available() reported it as unavailable
 */
bool cluster_others_reach_store(const cluster_t *cluster);

/**
 * cluster_fill_status() - fill in the status message for peers
 * @status: its strings remain owned by @cluster
 */
void cluster_fill_status(const cluster_t *cluster, Teasel__PeerStatus *status);

#ifdef __cplusplus
}
#endif

#endif
