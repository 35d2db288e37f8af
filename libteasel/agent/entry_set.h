#ifndef TEASEL_AGENT_ENTRY_SET_H
#define TEASEL_AGENT_ENTRY_SET_H

#include <glib.h>
#include <stdbool.h>

#include "agent/agent_link.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct entry_set entry_set_t;

/**
 * struct entry_set_opts - options of entry_set_new()
 * @link: options of the links; on_disconnect of @link.handler is also called
 *     before entry_set_prune() frees a link
 * @seeds: configured addresses, NULL-terminated; never removed
 * @retention_ms: other addresses are removed after this time without a
 *     connection
 */
typedef struct entry_set_opts {
    agent_link_opts_t link;
    char **seeds;
    uint64_t retention_ms;
} entry_set_opts_t;

entry_set_t *entry_set_new(const entry_set_opts_t *opts);
void entry_set_free(entry_set_t *set);

/**
 * entry_set_add() - add an address and connect to it
 * @address: IPv4:PORT; ignored if malformed or already in the set
 */
void entry_set_add(entry_set_t *set, const char *address);

/**
 * entry_set_send() - send a message to all connected entries
 */
void entry_set_send(entry_set_t *set, const Teasel__Envelope *message);

/**
 * entry_set_prune() - remove addresses without a connection for retention_ms
 *
 * Must be called periodically: it also records which entries are connected.
 */
void entry_set_prune(entry_set_t *set);

/**
 * entry_set_reset() - close all connections and reconnect
 */
void entry_set_reset(entry_set_t *set, const char *reason);

/**
 * entry_set_get_connected() - get the number of connected entries
 */
size_t entry_set_get_connected(const entry_set_t *set);

/**
 * entry_set_get_bytes() - get the bytes exchanged with the entries in the set
 */
uint64_t entry_set_get_bytes(const entry_set_t *set);

#ifdef __cplusplus
}
#endif

#endif
