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
    /* Ticket numbers that are kept to detect repeated and conflicting
       tickets; see docs/design.md, section 7. */
    CONFIG_MAX_TICKETS = 10000,
    /* Ended drains that are kept to refuse late records. */
    CONFIG_MAX_CLEARED_DRAINS = 10000,
};

/**
 * typedef config_t - cluster configuration, built from stream "config"
 *
 * The state is a function of the records in offset order: no clock is read, so
 * that every reader reaches the same state.
 */
typedef struct config config_t;

typedef enum config_verdict {
    CONFIG_IGNORED,  /* applied before, or not a record of this stream */
    CONFIG_ACCEPTED, /* the record took effect */
    CONFIG_REPEATED, /* the same ticket was processed before */
    CONFIG_REFUSED,  /* the record has no effect */
} config_verdict_t;

/**
 * struct config_result - outcome of applying a record
 * @changed: an object in force or the drain of an agent changed
 * @accepted: for CONFIG_REPEATED, whether the ticket was accepted when it was
 *     first processed
 * @kind: error kind, for CONFIG_REFUSED
 * @message: reason, for CONFIG_REFUSED; otherwise NULL
 */
typedef struct config_result {
    config_verdict_t verdict;
    bool changed;
    bool accepted;
    error_kind_t kind;
    char *message;
} config_result_t;

/**
 * struct config_object - an object that is in force or was removed
 * @name: KIND/NAME
 * @ticket: number of the last accepted ticket that changed it
 * @body: canonical JSON, NULL if removed
 * @value: the parsed settings, with defaults for missing keys
 */
typedef struct config_object {
    char *name;
    uint64_t ticket;
    config_kind_t kind;
    char *body;
    config_value_t value;
} config_object_t;

/**
 * struct config_ticket - a ticket number that is in use
 * @hash: hash of the body that was recorded first under the number
 * @offset: offset of that first record
 */
typedef struct config_ticket {
    uint64_t number;
    uint64_t hash;
    bool accepted;
    char *author;
    uint64_t offset;
} config_ticket_t;

/**
 * struct config_drain - last change of the drain of an agent
 * @on: the agent is drained
 * @offset: offset of the record that made the change
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
 * config_apply() - apply one record to the state
 * @offset: a record below config_get_next_offset() is ignored
 * @result: may be NULL; clear with config_result_clear()
 */
void config_apply(config_t *config, const Teasel__LogRecord *record,
                  uint64_t offset, config_result_t *result);
void config_result_clear(config_result_t *result);

/**
 * config_check_ticket() - get the outcome that a ticket would have as the next
 * record
 * @result: clear with config_result_clear()
 */
void config_check_ticket(const config_t *config, const ticket_t *ticket,
                         config_result_t *result);

/**
 * config_clone() - copy the state, for example to try out records
 *
 * Return: a new state, to be released with config_free().
 */
config_t *config_clone(const config_t *config);

/**
 * config_encode() - encode the state as a snapshot
 *
 * Return: a new array; equal states give equal bytes.
 */
GByteArray *config_encode(const config_t *config);

/**
 * config_load() - replace the state by a snapshot
 * @covers_through: offset of the last record in the snapshot; a snapshot that
 *     is not newer than the state is ignored
 *
 * Return: false, with the state unchanged, if the snapshot cannot be decoded.
 */
bool config_load(config_t *config, const uint8_t *snapshot, size_t length,
                 uint64_t covers_through);

/**
 * config_get_next_offset() - get the offset of the next record to apply
 */
uint64_t config_get_next_offset(const config_t *config);

/**
 * config_get_ticket_floor() - get the lowest ticket number that is not refused
 * as too old; 0 until the first number was dropped
 */
uint64_t config_get_ticket_floor(const config_t *config);

/**
 * config_find_object() - find an object that is in force
 *
 * Return: NULL if no such object is in force.
 */
const config_object_t *config_find_object(const config_t *config,
                                          const char *name);

/**
 * config_get_value() - get the typed settings of an object
 * @name: NAME of KIND/NAME
 *
 * Return: the defaults of the kind if no such object is in force; never NULL.
 */
const config_value_t *config_get_value(const config_t *config,
                                       config_kind_t kind, const char *name);
const config_ticket_t *config_find_ticket(const config_t *config,
                                          uint64_t number);

/**
 * config_find_newest_ticket() - find the accepted ticket with the highest
 * offset below @next
 *
 * Return: NULL if there is none among the numbers that are kept.
 */
const config_ticket_t *config_find_newest_ticket(const config_t *config,
                                                 uint64_t next);

/**
 * config_find_drain() - find the drain of an agent
 *
 * Return: NULL if the agent is not drained.
 */
const config_drain_t *config_find_drain(const config_t *config,
                                        const char *agent_id);

/**
 * config_foreach_object() - call @fn for each object in force, by name
 */
void config_foreach_object(const config_t *config, config_object_fn fn,
                           void *data);

/**
 * config_foreach_drain() - call @fn for each drained agent, by agent id
 */
void config_foreach_drain(const config_t *config, config_drain_fn fn,
                          void *data);

G_DEFINE_AUTOPTR_CLEANUP_FUNC(config_t, config_free)

#ifdef __cplusplus
}
#endif

#endif
