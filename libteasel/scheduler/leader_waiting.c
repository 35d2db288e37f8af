/* Calls that wait until they can be answered. */

#include "base/events.h"
#include "scheduler/leader_internal.h"
#include "wire/message.h"

enum {
    /* Loading takes tens of milliseconds. A longer wait is answered before the
       caller's own timeout. */
    MAX_LOAD_WAIT_MS = 300,
    /* A submission that is about to be refused waits no longer for a proof. */
    MAX_REFUSAL_WAIT_MS = 300,
    /* A call whose write or proof takes longer is answered as unknown; the
       caller can repeat it to learn the outcome. */
    MAX_STORE_WAIT_MS = 1200,
};

static const char *const wait_names[] = {
    [CALL_WAITS_FOR_JOBS] = "stored jobs",
    [CALL_WAITS_FOR_PROOF] = "proof of leadership",
    [CALL_WAITS_FOR_WRITE] = "write",
};

/**
 * struct waiting_call - call that cannot be answered yet
 * @request: with an own copy of the call
 * @needed_attempt: number of the first attempt of a write that was made after
 *     the call arrived
 */
typedef struct waiting_call {
    list_t link;
    call_wait_t wait;
    request_t request;
    uint64_t needed_attempt;
    int64_t received_ms;
} waiting_call_t;

static void
free_waiting(waiting_call_t *waiting)
{
    list_remove(&waiting->link);
    teasel__job_call__free_unpacked((Teasel__JobCall *)waiting->request.call,
                                    NULL);
    g_free(waiting);
}

void
leader_add_waiting(leader_t *leader, const request_t *request,
                   call_wait_t wait)
{
    waiting_call_t *waiting = g_new0(waiting_call_t, 1);

    waiting->wait = wait;
    waiting->request = *request;
    waiting->request.call = message_copy(&request->call->base);
    waiting->needed_attempt = leader->proof_attempt + 1;
    waiting->received_ms = leader_now_ms(leader);
    list_append(&leader->waiting, &waiting->link);
}

/* Handles a call that has waited, which may have to wait for something else
   then. */
static void
handle_again(leader_t *leader, waiting_call_t *waiting)
{
    waiting->request.proven = waiting->wait == CALL_WAITS_FOR_PROOF;
    list_remove(&waiting->link);
    leader_handle_request(leader, &waiting->request);
    free_waiting(waiting);
}

void
leader_handle_deferred_calls(leader_t *leader)
{
    LIST_FOREACH_SAFE (waiting, &leader->waiting, waiting_call_t, link) {
        if (waiting->wait == CALL_WAITS_FOR_JOBS) {
            handle_again(leader, waiting);
        }
    }
}

bool
leader_has_unproven_calls(const leader_t *leader)
{
    LIST_FOREACH (waiting, &leader->waiting, waiting_call_t, link) {
        if (waiting->wait == CALL_WAITS_FOR_PROOF) {
            return true;
        }
    }
    return false;
}

bool
leader_needs_proof(const leader_t *leader)
{
    LIST_FOREACH (waiting, &leader->waiting, waiting_call_t, link) {
        if (waiting->wait == CALL_WAITS_FOR_PROOF &&
            waiting->needed_attempt > leader->proof_attempt) {
            return true;
        }
    }
    return false;
}

/* Returns whether no other scheduler led when the call arrived. */
static bool
is_proven(const leader_t *leader, const waiting_call_t *waiting,
          int64_t acked_ms)
{
    return waiting->needed_attempt <= leader->proven_attempt ||
           waiting->received_ms < acked_ms;
}

void
leader_answer_proven(leader_t *leader)
{
    int64_t acked_ms;

    if (leader->stage != LEADER_READY || !leader_has_unproven_calls(leader)) {
        return;
    }
    acked_ms = leader->opts.get_acked_ms(leader->opts.data);
    LIST_FOREACH_SAFE (waiting, &leader->waiting, waiting_call_t, link) {
        if (waiting->wait == CALL_WAITS_FOR_PROOF &&
            is_proven(leader, waiting, acked_ms)) {
            handle_again(leader, waiting);
        }
    }
}

/* Returns the outcome of a call that waited for a write, or
   JOB_OUTCOME_UNKNOWN if its effect is not stored yet. */
static job_outcome_t
get_stored_outcome(leader_t *leader, const waiting_call_t *waiting)
{
    const Teasel__JobCall *call = waiting->request.call;
    const sched_job_t *job = sched_find(leader->sched, call->id);

    if (job != NULL && job->stored &&
        (call->verb == JOB_VERB_SUBMIT || leader_is_final(job))) {
        return JOB_OUTCOME_DONE;
    }
    if (job == NULL && call->verb == JOB_VERB_CANCEL &&
        cancelled_ids_is_stored(leader->cancelled_ids, call->id)) {
        return JOB_OUTCOME_NOT_FOUND;
    }
    return JOB_OUTCOME_UNKNOWN;
}

void
leader_answer_stored(leader_t *leader)
{
    LIST_FOREACH_SAFE (waiting, &leader->waiting, waiting_call_t, link) {
        job_outcome_t outcome;

        if (waiting->wait != CALL_WAITS_FOR_WRITE) {
            continue;
        }
        outcome = get_stored_outcome(leader, waiting);
        if (outcome != JOB_OUTCOME_UNKNOWN) {
            leader_answer_request(leader, &waiting->request, outcome);
            free_waiting(waiting);
        }
    }
}

/* Removes the job of a submission that has waited too long for its write.
   Returns false if a write may have included its record. */
static bool
withdraw(leader_t *leader, const waiting_call_t *waiting)
{
    sched_job_t *job = sched_find(leader->sched, waiting->request.call->id);

    /* An expired earlier call may have withdrawn the same job already. */
    return job == NULL || sched_withdraw(leader->sched, job);
}

/* Returns the outcome of a call without a proof in time. */
static job_outcome_t
abandon_unproven(leader_t *leader)
{
    leader->unproven++;
    return JOB_OUTCOME_UNKNOWN;
}

/* Returns the outcome of a call whose effect was not stored in time. */
static job_outcome_t
abandon_unstored(leader_t *leader, const waiting_call_t *waiting)
{
    int64_t acked_ms = leader->opts.get_acked_ms(leader->opts.data);

    if (waiting->request.call->verb != JOB_VERB_SUBMIT ||
        !withdraw(leader, waiting)) {
        return JOB_OUTCOME_UNKNOWN;
    }
    return is_proven(leader, waiting, acked_ms) ? JOB_OUTCOME_REFUSED
                                                : abandon_unproven(leader);
}

/* Returns the outcome of a call that has waited too long. */
static job_outcome_t
abandon_call(leader_t *leader, const waiting_call_t *waiting)
{
    switch (waiting->wait) {
    case CALL_WAITS_FOR_JOBS:
        return JOB_OUTCOME_CALL_REFUSED;
    case CALL_WAITS_FOR_PROOF:
        return abandon_unproven(leader);
    case CALL_WAITS_FOR_WRITE:
        return abandon_unstored(leader, waiting);
    }
    return JOB_OUTCOME_UNKNOWN;
}

static int64_t
get_max_wait_ms(const waiting_call_t *waiting)
{
    if (waiting->wait == CALL_WAITS_FOR_JOBS) {
        return MAX_LOAD_WAIT_MS;
    }
    if (waiting->wait == CALL_WAITS_FOR_PROOF &&
        waiting->request.call->verb == JOB_VERB_SUBMIT) {
        return MAX_REFUSAL_WAIT_MS;
    }
    return MAX_STORE_WAIT_MS;
}

void
leader_expire_calls(leader_t *leader)
{
    int64_t now_ms = leader_now_ms(leader);

    LIST_FOREACH_SAFE (waiting, &leader->waiting, waiting_call_t, link) {
        job_outcome_t outcome;

        if (now_ms - waiting->received_ms < get_max_wait_ms(waiting)) {
            continue;
        }
        outcome = abandon_call(leader, waiting);
        event_log(EVENT_CALL_UNANSWERED,
                  "job=%s verb=%d waited_ms=%" G_GINT64_FORMAT
                  " outcome=%s reason=\"no %s%s\"",
                  waiting->request.call->id, waiting->request.call->verb,
                  now_ms - waiting->received_ms,
                  job_outcome_to_string(outcome), wait_names[waiting->wait],
                  outcome == JOB_OUTCOME_CALL_REFUSED ? JOB_CALL_ONLY_TEXT
                                                      : "");
        leader_answer_request(leader, &waiting->request, outcome);
        free_waiting(waiting);
    }
}

void
leader_drop_calls(leader_t *leader, void *owner)
{
    LIST_FOREACH_SAFE (waiting, &leader->waiting, waiting_call_t, link) {
        if (waiting->request.owner == owner) {
            free_waiting(waiting);
        }
    }
}

void
leader_free_calls(leader_t *leader)
{
    LIST_FOREACH_SAFE (waiting, &leader->waiting, waiting_call_t, link) {
        free_waiting(waiting);
    }
}
