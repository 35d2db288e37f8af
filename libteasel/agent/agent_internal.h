#ifndef TEASEL_AGENT_AGENT_INTERNAL_H
#define TEASEL_AGENT_AGENT_INTERNAL_H

#include "agent/agent.h"
#include "agent/coordinator_role.h"
#include "agent/entry_set.h"
#include "agent/request_table.h"
#include "agent/task_runner.h"
#include "base/freeze_guard.h"
#include "base/http_server.h"
#include "base/metrics.h"
#include "config/config_reader.h"
#include "stream/plog.h"
#include "stream/stream.h"
#include "worker/worker.h"
#include "wire/peer.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct agent - state of the agent, private to agent*.c
 * @executor: NULL if no executor is configured
 * @worker: NULL if no worker is configured; @tasks is then NULL too
 * @coordinator: link to the coordinator, NULL while none is known
 * @coordinator_epoch: epoch of the claim that named @coordinator
 * @linger_timer: delay after the Leave message, then the delay before exit
 * @load_sequence: number of the latest Load message
 * @drained: the configuration drains this agent
 * @leaving: a graceful shutdown is under way
 * @linger_done: leave_linger_ms have passed since the Leave message
 */
struct agent {
    loop_t *loop;
    const clock_source_t *clock;
    const agent_settings_t *settings;
    uint64_t incarnation;
    metrics_t metrics;
    metric_t entries_connected;
    metric_t peer_bytes;
    freeze_guard_t freeze_guard;
    ledger_t ledger;
    plog_t *log;
    config_reader_t *config;
    stream_t *entry_stream;
    executor_t *executor;
    request_table_t *requests;
    worker_t *worker;
    task_runner_t *tasks;
    entry_set_t *entries;
    agent_link_t *coordinator;
    uint64_t coordinator_epoch;
    coordinator_role_t *role;
    peer_listener_t *peer_listener;
    http_server_t *http_server;
    loop_timer_t report_timer;
    loop_timer_t linger_timer;
    loop_timer_t stop_timer;
    uint64_t load_sequence;
    bool drained;
    bool leaving;
    bool linger_done;
    bool role_stopping;
    bool role_stopped;
};

/* agent_entries.c: connections to the entries */
void agent_entries_start(agent_t *agent);
void agent_entries_send_report(agent_t *agent);
void agent_entries_send_leave(agent_t *agent, const char *reason);

/* agent_coordinator.c: coordinator role and connection to the coordinator */
bool agent_coordinator_start(agent_t *agent, GError **error);
void agent_coordinator_stop(agent_t *agent);

/* agent_config.c: settings that tickets and drains override at run time */
void agent_config_start(agent_t *agent);

/**
 * agent_config_apply_teams() - set the weights and limits of all teams in the
 * coordinator role
 *
 * Does nothing until both the role and the configuration reader exist.
 */
void agent_config_apply_teams(agent_t *agent);

/**
 * agent_config_get_pressure() - get the pressure thresholds and weights
 *
 * Return: the values of policy "default" if it is declared, else those of the
 * settings file.
 */
pressure_opts_t agent_config_get_pressure(const agent_t *agent);

/**
 * agent_config_check_snapshot() - write a snapshot of stream "config" if one
 * is due and this agent is the coordinator of the cell
 */
void agent_config_check_snapshot(agent_t *agent);

/* agent_http.c: GET /healthz and /metrics */
bool agent_http_start(agent_t *agent, GError **error);

/* agent_stop.c: graceful shutdown */
void agent_stop_init(agent_t *agent);

/**
 * agent_stop_check() - continue a graceful shutdown once all requests and
 * tasks have ended
 *
 * Stops the coordinator role first, then the event loop.
 */
void agent_stop_check(agent_t *agent);

/**
 * agent_check_freeze() - detect that the process was suspended
 *
 * If it was, checks the lease of the tasks and reconnects the links to the
 * entries and the coordinator.
 *
 * Return: true if the process was suspended. A caller that handles a message
 * of such a link must drop it, because its connection was closed.
 */
bool agent_check_freeze(agent_t *agent);

/**
 * agent_fill_load() - add the agent's state, sequence number and configuration
 * offset to a Load message
 * @data: the agent
 */
void agent_fill_load(Teasel__Load *load, void *data);

#ifdef __cplusplus
}
#endif

#endif
