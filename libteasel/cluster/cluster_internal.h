#ifndef TEASEL_CLUSTER_CLUSTER_INTERNAL_H
#define TEASEL_CLUSTER_CLUSTER_INTERNAL_H

#include "base/list.h"
#include "cluster/cluster.h"
#include "store/follower.h"

/**
 * struct member - another scheduler, and the connection to it
 * @status_ms: when its last status arrived, 0 before
 * @contact_ms: when the status was sent that it has answered last
 * @dialled_ms: when the connection was last opened
 * @sudden: the last connection was reset or refused, so that the process is
 *     gone; a silent one may be cut off
 * @probed_ms: when it last reported that the store answers it
 */
typedef struct member {
    list_t link;
    cluster_t *cluster;
    char *name;
    char *address;
    uint64_t incarnation;
    peer_t *peer;
    bool open;
    bool sudden;
    int64_t dialled_ms;
    int64_t status_ms;
    int64_t contact_ms;
    int64_t probed_ms;
    uint64_t epoch;
    bool leading;
    bool leader_alive;
    loop_timer_t redial;
} member_t;

/**
 * struct inbound - a connection that another process opened
 */
typedef struct inbound {
    cluster_t *cluster;
    peer_t *peer;
    char *name;
} inbound_t;

struct cluster {
    cluster_opts_t opts;
    char *name;
    char *address;
    follower_t *follower;
    peer_listener_t *listener;
    list_t members;
    loop_timer_t tick;
    loop_timer_t register_timer;
    int64_t status_sent_ms;

    uint64_t epoch; /* of the newest leader */
    char *leader_name;
    char *leader_address;
    bool leading;
    bool leaving;
    bool resigned;
    bool leader_was_alive;
    int64_t missing_ms; /* since when the leader is not heard, or 0 */
    bool claiming;

    bool store_fails; /* for this leader's writes */
    int64_t store_failed_ms;
    bool probing;
    int64_t probe_started_ms;
    int64_t probe_ok_ms;
};

int64_t cluster_now_ms(const cluster_t *cluster);
member_t *cluster_find_member(cluster_t *cluster, const char *name);

/**
 * cluster_know_member() - add or update another scheduler and dial it
 */
void cluster_know_member(cluster_t *cluster, const char *name,
                         const char *address, uint64_t incarnation);
void cluster_forget_members(cluster_t *cluster);
void cluster_send_status(cluster_t *cluster);
bool cluster_is_leader_alive(const cluster_t *cluster);

/**
 * cluster_check() - react to a change in the state of the leader
 */
void cluster_check(cluster_t *cluster);
void cluster_probe_store(cluster_t *cluster);

/**
 * cluster_take_status() - a scheduler or its answer told its state
 */
void cluster_take_status(member_t *member, const Teasel__PeerStatus *status);

extern const peer_handler_t cluster_member_handler;
extern const peer_handler_t cluster_inbound_handler;
void cluster_on_accept(peer_t *peer, void *data);

#endif
