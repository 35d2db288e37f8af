#include "agent/request_table.h"

#include <string.h>

#include "agent/request_answer.h"
#include "base/list.h"
#include "request/admission.h"

/* A request from its arrival until its slot is free again */
typedef struct request {
    list_t link;
    admission_item_t item;
    request_table_t *table;
    agent_link_t *entry; /* NULL once answered, cancelled or disconnected */
    uint64_t generation;
    uint64_t id;
    uint8_t *packed; /* message of a queued request, else NULL */
    size_t packed_length;
    loop_timer_t deadline_timer;
} request_t;

typedef enum table_counter {
    COUNT_ANSWERED,
    COUNT_NOT_RUN,
    COUNT_UNKNOWN,
    COUNT_DROPPED,
    COUNTERS
} table_counter_t;

static const char *const counter_labels[COUNTERS] = {
    [COUNT_ANSWERED] = "outcome=\"answered\"",
    [COUNT_NOT_RUN] = "outcome=\"not_run\"",
    [COUNT_UNKNOWN] = "outcome=\"unknown\"",
    [COUNT_DROPPED] = "outcome=\"dropped\"",
};

struct request_table {
    request_table_opts_t opts;
    admission_t admission;
    list_t requests;
    loop_timer_t expiry_timer;
    metric_t counters[COUNTERS];
    metric_t service_time;
};

static void dispatch(request_table_t *table);

static void
update_expiry_timer(request_table_t *table)
{
    struct timespec now = clock_get_monotonic(table->opts.clock);
    struct timespec deadline;
    int64_t ms;

    if (!admission_get_next_deadline(&table->admission, &deadline)) {
        loop_timer_stop(&table->expiry_timer);
        return;
    }
    ms = timespec_diff_ms(deadline, now) + 1;
    loop_timer_start(&table->expiry_timer, ms > 0 ? (uint64_t)ms : 0);
}

static void
on_expiry(loop_timer_t *timer)
{
    dispatch(timer->data);
}

request_table_t *
request_table_new(const request_table_opts_t *opts)
{
    request_table_t *table = g_new0(request_table_t, 1);
    admission_opts_t admission_opts = {
        .clock = opts->clock,
        .limit = opts->limit,
        .max_queue = opts->max_queue,
    };

    table->opts = *opts;
    admission_init(&table->admission, &admission_opts);
    list_init(&table->requests);
    loop_timer_init(&table->expiry_timer, opts->loop, on_expiry, table);
    for (int i = 0; i < COUNTERS; i++) {
        metrics_add(opts->metrics, &table->counters[i], METRIC_COUNTER,
                    "teasel_agent_requests_total", counter_labels[i],
                    "requests by outcome");
    }
    metrics_add(opts->metrics, &table->service_time, METRIC_SUMMARY,
                "teasel_agent_service_time_us", NULL,
                "time from sending to the executor to its answer");
    return table;
}

static void
request_free(request_t *request)
{
    loop_timer_stop(&request->deadline_timer);
    list_remove(&request->link);
    g_free(request->packed);
    g_free(request);
}

void
request_table_free(request_table_t *table)
{
    if (table == NULL) {
        return;
    }
    loop_timer_stop(&table->expiry_timer);
    LIST_FOREACH_SAFE (request, &table->requests, request_t, link) {
        request_free(request);
    }
    for (int i = 0; i < COUNTERS; i++) {
        metrics_remove(&table->counters[i]);
    }
    metrics_remove(&table->service_time);
    g_free(table);
}

/* Sends the only answer of a request, unless its connection is lost or it was
   cancelled or answered before. */
static void
send_answer(request_t *request, const executor_result_t *result)
{
    static const table_counter_t counter_of[] = {
        [EXECUTOR_ANSWERED] = COUNT_ANSWERED,
        [EXECUTOR_NOT_RUN] = COUNT_NOT_RUN,
        [EXECUTOR_UNKNOWN] = COUNT_UNKNOWN,
    };
    request_table_t *table = request->table;
    Teasel__Load load = TEASEL__LOAD__INIT;

    if (request->entry == NULL ||
        agent_link_get_generation(request->entry) != request->generation) {
        table->counters[COUNT_DROPPED].value++;
        return;
    }
    table->counters[counter_of[result->outcome]].value++;
    request_table_get_load(table, &load);
    request_answer_send(request->entry, request->id, result, &load);
    request->entry = NULL;
}

static void
answer_error(request_t *request, executor_outcome_t outcome, error_kind_t kind,
             const char *detail)
{
    executor_result_t result = {
        .outcome = outcome,
        .kind = kind,
        .detail = detail,
    };

    send_answer(request, &result);
}

static void
notify_if_idle(request_table_t *table)
{
    if (table->admission.leaving && request_table_is_idle(table)) {
        table->opts.on_idle(table->opts.data);
    }
}

static void
on_result(const executor_result_t *result, void *data)
{
    request_t *request = data;
    request_table_t *table = request->table;
    bool answered = result->outcome == EXECUTOR_ANSWERED;

    admission_finish(&table->admission, answered ? result->service_us : 0);
    if (answered) {
        histogram_add(table->service_time.histogram, result->service_us);
    }
    send_answer(request, result);
    request_free(request);
    dispatch(table);
    notify_if_idle(table);
}

/* The slot stays reserved, because the executor still works on the request. */
static void
on_deadline(loop_timer_t *timer)
{
    answer_error(timer->data, EXECUTOR_UNKNOWN, ERROR_TIMEOUT,
                 "the executor did not answer before the deadline");
}

static void
start_request(request_t *request, const Teasel__Request *message)
{
    request_table_t *table = request->table;
    g_autofree http_header_t *headers =
        g_new(http_header_t, message->n_headers + 1);
    executor_request_t out = {
        .method = message->method,
        .target = message->target,
        .headers = headers,
        .header_count = message->n_headers,
        .body = message->body.data,
        .body_length = message->body.len,
        .idempotent = message->idempotent,
    };
    struct timespec now = clock_get_monotonic(table->opts.clock);
    int64_t ms = timespec_diff_ms(request->item.deadline, now);
    ledger_kind_t missing = LEDGER_SLOTS;

    for (size_t i = 0; i < message->n_headers; i++) {
        headers[i].name = message->headers[i]->name;
        headers[i].value = message->headers[i]->value;
    }
    if (!executor_send(table->opts.executor, &out, on_result, request,
                       &missing)) {
        admission_finish(&table->admission, 0);
        answer_error(request, EXECUTOR_NOT_RUN, ERROR_OVERLOADED,
                     ledger_kind_to_string(missing));
        request_free(request);
        return;
    }
    loop_timer_start(&request->deadline_timer, ms > 0 ? (uint64_t)ms : 0);
}

static void
start_queued(request_t *request)
{
    Teasel__Request *message =
        teasel__request__unpack(NULL, request->packed_length, request->packed);

    g_clear_pointer(&request->packed, g_free);
    start_request(request, message);
    teasel__request__free_unpacked(message, NULL);
}

static void
dispatch(request_table_t *table)
{
    admission_item_t *item;
    bool expired;

    while ((item = admission_next(&table->admission, &expired)) != NULL) {
        request_t *request = LIST_ENTRY(item, request_t, item);

        if (expired) {
            answer_error(request, EXECUTOR_NOT_RUN, ERROR_EXPIRED,
                         "the deadline passed while the request waited");
            request_free(request);
        }
        else {
            start_queued(request);
        }
    }
    update_expiry_timer(table);
}

static request_t *
request_new(request_table_t *table, agent_link_t *link,
            const Teasel__Request *message)
{
    request_t *request = g_new0(request_t, 1);

    request->table = table;
    request->entry = link;
    request->generation = agent_link_get_generation(link);
    request->id = message->request_id;
    request->item.deadline = timespec_add_ms(
        clock_get_monotonic(table->opts.clock), message->deadline_ms);
    loop_timer_init(&request->deadline_timer, table->opts.loop, on_deadline,
                    request);
    list_append(&table->requests, &request->link);
    return request;
}

static void
refuse(request_t *request, error_kind_t kind, const char *detail)
{
    answer_error(request, EXECUTOR_NOT_RUN, kind, detail);
    request_free(request);
}

void
request_table_on_request(request_table_t *table, agent_link_t *link,
                         const Teasel__Request *message)
{
    request_t *request = request_new(table, link, message);
    error_kind_t kind = ERROR_INTERNAL;

    if (table->opts.executor == NULL ||
        !g_strv_contains((const char *const *)table->opts.services,
                         message->service)) {
        refuse(request, ERROR_NO_EXECUTOR,
               "this agent has no executor of the service");
        return;
    }
    switch (admission_offer(&table->admission, &request->item, &kind)) {
    case ADMISSION_START:
        start_request(request, message);
        break;
    case ADMISSION_QUEUED:
        request->packed_length = teasel__request__get_packed_size(message);
        request->packed = g_malloc(request->packed_length);
        teasel__request__pack(message, request->packed);
        update_expiry_timer(table);
        break;
    case ADMISSION_REFUSED:
        refuse(request, kind, error_get_info(kind)->title);
        break;
    }
}

static void
cancel(request_t *request)
{
    if (request->packed == NULL) {
        request->entry = NULL;
        return;
    }
    admission_cancel(&request->table->admission, &request->item);
    refuse(request, ERROR_EXPIRED, "cancelled while the request waited");
}

void
request_table_on_cancel(request_table_t *table, agent_link_t *link,
                        uint64_t request_id)
{
    LIST_FOREACH_SAFE (request, &table->requests, request_t, link) {
        if (request->entry == link && request->id == request_id &&
            request->generation == agent_link_get_generation(link)) {
            cancel(request);
            update_expiry_timer(table);
            notify_if_idle(table);
            return;
        }
    }
}

void
request_table_on_disconnect(request_table_t *table, agent_link_t *link)
{
    LIST_FOREACH_SAFE (request, &table->requests, request_t, link) {
        if (request->entry == link) {
            request->entry = NULL;
            cancel(request);
        }
    }
    update_expiry_timer(table);
    notify_if_idle(table);
}

void
request_table_set_leaving(request_table_t *table, bool leaving)
{
    admission_set_leaving(&table->admission, leaving);
    notify_if_idle(table);
}

bool
request_table_is_idle(const request_table_t *table)
{
    return list_is_empty(&table->requests);
}

void
request_table_set_limits(request_table_t *table, size_t limit,
                         size_t max_queue)
{
    table->admission.opts.limit = limit;
    table->admission.opts.max_queue = max_queue;
    dispatch(table);
}

void
request_table_get_load(request_table_t *table, Teasel__Load *load)
{
    load->running = (uint32_t)table->admission.running;
    load->queued = (uint32_t)table->admission.queued;
    load->slots = (uint32_t)table->admission.opts.limit;
    load->service_time_us = (uint32_t)table->admission.service_us;
    load->leaving = table->admission.leaving;
    table->opts.fill_load(load, table->opts.data);
}

uint32_t
request_table_get_percent(const request_table_t *table)
{
    const admission_t *admission = &table->admission;

    return (uint32_t)((admission->running + admission->queued) * 100 /
                      admission->opts.limit);
}
