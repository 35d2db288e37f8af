#include "entry/forward_message.h"

enum {
    /* Two one-way delays between data centres (5 ms each), and the scheduling
       delays of both processes. */
    ANSWER_MARGIN_MS = 20,
    /* Larger header arrays are allocated on the heap. */
    MAX_STACK_HEADERS = 32,
};

static uint32_t
get_agent_deadline_ms(int64_t remaining_ms)
{
    int64_t margin = MIN(ANSWER_MARGIN_MS, remaining_ms / 10);

    return (uint32_t)MAX(remaining_ms - margin, 1);
}

static void
fill_headers(const forward_request_t *request, Teasel__Header *headers,
             Teasel__Header **pointers)
{
    for (size_t i = 0; i < request->header_count; i++) {
        teasel__header__init(&headers[i]);
        headers[i].name = (char *)request->headers[i].name;
        headers[i].value = (char *)request->headers[i].value;
        pointers[i] = &headers[i];
    }
}

static bool
send_with_headers(peer_t *peer, const forward_request_t *request, uint64_t id,
                  int64_t remaining_ms, Teasel__Header **pointers)
{
    Teasel__Envelope envelope = TEASEL__ENVELOPE__INIT;
    Teasel__Request message = TEASEL__REQUEST__INIT;

    message.request_id = id;
    message.service = (char *)request->service;
    message.method = (char *)request->method;
    message.target = (char *)request->target;
    message.n_headers = request->header_count;
    message.headers = pointers;
    message.body.data = (uint8_t *)request->body;
    message.body.len = request->body_length;
    message.deadline_ms = get_agent_deadline_ms(remaining_ms);
    message.idempotent = request->idempotent;
    envelope.body_case = TEASEL__ENVELOPE__BODY_REQUEST;
    envelope.request = &message;
    return peer_send(peer, &envelope);
}

bool
forward_message_send(peer_t *peer, const forward_request_t *request,
                     uint64_t id, int64_t remaining_ms)
{
    Teasel__Header stack_headers[MAX_STACK_HEADERS];
    Teasel__Header *stack_pointers[MAX_STACK_HEADERS];
    g_autofree Teasel__Header *headers = NULL;
    g_autofree Teasel__Header **pointers = NULL;

    if (request->header_count <= MAX_STACK_HEADERS) {
        fill_headers(request, stack_headers, stack_pointers);
        return send_with_headers(peer, request, id, remaining_ms,
                                 stack_pointers);
    }
    headers = g_new(Teasel__Header, request->header_count);
    pointers = g_new(Teasel__Header *, request->header_count);
    fill_headers(request, headers, pointers);
    return send_with_headers(peer, request, id, remaining_ms, pointers);
}

void
forward_message_send_cancel(peer_t *peer, uint64_t id)
{
    Teasel__Envelope envelope = TEASEL__ENVELOPE__INIT;
    Teasel__CancelRequest cancel = TEASEL__CANCEL_REQUEST__INIT;

    cancel.request_id = id;
    envelope.body_case = TEASEL__ENVELOPE__BODY_CANCEL_REQUEST;
    envelope.cancel_request = &cancel;
    peer_send(peer, &envelope);
}

uint64_t
forward_message_get_id(const Teasel__Envelope *message)
{
    switch (message->body_case) {
    case TEASEL__ENVELOPE__BODY_REPLY:
        return message->reply->request_id;
    case TEASEL__ENVELOPE__BODY_NOT_RUN:
        return message->not_run->request_id;
    case TEASEL__ENVELOPE__BODY_UNKNOWN:
        return message->unknown->request_id;
    default:
        return 0; /* never used as a request id */
    }
}

const Teasel__Load *
forward_message_get_load(const Teasel__Envelope *message)
{
    switch (message->body_case) {
    case TEASEL__ENVELOPE__BODY_REPLY:
        return message->reply->load;
    case TEASEL__ENVELOPE__BODY_NOT_RUN:
        return message->not_run->load;
    case TEASEL__ENVELOPE__BODY_UNKNOWN:
        return message->unknown->load;
    default:
        return NULL;
    }
}
