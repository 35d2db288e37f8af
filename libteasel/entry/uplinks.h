#ifndef TEASEL_ENTRY_UPLINKS_H
#define TEASEL_ENTRY_UPLINKS_H

#include <glib.h>
#include <stdint.h>

#include "config/config_reader.h"
#include "entry/directory.h"
#include "entry/forwarder.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct uplinks uplinks_t;

/**
 * struct uplinks_opts - options of uplinks_new()
 * @listen: the peer port
 * @on_directory: an announcement changed the list of the directory
 */
typedef struct uplinks_opts {
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
    void (*on_directory)(void *data);
    void *data;
} uplinks_opts_t;

/**
 * uplinks_new() - serve agents and other entries on the peer port
 */
uplinks_t *uplinks_new(const uplinks_opts_t *opts, GError **error);
void uplinks_free(uplinks_t *uplinks);

/**
 * uplinks_send_entries() - tell all agents the list of the directory
 */
void uplinks_send_entries(uplinks_t *uplinks);

/**
 * uplinks_apply_drains() - take over the drains in force
 */
void uplinks_apply_drains(uplinks_t *uplinks);

#ifdef __cplusplus
}
#endif

#endif
