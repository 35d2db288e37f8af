#ifndef TEASEL_CONFIG_CONFIG_STATE_H
#define TEASEL_CONFIG_CONFIG_STATE_H

#include "config/config.h"
#include "config/ticket.h"

/**
 * struct config - state shared by config.c, config_apply.c and config_codec.c
 * @next: offset of the next record to apply
 * @floor: lowest ticket number that is not refused as too old
 * @drain_floor: highest offset of an ended drain that was dropped; for agents
 *     that are not in @drains, it takes the place of their last change
 * @objects: config_object_t by name, including removed ones, whose ticket
 *     number is needed to refuse older tickets
 * @tickets: config_ticket_t by number
 * @drains: config_drain_t by agent id, including ended ones, whose offset is
 *     needed to refuse late records
 * @cleared_drains: number of ended drains in @drains
 * @defaults: settings of objects that are not in force
 */
struct config {
    uint64_t next;
    uint64_t floor;
    uint64_t drain_floor;
    GTree *objects;
    GTree *tickets;
    GTree *drains;
    unsigned cleared_drains;
    config_value_t defaults[CONFIG_KIND_COUNT];
};

/**
 * config_put_object() - insert or replace an object
 * @body: NULL marks the object as removed
 */
void config_put_object(config_t *config, const char *name, config_kind_t kind,
                       uint64_t ticket, const char *body,
                       const config_value_t *value);

/**
 * config_put_ticket() - insert or replace a ticket number
 *
 * Drops the lowest number when there are more than CONFIG_MAX_TICKETS.
 */
void config_put_ticket(config_t *config, uint64_t number, uint64_t hash,
                       bool accepted, const char *author, uint64_t offset);

/**
 * config_put_drain() - insert or replace the drain of an agent
 *
 * Drops the oldest ended drain when there are more than
 * CONFIG_MAX_CLEARED_DRAINS.
 */
void config_put_drain(config_t *config, const char *agent_id, bool on,
                      uint64_t offset, const char *author, const char *reason);

#endif
