/* Handling of job calls by the leader. */

#include <string.h>

#include "base/events.h"
#include "scheduler/leader_internal.h"
#include "wire/message.h"

enum {
    /* Loading takes tens of milliseconds. A longer wait is answered before the
       caller's own timeout. */
    MAX_LOAD_WAIT_MS = 300,
    /* A call whose write takes longer is answered as unknown; the caller can
       repeat it to learn the outcome. */
    MAX_STORE_WAIT_MS = 1200,
    RETRY_AFTER_MS = 1000,
};

static void
answer_call(job_answer_fn answer, void *owner, uint64_t call_id,
            job_outcome_t outcome, uint32_t state, uint32_t count)
{
    Teasel__JobAnswer message = TEASEL__JOB_ANSWER__INIT;

    message.call_id = call_id;
    message.outcome = outcome;
    message.state = state;
    message.count = count;
    if (outcome == JOB_OUTCOME_REFUSED) {
        message.retry_after_ms = RETRY_AFTER_MS;
    }
    answer(&message, owner);
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

static waiting_call_t *
add_waiting(leader_t *leader, const Teasel__JobCall *call,
            job_answer_fn answer, void *owner)
{
    waiting_call_t *waiting = g_new0(waiting_call_t, 1);

    waiting->call_id = call->call_id;
    waiting->verb = (job_verb_t)call->verb;
    waiting->job_id = g_strdup(call->id);
    waiting->received_ms = leader_now_ms(leader);
    waiting->answer = answer;
    waiting->owner = owner;
    list_append(&leader->waiting, &waiting->link);
    return waiting;
}

static void
submit(leader_t *leader, const Teasel__JobCall *call, job_answer_fn answer,
       void *owner)
{
    sched_job_t *job = sched_find(leader->sched, call->id);
    g_autoptr(GError) error = NULL;

    if (job != NULL && job->stored) {
        answer_call(answer, owner, call->call_id, JOB_OUTCOME_DONE, 0, 0);
        return;
    }
    if (call->spec == NULL || !sched_job_check(call->spec, &error) ||
        !sched_check_size(leader->sched, call->spec, &error)) {
        event_log(EVENT_JOB_REFUSED, "job=%s reason=\"%s\"", call->id,
                  error ? error->message : "missing job specification");
        answer_call(answer, owner, call->call_id, JOB_OUTCOME_INVALID, 0, 0);
        return;
    }
    if (job == NULL && leader->writes_failing) {
        leader->refused++;
        event_log(EVENT_JOB_REFUSED,
                  "job=%s reason=\"store unavailable\" "
                  "age_ms=%" G_GINT64_FORMAT " epoch=%" G_GUINT64_FORMAT
                  " proof_age_ms=%" G_GINT64_FORMAT,
                  call->id, leader_now_ms(leader) - leader->write_began_ms,
                  leader->opts.epoch, leader_get_proof_age_ms(leader));
        answer_call(answer, owner, call->call_id, JOB_OUTCOME_REFUSED, 0, 0);
        return;
    }
    if (job == NULL &&
        cancelled_ids_contains(leader->cancelled_ids, call->id)) {
        leader->refused++;
        event_log(EVENT_JOB_REFUSED,
                  "job=%s reason=\"cancelled before\" epoch=%" G_GUINT64_FORMAT
                  " proof_age_ms=%" G_GINT64_FORMAT,
                  call->id, leader->opts.epoch,
                  leader_get_proof_age_ms(leader));
        answer_call(answer, owner, call->call_id, JOB_OUTCOME_REFUSED, 0, 0);
        return;
    }
    if (job == NULL) {
        sched_submit(leader->sched, message_copy(&call->spec->base));
        leader->accepted++;
    }
    add_waiting(leader, call, answer, owner);
    leader_schedule_flush(leader);
}

/* A scheduler may still keep the submission of the job, so the cancelling is
   stored before it is answered. The write also shows that no other leader has
   accepted the job. */
static void
cancel_unknown(leader_t *leader, const Teasel__JobCall *call,
               job_answer_fn answer, void *owner)
{
    if (cancelled_ids_add(leader->cancelled_ids, call->id,
                          leader_get_wall_ms(leader))) {
        event_log(EVENT_JOB_UNKNOWN,
                  "job=%s epoch=%" G_GUINT64_FORMAT
                  " proof_age_ms=%" G_GINT64_FORMAT,
                  call->id, leader->opts.epoch,
                  leader_get_proof_age_ms(leader));
        add_waiting(leader, call, answer, owner);
        leader_schedule_flush(leader);
        return;
    }
    event_log(EVENT_CALL_UNANSWERED,
              "job=%s verb=%u waited_ms=0 outcome=refused "
              "reason=\"too many cancelled jobs\"",
              call->id, call->verb);
    answer_call(answer, owner, call->call_id, JOB_OUTCOME_REFUSED, 0, 0);
}

static void
cancel(leader_t *leader, const Teasel__JobCall *call, job_answer_fn answer,
       void *owner)
{
    sched_job_t *job = sched_find(leader->sched, call->id);

    if (job == NULL) {
        cancel_unknown(leader, call, answer, owner);
        return;
    }
    sched_cancel(leader->sched, job);
    if (job->stored && job->visible_state >= SCHED_JOB_COMPLETED) {
        answer_call(answer, owner, call->call_id, JOB_OUTCOME_DONE,
                    job->visible_state, 0);
        return;
    }
    add_waiting(leader, call, answer, owner);
    leader_schedule_flush(leader);
}

static void
handle_call(leader_t *leader, const Teasel__JobCall *call,
            job_answer_fn answer, void *owner)
{
    sched_job_t *job;

    switch ((job_verb_t)call->verb) {
    case JOB_VERB_SUBMIT:
        submit(leader, call, answer, owner);
        return;
    case JOB_VERB_CANCEL:
        cancel(leader, call, answer, owner);
        return;
    case JOB_VERB_COUNT_PENDING:
        answer_call(answer, owner, call->call_id, JOB_OUTCOME_DONE, 0,
                    sched_count_pending(leader->sched, call->queue));
        return;
    case JOB_VERB_GET:
        job = sched_find(leader->sched, call->id);
        if (job == NULL) {
            answer_call(answer, owner, call->call_id, JOB_OUTCOME_NOT_FOUND, 0,
                        0);
        }
        else {
            answer_call(answer, owner, call->call_id,
                        job->stored ? JOB_OUTCOME_DONE : JOB_OUTCOME_UNKNOWN,
                        sched_job_get_visible_state(job), 0);
        }
        return;
    }
    answer_call(answer, owner, call->call_id, JOB_OUTCOME_INVALID, 0, 0);
}

void
leader_handle_call(leader_t *leader, const Teasel__JobCall *call,
                   job_answer_fn answer, void *owner)
{
    if (leader->stage == LEADER_READY) {
        handle_call(leader, call, answer, owner);
        return;
    }
    add_waiting(leader, call, answer, owner)->call = message_copy(&call->base);
}

void
leader_handle_deferred_calls(leader_t *leader)
{
    list_t delayed;

    list_init(&delayed);
    LIST_FOREACH_SAFE (waiting, &leader->waiting, waiting_call_t, link) {
        list_remove(&waiting->link);
        list_append(&delayed, &waiting->link);
    }
    LIST_FOREACH_SAFE (waiting, &delayed, waiting_call_t, link) {
        handle_call(leader, waiting->call, waiting->answer, waiting->owner);
        free_waiting(waiting);
    }
}

static bool
is_job_stored(const sched_job_t *job, job_verb_t verb)
{
    return job->stored && (verb == JOB_VERB_SUBMIT ||
                           job->visible_state >= SCHED_JOB_COMPLETED);
}

/* Returns the outcome of a call that waited for a write, or
   JOB_OUTCOME_UNKNOWN if its effect is not stored yet. */
static job_outcome_t
get_stored_outcome(leader_t *leader, const waiting_call_t *waiting)
{
    const sched_job_t *job = sched_find(leader->sched, waiting->job_id);

    if (waiting->call != NULL) {
        return JOB_OUTCOME_UNKNOWN;
    }
    if (job != NULL && is_job_stored(job, waiting->verb)) {
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
        job_outcome_t outcome = get_stored_outcome(leader, waiting);

        if (outcome != JOB_OUTCOME_UNKNOWN) {
            answer_call(waiting->answer, waiting->owner, waiting->call_id,
                        outcome, 0, 0);
            free_waiting(waiting);
        }
    }
}

/* Returns the outcome of a call that has waited too long. A job can be
   withdrawn and the call refused if no write has included its record. */
static job_outcome_t
abandon_call(leader_t *leader, const waiting_call_t *waiting)
{
    sched_job_t *job = sched_find(leader->sched, waiting->job_id);

    if (waiting->call != NULL) {
        return JOB_OUTCOME_REFUSED;
    }
    /* An expired earlier call may have withdrawn the same job already. */
    if (waiting->verb == JOB_VERB_SUBMIT &&
        (job == NULL || sched_withdraw(leader->sched, job))) {
        return JOB_OUTCOME_REFUSED;
    }
    return JOB_OUTCOME_UNKNOWN;
}

void
leader_expire_calls(leader_t *leader)
{
    int64_t now_ms = leader_now_ms(leader);

    LIST_FOREACH_SAFE (waiting, &leader->waiting, waiting_call_t, link) {
        int64_t limit_ms =
            waiting->call != NULL ? MAX_LOAD_WAIT_MS : MAX_STORE_WAIT_MS;
        job_outcome_t outcome;

        if (now_ms - waiting->received_ms < limit_ms) {
            continue;
        }
        outcome = abandon_call(leader, waiting);
        event_log(EVENT_CALL_UNANSWERED,
                  "job=%s verb=%d waited_ms=%" G_GINT64_FORMAT " outcome=%s",
                  waiting->job_id, waiting->verb,
                  now_ms - waiting->received_ms,
                  outcome == JOB_OUTCOME_REFUSED ? "refused" : "unknown");
        answer_call(waiting->answer, waiting->owner, waiting->call_id, outcome,
                    0, 0);
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
