#ifndef TEASEL_ENTRY_ENTRY_INTERNAL_H
#define TEASEL_ENTRY_ENTRY_INTERNAL_H

#include "caller/job_handler.h"
#include "entry/announcer.h"
#include "entry/entry.h"
#include "entry/entry_service.h"
#include "entry/peer_server.h"
#include "operator/admin_handler.h"

typedef enum entry_stage {
    ENTRY_SERVING,
    ENTRY_LEAVING,  /* health check fails; the balancer may still connect */
    ENTRY_DRAINING, /* the listener is closed */
} entry_stage_t;

struct entry {
    loop_t *loop;
    const clock_source_t *clock;
    const entry_settings_t *settings;
    uint64_t incarnation;
    entry_stage_t stage;
    struct timespec started;
    struct timespec leave_started;
    struct timespec drain_started;
    bool connections_closed;
    metrics_t metrics;
    metric_t members_metric;
    plog_t *log;
    config_reader_t *config;
    member_table_t *members;
    route_t *route;
    forwarder_t *forwarder;
    key_guard_t *key_guard;
    directory_t *directory;
    peer_server_t *peer_server;
    announcer_t *announcer;
    entry_service_t *service;
    job_handler_t *jobs;
    http_server_t *http;
    loop_timer_t expiry_timer;
    loop_timer_t stop_timer;
};

/* entry_http.c */
http_server_t *entry_http_new(entry_t *entry, GError **error);

/* entry_stop.c */
void entry_stop_init(entry_t *entry);

#endif
