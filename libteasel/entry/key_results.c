#include "entry/key_results.h"

#include "base/events.h"
#include "base/list.h"
#include "wire/message.h"

enum {
    APPEND_TIMEOUT_MS = 5000,
    RETRY_MS = 500,
};

typedef struct pending_result {
    list_t link;
    key_results_t *owner;
    Teasel__LogRecord *record;
    loop_timer_t timer;
    bool delayed;
} pending_result_t;

struct key_results {
    loop_t *loop;
    stream_t *stream;
    list_t pending;
    size_t count;
};

key_results_t *
key_results_new(loop_t *loop, stream_t *stream)
{
    key_results_t *results = g_new0(key_results_t, 1);

    results->loop = loop;
    results->stream = stream;
    list_init(&results->pending);
    return results;
}

static void
pending_free(pending_result_t *pending)
{
    loop_timer_stop(&pending->timer);
    list_remove(&pending->link);
    teasel__log_record__free_unpacked(pending->record, NULL);
    g_free(pending);
}

void
key_results_free(key_results_t *results)
{
    if (results == NULL) {
        return;
    }
    LIST_FOREACH_SAFE (pending, &results->pending, pending_result_t, link) {
        pending_free(pending);
    }
    g_free(results);
}

static void
on_appended(stream_outcome_t outcome, uint64_t offset, const char *detail,
            void *data)
{
    pending_result_t *pending = data;

    if (outcome == STREAM_APPLIED) {
        pending->owner->count--;
        pending_free(pending);
        return;
    }
    if (!pending->delayed) {
        pending->delayed = true;
        event_log(EVENT_KEY_RESULT_DELAYED, "service=%s detail=\"%s\"",
                  pending->record->key_result->service, detail ? detail : "");
    }
    loop_timer_start(&pending->timer, RETRY_MS);
}

/* Each append uses a new record with the stored body, because the stream fills
   in the id and the writer. */
static void
append(pending_result_t *pending)
{
    Teasel__LogRecord record = TEASEL__LOG_RECORD__INIT;

    record.body_case = TEASEL__LOG_RECORD__BODY_KEY_RESULT;
    record.key_result = pending->record->key_result;
    stream_append(pending->owner->stream, &record, APPEND_TIMEOUT_MS,
                  on_appended, pending);
}

static void
on_retry(loop_timer_t *timer)
{
    append(timer->data);
}

static void
fill_result(Teasel__KeyResult *out, const forward_result_t *result)
{
    out->not_run = result == NULL || result->outcome == ATTEMPT_NOT_RUN;
    if (out->not_run || result->outcome != ATTEMPT_ANSWERED ||
        result->body_length > KEY_RESULT_MAX_BODY) {
        return;
    }
    out->status = (uint32_t)result->status;
    out->n_headers = result->header_count;
    out->headers = result->headers;
    out->body.data = (uint8_t *)result->body;
    out->body.len = result->body_length;
}

void
key_results_write(key_results_t *results, const char *service, const char *key,
                  const uint8_t claim_id[KEY_CLAIM_ID_SIZE],
                  const forward_result_t *result)
{
    pending_result_t *pending = g_new0(pending_result_t, 1);
    Teasel__LogRecord record = TEASEL__LOG_RECORD__INIT;
    Teasel__KeyResult body = TEASEL__KEY_RESULT__INIT;

    body.service = (char *)service;
    body.key = (char *)key;
    body.claim_id.data = (uint8_t *)claim_id;
    body.claim_id.len = KEY_CLAIM_ID_SIZE;
    fill_result(&body, result);
    record.body_case = TEASEL__LOG_RECORD__BODY_KEY_RESULT;
    record.key_result = &body;
    pending->owner = results;
    pending->record = message_copy(&record.base);
    loop_timer_init(&pending->timer, results->loop, on_retry, pending);
    list_append(&results->pending, &pending->link);
    results->count++;
    append(pending);
}

size_t
key_results_get_pending(const key_results_t *results)
{
    return results->count;
}
