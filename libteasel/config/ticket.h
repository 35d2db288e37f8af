#ifndef TEASEL_CONFIG_TICKET_H
#define TEASEL_CONFIG_TICKET_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "config/config_object.h"

#ifdef __cplusplus
extern "C" {
#endif

enum {
    /* Must fit into one read of the log, which returns up to 1 MiB. */
    TICKET_MAX_BYTES = 256 * 1024,
    TICKET_MAX_OBJECTS = 1000,
};

/* Allows numbers made of a date and a counter, such as 202612040001, and stays
   within the integers that a double represents exactly, for other tools that
   read tickets. */
#define TICKET_MAX_NUMBER INT64_C(999999999999999)

/**
 * struct ticket_object - an object that a ticket replaces or removes
 * @name: KIND/NAME
 * @removed: the ticket removes the object; @body and @value are then unset
 * @body: canonical JSON
 */
typedef struct ticket_object {
    char *name;
    config_kind_t kind;
    bool removed;
    char *body;
    config_value_t value;
} ticket_object_t;

/**
 * struct ticket - a valid ticket
 * @objects: ticket_object_t, sorted by name
 * @canonical: the whole ticket as canonical JSON
 * @hash: XXH64 of @canonical; equal for the same ticket in another layout
 */
typedef struct ticket {
    uint64_t number;
    char *author;
    char *reason;
    GPtrArray *objects;
    char *canonical;
    uint64_t hash;
} ticket_t;

/**
 * ticket_parse() - parse and validate the JSON text of a ticket
 * @what: name of the input for errors, for example the file
 * @error: names the object, the key, the value found and the allowed values
 *
 * Return: a new ticket, to be released with ticket_free(), or NULL on error.
 */
ticket_t *ticket_parse(const char *text, size_t length, const char *what,
                       GError **error);
void ticket_free(ticket_t *ticket);

/**
 * ticket_hash_bytes() - hash the body of a ticket, as in config_ticket_t
 */
uint64_t ticket_hash_bytes(const void *bytes, size_t length);

G_DEFINE_AUTOPTR_CLEANUP_FUNC(ticket_t, ticket_free)

#ifdef __cplusplus
}
#endif

#endif
