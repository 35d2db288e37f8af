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
 * The connection of a node agent to the leading scheduler. The address of the
 * leader is read from the store or received from any known scheduler.
 */

typedef struct node_link node_link_t;

/**
 * struct node_link_opts - options of node_link_new()
 * @name: name of the node
 * @silence_ms: time without a message after which a connection is closed
 * @on_orders: called with orders of the leader of the highest known epoch
 * @on_connection_changed: called when a connection is opened or lost
 */
typedef struct node_link_opts {
    loop_t *loop;
    const clock_source_t *clock;
    store_t *store;
    const char *name;
    uint64_t silence_ms;
    void (*on_orders)(const Teasel__NodeOrders *orders, void *data);
    void (*on_connection_changed)(bool open, void *data);
    void *data;
} node_link_opts_t;

node_link_t *node_link_new(const node_link_opts_t *opts);
void node_link_free(node_link_t *link);
bool node_link_is_open(const node_link_t *link);

/**
 * node_link_send() - send a report to the connected scheduler
 *
 * Return: false if no connection is open, the connection is closing, or
 * the report is too large.
 */
bool node_link_send(node_link_t *link, Teasel__NodeReport *report);

#ifdef __cplusplus
}
#endif

#endif
