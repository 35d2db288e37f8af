#include <inttypes.h>
#include <stdarg.h>
#include <string.h>

#include "config/config.h"
#include "config/config_state.h"

enum {
    AGENT_ID_MAX_BYTES = 255,
};

static void G_GNUC_PRINTF(3, 4)
    refuse(config_result_t *result, error_kind_t kind, const char *format, ...)
{
    va_list args;

    result->verdict = CONFIG_REFUSED;
    result->kind = kind;
    va_start(args, format);
    result->message = g_strdup_vprintf(format, args);
    va_end(args);
}

/* Returns true if the number alone decides the outcome. */
static bool
check_number(const config_t *config, uint64_t number, uint64_t hash,
             config_result_t *result)
{
    const config_ticket_t *first = config_find_ticket(config, number);

    if (number < config->floor) {
        refuse(result, ERROR_STALE,
               "ticket %" PRIu64 ": the number is too old; allowed: at least "
               "%" PRIu64,
               number, config->floor);
        return true;
    }
    if (first == NULL) {
        return false;
    }
    if (first->hash == hash) {
        result->verdict = CONFIG_REPEATED;
        result->accepted = first->accepted;
        return true;
    }
    refuse(result, ERROR_CONFLICT,
           "ticket %" PRIu64 ": the number was taken by another ticket of "
           "\"%s\" at offset %" PRIu64 "; use a higher number",
           number, first->author, first->offset);
    return true;
}

static const config_object_t *
find_newer_object(const config_t *config, const ticket_t *ticket)
{
    for (guint i = 0; i < ticket->objects->len; i++) {
        const ticket_object_t *change = ticket->objects->pdata[i];
        const config_object_t *object =
            g_tree_lookup(config->objects, change->name);

        if (object != NULL && object->ticket > ticket->number) {
            return object;
        }
    }
    return NULL;
}

void
config_check_ticket(const config_t *config, const ticket_t *ticket,
                    config_result_t *result)
{
    const config_object_t *newer;

    memset(result, 0, sizeof(*result));
    if (check_number(config, ticket->number, ticket->hash, result)) {
        return;
    }
    newer = find_newer_object(config, ticket);
    if (newer != NULL) {
        refuse(result, ERROR_STALE,
               "ticket %" PRIu64 ": object \"%s\" was changed by the newer "
               "ticket %" PRIu64 "; use a higher number",
               ticket->number, newer->name, newer->ticket);
        return;
    }
    result->verdict = CONFIG_ACCEPTED;
}

static void
put_objects(config_t *config, const ticket_t *ticket)
{
    for (guint i = 0; i < ticket->objects->len; i++) {
        const ticket_object_t *change = ticket->objects->pdata[i];

        config_put_object(config, change->name, change->kind, ticket->number,
                          change->body, &change->value);
    }
}

static void
apply_valid_ticket(config_t *config, const ticket_t *ticket, uint64_t offset,
                   config_result_t *result)
{
    bool known = ticket->number < config->floor ||
                 config_find_ticket(config, ticket->number) != NULL;

    config_check_ticket(config, ticket, result);
    if (known) {
        return;
    }
    if (result->verdict == CONFIG_ACCEPTED) {
        put_objects(config, ticket);
        result->changed = true;
    }
    config_put_ticket(config, ticket->number, ticket->hash, result->changed,
                      ticket->author, offset);
}

/* An invalid ticket uses up its number too: a number stands for exactly one
   document. */
static void
apply_invalid_ticket(config_t *config, const Teasel__Ticket *record,
                     const char *message, uint64_t offset,
                     config_result_t *result)
{
    uint64_t hash = ticket_hash_bytes(record->body.data, record->body.len);
    bool in_range = record->number >= 1 && record->number <= TICKET_MAX_NUMBER;

    if (in_range && check_number(config, record->number, hash, result)) {
        return;
    }
    refuse(result, ERROR_INVALID, "%s", message);
    if (in_range) {
        config_put_ticket(config, record->number, hash, false, record->author,
                          offset);
    }
}

static void
apply_ticket(config_t *config, const Teasel__LogRecord *record,
             uint64_t offset, config_result_t *result)
{
    const Teasel__Ticket *body = record->ticket;
    g_autofree char *what = g_strdup_printf("ticket %" PRIu64, body->number);
    g_autofree char *mismatch = NULL;
    g_autoptr(GError) error = NULL;
    g_autoptr(ticket_t) ticket = ticket_parse((const char *)body->body.data,
                                              body->body.len, what, &error);

    if (ticket == NULL) {
        apply_invalid_ticket(config, body, error->message, offset, result);
        return;
    }
    if (ticket->number != body->number) {
        mismatch = g_strdup_printf("%s: key \"ticket\": found %" PRIu64
                                   "; allowed: the number of the record",
                                   what, ticket->number);
        apply_invalid_ticket(config, body, mismatch, offset, result);
        return;
    }
    apply_valid_ticket(config, ticket, offset, result);
}

static void
apply_drain(config_t *config, const Teasel__LogRecord *record, uint64_t offset,
            config_result_t *result)
{
    const Teasel__Drain *drain = record->drain;
    size_t length = strlen(drain->agent_id);
    const config_drain_t *previous;
    uint64_t changed_at;

    if (length == 0 || length > AGENT_ID_MAX_BYTES) {
        refuse(result, ERROR_INVALID,
               "drain: agent id has %zu bytes; allowed: 1 to %d", length,
               AGENT_ID_MAX_BYTES);
        return;
    }
    if (drain->seen_next > offset) {
        refuse(result, ERROR_INVALID,
               "drain of agent \"%s\": the author claims to have read up to "
               "offset %" PRIu64 "; allowed: at most %" PRIu64,
               drain->agent_id, drain->seen_next, offset);
        return;
    }
    previous = g_tree_lookup(config->drains, drain->agent_id);
    changed_at = previous != NULL ? previous->offset : config->drain_floor;
    if (drain->seen_next <= changed_at) {
        refuse(result, ERROR_STALE,
               "drain of agent \"%s\": it was changed at offset %" PRIu64
               ", which the author had not read",
               drain->agent_id, changed_at);
        return;
    }
    result->verdict = CONFIG_ACCEPTED;
    result->changed = drain->on != (previous != NULL && previous->on);
    config_put_drain(config, drain->agent_id, drain->on, offset, drain->author,
                     drain->reason);
}

void
config_apply(config_t *config, const Teasel__LogRecord *record,
             uint64_t offset, config_result_t *result)
{
    config_result_t local = {CONFIG_IGNORED, false, false, ERROR_INVALID,
                             NULL};

    if (offset >= config->next) {
        config->next = offset + 1;
        switch (record->body_case) {
        case TEASEL__LOG_RECORD__BODY_TICKET:
            apply_ticket(config, record, offset, &local);
            break;
        case TEASEL__LOG_RECORD__BODY_DRAIN:
            apply_drain(config, record, offset, &local);
            break;
        default:
            break;
        }
    }
    if (result != NULL) {
        *result = local;
    }
    else {
        config_result_clear(&local);
    }
}

void
config_result_clear(config_result_t *result)
{
    g_clear_pointer(&result->message, g_free);
}
