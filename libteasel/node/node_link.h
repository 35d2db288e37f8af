#ifndef TEASEL_NODE_NODE_LINK_H
#define TEASEL_NODE_NODE_LINK_H

#include "base/clock.h"
#include "base/loop.h"
#include "store/store.h"
#include "wire/peer.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * The connection of a node agent to the leading scheduler. The leader is
 * found through the store, or by asking any known scheduler.
 */

typedef struct node_link node_link_t;

/**
 * struct node_link_opts - options of node_link_new()
 * @name: of the node
 * @on_orders: orders of the newest leader
 * @on_change: a connection was opened, or lost
 */
typedef struct node_link_opts {
    loop_t *loop;
    const clock_source_t *clock;
    store_t *store;
    const char *name;
    uint64_t silence_ms;
    void (*on_orders)(const Teasel__NodeOrders *orders, void *data);
    void (*on_change)(bool open, void *data);
    void *data;
} node_link_opts_t;

node_link_t *node_link_new(const node_link_opts_t *opts);
void node_link_free(node_link_t *link);
bool node_link_is_open(const node_link_t *link);

/**
 * node_link_send() - send a report
 *
 * Return: false if there is no connection
 */
bool node_link_send(node_link_t *link, Teasel__NodeReport *report);

#ifdef __cplusplus
}
#endif

#endif
