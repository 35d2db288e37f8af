#ifndef TEASEL_CLUSTER_CLUSTER_INTERNAL_H
#define TEASEL_CLUSTER_CLUSTER_INTERNAL_H

#include "base/list.h"
#include "cluster/cluster.h"
#include "store/follower.h"

/**
 * struct member - another scheduler and the connection to it
 * @cpu_milli: CPU share of its instance
 * @connection_reset: the last connection was reset or refused, which means
 *     that the process has exited; a connection that times out may only be
 *     partitioned
 * @first_dialled_ms: when it was first dialled, 0 if no connection is needed
 * @dialled_ms: when the last connection attempt was started
 * @status_ms: when the last status arrived, 0 before the first
 * @acked_ms: send time of the newest status that it has acknowledged
 * @store_reached_ms: when it last reported that it reaches the store
 * @registered: its own record was read, not only that of the leader
 * @excluded: the stored view of this leader names it as unreachable
 * @excluding: the view that is being written does
 */
typedef struct member {
    list_t link;
    cluster_t *cluster;
    char *name;
    char *address;
    uint64_t incarnation;
    uint32_t cpu_milli;
    peer_t *peer;
    bool open;
    bool connection_reset;
    int64_t first_dialled_ms;
    int64_t dialled_ms;
    int64_t status_ms;
    int64_t acked_ms;
    int64_t store_reached_ms;
    uint64_t epoch;
    bool leading;
    bool leader_alive;
    bool registered;
    bool excluded;
    bool excluding;
    loop_timer_t redial;
} member_t;

#define OFFSET_UNKNOWN UINT64_MAX

/**
 * struct view - the newest view that was read from the store, and that of this
 * process while it leads
 * @leader: name of the scheduler that wrote the one that was read, or NULL
 * @incarnation: of that scheduler
 * @offset: of that record
 * @excludes_self: it names this process as unreachable
 * @own_offset: from which on the topic has had a record with the name of this
 *     process; OFFSET_UNKNOWN before one is read
 * @registered: the record of this process was read
 * @members_offset: of the newest record of another scheduler
 * @members_changed_ms: when that one was read
 * @stored: the view of this leader is stored
 * @stored_offset: of its record
 * @writing: a write of it is pending
 * @written_epoch: epoch of the leader that began this write
 * @written_ms: when it was begun, 0 before the first one of this leader
 * @stale_leader: see cluster_has_stale_leader()
 */
struct view {
    char *leader;
    uint64_t incarnation;
    uint64_t offset;
    bool excludes_self;
    uint64_t own_offset;
    bool registered;
    uint64_t members_offset;
    int64_t members_changed_ms;
    bool stored;
    uint64_t stored_offset;
    bool writing;
    uint64_t written_epoch;
    int64_t written_ms;
    bool stale_leader;
};

/**
 * struct inbound - connection opened by another process
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
    GHashTable *strangers; /* names of schedulers that have connected, while
                              their record has not been read -> int64_t, time
                              of the last status */
    struct view view;
    loop_timer_t tick;
    loop_timer_t register_timer;
    int64_t started_ms;
    int64_t status_sent_ms;
    unsigned calls; /* pending store calls that were begun for this cluster */
    bool freed;     /* freed when the last of them returns */

    uint64_t epoch; /* of the newest known leader */
    char *leader_name;
    char *leader_address;
    bool leading;
    bool leaving;
    bool resigned;
    bool leader_was_alive;
    bool leader_left;       /* it resigned and removed its record */
    int64_t leader_lost_ms; /* when the leader was found missing, or 0 */
    bool claiming;

    uint64_t reported_epoch; /* of the newest leader known to an agent */
    char *reported_address;

    bool writes_failing; /* writes of this leader to the store */
    int64_t store_failed_ms;
    bool probing;
    int64_t probe_started_ms;
    int64_t probe_ok_ms;
};

int64_t cluster_now_ms(const cluster_t *cluster);

/**
 * cluster_begin_call() - keep the cluster until the callback of a store call
 *
 * Each store call whose callback gets the cluster begins with this function,
 * and the callback begins with cluster_end_call().
 */
void cluster_begin_call(cluster_t *cluster);

/**
 * cluster_end_call() - end what cluster_begin_call() began
 *
 * Return: false if the cluster was freed in the meantime; the callback must
 * not use it then.
 */
bool cluster_end_call(cluster_t *cluster);

/**
 * cluster_append_at_end() - append a record to the control topic, if the topic
 * still ends where this process has read to
 * @cb: gets the cluster; see cluster_begin_call()
 */
void cluster_append_at_end(cluster_t *cluster, const store_record_t *record,
                           store_append_cb cb);

/**
 * cluster_log_malformed() - log a record of the control topic that cannot be
 * read
 */
void cluster_log_malformed(const store_record_t *stored);

/**
 * cluster_apply_leader_record() - follow the leader that a record names
 */
void cluster_apply_leader_record(cluster_t *cluster,
                                 const store_record_t *stored);

/**
 * cluster_apply_scheduler_record() - add or update the scheduler that a record
 * names
 */
void cluster_apply_scheduler_record(cluster_t *cluster,
                                    const store_record_t *stored);

/**
 * cluster_apply_scheduler_removal() - forget a scheduler whose record was
 * removed
 */
void cluster_apply_scheduler_removal(cluster_t *cluster, const char *name);

/**
 * cluster_update_registration() - write the record of this process, or remove
 * it if the process is leaving
 * @timer: register_timer
 */
void cluster_update_registration(loop_timer_t *timer);

/**
 * cluster_note_own_record() - note a record with the name of this process
 * @incarnation: of the process that wrote it
 */
void cluster_note_own_record(cluster_t *cluster, uint64_t offset,
                             uint64_t incarnation);
void cluster_note_own_removal(cluster_t *cluster);

/**
 * cluster_note_member_record() - note the offset of the record of another
 * scheduler
 */
void cluster_note_member_record(cluster_t *cluster, uint64_t offset);

/**
 * cluster_apply_view_record() - note which schedulers the leader knows
 */
void cluster_apply_view_record(cluster_t *cluster,
                               const store_record_t *stored);

/**
 * cluster_begin_view() - find out after the election whether an earlier leader
 * may not know this one
 */
void cluster_begin_view(cluster_t *cluster);

/**
 * cluster_update_view() - store the view of this leader if it has changed
 */
void cluster_update_view(cluster_t *cluster, int64_t now_ms);

/**
 * cluster_note_later_leader() - note that an agent knows another leader, and
 * resign if that one is later
 */
void cluster_note_later_leader(cluster_t *cluster,
                               const Teasel__LeaderAddress *leader);

/**
 * cluster_get_oldest_ack_ms() - return the earliest of the send times of the
 * last status that each other scheduler acknowledged
 * @skip_excluded: leave out those that the stored view leaves out
 *
 * Return: 0 if one of them does not follow this leader or is not known from
 * the store yet, or if there is none.
 */
int64_t cluster_get_oldest_ack_ms(const cluster_t *cluster,
                                  bool skip_excluded);

/**
 * cluster_is_member_unreachable() - return whether another scheduler has had
 * no connection for long
 */
bool cluster_is_member_unreachable(const member_t *member);

member_t *cluster_find_member(cluster_t *cluster, const char *name);

/**
 * cluster_update_member() - add or update another scheduler
 *
 * Return: the member, or NULL for this process or a malformed address.
 */
member_t *cluster_update_member(cluster_t *cluster, const char *name,
                                const char *address, uint64_t incarnation);

/**
 * cluster_forget_member() - remove a scheduler that has left
 */
void cluster_forget_member(cluster_t *cluster, const char *name);

/**
 * cluster_update_connections() - open and close the connections to other
 * schedulers, after a change of the leader or of the members
 */
void cluster_update_connections(cluster_t *cluster);

/**
 * cluster_is_candidate() - return whether this process is one of the
 * schedulers that succeed a failed leader
 */
bool cluster_is_candidate(const cluster_t *cluster);

/**
 * cluster_get_rank() - return the number of schedulers that stand for election
 * before this one
 * @all: include those without a connection
 */
unsigned cluster_get_rank(const cluster_t *cluster, bool all);
void cluster_free_members(cluster_t *cluster);
void cluster_send_status(cluster_t *cluster);

/**
 * cluster_has_fresh_status() - return whether the last status of a member says
 * something reliable about its present state
 */
bool cluster_has_fresh_status(const member_t *member);
bool cluster_is_leader_alive(const cluster_t *cluster);

/**
 * cluster_check_leader() - update the state of the leader and claim leadership
 * if it has been missing for long enough
 */
void cluster_check_leader(cluster_t *cluster);
void cluster_probe_store(cluster_t *cluster);

/**
 * cluster_apply_status() - apply a status received from a member
 */
void cluster_apply_status(member_t *member, const Teasel__PeerStatus *status);

extern const peer_handler_t cluster_member_handler;
extern const peer_handler_t cluster_inbound_handler;
void cluster_on_accept(peer_t *peer, void *data);

#endif
