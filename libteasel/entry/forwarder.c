#include "entry/forwarder.h"

#include "base/events.h"
#include "entry/forward_message.h"
#include "entry/forward_metrics.h"
#include "request/verdict.h"

enum {
    MAX_TRIED_MEMBERS = 8,
    /* A new entry does not know all services yet, so during this time it parks
       a request for an unknown service instead of answering not-found. */
    START_GRACE_MS = 5000,
};

typedef struct forward {
    list_t link;         /* in forwarder.pending */
    list_t session_link; /* in session.forwards */
    list_t parked_link;  /* in forwarder.parked */
    forwarder_t *owner;
    forward_request_t request;
    forward_cb cb;
    void *data;
    attempt_t attempt;
    uint64_t id; /* of the current attempt */
    peer_session_t *session;
    bool probe;
    struct timespec started;
    struct timespec sent;
    struct timespec parked;
    loop_timer_t timer;
    const member_t *tried[MAX_TRIED_MEMBERS];
    char *detail;
} forward_t;

struct forwarder {
    forwarder_opts_t opts;
    uint64_t last_id;
    GHashTable *by_id; /* id -> forward_t */
    retry_budget_set_t *budgets;
    list_t pending;
    list_t parked;
    struct timespec started;
    forward_metrics_t metrics;
};

forwarder_t *
forwarder_new(const forwarder_opts_t *opts)
{
    forwarder_t *forwarder = g_new0(forwarder_t, 1);

    forwarder->opts = *opts;
    forwarder->by_id = g_hash_table_new(g_int64_hash, g_int64_equal);
    forwarder->budgets =
        retry_budget_set_new(opts->retry_reserve, opts->retry_percent);
    list_init(&forwarder->pending);
    list_init(&forwarder->parked);
    forwarder->started = clock_get_monotonic(opts->clock);
    forward_metrics_init(&forwarder->metrics, opts->metrics);
    return forwarder;
}

static void
forward_free(forward_t *forward)
{
    loop_timer_stop(&forward->timer);
    list_remove(&forward->link);
    list_remove(&forward->session_link);
    list_remove(&forward->parked_link);
    g_free(forward->detail);
    g_free(forward);
}

void
forwarder_free(forwarder_t *forwarder)
{
    if (forwarder == NULL) {
        return;
    }
    LIST_FOREACH_SAFE (forward, &forwarder->pending, forward_t, link) {
        forward_free(forward);
    }
    forward_metrics_clear(&forwarder->metrics);
    g_hash_table_unref(forwarder->by_id);
    retry_budget_set_free(forwarder->budgets);
    g_free(forwarder);
}

static void
finish(forward_t *forward, forward_result_t *result)
{
    forwarder_t *forwarder = forward->owner;
    struct timespec now = clock_get_monotonic(forwarder->opts.clock);

    forward_metrics_end(&forwarder->metrics, result->outcome,
                        timespec_diff_us(now, forward->started));
    forward->cb(result, forward->data);
    forward_free(forward);
}

static void
finish_without_answer(forward_t *forward)
{
    forward_result_t result = {
        .outcome = attempt_may_have_run(&forward->attempt) ? ATTEMPT_UNKNOWN
                                                           : ATTEMPT_NOT_RUN,
        .kind = forward->attempt.kind,
        .detail = forward->detail,
    };

    finish(forward, &result);
}

/* Ends a request for which no further attempt is possible. */
static void
fail_request(forward_t *forward, error_kind_t kind, const char *reason)
{
    if (!forward->attempt.may_have_run) {
        g_free(forward->detail);
        forward->detail = g_strdup_printf("service \"%s\": %s",
                                          forward->request.service, reason);
    }
    attempt_abandon(&forward->attempt, kind);
    finish_without_answer(forward);
}

/* The outcome is ignored if the member has reconnected since the attempt was
   sent. */
static void
record_member_outcome(forward_t *forward, attempt_outcome_t outcome,
                      error_kind_t kind, int status)
{
    forwarder_t *forwarder = forward->owner;
    struct timespec now = clock_get_monotonic(forwarder->opts.clock);
    member_t *member = forward->session->member;
    verdict_t verdict = verdict_of_attempt(
        outcome, kind, status, timespec_diff_ms(now, forward->sent));

    if (member->connection == forward->session &&
        member_end_request(forwarder->opts.members, member, forward->probe,
                           verdict)) {
        event_log(EVENT_MEMBER_EJECTED, "agent=%s ejections=%u",
                  member->agent_id, member->outlier.ejections);
    }
}

static void
detach_from_session(forward_t *forward)
{
    g_hash_table_remove(forward->owner->by_id, &forward->id);
    list_remove(&forward->session_link);
    forward->session = NULL;
}

static void start_next_attempt(forward_t *forward);

static void
end_attempt(forward_t *forward, attempt_outcome_t outcome, error_kind_t kind,
            const char *detail)
{
    struct timespec now = clock_get_monotonic(forward->owner->opts.clock);

    record_member_outcome(forward, outcome, kind, 0);
    detach_from_session(forward);
    if (outcome == ATTEMPT_UNKNOWN || !forward->attempt.may_have_run) {
        g_free(forward->detail);
        forward->detail = g_strdup(detail);
    }
    if (attempt_end(&forward->attempt, outcome, kind, now) == ATTEMPT_RETRY) {
        start_next_attempt(forward);
        return;
    }
    finish_without_answer(forward);
}

static void
start_timer(forward_t *forward, struct timespec end)
{
    struct timespec now = clock_get_monotonic(forward->owner->opts.clock);
    int64_t ms = timespec_diff_us(end, now) / 1000 + 1;

    loop_timer_start(&forward->timer, (uint64_t)MAX(ms, 0));
}

static struct timespec
get_timer_end(const forward_t *forward)
{
    struct timespec park_end = timespec_add_ms(
        forward->parked, (int64_t)forward->owner->opts.park_ms);

    if (forward->session == NULL &&
        timespec_is_before(park_end, forward->attempt.deadline)) {
        return park_end;
    }
    return forward->attempt.deadline;
}

static void
on_timer(loop_timer_t *timer)
{
    forward_t *forward = timer->data;
    struct timespec end = get_timer_end(forward);

    if (timespec_is_before(clock_get_monotonic(forward->owner->opts.clock),
                           end)) {
        start_timer(forward, end);
        return;
    }
    if (forward->session == NULL) {
        fail_request(forward, ERROR_NO_EXECUTOR,
                     "no agent that serves it became available in time");
        return;
    }
    forward_message_send_cancel(forward->session->peer, forward->id);
    end_attempt(forward, ATTEMPT_UNKNOWN, ERROR_TIMEOUT,
                "the agent did not answer before the deadline");
}

static void
park(forward_t *forward)
{
    forwarder_t *forwarder = forward->owner;
    struct timespec now = clock_get_monotonic(forwarder->opts.clock);
    bool is_known = member_table_get_group(forwarder->opts.members,
                                           forward->request.service) != NULL;

    if (!is_known &&
        timespec_diff_ms(now, forwarder->started) >= START_GRACE_MS) {
        fail_request(forward, ERROR_NOT_FOUND, "no agent offers this service");
        return;
    }
    if (list_is_empty(&forward->parked_link)) {
        forward->parked = now;
        list_append(&forwarder->parked, &forward->parked_link);
    }
    start_timer(forward, get_timer_end(forward));
}

static bool
send_request(forward_t *forward, member_t *member)
{
    forwarder_t *forwarder = forward->owner;
    peer_session_t *session = member->connection;

    forward->id = ++forwarder->last_id;
    forward->session = session;
    forward->sent = clock_get_monotonic(forwarder->opts.clock);
    forward->probe = member_begin_request(member);
    forward->tried[(forward->attempt.count - 1) % MAX_TRIED_MEMBERS] = member;
    g_hash_table_insert(forwarder->by_id, &forward->id, forward);
    list_append(&session->forwards, &forward->session_link);
    forward_metrics_count(&forwarder->metrics, FORWARD_ATTEMPTS);
    return forward_message_send(
        session->peer, &forward->request, forward->id,
        timespec_diff_ms(forward->attempt.deadline, forward->sent));
}

static void
start_next_attempt(forward_t *forward)
{
    forwarder_t *forwarder = forward->owner;
    route_query_t query = {
        .service = forward->request.service,
        .tried = forward->tried,
        .tried_count = MIN(forward->attempt.count, MAX_TRIED_MEMBERS),
        .now = clock_get_monotonic(forwarder->opts.clock),
    };
    member_t *member = route_choose(forwarder->opts.route, &query);

    if (member == NULL) {
        park(forward);
        return;
    }
    list_remove(&forward->parked_link);
    if (!attempt_begin(&forward->attempt, query.now)) {
        fail_request(forward, ERROR_EXPIRED,
                     "the deadline passed before the request was sent");
        return;
    }
    if (!send_request(forward, member)) {
        end_attempt(forward, ATTEMPT_NOT_RUN, ERROR_CONNECT,
                    "the connection to the agent is closing");
        return;
    }
    start_timer(forward, forward->attempt.deadline);
}

/* Unknown services share one budget. Otherwise callers could exhaust the
   memory by sending requests with random service names. */
static retry_budget_t *
get_budget(forwarder_t *forwarder, const char *service)
{
    bool is_known =
        member_table_get_group(forwarder->opts.members, service) != NULL;

    return retry_budget_set_get(forwarder->budgets, is_known ? service : "");
}

void
forwarder_submit(forwarder_t *forwarder, const forward_request_t *request,
                 forward_cb cb, void *data)
{
    forward_t *forward = g_new0(forward_t, 1);
    retry_budget_t *budget = get_budget(forwarder, request->service);

    forward->owner = forwarder;
    forward->request = *request;
    forward->cb = cb;
    forward->data = data;
    forward->started = clock_get_monotonic(forwarder->opts.clock);
    list_init(&forward->session_link);
    list_init(&forward->parked_link);
    list_append(&forwarder->pending, &forward->link);
    loop_timer_init(&forward->timer, forwarder->opts.loop, on_timer, forward);
    attempt_init(
        &forward->attempt, request->idempotent, forwarder->opts.max_attempts,
        timespec_add_ms(forward->started, request->timeout_ms), budget);
    retry_budget_deposit(budget);
    forwarder->metrics.in_flight.value++;
    start_next_attempt(forward);
}

static void
finish_answered(forward_t *forward, const Teasel__Reply *reply)
{
    forward_result_t result = {
        .outcome = ATTEMPT_ANSWERED,
        .status = (int)reply->status,
        .headers = reply->headers,
        .header_count = reply->n_headers,
        .body = reply->body.data,
        .body_length = reply->body.len,
    };

    record_member_outcome(forward, ATTEMPT_ANSWERED, ERROR_INTERNAL,
                          result.status);
    detach_from_session(forward);
    attempt_end(&forward->attempt, ATTEMPT_ANSWERED, ERROR_INTERNAL,
                clock_get_monotonic(forward->owner->opts.clock));
    finish(forward, &result);
}

static void
on_reply(forward_t *forward, const Teasel__Reply *reply)
{
    if (reply->status < 200 || reply->status > 599) {
        end_attempt(forward, ATTEMPT_UNKNOWN, ERROR_PROTOCOL,
                    "the answer of the agent has an invalid status; "
                    "allowed: 200 to 599");
        return;
    }
    finish_answered(forward, reply);
}

void
forwarder_on_message(forwarder_t *forwarder, peer_session_t *session,
                     const Teasel__Envelope *message)
{
    uint64_t id = forward_message_get_id(message);
    forward_t *forward = g_hash_table_lookup(forwarder->by_id, &id);

    if (forward == NULL || forward->session != session) {
        forward_metrics_count(&forwarder->metrics, FORWARD_LATE_ANSWERS);
        return;
    }
    switch (message->body_case) {
    case TEASEL__ENVELOPE__BODY_REPLY:
        on_reply(forward, message->reply);
        break;
    case TEASEL__ENVELOPE__BODY_NOT_RUN:
        end_attempt(forward, ATTEMPT_NOT_RUN, message->not_run->kind,
                    message->not_run->detail);
        break;
    default:
        end_attempt(forward, ATTEMPT_UNKNOWN, message->unknown->kind,
                    message->unknown->detail);
        break;
    }
}

void
forwarder_on_disconnect(forwarder_t *forwarder, peer_session_t *session)
{
    LIST_FOREACH_SAFE (forward, &session->forwards, forward_t, session_link) {
        end_attempt(forward, ATTEMPT_UNKNOWN, ERROR_CONNECTION_LOST,
                    "the connection to the agent was lost");
    }
}

void
forwarder_on_member(forwarder_t *forwarder)
{
    LIST_FOREACH_SAFE (forward, &forwarder->parked, forward_t, parked_link) {
        start_next_attempt(forward);
    }
}

size_t
forwarder_get_pending(const forwarder_t *forwarder)
{
    return (size_t)forwarder->metrics.in_flight.value;
}
