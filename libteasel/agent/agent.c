#include "agent/agent.h"

#include "agent/agent_internal.h"
#include "base/events.h"
#include "stream/plog_http.h"
#include "worker/worker_http.h"

static bool
send_to_coordinator(const Teasel__Envelope *message, void *data)
{
    agent_t *agent = data;

    return agent->coordinator != NULL &&
           agent_link_send(agent->coordinator, message);
}

static void
fill_heartbeat(Teasel__Heartbeat *heartbeat, void *data)
{
    agent_t *agent = data;

    heartbeat->data_centre = agent->settings->data_centre;
    heartbeat->rack = agent->settings->rack;
    heartbeat->config_next = config_reader_get_next_offset(agent->config);
}

static uint32_t
get_load_percent(void *data)
{
    agent_t *agent = data;

    return request_table_get_percent(agent->requests);
}

static void
on_contact(uint64_t epoch, void *data)
{
    agent_t *agent = data;

    coordinator_role_note_contact(agent->role, epoch);
}

static void
on_idle(void *data)
{
    agent_stop_check(data);
}

void
agent_fill_load(Teasel__Load *load, void *data)
{
    agent_t *agent = data;

    load->leaving = load->leaving || agent->leaving;
    load->sequence = ++agent->load_sequence;
    if (agent->config != NULL) {
        load->config_next = config_reader_get_next_offset(agent->config);
    }
}

bool
agent_check_freeze(agent_t *agent)
{
    uint64_t gap_ms = freeze_guard_check(&agent->freeze_guard);

    if (gap_ms == 0) {
        return false;
    }
    event_log(EVENT_AGENT_FROZEN, "gap_ms=%" G_GUINT64_FORMAT, gap_ms);
    if (agent->tasks != NULL) {
        task_runner_check_lease(agent->tasks);
    }
    entry_set_reset(agent->entries, "the process was suspended");
    if (agent->coordinator != NULL) {
        agent_link_reset(agent->coordinator, "the process was suspended");
    }
    return true;
}

static bool
start_requests(agent_t *agent, GError **error)
{
    const agent_settings_t *settings = agent->settings;
    executor_opts_t executor_opts = {
        .loop = agent->loop,
        .clock = agent->clock,
        .address = settings->executor_address,
        .ledger = &agent->ledger,
        .timeout_ms = (uint64_t)settings->executor_timeout_ms,
        .max_response = (size_t)settings->max_answer_bytes,
    };
    request_table_opts_t opts = {
        .loop = agent->loop,
        .clock = agent->clock,
        .metrics = &agent->metrics,
        .services = settings->services,
        .limit = (size_t)settings->slots,
        .max_queue = (size_t)settings->queue,
        .fill_load = agent_fill_load,
        .on_idle = on_idle,
        .data = agent,
    };

    if (settings->executor_address != NULL) {
        agent->executor = executor_new(&executor_opts, error);
        if (agent->executor == NULL) {
            return false;
        }
    }
    opts.executor = agent->executor;
    agent->requests = request_table_new(&opts);
    return true;
}

static bool
start_tasks(agent_t *agent, GError **error)
{
    static const task_runner_handler_t handler = {
        .send = send_to_coordinator,
        .fill_heartbeat = fill_heartbeat,
        .get_load_percent = get_load_percent,
        .on_contact = on_contact,
        .on_idle = on_idle,
    };
    const agent_settings_t *settings = agent->settings;
    worker_http_opts_t worker_opts = {
        .loop = agent->loop,
        .address = settings->worker_address,
        .timeout_ms = (uint64_t)settings->worker_timeout_ms,
    };
    task_runner_opts_t opts = {
        .loop = agent->loop,
        .clock = agent->clock,
        .metrics = &agent->metrics,
        .ledger = &agent->ledger,
        .agent_id = settings->agent_id,
        .incarnation = agent->incarnation,
        .heartbeat_ms = (uint64_t)settings->heartbeat_ms,
        .worker_silence_ms = (uint64_t)settings->worker_silence_ms,
        .pressure = agent_config_get_pressure(agent),
        .handler = &handler,
        .data = agent,
    };

    if (settings->worker_address == NULL) {
        return true;
    }
    opts.reserved.units[LEDGER_CPU_MILLI] =
        (uint64_t)settings->reserved_cpu_milli;
    opts.reserved.units[LEDGER_MEMORY_MB] =
        (uint64_t)settings->reserved_memory_mb;
    agent->worker = worker_http_new(&worker_opts, error);
    if (agent->worker == NULL) {
        return false;
    }
    opts.worker = agent->worker;
    agent->tasks = task_runner_new(&opts);
    return true;
}

static bool
start_log(agent_t *agent, GError **error)
{
    plog_http_opts_t opts = {
        .loop = agent->loop,
        .address = agent->settings->log_address,
        .append_timeout_ms = (uint64_t)agent->settings->append_timeout_ms,
    };

    agent->log = plog_http_new(&opts, error);
    return agent->log != NULL;
}

static bool
start(agent_t *agent, GError **error)
{
    if (!start_log(agent, error) || !start_requests(agent, error) ||
        !start_tasks(agent, error) || !agent_http_start(agent, error)) {
        return false;
    }
    agent_entries_start(agent);
    agent_config_start(agent);
    return agent_coordinator_start(agent, error);
}

agent_t *
agent_new(loop_t *loop, const agent_settings_t *settings, GError **error)
{
    agent_t *agent = g_new0(agent_t, 1);
    ledger_amount_t capacity = {
        .units =
            {
                [LEDGER_SLOTS] = (uint64_t)settings->slots,
                [LEDGER_CONNECTIONS] = (uint64_t)settings->connections,
            },
    };

    agent->loop = loop;
    agent->clock = clock_system();
    agent->settings = settings;
    agent->incarnation = (uint64_t)g_get_real_time();
    metrics_init(&agent->metrics);
    ledger_init(&agent->ledger, &capacity);
    freeze_guard_init(&agent->freeze_guard, agent->clock,
                      (uint64_t)settings->silence_ms);
    agent_stop_init(agent);
    if (!start(agent, error)) {
        agent_free(agent);
        return NULL;
    }
    event_log(EVENT_AGENT_STARTED, "id=%s peer=%s http=%s", settings->agent_id,
              settings->peer_listen, settings->http_listen);
    return agent;
}

void
agent_free(agent_t *agent)
{
    if (agent == NULL) {
        return;
    }
    loop_timer_stop(&agent->report_timer);
    loop_timer_stop(&agent->linger_timer);
    loop_timer_stop(&agent->stop_timer);
    http_server_free(agent->http_server);
    peer_listener_free(agent->peer_listener);
    if (agent->role != NULL) {
        coordinator_role_free(agent->role);
    }
    agent_link_free(agent->coordinator);
    entry_set_free(agent->entries);
    if (agent->entry_stream != NULL) {
        stream_free(agent->entry_stream);
    }
    if (agent->config != NULL) {
        config_reader_free(agent->config);
    }
    executor_free(agent->executor);
    request_table_free(agent->requests);
    if (agent->worker != NULL) {
        agent->worker->vtbl->free(agent->worker);
    }
    task_runner_free(agent->tasks);
    if (agent->log != NULL) {
        agent->log->vtbl->free(agent->log);
    }
    g_free(agent);
}
