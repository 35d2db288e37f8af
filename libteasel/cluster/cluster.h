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
 * Membership of the schedulers and election of the one that leads.
 *
 * A scheduler leads from the moment its record is appended to the control
 * topic at the end that it expected; the offset gives its epoch, which fences
 * the writes of its predecessors. Schedulers keep connections to each other,
 * over which they learn that the leader has died, and which let a leader go on
 * while the store is away from all of them.
 */

typedef struct cluster cluster_t;

/**
 * struct cluster_handler - callbacks
 * @on_elected: this process leads from now on
 * @on_deposed: it does not any more
 * @on_leader_ready: calls can be sent to another leader
 * @on_answer: the answer to a call that was sent to the leader
 * @on_call: another scheduler sent a call
 * @on_report: a node agent sent a report
 * @on_peer_closed: a connection that sent calls or reports is gone
 */
typedef struct cluster_handler {
    void (*on_elected)(uint64_t epoch, void *data);
    void (*on_deposed)(void *data);
    void (*on_leader_ready)(void *data);
    void (*on_answer)(const Teasel__JobAnswer *answer, void *data);
    void (*on_call)(peer_t *peer, const Teasel__JobCall *call, void *data);
    void (*on_report)(peer_t *peer, const char *node,
                      const Teasel__NodeReport *report, void *data);
    void (*on_peer_closed)(peer_t *peer, void *data);
} cluster_handler_t;

/**
 * struct cluster_opts - options of cluster_new()
 * @name: unique name of this process
 * @address: where other processes reach it; also the address to listen on
 * @incarnation: distinguishes this process from its predecessors
 * @silence_ms: a connection that is silent for this long is lost
 * @status_ms: interval of the status that schedulers exchange
 */
typedef struct cluster_opts {
    loop_t *loop;
    const clock_source_t *clock;
    store_t *store;
    const char *name;
    const char *address;
    uint64_t incarnation;
    uint64_t silence_ms;
    uint64_t status_ms;
    const cluster_handler_t *handler;
    void *data;
} cluster_opts_t;

cluster_t *cluster_new(const cluster_opts_t *opts, GError **error);
void cluster_free(cluster_t *cluster);

bool cluster_is_leading(const cluster_t *cluster);

/**
 * cluster_has_leader() - this process leads, or hears from the leader
 */
bool cluster_has_leader(const cluster_t *cluster);

/**
 * cluster_send_call() - send a call to the leader
 *
 * Return: false if there is no connection to it; nothing was sent
 */
bool cluster_send_call(cluster_t *cluster, Teasel__JobCall *call);

/**
 * cluster_resign() - stop leading, so that another scheduler takes over
 */
void cluster_resign(cluster_t *cluster, const char *reason);

/**
 * cluster_leave() - resign, and do not lead again
 */
void cluster_leave(cluster_t *cluster);

/**
 * cluster_get_contact_ms() - when all other schedulers were last known to
 * follow this leader, on the monotonic clock
 *
 * Return: 0 if they are not
 */
int64_t cluster_get_contact_ms(const cluster_t *cluster);

/**
 * cluster_report_store() - the leader's writes fail, or succeed again
 *
 * The other schedulers then test whether the store answers them.
 */
void cluster_report_store(cluster_t *cluster, bool usable);

/**
 * cluster_others_reach_store() - another scheduler reached the store after
 * cluster_report_store() told that this one does not
 */
bool cluster_others_reach_store(const cluster_t *cluster);

/**
 * cluster_write_status() - fill the status that peers are sent
 */
void cluster_write_status(const cluster_t *cluster,
                          Teasel__PeerStatus *status);

#ifdef __cplusplus
}
#endif

#endif
