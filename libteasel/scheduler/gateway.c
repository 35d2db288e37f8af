#include "scheduler/gateway.h"

#include "base/events.h"
#include "base/list.h"
#include "scheduler/retry_after.h"
#include "wire/message.h"

enum {
    TICK_MS = 20,
    /* A call that could not be sent to a leader is refused early so that the
       caller can try another scheduler. */
    NO_LEADER_TIMEOUT_MS = 60,
    /* A failed leader is usually replaced within this time. */
    ANSWER_TIMEOUT_MS = 1500,
};

typedef struct pending {
    list_t link;
    gateway_t *gateway;
    Teasel__JobCall *call;
    job_answer_fn answer;
    void *data;
    int64_t received_ms;
    bool sent;
    bool resent; /* an earlier leader may have processed it */
} pending_t;

/**
 * struct gateway - calls that wait for the leader
 * @leaderless_since_ms: when a call first found no leader, or 0 if the last
 *     one found one
 */
struct gateway {
    loop_t *loop;
    const clock_source_t *clock;
    cluster_t *cluster;
    leader_t *leader;
    GRand *random;
    int64_t leaderless_since_ms;
    list_t pending;
    size_t count;
    uint64_t next_id;
    loop_timer_t tick;
};

static int64_t
now_ms(const gateway_t *gateway)
{
    return (int64_t)timespec_to_ms(clock_get_monotonic(gateway->clock));
}

static pending_t *
find_pending(gateway_t *gateway, uint64_t id)
{
    LIST_FOREACH (pending, &gateway->pending, pending_t, link) {
        if (pending->call->call_id == id) {
            return pending;
        }
    }
    return NULL;
}

static void
finish(pending_t *pending, const Teasel__JobAnswer *answer)
{
    list_remove(&pending->link);
    pending->gateway->count--;
    pending->answer(answer, pending->data);
    teasel__job_call__free_unpacked(pending->call, NULL);
    g_free(pending);
}

static bool
is_conclusive(const pending_t *pending, const Teasel__JobAnswer *answer)
{
    /* A refusal is only valid if no earlier leader can have accepted the
       call. */
    return !pending->resent || (answer->outcome != JOB_OUTCOME_REFUSED &&
                                answer->outcome != JOB_OUTCOME_CALL_REFUSED);
}

void
gateway_handle_answer(gateway_t *gateway, const Teasel__JobAnswer *answer)
{
    pending_t *pending = find_pending(gateway, answer->call_id);
    Teasel__JobAnswer unknown = TEASEL__JOB_ANSWER__INIT;

    if (pending == NULL) {
        return;
    }
    if (is_conclusive(pending, answer)) {
        finish(pending, answer);
        return;
    }
    unknown.outcome = JOB_OUTCOME_UNKNOWN;
    finish(pending, &unknown);
}

static void
on_local_answer(const Teasel__JobAnswer *answer, void *data)
{
    gateway_handle_answer(data, answer);
}

/* Returns how long calls have found no leader. */
static int64_t
get_leaderless_ms(const gateway_t *gateway)
{
    return gateway->leaderless_since_ms == 0
               ? 0
               : now_ms(gateway) - gateway->leaderless_since_ms;
}

/* May call the answer function and free the pending call. */
static void
send_call(pending_t *pending)
{
    gateway_t *gateway = pending->gateway;

    if (gateway->leader != NULL) {
        gateway->leaderless_since_ms = 0;
        pending->resent = pending->sent;
        pending->sent = true;
        leader_handle_call(gateway->leader, pending->call, on_local_answer,
                           gateway);
    }
    else if (gateway->cluster != NULL &&
             cluster_send_call(gateway->cluster, pending->call)) {
        gateway->leaderless_since_ms = 0;
        pending->resent = pending->sent;
        pending->sent = true;
    }
    else if (gateway->leaderless_since_ms == 0) {
        gateway->leaderless_since_ms = now_ms(gateway);
    }
}

static void
expire(pending_t *pending)
{
    Teasel__JobAnswer answer = TEASEL__JOB_ANSWER__INIT;

    answer.outcome =
        pending->sent ? JOB_OUTCOME_UNKNOWN : JOB_OUTCOME_CALL_REFUSED;
    answer.retry_after_ms = retry_after_get_outage_ms(
        get_leaderless_ms(pending->gateway), pending->gateway->random);
    event_log(EVENT_CALL_UNANSWERED,
              "job=%s verb=%u waited_ms=%" G_GINT64_FORMAT
              " outcome=%s reason=\"%s\"",
              pending->call->id, pending->call->verb,
              now_ms(pending->gateway) - pending->received_ms,
              job_outcome_to_string((job_outcome_t)answer.outcome),
              pending->sent ? "no answer from leader"
                            : "no connection to a leader" JOB_CALL_ONLY_TEXT);
    finish(pending, &answer);
}

static void
on_tick(loop_timer_t *timer)
{
    gateway_t *gateway = timer->data;
    int64_t now = now_ms(gateway);

    LIST_FOREACH_SAFE (pending, &gateway->pending, pending_t, link) {
        int64_t limit_ms =
            pending->sent ? ANSWER_TIMEOUT_MS : NO_LEADER_TIMEOUT_MS;

        if (now - pending->received_ms >= limit_ms) {
            expire(pending);
        }
    }
    if (gateway->count > 0) {
        loop_timer_start(timer, TICK_MS);
    }
}

void
gateway_call(gateway_t *gateway, const Teasel__JobCall *call,
             job_answer_fn answer, void *data)
{
    pending_t *pending = g_new0(pending_t, 1);

    pending->gateway = gateway;
    pending->call = message_copy(&call->base);
    pending->call->call_id = ++gateway->next_id;
    pending->answer = answer;
    pending->data = data;
    pending->received_ms = now_ms(gateway);
    list_append(&gateway->pending, &pending->link);
    gateway->count++;
    if (!loop_timer_is_active(&gateway->tick)) {
        loop_timer_start(&gateway->tick, TICK_MS);
    }
    send_call(pending);
}

void
gateway_resend(gateway_t *gateway)
{
    LIST_FOREACH_SAFE (pending, &gateway->pending, pending_t, link) {
        send_call(pending);
    }
}

gateway_t *
gateway_new(loop_t *loop, const clock_source_t *clock, cluster_t *cluster,
            GRand *random)
{
    gateway_t *gateway = g_new0(gateway_t, 1);

    gateway->loop = loop;
    gateway->clock = clock;
    gateway->cluster = cluster;
    gateway->random = random;
    list_init(&gateway->pending);
    loop_timer_init(&gateway->tick, loop, on_tick, gateway);
    return gateway;
}

void
gateway_free(gateway_t *gateway)
{
    if (gateway == NULL) {
        return;
    }
    loop_timer_stop(&gateway->tick);
    LIST_FOREACH_SAFE (pending, &gateway->pending, pending_t, link) {
        list_remove(&pending->link);
        teasel__job_call__free_unpacked(pending->call, NULL);
        g_free(pending);
    }
    g_free(gateway);
}

void
gateway_set_cluster(gateway_t *gateway, cluster_t *cluster)
{
    gateway->cluster = cluster;
}

void
gateway_set_leader(gateway_t *gateway, leader_t *leader)
{
    gateway->leader = leader;
    if (leader != NULL) {
        gateway_resend(gateway);
    }
}

size_t
gateway_count_calls(const gateway_t *gateway)
{
    return gateway->count;
}
