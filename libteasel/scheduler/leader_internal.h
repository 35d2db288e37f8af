#ifndef TEASEL_SCHEDULER_LEADER_INTERNAL_H
#define TEASEL_SCHEDULER_LEADER_INTERNAL_H

#include "base/freeze_guard.h"
#include "base/histogram.h"
#include "base/list.h"
#include "scheduler/cancelled_ids.h"
#include "scheduler/leader.h"
#include "scheduler/write_limit.h"

#define JOBS_TOPIC "jobs"
#define JOBS_PRODUCER "jobs"

enum {
    /* After a refused call to the store. */
    LEADER_WRITE_RETRY_MS = 50,
    /* The store is unavailable if it has refused calls for this long. */
    LEADER_UNAVAILABLE_AFTER_MS = 200,
};

/**
 * struct session - connection of a node agent
 * @echo_us: sent_us of the newest report that was applied; leases are counted
 *     from it, and cover the executors that it contained
 * @lease_due: a lease must be sent even if there are no orders
 * @lists_received: the agent has sent complete run lists of its executors
 *     since this leader became ready
 */
typedef struct session {
    list_t link;
    peer_t *peer;
    char *node;
    uint64_t echo_us;
    bool lease_due;
    bool lists_received;
} session_t;

/* What a call waits for. */
typedef enum call_wait {
    CALL_WAITS_FOR_JOBS,  /* until the stored jobs are loaded */
    CALL_WAITS_FOR_PROOF, /* that no other scheduler led when it arrived */
    CALL_WAITS_FOR_WRITE, /* until its effect is stored */
} call_wait_t;

/* Why a new job is refused. */
typedef enum leader_refusal {
    LEADER_REFUSAL_NONE = 0,
    LEADER_REFUSAL_STORE,     /* it cannot be stored */
    LEADER_REFUSAL_CANCELLED, /* its caller has cancelled it */
    LEADER_REFUSAL_CAPACITY,  /* it cannot be done while it is of use */
    LEADER_REFUSAL_COUNT,
} leader_refusal_t;

/**
 * struct request - call that is being handled
 * @proven: no other scheduler led when the call arrived
 */
typedef struct request {
    const Teasel__JobCall *call;
    job_answer_fn answer;
    void *owner;
    bool proven;
} request_t;

/* What allows a leader to extend leases while the store doesn't confirm it. */
typedef enum lease_basis {
    LEASE_BASIS_STORE, /* it does confirm it */
    LEASE_BASIS_ACKNOWLEDGED,
    LEASE_BASIS_ALONE,
    LEASE_BASIS_NONE,
} lease_basis_t;

typedef enum leader_stage {
    LEADER_FENCING, /* sets the epoch in the store */
    LEADER_LOADING, /* reads the stored jobs */
    LEADER_READY,
    LEADER_REPLACED, /* fenced by a later leader; answers nothing any more */
    LEADER_STOPPED,  /* freed when the pending store call returns */
} leader_stage_t;

struct leader {
    leader_opts_t opts;
    sched_t *sched;
    leader_stage_t stage;
    list_t sessions;
    GHashTable *sessions_by_node; /* name -> session_t */
    list_t waiting;               /* waiting_call_t */
    cancelled_ids_t *cancelled_ids;
    loop_timer_t tick;
    loop_timer_t flush;
    loop_timer_t retry;
    loop_timer_t ask;    /* asks the other schedulers for a proof */
    loop_timer_t resume; /* runs after a pause, until reports have arrived */
    bool pass_due;       /* it has ended, and no pass has followed yet */
    freeze_guard_t freeze_guard;
    char *load_after;

    GPtrArray *changes; /* of the pending write, or NULL */
    bool writing;       /* waits for an answer of the store */
    bool renewing;      /* the pending write only confirms the epoch */
    uint64_t sequence;
    int64_t write_began_ms; /* first attempt of the pending write, or of the
                               pending page of the listing */
    int64_t write_sent_ms;  /* last attempt */
    size_t write_bytes;     /* of the pending write */
    write_limit_t write_limit;
    unsigned write_timeouts; /* unanswered attempts of the pending write */
    double write_latency_ms; /* moving average */
    uint64_t proof_attempt;  /* number of the newest attempt of a write whose
                                success proves that no later leader led then */
    int64_t proof_sent_ms;   /* when it was made */
    uint64_t proven_attempt; /* number of the newest one that succeeded */
    int64_t confirmed_ms;    /* when that one was made */
    int64_t fenced_ms;       /* when the store had taken the epoch */
    bool writes_failing;
    lease_basis_t lease_basis; /* of the last lease that was granted */
    int64_t load_logged_ms;

    uint64_t accepted;
    uint64_t refused[LEADER_REFUSAL_COUNT]; /* by reason */
    uint64_t proof_waits;                   /* calls that waited for a proof */
    uint64_t unproven;                      /* calls without a proof in time */
    uint64_t writes;
    uint64_t write_retries;
    histogram_t *write_us;
};

int64_t leader_now_ms(const leader_t *leader);

/**
 * leader_get_wall_ms() - return the wall clock, for times that later leaders
 * read
 */
int64_t leader_get_wall_ms(const leader_t *leader);

/**
 * leader_get_proof_age_ms() - return the time since the last proof that no
 * other scheduler leads
 */
int64_t leader_get_proof_age_ms(const leader_t *leader);

/**
 * leader_check_pause() - detect that the process has stood still; called
 * before a timer or a report is handled
 */
void leader_check_pause(leader_t *leader);

/**
 * leader_schedule_flush() - schedule one pass that makes decisions, writes
 * changes and sends orders in the next turn of the loop
 */
void leader_schedule_flush(leader_t *leader);

/**
 * leader_set_writes_failing() - note whether the store takes writes and
 * answers listings
 */
void leader_set_writes_failing(leader_t *leader, bool failing);

/**
 * leader_begin_load() - ask for the next page of the stored jobs; the leader
 * becomes ready after the last one
 */
void leader_begin_load(leader_t *leader);

/**
 * leader_load() - ask for a page, also again after a failure
 */
void leader_load(leader_t *leader);

/**
 * leader_answer_stored() - answer the calls whose effect is stored
 */
void leader_answer_stored(leader_t *leader);

/**
 * leader_seek_proof() - look for a proof that no other scheduler leads
 */
void leader_seek_proof(leader_t *leader);

/**
 * leader_handle_request() - answer a call, or let it wait
 */
void leader_handle_request(leader_t *leader, const request_t *request);

/**
 * leader_answer_request() - answer a call without a result; a refusal contains
 * a time after which the caller tries again
 */
void leader_answer_request(const leader_t *leader, const request_t *request,
                           job_outcome_t outcome);

/**
 * leader_write_refusals() - append the metrics of refused jobs
 */
void leader_write_refusals(const leader_t *leader, GString *out);

/**
 * leader_is_final() - return whether a job has a stored final state, which
 * never changes
 */
bool leader_is_final(const sched_job_t *job);

/**
 * leader_add_waiting() - keep a call that cannot be answered yet
 */
void leader_add_waiting(leader_t *leader, const request_t *request,
                        call_wait_t wait);

/**
 * leader_has_unproven_calls() - return whether a call waits for a proof that
 * no other scheduler led when it arrived
 */
bool leader_has_unproven_calls(const leader_t *leader);

/**
 * leader_handle_deferred_calls() - handle the calls that arrived before the
 * stored jobs were loaded
 */
void leader_handle_deferred_calls(leader_t *leader);

/**
 * leader_needs_proof() - return whether a call waits for a proof that no write
 * sent so far can give
 */
bool leader_needs_proof(const leader_t *leader);

/**
 * leader_expire_calls() - answer calls that have waited too long
 */
void leader_expire_calls(leader_t *leader);
void leader_free_calls(leader_t *leader);

/**
 * leader_send_orders() - send orders whose decisions are stored, and due
 * leases
 */
void leader_send_orders(leader_t *leader);
void leader_free_sessions(leader_t *leader);

#endif
