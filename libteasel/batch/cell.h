#ifndef TEASEL_BATCH_CELL_H
#define TEASEL_BATCH_CELL_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/list.h"
#include "batch/job.h"
#include "wire/teasel.pb-c.h"

#ifdef __cplusplus
extern "C" {
#endif

enum {
    /* A duplicate of a record is recognised by its id if it comes at most
       this many records later. Submissions, claims and attempts are unique
       even without the ids. */
    CELL_RECENT_IDS = 4096,
    CELL_ID_SIZE = 16,
    /* Ended jobs whose id and body hash are kept: more than a day's jobs of a
       cell of 1,000 workers, given 380,000 jobs a day on 24,000 workers. */
    CELL_ENDED_JOBS = 20000,
    /* A job that failed on this many different workers is not retried. */
    CELL_MAX_FAILED_WORKERS = 3,
    /* Failures in all before a job is not retried; needed in cells with fewer
       than CELL_MAX_FAILED_WORKERS workers. */
    CELL_MAX_FAILURES = 6,
};

typedef enum cell_state {
    CELL_QUEUED,
    CELL_RUNNING,
    CELL_REVOKED, /* running, but the attempt must stop */
    CELL_DONE,
    CELL_FAILED,
    CELL_CANCELLED,
} cell_state_t;

typedef struct cell_worker cell_worker_t;

/**
 * struct cell_job - a job and its newest attempt
 * @link: on cell.live or cell.ended
 * @worker_link: on the list of its worker while an attempt runs
 * @spec_text: canonical JSON, NULL once the job has ended
 * @body_hash: of @spec_text
 * @submit_offset: offset of the submission in the log
 * @submitter: author given with the submission, or "caller"
 * @attempt: number of the newest attempt, 0 before the first
 * @failures: number of failed attempts
 * @incarnation: of the agent that the newest attempt was assigned to
 * @size: resources assigned to the newest attempt
 * @worker: of the newest attempt, NULL before the first
 * @checkpoint: newest checkpoint, may be NULL
 * @failed_workers: distinct workers on which it failed
 * @detail: reported with the end of the last finished attempt, may be NULL
 * @cancel_wanted: it was cancelled; a running attempt must stop
 * @user_data: owned by the listener
 */
typedef struct cell_job {
    list_t link;
    list_t worker_link;
    char *id;
    char *spec_text;
    job_spec_t spec;
    uint64_t body_hash;
    uint64_t submit_offset;
    char *submitter; /* GRefString */
    cell_state_t state;
    uint32_t attempt;
    uint32_t failures;
    uint64_t incarnation;
    job_size_t size;
    char *worker; /* GRefString */
    GBytes *checkpoint;
    GPtrArray *failed_workers; /* may be NULL */
    char *detail;
    bool cancel_wanted;
    void *user_data;
} cell_job_t;

/**
 * struct cell_worker - a worker that a coordinator has put on the log
 * @link: on cell.worker_list
 * @jobs: running jobs, by worker_link
 * @incarnation: of its agent
 * @used: sum of the sizes of its running jobs
 * @quarantined: gets no new tasks
 * @reason: of the last change of @quarantined, may be NULL
 * @user_data: owned by the listener
 */
struct cell_worker {
    list_t link;
    list_t jobs;
    char *name;
    uint64_t incarnation;
    job_size_t capacity;
    job_size_t used;
    bool quarantined;
    char *reason;
    void *user_data;
};

/**
 * struct cell_listener - callbacks for changes while records are applied
 * @on_job: the state, attempt or cancellation of @job changed; @before is
 *     its former state, or -1 if it is new
 * @on_finish: a decision recorded the end of an attempt; called before @on_job
 * @on_worker: a worker was added or changed
 * @on_job_removed: the job is about to be freed
 * @on_worker_removed: the worker is about to be freed
 * @on_claim: a claim took effect; @epoch is the new epoch
 */
typedef struct cell_listener {
    void (*on_job)(cell_job_t *job, int before, void *data);
    void (*on_finish)(cell_job_t *job, const Teasel__DecisionFinish *finish,
                      void *data);
    void (*on_worker)(cell_worker_t *worker, void *data);
    void (*on_job_removed)(cell_job_t *job, void *data);
    void (*on_worker_removed)(cell_worker_t *worker, void *data);
    void (*on_claim)(uint64_t epoch, void *data);
} cell_listener_t;

/**
 * struct cell - state of a cell, built by applying the records of its log
 * @epoch: offset of the claim in force, 0 if there is none
 * @claim_agent: agent that made this claim
 * @claim_address: its address for peers
 * @claim_incarnation: its incarnation
 * @recent: ring of the ids of the newest records
 * @recent_set: ids in @recent
 */
typedef struct cell {
    uint64_t epoch;
    char *claim_agent;
    char *claim_address;
    uint64_t claim_incarnation;
    uint64_t lease_ms;   /* longest lease of all coordinators */
    GHashTable *jobs;    /* id -> cell_job_t */
    GHashTable *workers; /* name -> cell_worker_t */
    list_t live;         /* jobs, in order of submission */
    list_t ended;        /* jobs, in order of ending */
    list_t worker_list;  /* in order of their first record */
    size_t live_count;
    size_t ended_count;
    size_t queued_count;
    uint8_t (*recent)[CELL_ID_SIZE]; /* ring */
    size_t recent_count;
    size_t recent_next;
    GHashTable *recent_set;
    const cell_listener_t *listener;
    void *listener_data;
} cell_t;

cell_t *cell_new(void);
void cell_free(cell_t *cell);
void cell_clear(cell_t *cell);
void cell_set_listener(cell_t *cell, const cell_listener_t *listener,
                       void *data);

/**
 * cell_apply() - apply one record of the log
 * @offset: of the record in the log
 *
 * Duplicates and records of older epochs change nothing.
 *
 * Return: true if the state changed.
 */
bool cell_apply(cell_t *cell, const Teasel__LogRecord *record,
                uint64_t offset);

/**
 * cell_encode() - encode a snapshot; equal states have equal snapshots
 *
 * Return: free with g_byte_array_unref().
 */
GByteArray *cell_encode(const cell_t *cell);

/**
 * cell_load() - replace the state by a snapshot
 * @error: set to ERROR_PROTOCOL if the snapshot is malformed
 *
 * Return: false if the snapshot is malformed; the state is then unchanged.
 */
bool cell_load(cell_t *cell, const uint8_t *data, size_t length,
               GError **error);

cell_job_t *cell_find_job(const cell_t *cell, const char *id);
cell_worker_t *cell_find_worker(const cell_t *cell, const char *name);
const char *cell_state_get_name(cell_state_t state);

static inline bool
cell_job_is_ended(const cell_job_t *job)
{
    return job->state >= CELL_DONE;
}

static inline bool
cell_job_is_running(const cell_job_t *job)
{
    return job->state == CELL_RUNNING || job->state == CELL_REVOKED;
}

/* Used only by cell.c and cell_snapshot.c. */
bool cell_add_recent_id(cell_t *cell, const uint8_t *id);
cell_job_t *cell_add_job(cell_t *cell, const char *id);
cell_worker_t *cell_add_worker(cell_t *cell, const char *name);
void cell_remove_job(cell_t *cell, cell_job_t *job);
void cell_remove_worker(cell_t *cell, cell_worker_t *worker);
void cell_assign_job(cell_t *cell, cell_job_t *job);

#ifdef __cplusplus
}
#endif

#endif
