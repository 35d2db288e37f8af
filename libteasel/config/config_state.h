#ifndef TEASEL_CONFIG_CONFIG_STATE_H
#define TEASEL_CONFIG_CONFIG_STATE_H

#include "config/config.h"
#include "config/ticket.h"

/**
 * struct config - state of the fold, shared by config.c, config_apply.c and
 * config_codec.c
 * @objects: config_object_t by name, removed ones included: their ticket
 *     number keeps older tickets out
 * @tickets: config_ticket_t by number
 * @drains: config_drain_t by agent, cleared ones included: their offset keeps
 *     late records out
 * @cleared_drains: number of those that are off
 */
struct config {
    uint64_t next;
    uint64_t floor;
    uint64_t drain_floor;
    GTree *objects;
    GTree *tickets;
    GTree *drains;
    unsigned cleared_drains;
    config_value_t presets[CONFIG_KIND_COUNT];
};

/**
 * config_put_object() - insert or replace
 * @body: NULL removes the object
 */
void config_put_object(config_t *config, const char *name, config_kind_t kind,
                       uint64_t ticket, const char *body,
                       const config_value_t *value);

/**
 * config_put_ticket() - remember a number and forget the lowest ones
 */
void config_put_ticket(config_t *config, uint64_t number, uint64_t hash,
                       bool accepted, const char *author, uint64_t offset);

/**
 * config_put_drain() - insert or replace; forget the oldest cleared ones
 */
void config_put_drain(config_t *config, const char *agent_id, bool on,
                      uint64_t offset, const char *author, const char *reason);

#endif
