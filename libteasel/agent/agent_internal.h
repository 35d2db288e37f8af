#ifndef TEASEL_AGENT_AGENT_INTERNAL_H
#define TEASEL_AGENT_AGENT_INTERNAL_H

#include "agent/agent.h"
#include "agent/coordinator_role.h"
#include "agent/entry_set.h"
#include "agent/freeze_guard.h"
#include "agent/request_table.h"
#include "agent/task_runner.h"
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
 * struct agent - shared by the files agent*.c
 * @executor: NULL without one
 * @worker: NULL without one, like @tasks
 * @coordinator: link to the coordinator, NULL while none is known
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
    bool lingered;
    bool role_stopping;
    bool role_stopped;
};

/* agent_entries.c: connections to the entries. */
void agent_entries_start(agent_t *agent);
void agent_entries_send_report(agent_t *agent);
void agent_entries_send_leave(agent_t *agent, const char *reason);

/* agent_coordinator.c: coordinator role and connection to the coordinator. */
bool agent_coordinator_start(agent_t *agent, GError **error);
void agent_coordinator_stop(agent_t *agent);

/* agent_config.c: settings that tickets and drains change. */
void agent_config_start(agent_t *agent);

/**
 * agent_config_apply_teams() - give the coordinator role the weights and
 * limits of all teams; does nothing before both exist
 */
void agent_config_apply_teams(agent_t *agent);
pressure_opts_t agent_config_get_pressure(const agent_t *agent);

/**
 * agent_config_check_snapshot() - while this agent coordinates the cell, write
 * a snapshot of stream "config" if one is due
 */
void agent_config_check_snapshot(agent_t *agent);

/* agent_http.c: GET /healthz and /metrics. */
bool agent_http_start(agent_t *agent, GError **error);

/* agent_stop.c: planned stop. */
void agent_stop_init(agent_t *agent);

/**
 * agent_stop_check() - end the program if all work has ended while leaving
 */
void agent_stop_check(agent_t *agent);

/**
 * agent_check_freeze() - find out whether the process was frozen
 *
 * Return: true if it was; its connections were then renewed, and the message
 * at hand must be dropped.
 */
bool agent_check_freeze(agent_t *agent);

/**
 * agent_fill_load() - what the request table does not know of the load
 */
void agent_fill_load(Teasel__Load *load, void *data);

#ifdef __cplusplus
}
#endif

#endif
