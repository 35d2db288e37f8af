#include "agent/agent_internal.h"
#include "base/events.h"

enum {
    /* Addresses learned from the log or from other entries are removed after
       this time without a connection. */
    ENTRY_RETENTION_MS = 60000,
};

static void
send_hello(agent_t *agent, agent_link_t *link)
{
    const agent_settings_t *settings = agent->settings;
    const ledger_amount_t *capacity = &agent->ledger.capacity;
    Teasel__Envelope envelope = TEASEL__ENVELOPE__INIT;
    Teasel__Hello hello = TEASEL__HELLO__INIT;
    Teasel__Load load = TEASEL__LOAD__INIT;
    Teasel__Resources resources = TEASEL__RESOURCES__INIT;

    request_table_get_load(agent->requests, &load);
    resources.cpu_milli = (uint32_t)capacity->units[LEDGER_CPU_MILLI];
    resources.memory_mb = capacity->units[LEDGER_MEMORY_MB];
    resources.accelerators = (uint32_t)capacity->units[LEDGER_ACCELERATORS];
    hello.agent_id = settings->agent_id;
    hello.incarnation = agent->incarnation;
    hello.data_centre = settings->data_centre;
    hello.rack = settings->rack;
    hello.services = settings->services;
    hello.n_services = g_strv_length(settings->services);
    hello.capacity = &resources;
    hello.load = &load;
    hello.peer_address = settings->peer_listen;
    envelope.body_case = TEASEL__ENVELOPE__BODY_HELLO;
    envelope.hello = &hello;
    agent_link_send(link, &envelope);
}

static void
on_open(agent_link_t *link, void *data)
{
    event_log(EVENT_ENTRY_CONNECTED, "address=%s",
              agent_link_get_address(link));
    send_hello(data, link);
}

static void
on_ack(agent_t *agent, const Teasel__HelloAck *ack)
{
    for (size_t i = 0; i < ack->n_entries; i++) {
        entry_set_add(agent->entries, ack->entries[i]);
    }
}

static void
on_announce(agent_t *agent, const Teasel__EntryAnnounce *announce)
{
    if (!announce->leaving) {
        entry_set_add(agent->entries, announce->peer_address);
    }
}

static void
on_message(agent_link_t *link, const Teasel__Envelope *message, void *data)
{
    agent_t *agent = data;

    if (agent_check_freeze(agent)) {
        return;
    }
    switch (message->body_case) {
    case TEASEL__ENVELOPE__BODY_REQUEST:
        request_table_on_request(agent->requests, link, message->request);
        break;
    case TEASEL__ENVELOPE__BODY_CANCEL_REQUEST:
        request_table_on_cancel(agent->requests, link,
                                message->cancel_request->request_id);
        break;
    case TEASEL__ENVELOPE__BODY_HELLO_ACK:
        on_ack(agent, message->hello_ack);
        break;
    case TEASEL__ENVELOPE__BODY_ENTRY_ANNOUNCE:
        on_announce(agent, message->entry_announce);
        break;
    default:
        break;
    }
}

static void
on_disconnect(agent_link_t *link, const char *reason, void *data)
{
    agent_t *agent = data;

    event_log(EVENT_ENTRY_LOST, "address=%s reason=\"%s\"",
              agent_link_get_address(link), reason);
    request_table_on_disconnect(agent->requests, link);
}

static void
on_record(const Teasel__LogRecord *record, uint64_t offset, void *data)
{
    if (record->body_case == TEASEL__LOG_RECORD__BODY_ENTRY_ANNOUNCE) {
        on_announce(data, record->entry_announce);
    }
}

static void
on_caught_up(void *data)
{
}

static void
on_report_timer(loop_timer_t *timer)
{
    agent_t *agent = timer->data;

    loop_timer_start(timer, (uint64_t)agent->settings->report_ms);
    agent_check_freeze(agent);
    entry_set_prune(agent->entries);
    agent_entries_send_report(agent);
    agent_config_check_snapshot(agent);
}

void
agent_entries_send_report(agent_t *agent)
{
    Teasel__Envelope envelope = TEASEL__ENVELOPE__INIT;
    Teasel__Report report = TEASEL__REPORT__INIT;
    Teasel__Load load = TEASEL__LOAD__INIT;

    request_table_get_load(agent->requests, &load);
    report.load = &load;
    envelope.body_case = TEASEL__ENVELOPE__BODY_REPORT;
    envelope.report = &report;
    entry_set_send(agent->entries, &envelope);
}

void
agent_entries_send_leave(agent_t *agent, const char *reason)
{
    Teasel__Envelope envelope = TEASEL__ENVELOPE__INIT;
    Teasel__Leave leave = TEASEL__LEAVE__INIT;

    leave.reason = (char *)reason;
    envelope.body_case = TEASEL__ENVELOPE__BODY_LEAVE;
    envelope.leave = &leave;
    entry_set_send(agent->entries, &envelope);
}

void
agent_entries_start(agent_t *agent)
{
    static const agent_link_handler_t link_handler = {
        .on_open = on_open,
        .on_message = on_message,
        .on_disconnect = on_disconnect,
    };
    static const stream_handler_t stream_handler = {
        .apply = on_record,
        .caught_up = on_caught_up,
    };
    const agent_settings_t *settings = agent->settings;
    entry_set_opts_t opts = {
        .link =
            {
                .loop = agent->loop,
                .clock = agent->clock,
                .silence_ms = (uint64_t)settings->silence_ms,
                .ping_ms = (uint64_t)settings->ping_ms,
                .backoff_ms = (uint64_t)settings->backoff_ms,
                .max_backoff_ms = (uint64_t)settings->max_backoff_ms,
                .handler = &link_handler,
                .data = agent,
            },
        .seeds = settings->entries,
        .retention_ms = ENTRY_RETENTION_MS,
    };
    stream_opts_t stream_opts = {
        .loop = agent->loop,
        .clock = agent->clock,
        .log = agent->log,
        .name = "entries",
        .writer = settings->agent_id,
        .handler = &stream_handler,
        .data = agent,
    };

    agent->entries = entry_set_new(&opts);
    agent->entry_stream = stream_new(&stream_opts);
    loop_timer_init(&agent->report_timer, agent->loop, on_report_timer, agent);
    loop_timer_start(&agent->report_timer, (uint64_t)settings->report_ms);
}
