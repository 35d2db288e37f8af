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
 * @link: options of the links; @link.handler gets all callbacks, and on_down
 *     before a link is freed
 * @seeds: addresses that are never forgotten, NULL-terminated
 * @forget_ms: another address that is not connected for this long is removed
 */
typedef struct entry_set_opts {
    agent_link_opts_t link;
    char **seeds;
    uint64_t forget_ms;
} entry_set_opts_t;

entry_set_t *entry_set_new(const entry_set_opts_t *opts);
void entry_set_free(entry_set_t *set);

/**
 * entry_set_add() - connect to an entry unless it is known
 * @address: IPv4:PORT; ignored if malformed
 */
void entry_set_add(entry_set_t *set, const char *address);

/**
 * entry_set_send() - send to all entries that are connected
 */
void entry_set_send(entry_set_t *set, const Teasel__Envelope *message);

/**
 * entry_set_prune() - remove addresses that are gone; called now and then
 */
void entry_set_prune(entry_set_t *set);

/**
 * entry_set_reset() - close all connections and connect anew
 */
void entry_set_reset(entry_set_t *set, const char *reason);

size_t entry_set_get_connected(const entry_set_t *set);
uint64_t entry_set_get_bytes(const entry_set_t *set);

#ifdef __cplusplus
}
#endif

#endif
