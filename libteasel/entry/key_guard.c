#include "entry/key_guard.h"

#include <string.h>

#include "base/events.h"
#include "entry/key_results.h"
#include "stream/stream.h"
#include "request/idem.h"

enum {
    /* Interval, in records of the stream, at which keys are removed whose
       records the log no longer keeps. */
    PRUNE_INTERVAL_RECORDS = 256,
    /* Limits the memory used during a long log outage. If a claim that was
       dropped from the table appears on the log after all, its key stays
       claimed. This is safe: the request of the claim is never run. */
    MAX_ABANDONED_CLAIMS = 10000,
};

/**
 * struct key_call - a request with an idempotency key
 * @waiting: another request holds the key; @timer ends the wait
 * @claim_id: id of the claim record that this call appended
 */
typedef struct key_call {
    list_t link;
    key_guard_t *guard;
    const char *key;
    uint64_t hash;
    forward_request_t request;
    forward_cb cb;
    void *data;
    struct timespec deadline;
    bool waiting;
    loop_timer_t timer;
    uint8_t claim_id[KEY_CLAIM_ID_SIZE];
} key_call_t;

/* A claim that was not read back before its request was refused. It may still
   appear on the log. */
typedef struct abandoned_claim {
    char *service;
    char *key;
} abandoned_claim_t;

struct key_guard {
    key_guard_opts_t opts;
    stream_t *stream;
    key_results_t *results;
    idem_t *idem;
    list_t calls;
    size_t pending;
    GHashTable *abandoned; /* claim id -> abandoned_claim_t */
    uint64_t last_prune_offset;
};

static void
abandoned_claim_free(void *data)
{
    abandoned_claim_t *claim = data;

    g_free(claim->service);
    g_free(claim->key);
    g_free(claim);
}

static void
call_free(key_call_t *call)
{
    loop_timer_stop(&call->timer);
    list_remove(&call->link);
    call->guard->pending--;
    g_free(call);
}

static void
finish(key_call_t *call, const forward_result_t *result)
{
    call->cb(result, call->data);
    call_free(call);
}

static void
finish_without_answer(key_call_t *call, attempt_outcome_t outcome,
                      error_kind_t kind, const char *detail)
{
    forward_result_t result = {
        .outcome = outcome,
        .kind = kind,
        .detail = detail,
    };

    finish(call, &result);
}

static void
replay_result(key_call_t *call, const Teasel__KeyResult *recorded)
{
    forward_result_t result = {
        .outcome = ATTEMPT_ANSWERED,
        .status = (int)recorded->status,
        .headers = recorded->headers,
        .header_count = recorded->n_headers,
        .body = recorded->body.data,
        .body_length = recorded->body.len,
    };

    if (recorded->status == 0) {
        finish_without_answer(
            call, ATTEMPT_UNKNOWN, ERROR_DUPLICATE,
            "the answer to the first request with this key was lost "
            "or is too large to be repeated");
        return;
    }
    finish(call, &result);
}

static int64_t
get_remaining_ms(const key_call_t *call)
{
    return timespec_diff_ms(call->deadline,
                            clock_get_monotonic(call->guard->opts.clock));
}

static void
on_wait_timeout(loop_timer_t *timer)
{
    finish_without_answer(
        timer->data, ATTEMPT_UNKNOWN, ERROR_TIMEOUT,
        "another request with this idempotency key did not end before "
        "the deadline");
}

static void
wait_for_result(key_call_t *call)
{
    if (call->waiting) {
        return;
    }
    call->waiting = true;
    loop_timer_start(&call->timer, (uint64_t)MAX(get_remaining_ms(call), 0));
}

static void
on_forwarded(const forward_result_t *result, void *data)
{
    key_call_t *call = data;

    key_results_write(call->guard->results, call->request.service, call->key,
                      call->claim_id, result);
    finish(call, result);
}

static void
run_request(key_call_t *call)
{
    int64_t remaining_ms = get_remaining_ms(call);

    if (remaining_ms <= 0) {
        key_results_write(call->guard->results, call->request.service,
                          call->key, call->claim_id, NULL);
        finish_without_answer(call, ATTEMPT_NOT_RUN, ERROR_EXPIRED,
                              "the deadline passed while the key was claimed");
        return;
    }
    call->request.timeout_ms = (uint32_t)remaining_ms;
    call->guard->opts.submit(call->guard->opts.submit_data, &call->request,
                             on_forwarded, call);
}

static void
abandon_claim(key_call_t *call)
{
    key_guard_t *guard = call->guard;
    abandoned_claim_t *claim = g_new0(abandoned_claim_t, 1);

    if (g_hash_table_size(guard->abandoned) >= MAX_ABANDONED_CLAIMS) {
        g_hash_table_remove_all(guard->abandoned);
    }
    claim->service = g_strdup(call->request.service);
    claim->key = g_strdup(call->key);
    g_hash_table_insert(guard->abandoned,
                        g_bytes_new(call->claim_id, KEY_CLAIM_ID_SIZE), claim);
    event_log(EVENT_KEY_CLAIM_ABANDONED, "service=%s", claim->service);
}

static void dispatch_call(key_call_t *call);

static void
on_claimed(stream_outcome_t outcome, uint64_t offset, const char *detail,
           void *data)
{
    key_call_t *call = data;
    const idem_key_t *key;

    if (outcome == STREAM_UNKNOWN) {
        abandon_claim(call);
    }
    if (outcome != STREAM_APPLIED) {
        finish_without_answer(
            call, ATTEMPT_NOT_RUN, ERROR_LOG_UNAVAILABLE,
            "the claim of the idempotency key was not written to the log "
            "or not confirmed in time");
        return;
    }
    key = idem_find(call->guard->idem, call->request.service, call->key);
    if (key != NULL && key->state == IDEM_CLAIMED &&
        idem_is_claimed_by(key, call->claim_id, KEY_CLAIM_ID_SIZE)) {
        run_request(call);
        return;
    }
    dispatch_call(call);
}

static void
claim_key(key_call_t *call)
{
    Teasel__LogRecord record = TEASEL__LOG_RECORD__INIT;
    Teasel__KeyClaim body = TEASEL__KEY_CLAIM__INIT;
    uint64_t timeout_ms = (uint64_t)MAX(get_remaining_ms(call), 1);

    body.service = (char *)call->request.service;
    body.key = (char *)call->key;
    body.request_hash = call->hash;
    body.entry_id = (char *)call->guard->opts.entry_id;
    record.body_case = TEASEL__LOG_RECORD__BODY_KEY_CLAIM;
    record.key_claim = &body;
    stream_append(call->guard->stream, &record,
                  MIN(timeout_ms, call->guard->opts.append_timeout_ms),
                  on_claimed, call);
    memcpy(call->claim_id, record.id.data, KEY_CLAIM_ID_SIZE);
}

/* Claims the key of a call, waits for its result, replays it or refuses the
   call, depending on the state of the key. */
static void
dispatch_call(key_call_t *call)
{
    key_guard_t *guard = call->guard;
    const idem_key_t *key =
        idem_find(guard->idem, call->request.service, call->key);

    if (key != NULL && key->request_hash != call->hash) {
        finish_without_answer(
            call, ATTEMPT_NOT_RUN, ERROR_CONFLICT,
            "the idempotency key was used for another request");
        return;
    }
    if (key != NULL && key->state == IDEM_DONE) {
        replay_result(call, key->result->key_result);
        return;
    }
    if (key != NULL) {
        wait_for_result(call);
        return;
    }
    call->waiting = false;
    loop_timer_stop(&call->timer);
    if (!stream_is_caught_up(guard->stream) ||
        !stream_is_reachable(guard->stream)) {
        finish_without_answer(
            call, ATTEMPT_NOT_RUN, ERROR_LOG_UNAVAILABLE,
            "the log of idempotency keys is unavailable or has not been "
            "read to its end");
        return;
    }
    claim_key(call);
}

void
key_guard_submit(key_guard_t *guard, const char *key, uint64_t hash,
                 const forward_request_t *request, forward_cb cb, void *data)
{
    key_call_t *call = g_new0(key_call_t, 1);

    call->guard = guard;
    call->key = key;
    call->hash = hash;
    call->request = *request;
    call->cb = cb;
    call->data = data;
    call->deadline = timespec_add_ms(clock_get_monotonic(guard->opts.clock),
                                     request->timeout_ms);
    loop_timer_init(&call->timer, guard->opts.loop, on_wait_timeout, call);
    list_append(&guard->calls, &call->link);
    guard->pending++;
    dispatch_call(call);
}

/* Releases the key of an abandoned claim when the claim appears on the log:
   its request was refused as not run and will never be run. */
static void
release_abandoned_key(key_guard_t *guard, const Teasel__LogRecord *record)
{
    g_autoptr(GBytes) id = g_bytes_new(record->id.data, record->id.len);
    abandoned_claim_t *claim = g_hash_table_lookup(guard->abandoned, id);

    if (claim != NULL) {
        key_results_write(guard->results, claim->service, claim->key,
                          record->id.data, NULL);
        g_hash_table_remove(guard->abandoned, id);
    }
}

static void
dispatch_waiting_calls(key_guard_t *guard)
{
    LIST_FOREACH_SAFE (call, &guard->calls, key_call_t, link) {
        if (call->waiting) {
            dispatch_call(call);
        }
    }
}

static void
apply(const Teasel__LogRecord *record, uint64_t offset, void *data)
{
    key_guard_t *guard = data;

    if (offset >= guard->last_prune_offset + PRUNE_INTERVAL_RECORDS) {
        guard->last_prune_offset = offset;
        idem_remove_before(guard->idem,
                           stream_get_first_offset(guard->stream));
    }
    if (!idem_apply(guard->idem, record, offset)) {
        return;
    }
    if (record->body_case == TEASEL__LOG_RECORD__BODY_KEY_CLAIM) {
        release_abandoned_key(guard, record);
        return;
    }
    dispatch_waiting_calls(guard);
}

key_guard_t *
key_guard_new(const key_guard_opts_t *opts)
{
    static const stream_handler_t handler = {.apply = apply};
    key_guard_t *guard = g_new0(key_guard_t, 1);
    stream_opts_t stream_opts = {
        .loop = opts->loop,
        .clock = opts->clock,
        .log = opts->log,
        .name = "keys",
        .writer = opts->writer,
        .handler = &handler,
        .data = guard,
    };

    guard->opts = *opts;
    guard->idem = idem_new();
    list_init(&guard->calls);
    guard->abandoned = g_hash_table_new_full(g_bytes_hash, g_bytes_equal,
                                             (GDestroyNotify)g_bytes_unref,
                                             abandoned_claim_free);
    guard->stream = stream_new(&stream_opts);
    guard->results = key_results_new(opts->loop, guard->stream);
    return guard;
}

void
key_guard_free(key_guard_t *guard)
{
    if (guard == NULL) {
        return;
    }
    stream_free(guard->stream);
    LIST_FOREACH_SAFE (call, &guard->calls, key_call_t, link) {
        call_free(call);
    }
    key_results_free(guard->results);
    g_hash_table_unref(guard->abandoned);
    idem_free(guard->idem);
    g_free(guard);
}

size_t
key_guard_get_pending(const key_guard_t *guard)
{
    return guard->pending + key_results_get_pending(guard->results);
}
