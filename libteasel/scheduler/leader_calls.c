/* Handling of job calls by the leader. */

#include "base/events.h"
#include "scheduler/leader_internal.h"
#include "scheduler/retry_after.h"
#include "wire/message.h"

static const char *const refusal_texts[] = {
    [LEADER_REFUSAL_NONE] = "none",
    [LEADER_REFUSAL_STORE] = "store unavailable",
    [LEADER_REFUSAL_CANCELLED] = "cancelled before",
    [LEADER_REFUSAL_CAPACITY] = "lack of capacity",
};

/* Returns how long the store has not taken writes, or 0 if it takes them. */
static int64_t
get_outage_ms(const leader_t *leader)
{
    return leader->writes_failing
               ? leader_now_ms(leader) - leader->write_began_ms
               : 0;
}

static void
answer(const request_t *request, job_outcome_t outcome, uint32_t retry_ms)
{
    Teasel__JobAnswer message = TEASEL__JOB_ANSWER__INIT;

    message.call_id = request->call->call_id;
    message.outcome = outcome;
    message.retry_after_ms = retry_ms;
    request->answer(&message, request->owner);
}

void
leader_answer_request(const leader_t *leader, const request_t *request,
                      job_outcome_t outcome)
{
    uint32_t retry_ms = 0;

    if (outcome == JOB_OUTCOME_REFUSED ||
        outcome == JOB_OUTCOME_CALL_REFUSED) {
        retry_ms = retry_after_get_outage_ms(get_outage_ms(leader),
                                             leader->opts.random);
    }
    answer(request, outcome, retry_ms);
}

static void
answer_state(const request_t *request, const sched_job_t *job)
{
    Teasel__JobAnswer message = TEASEL__JOB_ANSWER__INIT;

    message.call_id = request->call->call_id;
    message.outcome = job->stored ? JOB_OUTCOME_DONE : JOB_OUTCOME_UNKNOWN;
    message.state = sched_job_get_visible_state(job);
    request->answer(&message, request->owner);
}

static void
answer_count(const request_t *request, uint32_t count)
{
    Teasel__JobAnswer message = TEASEL__JOB_ANSWER__INIT;

    message.call_id = request->call->call_id;
    message.outcome = JOB_OUTCOME_DONE;
    message.count = count;
    request->answer(&message, request->owner);
}

static void
await_write(leader_t *leader, const request_t *request)
{
    leader_add_waiting(leader, request, CALL_WAITS_FOR_WRITE);
    leader_schedule_flush(leader);
}

/* The call is handled again once there is a proof. */
static void
await_proof(leader_t *leader, const request_t *request)
{
    leader->proof_waits++;
    leader_add_waiting(leader, request, CALL_WAITS_FOR_PROOF);
    leader_seek_proof(leader);
}

/* Returns why a new job cannot be accepted. */
static leader_refusal_t
get_refusal(const leader_t *leader, const Teasel__JobCall *call,
            job_admission_t *admission)
{
    if (leader->writes_failing) {
        return LEADER_REFUSAL_STORE;
    }
    if (cancelled_ids_contains(leader->cancelled_ids, call->id)) {
        return LEADER_REFUSAL_CANCELLED;
    }
    return sched_check_admission(leader->sched, call->spec, admission)
               ? LEADER_REFUSAL_NONE
               : LEADER_REFUSAL_CAPACITY;
}

static void
refuse_for_capacity(leader_t *leader, const request_t *request,
                    const job_admission_t *admission)
{
    int64_t wait_ms = (int64_t)job_admission_get_wait_ms(admission);
    uint32_t retry_ms =
        retry_after_get_backlog_ms(wait_ms, leader->opts.random);

    event_log(EVENT_JOB_REFUSED,
              "job=%s reason=\"%s\" age_ms=%.0f wait_ms=%" G_GINT64_FORMAT
              " chain_ms=%.0f useful_ms=%.0f work_before_core_ms=%.0f "
              "drain_cores=%.1f retry_after_ms=%u",
              request->call->id, refusal_texts[LEADER_REFUSAL_CAPACITY],
              admission->age_ms, wait_ms, admission->chain_ms,
              admission->useful_ms, admission->work_before, admission->rate,
              retry_ms);
    answer(request, JOB_OUTCOME_REFUSED, retry_ms);
}

static void
refuse(leader_t *leader, const request_t *request, leader_refusal_t refusal,
       const job_admission_t *admission)
{
    leader->refused[refusal]++;
    sched_note_refused(leader->sched, request->call->spec);
    if (refusal == LEADER_REFUSAL_CAPACITY) {
        refuse_for_capacity(leader, request, admission);
        return;
    }
    event_log(EVENT_JOB_REFUSED,
              "job=%s reason=\"%s\" age_ms=%" G_GINT64_FORMAT
              " epoch=%" G_GUINT64_FORMAT " proof_age_ms=%" G_GINT64_FORMAT,
              request->call->id, refusal_texts[refusal], get_outage_ms(leader),
              leader->opts.epoch, leader_get_proof_age_ms(leader));
    leader_answer_request(leader, request, JOB_OUTCOME_REFUSED);
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
                 leader_refusal_t refusal, const job_admission_t *admission)
{
    if (request->proven) {
        refuse(leader, request, refusal, admission);
    }
    else if (can_be_proven(leader)) {
        await_proof(leader, request);
    }
    else {
        log_unproven(leader, request, refusal_texts[refusal]);
        leader_answer_request(leader, request, JOB_OUTCOME_UNKNOWN);
    }
}

static void
submit_new(leader_t *leader, const request_t *request)
{
    job_admission_t admission = {0};
    leader_refusal_t refusal = get_refusal(leader, request->call, &admission);

    if (refusal != LEADER_REFUSAL_NONE) {
        refuse_if_proven(leader, request, refusal, &admission);
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
        leader_answer_request(leader, request, JOB_OUTCOME_DONE);
        return;
    }
    if (call->spec == NULL || !sched_job_check(call->spec, &error) ||
        !sched_check_size(leader->sched, call->spec, &error)) {
        event_log(EVENT_JOB_REFUSED, "job=%s reason=\"%s\"", call->id,
                  error ? error->message : "missing job specification");
        leader_answer_request(leader, request, JOB_OUTCOME_INVALID);
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
    leader_answer_request(leader, request, JOB_OUTCOME_CALL_REFUSED);
}

bool
leader_is_final(const sched_job_t *job)
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
    if (leader_is_final(job)) {
        answer_state(request, job);
        return;
    }
    await_write(leader, request);
}

static void
get(leader_t *leader, const request_t *request)
{
    const sched_job_t *job = sched_find(leader->sched, request->call->id);

    if (!request->proven && (job == NULL || !leader_is_final(job))) {
        await_proof(leader, request);
        return;
    }
    if (job == NULL) {
        leader_answer_request(leader, request, JOB_OUTCOME_NOT_FOUND);
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

void
leader_write_refusals(const leader_t *leader, GString *out)
{
    g_string_append(out, "# HELP teasel_jobs_refused_total Jobs refused.\n"
                         "# TYPE teasel_jobs_refused_total counter\n");
    for (int i = LEADER_REFUSAL_STORE; i < LEADER_REFUSAL_COUNT; i++) {
        g_string_append_printf(
            out,
            "teasel_jobs_refused_total{reason=\"%s\"} %" G_GUINT64_FORMAT "\n",
            refusal_texts[i], leader->refused[i]);
    }
}

void
leader_handle_request(leader_t *leader, const request_t *request)
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
    leader_answer_request(leader, request, JOB_OUTCOME_INVALID);
}

void
leader_handle_call(leader_t *leader, const Teasel__JobCall *call,
                   job_answer_fn answer, void *owner)
{
    request_t request = {.call = call, .answer = answer, .owner = owner};

    if (leader->stage == LEADER_READY) {
        leader_handle_request(leader, &request);
        return;
    }
    leader_add_waiting(leader, &request, CALL_WAITS_FOR_JOBS);
}
