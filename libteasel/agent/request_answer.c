#include "agent/request_answer.h"

static bool
send_unknown(agent_link_t *link, uint64_t request_id, error_kind_t kind,
             const char *detail, Teasel__Load *load)
{
    Teasel__Envelope envelope = TEASEL__ENVELOPE__INIT;
    Teasel__Unknown unknown = TEASEL__UNKNOWN__INIT;

    unknown.request_id = request_id;
    unknown.kind = kind;
    unknown.detail = (char *)detail;
    unknown.load = load;
    envelope.body_case = TEASEL__ENVELOPE__BODY_UNKNOWN;
    envelope.unknown = &unknown;
    return agent_link_send(link, &envelope);
}

static bool
send_reply(agent_link_t *link, uint64_t request_id,
           const executor_result_t *result, Teasel__Load *load)
{
    Teasel__Envelope envelope = TEASEL__ENVELOPE__INIT;
    Teasel__Reply reply = TEASEL__REPLY__INIT;
    Teasel__Header *headers = g_new(Teasel__Header, result->header_count + 1);
    Teasel__Header **pointers =
        g_new(Teasel__Header *, result->header_count + 1);
    bool sent;

    for (size_t i = 0; i < result->header_count; i++) {
        teasel__header__init(&headers[i]);
        headers[i].name = (char *)result->headers[i].name;
        headers[i].value = (char *)result->headers[i].value;
        pointers[i] = &headers[i];
    }
    reply.request_id = request_id;
    reply.status = (uint32_t)result->status;
    reply.n_headers = result->header_count;
    reply.headers = pointers;
    reply.body.data = (uint8_t *)result->body;
    reply.body.len = result->body_length;
    reply.load = load;
    envelope.body_case = TEASEL__ENVELOPE__BODY_REPLY;
    envelope.reply = &reply;
    sent = agent_link_send(link, &envelope);
    g_free(headers);
    g_free(pointers);
    return sent;
}

void
request_answer_send_not_run(agent_link_t *link, uint64_t request_id,
                            error_kind_t kind, const char *detail,
                            Teasel__Load *load)
{
    Teasel__Envelope envelope = TEASEL__ENVELOPE__INIT;
    Teasel__NotRun not_run = TEASEL__NOT_RUN__INIT;

    not_run.request_id = request_id;
    not_run.kind = kind;
    not_run.detail = (char *)detail;
    not_run.load = load;
    envelope.body_case = TEASEL__ENVELOPE__BODY_NOT_RUN;
    envelope.not_run = &not_run;
    agent_link_send(link, &envelope);
}

void
request_answer_send(agent_link_t *link, uint64_t request_id,
                    const executor_result_t *result, Teasel__Load *load)
{
    switch (result->outcome) {
    case EXECUTOR_ANSWERED:
        if (!send_reply(link, request_id, result, load)) {
            send_unknown(link, request_id, ERROR_TOO_LARGE,
                         "the answer does not fit into a message", load);
        }
        break;
    case EXECUTOR_NOT_RUN:
        request_answer_send_not_run(link, request_id, result->kind,
                                    result->detail, load);
        break;
    case EXECUTOR_UNKNOWN:
        send_unknown(link, request_id, result->kind, result->detail, load);
        break;
    }
}
