#ifndef TEASEL_CONFIG_CONFIG_H
#define TEASEL_CONFIG_CONFIG_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/error.h"
#include "config/config_object.h"
#include "config/ticket.h"
#include "wire/teasel.pb-c.h"

#ifdef __cplusplus
extern "C" {
#endif

enum {
    CONFIG_MAX_TICKETS = 10000, /* remembered numbers, design page section 7 */
    CONFIG_MAX_CLEARED_DRAINS =
        10000, /* remembered agents that are not drained */
};

/**
 * typedef config_t - the fold of stream "config"
 *
 * The state depends only on the records in offset order. No clock is read.
 */
typedef struct config config_t;

typedef enum config_verdict {
    CONFIG_IGNORED,  /* folded before, or not a record of this stream */
    CONFIG_ACCEPTED, /* the record took effect */
    CONFIG_REPEATED, /* the same ticket was judged before */
    CONFIG_REFUSED,  /* the record has no effect */
} config_verdict_t;

/**
 * struct config_result - what became of a record
 * @changed: an object in force or a drain changed
 * @accepted: for CONFIG_REPEATED, the first judgement
 * @kind: for CONFIG_REFUSED
 * @message: for CONFIG_REFUSED, the reason; otherwise NULL
 */
typedef struct config_result {
    config_verdict_t verdict;
    bool changed;
    bool accepted;
    error_kind_t kind;
    char *message;
} config_result_t;

/**
 * struct config_object - an object in force or removed
 * @ticket: the newest ticket accepted on it
 * @body: canonical JSON, NULL if removed
 */
typedef struct config_object {
    char *name;
    uint64_t ticket;
    config_kind_t kind;
    char *body;
    config_value_t value;
} config_object_t;

/**
 * struct config_ticket - a remembered ticket number
 * @hash: of the body that holds the number
 * @offset: of its first record
 */
typedef struct config_ticket {
    uint64_t number;
    uint64_t hash;
    bool accepted;
    char *author;
    uint64_t offset;
} config_ticket_t;

/**
 * struct config_drain - last change of an agent's drain
 */
typedef struct config_drain {
    char *agent_id;
    bool on;
    uint64_t offset;
    char *author;
    char *reason;
} config_drain_t;

typedef void (*config_object_fn)(const config_object_t *object, void *data);
typedef void (*config_drain_fn)(const config_drain_t *drain, void *data);

config_t *config_new(void);
void config_free(config_t *config);

/**
 * config_apply() - fold one record
 * @offset: records below config_get_next_offset() are ignored
 * @result: may be NULL; clear with config_result_clear()
 */
void config_apply(config_t *config, const Teasel__LogRecord *record,
                  uint64_t offset, config_result_t *result);
void config_result_clear(config_result_t *result);

/**
 * config_check_ticket() - what would become of a ticket if it were next
 * @result: clear with config_result_clear()
 */
void config_check_ticket(const config_t *config, const ticket_t *ticket,
                         config_result_t *result);

/**
 * config_clone() - an independent copy, for trying records
 */
config_t *config_clone(const config_t *config);

/**
 * config_encode() - the state as a snapshot; equal states give equal bytes
 */
GByteArray *config_encode(const config_t *config);

/**
 * config_load() - replace the state by a snapshot
 * @covers_through: a snapshot that is not newer than the state is ignored
 *
 * Return: false, with the state unchanged, if it cannot be decoded.
 */
bool config_load(config_t *config, const uint8_t *snapshot, size_t length,
                 uint64_t covers_through);

/**
 * config_get_next_offset() - next offset to fold
 */
uint64_t config_get_next_offset(const config_t *config);

/**
 * config_get_ticket_floor() - ticket numbers below are refused as too old
 */
uint64_t config_get_ticket_floor(const config_t *config);

/**
 * config_find_object() - an object that is in force, or NULL
 */
const config_object_t *config_find_object(const config_t *config,
                                          const char *name);

/**
 * config_get_value() - typed settings of KIND/NAME; presets if not in force
 * @name: without the kind
 */
const config_value_t *config_get_value(const config_t *config,
                                       config_kind_t kind, const char *name);
const config_ticket_t *config_find_ticket(const config_t *config,
                                          uint64_t number);

/**
 * config_find_newest_ticket() - the accepted ticket with the highest offset
 * below @next, or NULL if none is remembered
 */
const config_ticket_t *config_find_newest_ticket(const config_t *config,
                                                 uint64_t next);
const config_drain_t *config_find_drain(const config_t *config,
                                        const char *agent_id);

/**
 * config_foreach_object() - objects in force, by name
 */
void config_foreach_object(const config_t *config, config_object_fn fn,
                           void *data);

/**
 * config_foreach_drain() - agents that are drained, by name
 */
void config_foreach_drain(const config_t *config, config_drain_fn fn,
                          void *data);

G_DEFINE_AUTOPTR_CLEANUP_FUNC(config_t, config_free)

#ifdef __cplusplus
}
#endif

#endif
