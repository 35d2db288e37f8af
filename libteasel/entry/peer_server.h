#ifndef TEASEL_ENTRY_PEER_SERVER_H
#define TEASEL_ENTRY_PEER_SERVER_H

#include <glib.h>
#include <stdint.h>

#include "config/config_reader.h"
#include "entry/directory.h"
#include "entry/forwarder.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct peer_server peer_server_t;

/**
 * struct peer_server_opts - options of peer_server_new()
 * @listen: address of the peer port
 * @silence_ms: a connection that receives nothing for this long is closed
 * @ping_ms: a Ping is sent after this long without another message
 * @on_directory_change: called when an announcement changed the list of
 *     addresses in @directory
 */
typedef struct peer_server_opts {
    loop_t *loop;
    const clock_source_t *clock;
    const char *listen;
    const char *entry_id;
    uint64_t incarnation;
    member_table_t *members;
    forwarder_t *forwarder;
    directory_t *directory;
    const config_reader_t *config;
    uint64_t silence_ms;
    uint64_t ping_ms;
    void (*on_directory_change)(void *data);
    void *data;
} peer_server_opts_t;

/**
 * peer_server_new() - serve agents and other entries on the peer port
 *
 * Return: the server, or NULL with @error set if @listen cannot be used.
 */
peer_server_t *peer_server_new(const peer_server_opts_t *opts, GError **error);
void peer_server_free(peer_server_t *server);

/**
 * peer_server_send_entries() - send the list of entries to all agents
 */
void peer_server_send_entries(peer_server_t *server);

/**
 * peer_server_apply_drains() - update the drain flag of all members from the
 * configuration
 */
void peer_server_apply_drains(peer_server_t *server);

#ifdef __cplusplus
}
#endif

#endif
