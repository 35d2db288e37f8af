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
    /* A late duplicate of a record is recognised this many records later.
       Submissions, claims and attempts are also unique without it. */
    CELL_RECENT_IDS = 4096,
    CELL_ID_SIZE = 16,
    /* Ended jobs whose id and body hash are remembered; more than a day of
       one cell of 1,000 workers at 380,000 jobs a day on 24,000 workers. */
    CELL_ENDED_JOBS = 20000,
    /* A job that failed on this many different workers is bad. */
    CELL_BAD_WORKERS = 3,
    /* Bound for cells with fewer than CELL_BAD_WORKERS workers. */
    CELL_BAD_FAILURES = 6,
};

typedef enum cell_state {
    CELL_QUEUED,
    CELL_RUNNING,
    CELL_REVOKED, /* as running, but the attempt must stop */
    CELL_DONE,
    CELL_FAILED,
    CELL_CANCELLED,
} cell_state_t;

typedef struct cell_worker cell_worker_t;

/**
 * struct cell_job - a job
 * @link: on the list of live jobs (order of submission) or of ended jobs
 * @worker_link: on the list of its worker while it runs
 * @spec_text: canonical JSON, NULL once the job has ended
 * @attempt: number of the newest attempt, 0 before the first
 * @worker: of the newest attempt
 * @size: resources of the newest attempt
 * @failed_workers: distinct workers on which it failed
 * @policy: for the listener
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
    void *policy;
} cell_job_t;

/**
 * struct cell_worker - a worker that the coordinator has announced
 * @used: sum of the sizes that run on it
 * @jobs: running jobs, by worker_link
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
    void *policy;
};

/**
 * struct cell_listener - notified of changes while records are applied
 * @on_job: the state, attempt or cancellation of @job changed; @before is
 *     its former state, or -1 if it is new
 * @on_finish: an attempt ended with a decision; called before @on_job
 * @on_worker: a worker is new or was changed
 * @on_job_gone, @on_worker_gone: about to be freed
 * @on_claim: another epoch is in force
 */
typedef struct cell_listener {
    void (*on_job)(cell_job_t *job, int before, void *data);
    void (*on_finish)(cell_job_t *job, const Teasel__DecisionFinish *finish,
                      void *data);
    void (*on_worker)(cell_worker_t *worker, void *data);
    void (*on_job_gone)(cell_job_t *job, void *data);
    void (*on_worker_gone)(cell_worker_t *worker, void *data);
    void (*on_claim)(uint64_t epoch, void *data);
} cell_listener_t;

/**
 * struct cell - fold of the stream of a cell
 */
typedef struct cell {
    uint64_t epoch;
    char *claim_agent;
    char *claim_address;
    uint64_t claim_incarnation;
    uint64_t lease_ms;   /* longest lease of all coordinators so far */
    GHashTable *jobs;    /* id -> cell_job_t */
    GHashTable *workers; /* name -> cell_worker_t */
    list_t live;         /* order of submission */
    list_t ended;        /* order of ending */
    list_t worker_list;  /* order of announcement */
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
 * cell_apply() - fold one record
 *
 * Return: true if it changed the state.
 */
bool cell_apply(cell_t *cell, const Teasel__LogRecord *record,
                uint64_t offset);

/**
 * cell_encode() - snapshot; equal states have equal snapshots
 */
GByteArray *cell_encode(const cell_t *cell);

/**
 * cell_load() - replace the state by a snapshot; unchanged if it is malformed
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

/* For cell.c and cell_snapshot.c. */
bool cell_remember_id(cell_t *cell, const uint8_t *id);
cell_job_t *cell_add_job(cell_t *cell, const char *id);
cell_worker_t *cell_add_worker(cell_t *cell, const char *name);
void cell_drop_job(cell_t *cell, cell_job_t *job);
void cell_drop_worker(cell_t *cell, cell_worker_t *worker);
void cell_bind_job(cell_t *cell, cell_job_t *job);

#ifdef __cplusplus
}
#endif

#endif
