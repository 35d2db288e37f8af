#ifndef TEASEL_NODE_NODE_H
#define TEASEL_NODE_NODE_H

#include "base/clock.h"
#include "base/loop.h"
#include "base/settings.h"
#include "node/executor_api.h"
#include "store/store.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * The node agent: the only process that calls the executors of its instance.
 * It carries out the orders of the leading scheduler, reports running and
 * ended runs, and renews the leases of the executors as long as the leader
 * extends the lease of the node.
 */

typedef struct node node_t;

/**
 * struct node_settings - settings of teasel-node
 * @max_lease_ms: longest lease that an executor accepts
 */
typedef struct node_settings {
    char *name;
    char *data_centre;
    char *control_listen;
    char *metrics_listen;
    char *store_address;
    int64_t report_ms;
    int64_t silence_ms;
    int64_t poll_wait_ms;
    int64_t max_lease_ms;
} node_settings_t;

bool node_settings_load(const char *path, node_settings_t *out,
                        GError **error);
void node_settings_clear(node_settings_t *settings);

/**
 * node_settings_table() - return the keys of the settings file
 */
const setting_t *node_settings_table(void);

/**
 * struct node_opts - options of node_new()
 * @connect: creates a client of one incarnation of an executor; NULL with
 *     @error set if the address is invalid
 */
typedef struct node_opts {
    loop_t *loop;
    const clock_source_t *clock;
    store_t *store;
    const node_settings_t *settings;
    executor_api_t *(*connect)(loop_t *loop, const char *address,
                               const char *id, int64_t started_ms,
                               GError **error);
} node_opts_t;

node_t *node_new(const node_opts_t *opts, GError **error);
void node_free(node_t *node);

/**
 * node_announce_executor() - handle an announcement of an executor
 *
 * A new incarnation replaces older ones with its id or address as soon as it
 * has answered a poll: an announcement alone does not prove that it exists.
 *
 * Return: false if the announcement is invalid, from an older incarnation than
 * the current one, or contradicts what this incarnation has announced of
 * itself, see announcement_filter.h.
 */
bool node_announce_executor(node_t *node, const executor_info_t *info);

/**
 * node_retire_executor() - handle the notice that an executor is shutting down
 *
 * The notice has no effect if the executor announces itself after it and is
 * not draining: it may be a late one of an earlier incarnation.
 */
void node_retire_executor(node_t *node, const char *id);

/**
 * node_write_metrics() - append counters in the Prometheus text format
 */
void node_write_metrics(const node_t *node, GString *out);

#ifdef __cplusplus
}
#endif

#endif
