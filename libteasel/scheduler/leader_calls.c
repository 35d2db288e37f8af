/* Handling of job calls by the leader. */

#include <string.h>

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
    RETRY_AFTER_MS = 1000,
};

static const char *const wait_names[] = {
    [CALL_WAITS_FOR_JOBS] = "stored jobs",
    [CALL_WAITS_FOR_PROOF] = "proof of leadership",
    [CALL_WAITS_FOR_WRITE] = "write",
};

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

static void
send_answer(job_answer_fn answer, void *owner, Teasel__JobAnswer *message)
{
    if (message->outcome == JOB_OUTCOME_REFUSED ||
        message->outcome == JOB_OUTCOME_CALL_REFUSED) {
        message->retry_after_ms = RETRY_AFTER_MS;
    }
    answer(message, owner);
}

static void
answer_request(const request_t *request, job_outcome_t outcome)
{
    Teasel__JobAnswer message = TEASEL__JOB_ANSWER__INIT;

    message.call_id = request->call->call_id;
    message.outcome = outcome;
    send_answer(request->answer, request->owner, &message);
}

static void
answer_state(const request_t *request, const sched_job_t *job)
{
    Teasel__JobAnswer message = TEASEL__JOB_ANSWER__INIT;

    message.call_id = request->call->call_id;
    message.outcome = job->stored ? JOB_OUTCOME_DONE : JOB_OUTCOME_UNKNOWN;
    message.state = sched_job_get_visible_state(job);
    send_answer(request->answer, request->owner, &message);
}

static void
answer_count(const request_t *request, uint32_t count)
{
    Teasel__JobAnswer message = TEASEL__JOB_ANSWER__INIT;

    message.call_id = request->call->call_id;
    message.outcome = JOB_OUTCOME_DONE;
    message.count = count;
    send_answer(request->answer, request->owner, &message);
}

static void
answer_waiting(const waiting_call_t *waiting, job_outcome_t outcome)
{
    Teasel__JobAnswer message = TEASEL__JOB_ANSWER__INIT;

    message.call_id = waiting->call_id;
    message.outcome = outcome;
    send_answer(waiting->answer, waiting->owner, &message);
}

static void
free_waiting(waiting_call_t *waiting)
{
    list_remove(&waiting->link);
    if (waiting->call != NULL) {
        teasel__job_call__free_unpacked(waiting->call, NULL);
    }
    g_free(waiting->job_id);
    g_free(waiting);
}

static void
add_waiting(leader_t *leader, const request_t *request, call_wait_t wait)
{
    const Teasel__JobCall *call = request->call;
    waiting_call_t *waiting = g_new0(waiting_call_t, 1);

    waiting->wait = wait;
    waiting->call_id = call->call_id;
    waiting->verb = (job_verb_t)call->verb;
    waiting->job_id = g_strdup(call->id);
    waiting->needed_attempt = leader->proof_attempt + 1;
    waiting->received_ms = leader_now_ms(leader);
    waiting->answer = request->answer;
    waiting->owner = request->owner;
    if (wait != CALL_WAITS_FOR_WRITE) {
        waiting->call = message_copy(&call->base);
    }
    list_append(&leader->waiting, &waiting->link);
}

static void
await_write(leader_t *leader, const request_t *request)
{
    add_waiting(leader, request, CALL_WAITS_FOR_WRITE);
    leader_schedule_flush(leader);
}

/* The call is handled again once there is a proof. */
static void
await_proof(leader_t *leader, const request_t *request)
{
    leader->proof_waits++;
    add_waiting(leader, request, CALL_WAITS_FOR_PROOF);
    leader_seek_proof(leader);
}

/* Returns why a new job cannot be accepted, or NULL. */
static const char *
get_refusal(const leader_t *leader, const char *id)
{
    if (leader->writes_failing) {
        return "store unavailable";
    }
    if (cancelled_ids_contains(leader->cancelled_ids, id)) {
        return "cancelled before";
    }
    return NULL;
}

static void
refuse(leader_t *leader, const request_t *request, const char *reason)
{
    leader->refused++;
    event_log(EVENT_JOB_REFUSED,
              "job=%s reason=\"%s\" age_ms=%" G_GINT64_FORMAT
              " epoch=%" G_GUINT64_FORMAT " proof_age_ms=%" G_GINT64_FORMAT,
              request->call->id, reason,
              leader->writes_failing
                  ? leader_now_ms(leader) - leader->write_began_ms
                  : 0,
              leader->opts.epoch, leader_get_proof_age_ms(leader));
    answer_request(request, JOB_OUTCOME_REFUSED);
}

/* While writes fail, only the other schedulers can give a proof. */
static bool
can_be_proven(const leader_t *leader)
{
    return !leader->writes_failing ||
           leader->opts.get_acked_ms(leader->opts.data) != 0;
}

static void
log_unproven(leader_t *leader, const request_t *request, const char *reason)
{
    leader->unproven++;
    event_log(EVENT_CALL_UNANSWERED,
              "job=%s verb=%u waited_ms=0 outcome=unknown reason=\"%s, and "
              "another scheduler may lead\"",
              request->call->id, request->call->verb, reason);
}

/* A successor may have accepted the job, so a refusal needs a proof. */
static void
refuse_if_proven(leader_t *leader, const request_t *request,
                 const char *reason)
{
    if (request->proven) {
        refuse(leader, request, reason);
    }
    else if (can_be_proven(leader)) {
        await_proof(leader, request);
    }
    else {
        log_unproven(leader, request, reason);
        answer_request(request, JOB_OUTCOME_UNKNOWN);
    }
}

static void
submit_new(leader_t *leader, const request_t *request)
{
    const char *refusal = get_refusal(leader, request->call->id);

    if (refusal != NULL) {
        refuse_if_proven(leader, request, refusal);
        return;
    }
    sched_submit(leader->sched, message_copy(&request->call->spec->base));
    leader->accepted++;
    await_write(leader, request);
}

static void
submit(leader_t *leader, const request_t *request)
{
    const Teasel__JobCall *call = request->call;
    sched_job_t *job = sched_find(leader->sched, call->id);
    g_autoptr(GError) error = NULL;

    if (job != NULL && job->stored) {
        answer_request(request, JOB_OUTCOME_DONE);
        return;
    }
    if (call->spec == NULL || !sched_job_check(call->spec, &error) ||
        !sched_check_size(leader->sched, call->spec, &error)) {
        event_log(EVENT_JOB_REFUSED, "job=%s reason=\"%s\"", call->id,
                  error ? error->message : "missing job specification");
        answer_request(request, JOB_OUTCOME_INVALID);
        return;
    }
    if (job != NULL) {
        await_write(leader, request);
        return;
    }
    submit_new(leader, request);
}

/* A scheduler may still keep the submission of the job, so the cancelling is
   stored before it is answered. The write also shows that no other leader has
   accepted the job. */
static void
cancel_unknown(leader_t *leader, const request_t *request)
{
    const Teasel__JobCall *call = request->call;

    if (cancelled_ids_add(leader->cancelled_ids, call->id,
                          leader_get_wall_ms(leader))) {
        event_log(EVENT_JOB_UNKNOWN,
                  "job=%s epoch=%" G_GUINT64_FORMAT
                  " proof_age_ms=%" G_GINT64_FORMAT,
                  call->id, leader->opts.epoch,
                  leader_get_proof_age_ms(leader));
        await_write(leader, request);
        return;
    }
    event_log(EVENT_CALL_UNANSWERED,
              "job=%s verb=%u waited_ms=0 outcome=%s "
              "reason=\"too many cancelled jobs" JOB_CALL_ONLY_TEXT "\"",
              call->id, call->verb,
              job_outcome_to_string(JOB_OUTCOME_CALL_REFUSED));
    answer_request(request, JOB_OUTCOME_CALL_REFUSED);
}

/* A final state that is stored never changes. */
static bool
is_final(const sched_job_t *job)
{
    return job->stored && job->visible_state >= SCHED_JOB_COMPLETED;
}

static void
cancel(leader_t *leader, const request_t *request)
{
    sched_job_t *job = sched_find(leader->sched, request->call->id);

    if (job == NULL) {
        cancel_unknown(leader, request);
        return;
    }
    sched_cancel(leader->sched, job);
    if (is_final(job)) {
        answer_state(request, job);
        return;
    }
    await_write(leader, request);
}

static void
get(leader_t *leader, const request_t *request)
{
    const sched_job_t *job = sched_find(leader->sched, request->call->id);

    if (!request->proven && (job == NULL || !is_final(job))) {
        await_proof(leader, request);
        return;
    }
    if (job == NULL) {
        answer_request(request, JOB_OUTCOME_NOT_FOUND);
        return;
    }
    answer_state(request, job);
}

static void
count_pending(leader_t *leader, const request_t *request)
{
    if (!request->proven) {
        await_proof(leader, request);
        return;
    }
    answer_count(request,
                 sched_count_pending(leader->sched, request->call->queue));
}

static void
handle_request(leader_t *leader, const request_t *request)
{
    switch ((job_verb_t)request->call->verb) {
    case JOB_VERB_SUBMIT:
        submit(leader, request);
        return;
    case JOB_VERB_CANCEL:
        cancel(leader, request);
        return;
    case JOB_VERB_COUNT_PENDING:
        count_pending(leader, request);
        return;
    case JOB_VERB_GET:
        get(leader, request);
        return;
    }
    answer_request(request, JOB_OUTCOME_INVALID);
}

void
leader_handle_call(leader_t *leader, const Teasel__JobCall *call,
                   job_answer_fn answer, void *owner)
{
    request_t request = {.call = call, .answer = answer, .owner = owner};

    if (leader->stage == LEADER_READY) {
        handle_request(leader, &request);
        return;
    }
    add_waiting(leader, &request, CALL_WAITS_FOR_JOBS);
}

/* Handles a call that has waited, which may have to wait for something else
   then. */
static void
handle_again(leader_t *leader, waiting_call_t *waiting)
{
    request_t request = {
        .call = waiting->call,
        .answer = waiting->answer,
        .owner = waiting->owner,
        .proven = waiting->wait == CALL_WAITS_FOR_PROOF,
    };

    list_remove(&waiting->link);
    handle_request(leader, &request);
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
    const sched_job_t *job = sched_find(leader->sched, waiting->job_id);

    if (job != NULL && job->stored &&
        (waiting->verb == JOB_VERB_SUBMIT || is_final(job))) {
        return JOB_OUTCOME_DONE;
    }
    if (job == NULL && waiting->verb == JOB_VERB_CANCEL &&
        cancelled_ids_is_stored(leader->cancelled_ids, waiting->job_id)) {
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
            answer_waiting(waiting, outcome);
            free_waiting(waiting);
        }
    }
}

/* Removes the job of a submission that has waited too long for its write.
   Returns false if a write may have included its record. */
static bool
withdraw(leader_t *leader, const waiting_call_t *waiting)
{
    sched_job_t *job = sched_find(leader->sched, waiting->job_id);

    /* An expired earlier call may have withdrawn the same job already. */
    return job == NULL || sched_withdraw(leader->sched, job);
}

/* Returns the outcome of a call that has waited too long. */
static job_outcome_t
abandon_call(leader_t *leader, const waiting_call_t *waiting)
{
    int64_t acked_ms;

    if (waiting->wait == CALL_WAITS_FOR_JOBS) {
        return JOB_OUTCOME_CALL_REFUSED;
    }
    if (waiting->wait == CALL_WAITS_FOR_WRITE &&
        (waiting->verb != JOB_VERB_SUBMIT || !withdraw(leader, waiting))) {
        return JOB_OUTCOME_UNKNOWN;
    }
    acked_ms = leader->opts.get_acked_ms(leader->opts.data);
    if (waiting->wait == CALL_WAITS_FOR_WRITE &&
        is_proven(leader, waiting, acked_ms)) {
        return JOB_OUTCOME_REFUSED;
    }
    leader->unproven++;
    return JOB_OUTCOME_UNKNOWN;
}

static int64_t
get_max_wait_ms(const waiting_call_t *waiting)
{
    if (waiting->wait == CALL_WAITS_FOR_JOBS) {
        return MAX_LOAD_WAIT_MS;
    }
    if (waiting->wait == CALL_WAITS_FOR_PROOF &&
        waiting->verb == JOB_VERB_SUBMIT) {
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
        event_log(
            EVENT_CALL_UNANSWERED,
            "job=%s verb=%d waited_ms=%" G_GINT64_FORMAT
            " outcome=%s reason=\"no %s%s\"",
            waiting->job_id, waiting->verb, now_ms - waiting->received_ms,
            job_outcome_to_string(outcome), wait_names[waiting->wait],
            outcome == JOB_OUTCOME_CALL_REFUSED ? JOB_CALL_ONLY_TEXT : "");
        answer_waiting(waiting, outcome);
        free_waiting(waiting);
    }
}

void
leader_drop_calls(leader_t *leader, void *owner)
{
    LIST_FOREACH_SAFE (waiting, &leader->waiting, waiting_call_t, link) {
        if (waiting->owner == owner) {
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
