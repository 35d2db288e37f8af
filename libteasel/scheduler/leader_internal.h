#ifndef TEASEL_SCHEDULER_LEADER_INTERNAL_H
#define TEASEL_SCHEDULER_LEADER_INTERNAL_H

#include "base/histogram.h"
#include "base/list.h"
#include "scheduler/leader.h"

#define JOBS_TOPIC "jobs"
#define JOBS_PRODUCER "jobs"

/**
 * struct session - connection of a node agent
 * @echo_us: sent_us of its newest report
 * @reply_due: a lease has to be sent even without orders
 * @listed: it sent complete lists since this leader is ready
 */
typedef struct session {
    list_t link;
    peer_t *peer;
    char *node;
    uint64_t echo_us;
    bool reply_due;
    bool listed;
} session_t;

/**
 * struct waiting_call - a call that waits for a write, or for the loading of
 * the stored jobs
 */
typedef struct waiting_call {
    list_t link;
    uint64_t call_id;
    job_verb_t verb;
    char *job_id;
    Teasel__JobCall *call; /* until it is handled */
    int64_t since_ms;
    job_answer_fn answer;
    void *owner;
} waiting_call_t;

typedef enum leader_stage {
    LEADER_FENCING,
    LEADER_LOADING,
    LEADER_READY,
    LEADER_STOPPED, /* freed when the call under way returns */
} leader_stage_t;

struct leader {
    leader_opts_t opts;
    sched_t *sched;
    leader_stage_t stage;
    list_t sessions;
    list_t waiting; /* waiting_call_t */
    loop_timer_t tick;
    loop_timer_t pump;
    loop_timer_t retry;
    char *list_after;

    GPtrArray *changes; /* of the write under way, or NULL */
    bool writing;       /* a write or renewal of the epoch is under way */
    bool renewing;
    uint64_t sequence;
    int64_t write_began_ms; /* first attempt of the write under way */
    int64_t write_sent_ms;  /* last attempt */
    unsigned write_tries;   /* of the write under way, without an answer */
    double answer_ms;       /* moving average of the time of an answer */
    int64_t proof_ms; /* a write sent then has shown that nobody else leads */
    bool store_fails;
    int64_t load_logged_ms;

    uint64_t accepted;
    uint64_t refused;
    uint64_t writes;
    uint64_t write_retries;
    histogram_t *write_us;
};

int64_t leader_now_ms(const leader_t *leader);

/**
 * leader_wake() - write and send what is due, once per turn of the loop
 */
void leader_wake(leader_t *leader);

/**
 * leader_answer_stored() - answer the calls whose effect is stored
 */
void leader_answer_stored(leader_t *leader);

/**
 * leader_handle_delayed() - handle the calls that came while loading
 */
void leader_handle_delayed(leader_t *leader);

/**
 * leader_expire_calls() - answer calls that have waited too long
 */
void leader_expire_calls(leader_t *leader);
void leader_free_calls(leader_t *leader);

/**
 * leader_send_orders() - send what is stored, and leases that are due
 */
void leader_send_orders(leader_t *leader);
void leader_free_sessions(leader_t *leader);

#endif
