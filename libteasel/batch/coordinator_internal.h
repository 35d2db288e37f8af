#ifndef TEASEL_BATCH_COORDINATOR_INTERNAL_H
#define TEASEL_BATCH_COORDINATOR_INTERNAL_H

#include "base/list.h"
#include "batch/coordinator.h"
#include "batch/learn.h"
#include "batch/quarantine.h"
#include "batch/quota.h"

#ifdef __cplusplus
extern "C" {
#endif

enum {
    COORDINATOR_MAX_ITEMS = 1000,
    /* Bytes of one decision record; the log moves at most 1 MiB at once. */
    COORDINATOR_MAX_BYTES = 256 * 1024,
    /* No new task for a worker that was silent for this long. */
    COORDINATOR_FRESH_MS = 2000,
    /* A new agent has listed all tasks of its worker after this time. */
    COORDINATOR_ABSENT_MS = 2000,
    /* A job that came first for this long and found no place gets a worker
       kept free for it. */
    COORDINATOR_AGE_MS = 10000,
    COORDINATOR_URGENT_AGE_MS = 200,
    /* Jobs are started longest first, because a long job that starts last
       lets the other workers wait for it. One that waited this long comes
       before all that did not, in order of arrival. */
    COORDINATOR_OLD_MS = 300000,
    COORDINATOR_BUCKETS = 32, /* powers of two of the expected run time */
    COORDINATOR_OLD = COORDINATOR_BUCKETS,
    /* A running task that has come this far shows its needs. */
    COORDINATOR_SAMPLE_MS = 5000,
    /* At most one worker in this many is kept free. */
    COORDINATOR_KEEP_SHARE = 8,
    /* A worker without tasks is removed after this silence. */
    COORDINATOR_REMOVE_MS = 600000,
    /* Calls this far apart mean that the process did not run. Heartbeats that
       arrived meanwhile are not read yet, so silence counts from now. */
    COORDINATOR_GAP_MS = 1000,
    /* All waiting jobs are looked at this often; in between, lists whose
       smallest job has no place are passed over. */
    COORDINATOR_FULL_MS = 1000,
    /* Old jobs are looked at this often even if nothing changed. */
    COORDINATOR_IDLE_MS = 500,
};

/**
 * struct member - a worker, as the coordinator knows it from its heartbeats
 * @worker: its state on the log, NULL if it is not announced
 * @heard: a heartbeat arrived in this epoch
 * @leased: the last renewal was longer than 0
 * @expiring: attempts expire with the decision in flight; a renewal now could
 *     let them run beside their successors
 * @since: first heartbeat of this incarnation
 * @planned: sizes of starts in the decision in flight
 * @kept_for: job that the worker is kept free for
 */
typedef struct member {
    char *name;
    cell_worker_t *worker;
    bool heard;
    bool leased;
    bool leaving;
    bool expiring;
    struct timespec last_heard;
    struct timespec since;
    uint64_t incarnation;
    job_size_t capacity;
    job_size_t planned;
    int place_index;
    cell_job_t *kept_for;
} member_t;

/**
 * struct bucket - waiting jobs of a team with similar run times
 * @least: no job of the list needs less, in any dimension
 * @least_known: @least holds; it is found anew every COORDINATOR_FULL_MS
 */
typedef struct bucket {
    list_t jobs;
    job_size_t least;
    bool least_known;
} bucket_t;

/**
 * struct queue - waiting jobs of a team
 * @buckets: by priority and expected run time, then in order of submission;
 *     COORDINATOR_OLD is the list of jobs that waited long
 * @bucket: list of the scan under way, -1 at its end
 * @cursor: next job of that list
 */
typedef struct queue {
    list_t link;
    bucket_t buckets[2][COORDINATOR_BUCKETS + 1];
    quota_team_t *team;
    bool arrival_order;
    int bucket;
    list_t *cursor;
} queue_t;

/**
 * struct waiting - what the coordinator adds to a live job
 * @link: on the queue of its team while queued
 * @head_since: when it came first and found no place, 0 if never
 * @kept: member that is kept free for the job
 * @peak: use of earlier attempts that were evicted
 * @bucket: list of its queue
 * @sampled: the use of the running attempt was learned
 * @seen: number of the heartbeat that listed the running attempt
 * @planned: its start is in the decision in flight
 * @absent: a new incarnation of its agent does not know the attempt
 * @declared_only: no worker could hold the learned size
 */
typedef struct waiting {
    list_t link;
    cell_job_t *job;
    queue_t *queue;
    learn_class_t *class_;
    struct timespec since;
    struct timespec head_since;
    member_t *kept;
    uint64_t seen;
    job_size_t peak;
    int bucket;
    bool sampled;
    bool planned;
    bool absent;
    bool declared_only;
} waiting_t;

struct coordinator {
    coordinator_opts_t opts;
    cell_t *cell;
    bool active;
    uint64_t epoch;
    struct timespec begun;
    struct timespec last_call;
    struct timespec last_scan;
    struct timespec last_full;
    GHashTable *members; /* name -> member_t */
    GPtrArray *by_index; /* member_t by index of placement */
    GHashTable *by_team; /* name -> queue_t */
    GHashTable *reports; /* job id -> Teasel__TaskReport */
    list_t queues;
    placement_t *place;
    quota_t *quota;
    learn_t *learn;
    quarantine_t *quarantine;
    job_size_t largest; /* of all workers, in each dimension */
    uint64_t heartbeat_count;
    size_t kept_count;
    size_t quarantined_count;
    bool dirty;
    Teasel__Decision *decision; /* in flight */
    size_t item_capacity;
    size_t item_bytes;
};

/* coordinator.c */
member_t *coordinator_get_member(coordinator_t *coordinator, const char *name);

/**
 * coordinator_sync_member() - tell the placement what room a member has
 */
void coordinator_sync_member(coordinator_t *coordinator, member_t *member);
void coordinator_unkeep(coordinator_t *coordinator, member_t *member);
int64_t coordinator_get_silence_ms(const coordinator_t *coordinator,
                                   const member_t *member,
                                   struct timespec now);

/* coordinator_listener.c */

/**
 * coordinator_enqueue() - put a queued job on the list of its run time
 */
void coordinator_enqueue(waiting_t *waiting);
int coordinator_get_bucket(const waiting_t *waiting);

extern const cell_listener_t coordinator_listener;
void coordinator_drop_waiting(coordinator_t *coordinator, cell_job_t *job);

/* coordinator_contact.c */
void coordinator_send_start(coordinator_t *coordinator, const cell_job_t *job);
void coordinator_send_stop(coordinator_t *coordinator, const char *agent,
                           const char *job_id, uint32_t attempt,
                           Teasel__StopReason reason);

/**
 * coordinator_answer_report() - release or discard an attempt that the fold
 * no longer runs
 */
void coordinator_answer_report(coordinator_t *coordinator, const char *agent,
                               const char *job_id, uint32_t attempt);

/* coordinator_items.c: items of the decision in the making */
bool coordinator_is_full(const coordinator_t *coordinator, size_t limit);
void coordinator_add_start(coordinator_t *coordinator, const cell_job_t *job,
                           const member_t *member, const job_size_t *size);
void coordinator_add_finish(coordinator_t *coordinator,
                            const Teasel__TaskReport *report);
void coordinator_add_revoke(coordinator_t *coordinator, const cell_job_t *job,
                            const char *reason);
void coordinator_add_expire(coordinator_t *coordinator, const cell_job_t *job);
void coordinator_add_worker(coordinator_t *coordinator, const member_t *member,
                            const job_size_t *size, bool quarantined,
                            const char *reason);

/* coordinator_scan.c */
void coordinator_plan_starts(coordinator_t *coordinator);

#ifdef __cplusplus
}
#endif

#endif
