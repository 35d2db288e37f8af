#include "agent/agent_internal.h"

static void
on_healthz(http_exchange_t *exchange, void *data)
{
    const agent_t *agent = data;

    if (agent->leaving) {
        http_exchange_reply_text(exchange, 503, "text/plain", "leaving\n");
        return;
    }
    http_exchange_reply_text(exchange, 200, "text/plain", "ok\n");
}

static void
on_metrics(http_exchange_t *exchange, void *data)
{
    agent_t *agent = data;
    g_autoptr(GString) text = g_string_new(NULL);

    agent->entries_connected.value =
        (int64_t)entry_set_get_connected(agent->entries);
    agent->peer_bytes.value = (int64_t)entry_set_get_bytes(agent->entries);
    if (agent->coordinator != NULL) {
        agent->peer_bytes.value +=
            (int64_t)agent_link_get_bytes(agent->coordinator);
    }
    metrics_render(&agent->metrics, text);
    http_exchange_reply_text(exchange, 200, "text/plain; version=0.0.4",
                             text->str);
}

bool
agent_http_start(agent_t *agent, GError **error)
{
    static const http_route_t routes[] = {
        {"/healthz", on_healthz},
        {"/metrics", on_metrics},
        {NULL, NULL},
    };
    http_server_opts_t opts = {
        .loop = agent->loop,
        .listen = agent->settings->http_listen,
        .max_body = 1024,
        .routes = routes,
        .data = agent,
    };

    metrics_add(&agent->metrics, &agent->entries_connected, METRIC_GAUGE,
                "teasel_agent_entries_connected", NULL,
                "entries that this agent is connected to");
    metrics_add(&agent->metrics, &agent->peer_bytes, METRIC_COUNTER,
                "teasel_agent_peer_bytes_total", NULL,
                "bytes exchanged with entries and the coordinator");
    agent->http_server = http_server_new(&opts, error);
    return agent->http_server != NULL;
}
