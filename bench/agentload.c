/* Simulates many agents in one process, to measure the cost of one agent for
   an entry or the coordinator. Each agent connects and sends load reports or
   heartbeats at a fixed interval. */

#include <stdio.h>
#include <stdlib.h>

#include "base/clock.h"
#include "wire/peer.h"

enum {
    MAX_QUEUED_BYTES = 1 << 20,
    SILENCE_MS = 10000,
    PING_MS = 5000,
    /* Connections are opened in steps, 50 every 20 ms. */
    CONNECTS_PER_STEP = 50,
    CONNECT_STEP_MS = 20,
};

typedef struct agent {
    peer_t *peer;
    char *id;
    uint64_t sequence;
    loop_timer_t timer;
} agent_t;

static char *option_to;
static char *option_mode = "report";
static int64_t option_count = 500;
static int64_t option_seconds = 10;
static int64_t option_interval_ms = 500;

static loop_t *loop;
static agent_t *agents;
static int64_t connected;
static uint64_t sent;
static uint64_t received;
static uint64_t closed;
static uint64_t bytes_sent;
static uint64_t bytes_received;
static loop_timer_t connect_timer;
static loop_timer_t end_timer;

static void
fill_load(const agent_t *agent, Teasel__Load *load)
{
    teasel__load__init(load);
    load->slots = 8;
    load->service_time_us = 20000;
    load->config_next = 1;
    load->sequence = agent->sequence;
}

static void
send_report(agent_t *agent)
{
    Teasel__Envelope envelope = TEASEL__ENVELOPE__INIT;
    Teasel__Report report = TEASEL__REPORT__INIT;
    Teasel__Load load;

    fill_load(agent, &load);
    report.load = &load;
    envelope.body_case = TEASEL__ENVELOPE__BODY_REPORT;
    envelope.report = &report;
    peer_send(agent->peer, &envelope);
}

static void
send_heartbeat(agent_t *agent)
{
    Teasel__Envelope envelope = TEASEL__ENVELOPE__INIT;
    Teasel__Heartbeat heartbeat = TEASEL__HEARTBEAT__INIT;
    Teasel__Resources capacity = TEASEL__RESOURCES__INIT;

    capacity.cpu_milli = 32000;
    capacity.memory_mb = 125000;
    heartbeat.agent_id = agent->id;
    heartbeat.incarnation = 1;
    heartbeat.sequence = agent->sequence;
    heartbeat.capacity = &capacity;
    heartbeat.config_next = 1;
    heartbeat.data_centre = "bench";
    heartbeat.rack = "bench-rack";
    envelope.body_case = TEASEL__ENVELOPE__BODY_HEARTBEAT;
    envelope.heartbeat = &heartbeat;
    peer_send(agent->peer, &envelope);
}

static void
on_send_timer(loop_timer_t *timer)
{
    agent_t *agent = timer->data;

    if (agent->peer == NULL) {
        return;
    }
    agent->sequence++;
    sent++;
    if (option_mode[0] == 'h') {
        send_heartbeat(agent);
    }
    else {
        send_report(agent);
    }
    loop_timer_start(timer, (uint64_t)option_interval_ms);
}

static void
on_open(peer_t *peer, void *data)
{
    agent_t *agent = data;
    Teasel__Envelope envelope = TEASEL__ENVELOPE__INIT;
    Teasel__Hello hello = TEASEL__HELLO__INIT;
    Teasel__Load load;
    char *services[] = {"bench"};

    connected++;
    if (option_mode[0] != 'h') {
        fill_load(agent, &load);
        hello.agent_id = agent->id;
        hello.incarnation = 1;
        hello.data_centre = "bench";
        hello.rack = "bench-rack";
        hello.n_services = 1;
        hello.services = services;
        hello.load = &load;
        envelope.body_case = TEASEL__ENVELOPE__BODY_HELLO;
        envelope.hello = &hello;
        peer_send(peer, &envelope);
    }
    /* Spreads the messages of the agents over the interval. */
    loop_timer_start(&agent->timer,
                     (uint64_t)(rand() % (int)option_interval_ms));
}

static void
on_message(peer_t *peer, const Teasel__Envelope *message, void *data)
{
    received++;
}

static void
on_close(peer_t *peer, const char *reason, void *data)
{
    agent_t *agent = data;

    closed++;
    agent->peer = NULL;
    loop_timer_stop(&agent->timer);
}

static void
on_connect_timer(loop_timer_t *timer)
{
    static const peer_handler_t handler = {on_open, on_message, on_close};
    static int64_t next;
    peer_opts_t opts = {
        .loop = loop,
        .clock = clock_system(),
        .handler = &handler,
        .max_queued_bytes = MAX_QUEUED_BYTES,
        .silence_ms = SILENCE_MS,
        .ping_ms = PING_MS,
    };

    for (int i = 0; i < CONNECTS_PER_STEP && next < option_count; i++) {
        agent_t *agent = &agents[next];

        agent->id = g_strdup_printf("bench-%05u", (unsigned)next++);
        loop_timer_init(&agent->timer, loop, on_send_timer, agent);
        opts.data = agent;
        agent->peer = peer_connect(&opts, option_to, NULL);
    }
    if (next < option_count) {
        loop_timer_start(timer, CONNECT_STEP_MS);
    }
}

static void
on_end(loop_timer_t *timer)
{
    for (int64_t i = 0; i < option_count; i++) {
        if (agents[i].peer != NULL) {
            bytes_sent += peer_get_bytes_sent(agents[i].peer);
            bytes_received += peer_get_bytes_received(agents[i].peer);
        }
    }
    printf("{ \"connected\": %ld, \"closed\": %lu, \"sent\": %lu, "
           "\"received\": %lu, \"bytes_sent\": %lu, \"bytes_received\": "
           "%lu }\n",
           (long)connected, (unsigned long)closed, (unsigned long)sent,
           (unsigned long)received, (unsigned long)bytes_sent,
           (unsigned long)bytes_received);
    loop_stop(loop);
}

int
main(int argc, char **argv)
{
    const GOptionEntry entries[] = {
        {"to", 0, 0, G_OPTION_ARG_STRING, &option_to,
         "Peer address of the entry or coordinator", "IP:PORT"},
        {"mode", 0, 0, G_OPTION_ARG_STRING, &option_mode,
         "Messages to send: report or heartbeat", "MODE"},
        {"count", 0, 0, G_OPTION_ARG_INT64, &option_count, "Number of agents",
         "N"},
        {"seconds", 0, 0, G_OPTION_ARG_INT64, &option_seconds, "Duration",
         "S"},
        {"interval-ms", 0, 0, G_OPTION_ARG_INT64, &option_interval_ms,
         "Interval of the messages of an agent", "MS"},
        {NULL}};
    g_autoptr(GOptionContext) context = g_option_context_new(NULL);
    g_autoptr(GError) error = NULL;

    g_option_context_add_main_entries(context, entries, NULL);
    if (!g_option_context_parse(context, &argc, &argv, &error) ||
        option_to == NULL) {
        fprintf(stderr, "agentload: %s\n",
                error ? error->message : "option --to IP:PORT is required");
        return 2;
    }
    loop = loop_new();
    agents = g_new0(agent_t, option_count);
    loop_timer_init(&connect_timer, loop, on_connect_timer, NULL);
    loop_timer_start(&connect_timer, 0);
    loop_timer_init(&end_timer, loop, on_end, NULL);
    loop_timer_start(&end_timer, (uint64_t)option_seconds * 1000);
    loop_run(loop);
    return 0;
}
