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
    /* A decision of this many bytes gets no further items; the log transfers
       at most 1 MiB at once. */
    COORDINATOR_MAX_BYTES = 256 * 1024,
    /* A worker without a heartbeat for this long gets no new tasks. */
    COORDINATOR_MAX_SILENCE_MS = 2000,
    /* A restarted agent has listed all tasks of its worker after this time. */
    COORDINATOR_ABSENT_MS = 2000,
    /* A worker is reserved for a job that was first in line and did not fit
       on any worker for this long. */
    COORDINATOR_RESERVE_DELAY_MS = 10000,
    COORDINATOR_URGENT_RESERVE_DELAY_MS = 200,
    /* Jobs are started longest first: a long job that starts last would
       occupy one worker while the others have nothing left to run. Jobs that
       waited this long come before all others, in order of arrival. */
    COORDINATOR_AGED_MS = 300000,
    COORDINATOR_BUCKETS = 32, /* powers of two of the expected run time */
    COORDINATOR_AGED_BUCKET = COORDINATOR_BUCKETS,
    /* The use of a running task is learned once it has run for this long. */
    COORDINATOR_SAMPLE_MS = 5000,
    /* At most one worker in this many is reserved. */
    COORDINATOR_RESERVE_SHARE = 8,
    /* A worker without tasks and heartbeats is removed after this time. */
    COORDINATOR_REMOVE_MS = 600000,
    /* Calls this far apart mean that the process was stalled. Heartbeats that
       arrived during the stall are still unread, so silence counts from
       now. */
    COORDINATOR_STALL_MS = 1000,
    /* Interval of scans over all queued jobs. Scans in between skip lists
       whose smallest job does not fit on any worker. */
    COORDINATOR_FULL_SCAN_MS = 1000,
    /* Queued jobs are scanned this often even if nothing changed. */
    COORDINATOR_IDLE_SCAN_MS = 500,
};

/**
 * struct member - state of a worker according to its heartbeats
 * @worker: its state according to the log, NULL if it is not on the log
 * @has_heartbeat: a heartbeat arrived in this epoch
 * @leased: the last renewal granted more than 0 ms
 * @leaving: its agent announced that it is leaving
 * @expiring: the decision in flight expires attempts on it; a renewal now
 *     could let them run next to their successors
 * @incarnation_since: time of the first heartbeat of @incarnation
 * @planned: sum of the sizes that the decision in flight starts on it
 * @placement_index: index in the placement
 * @reserved_for: job that the worker is reserved for, may be NULL
 */
typedef struct member {
    char *name;
    cell_worker_t *worker;
    bool has_heartbeat;
    bool leased;
    bool leaving;
    bool expiring;
    struct timespec last_heartbeat;
    struct timespec incarnation_since;
    uint64_t incarnation;
    job_size_t capacity;
    job_size_t planned;
    int placement_index;
    cell_job_t *reserved_for;
} member_t;

/**
 * struct bucket - queued jobs of a team with similar run times
 * @min_size: lower bound of the sizes of the jobs, in each dimension
 * @min_size_known: @min_size is valid; it is recomputed every
 *     COORDINATOR_FULL_SCAN_MS
 */
typedef struct bucket {
    list_t jobs;
    job_size_t min_size;
    bool min_size_known;
} bucket_t;

/**
 * struct queue - queued jobs of a team
 * @buckets: lists by priority and expected run time, each in order of
 *     submission; jobs that waited for COORDINATOR_AGED_MS are in
 *     COORDINATOR_AGED_BUCKET
 * @arrival_order: see struct coordinator_opts
 * @bucket: list that the current scan has reached, -1 at its end
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
 * struct tracked_job - scheduling state of a queued or running job
 * @link: on the queue of its team while queued
 * @class_: learned resource use of its class, may be NULL
 * @queued_at: when it was queued last
 * @blocked_since: when it was first in line and did not fit on any worker, 0
 *     if it never was
 * @reserved: worker that is reserved for the job, may be NULL
 * @last_listed: number of the last heartbeat that listed the running attempt
 * @peak: peak use of earlier attempts that were evicted
 * @bucket: list of its queue
 * @sampled: the use of the running attempt was learned
 * @planned: its start is in the decision in flight
 * @absent: a new incarnation of its agent does not list the attempt
 * @declared_only: use the declared size, because no worker could hold the
 *     learned one
 */
typedef struct tracked_job {
    list_t link;
    cell_job_t *job;
    queue_t *queue;
    learn_class_t *class_;
    struct timespec queued_at;
    struct timespec blocked_since;
    member_t *reserved;
    uint64_t last_listed;
    job_size_t peak;
    int bucket;
    bool sampled;
    bool planned;
    bool absent;
    bool declared_only;
} tracked_job_t;

/**
 * struct coordinator - state of a coordinator
 * @active_since: start of the epoch, or of the run after a stall
 * @last_decide: last call of coordinator_decide()
 * @last_scan: last scan over queued jobs
 * @last_full_scan: last scan over all queued jobs
 * @largest: maximum over all workers, in each dimension
 * @heartbeat_count: number of heartbeats processed
 * @dirty: something changed that may allow starts
 * @item_capacity: allocated items of @decision
 * @item_bytes: approximate encoded size of @decision
 */
struct coordinator {
    coordinator_opts_t opts;
    cell_t *cell;
    bool active;
    uint64_t epoch;
    struct timespec active_since;
    struct timespec last_decide;
    struct timespec last_scan;
    struct timespec last_full_scan;
    GHashTable *members;         /* name -> member_t */
    GPtrArray *members_by_index; /* member_t by placement_index */
    GHashTable *queues_by_team;  /* name -> queue_t */
    GHashTable *reports;         /* job id -> Teasel__TaskReport */
    list_t queues;
    placement_t *placement;
    quota_t *quota;
    learn_t *learn;
    quarantine_t *quarantine;
    job_size_t largest;
    uint64_t heartbeat_count;
    size_t reserved_count;
    size_t quarantined_count;
    bool dirty;
    Teasel__Decision *decision; /* in flight */
    size_t item_capacity;
    size_t item_bytes;
};

/* coordinator.c */
member_t *coordinator_get_member(coordinator_t *coordinator, const char *name);

/**
 * coordinator_sync_member() - update the free resources of a member in the
 * placement
 */
void coordinator_sync_member(coordinator_t *coordinator, member_t *member);
void coordinator_release_reservation(coordinator_t *coordinator,
                                     member_t *member);
int64_t coordinator_get_silence_ms(const coordinator_t *coordinator,
                                   const member_t *member,
                                   struct timespec now);

/* coordinator_listener.c */

/**
 * coordinator_enqueue() - put a queued job on the list for its run time
 */
void coordinator_enqueue(tracked_job_t *tracked);
int coordinator_get_bucket(const tracked_job_t *tracked);

extern const cell_listener_t coordinator_listener;
void coordinator_untrack_job(coordinator_t *coordinator, cell_job_t *job);

/* coordinator_messages.c */
void coordinator_send_start(coordinator_t *coordinator, const cell_job_t *job);
void coordinator_send_stop(coordinator_t *coordinator, const char *agent,
                           const char *job_id, uint32_t attempt,
                           Teasel__StopReason reason);

/**
 * coordinator_answer_report() - tell an agent what to do with an attempt that
 * no longer runs in the cell: release it if it completed the job, otherwise
 * discard it
 */
void coordinator_answer_report(coordinator_t *coordinator, const char *agent,
                               const char *job_id, uint32_t attempt);

/* coordinator_items.c: append an item to the decision being made */
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
