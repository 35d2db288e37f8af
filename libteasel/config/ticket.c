#include "config/ticket.h"

#include <inttypes.h>
#include <string.h>
#include <xxhash.h>

#include "base/error.h"
#include "config/canonical_json.h"

enum {
    AUTHOR_MAX_BYTES = 200,
    REASON_MAX_BYTES = 2000,
};

uint64_t
ticket_hash_bytes(const void *bytes, size_t length)
{
    return XXH64(bytes, length, 0);
}

static bool
fail_key(const char *what, const char *key, struct json_object *found,
         const char *allowed, GError **error)
{
    g_set_error(error, TEASEL_ERROR, ERROR_INVALID,
                "%s: key \"%s\": found %s; allowed: %s", what, key,
                json_object_to_json_string_ext(found, JSON_C_TO_STRING_PLAIN),
                allowed);
    return false;
}

static bool
parse_number(ticket_t *ticket, const char *what, struct json_object *found,
             GError **error)
{
    int64_t number = json_object_get_int64(found);
    g_autofree char *allowed = NULL;

    if (json_object_is_type(found, json_type_int) && number >= 1 &&
        number <= TICKET_MAX_NUMBER) {
        ticket->number = (uint64_t)number;
        return true;
    }
    allowed =
        g_strdup_printf("an integer from 1 to %" PRId64, TICKET_MAX_NUMBER);
    return fail_key(what, "ticket", found, allowed, error);
}

static bool
parse_text(const char *what, const char *key, struct json_object *found,
           int max_bytes, char **out, GError **error)
{
    g_autofree char *allowed = NULL;
    int length = json_object_get_string_len(found);

    if (json_object_is_type(found, json_type_string) && length > 0 &&
        length <= max_bytes &&
        strlen(json_object_get_string(found)) == (size_t)length) {
        *out = g_strdup(json_object_get_string(found));
        return true;
    }
    allowed = g_strdup_printf("a string of 1 to %d bytes", max_bytes);
    return fail_key(what, key, found, allowed, error);
}

static bool
parse_author(ticket_t *ticket, const char *what, struct json_object *found,
             GError **error)
{
    return parse_text(what, "author", found, AUTHOR_MAX_BYTES, &ticket->author,
                      error);
}

static bool
parse_reason(ticket_t *ticket, const char *what, struct json_object *found,
             GError **error)
{
    return parse_text(what, "reason", found, REASON_MAX_BYTES, &ticket->reason,
                      error);
}

static void
object_free(void *data)
{
    ticket_object_t *object = data;

    g_free(object->name);
    g_free(object->body);
    g_free(object);
}

static bool
parse_object(ticket_t *ticket, const char *name, struct json_object *body,
             GError **error)
{
    ticket_object_t *object = g_new0(ticket_object_t, 1);
    GString *text;

    g_ptr_array_add(ticket->objects, object);
    object->name = g_strdup(name);
    if (!config_object_check_name(name, &object->kind, error)) {
        return false;
    }
    if (body == NULL) {
        object->removed = true;
        return true;
    }
    if (!config_object_parse(name, body, &object->value, error)) {
        return false;
    }
    object->value.head.ticket = ticket->number;
    text = g_string_new(NULL);
    canonical_json_write(body, text);
    object->body = g_string_free(text, FALSE);
    return true;
}

static int
compare_objects(gconstpointer a, gconstpointer b)
{
    const ticket_object_t *first = *(const ticket_object_t *const *)a;
    const ticket_object_t *second = *(const ticket_object_t *const *)b;

    return strcmp(first->name, second->name);
}

static bool
parse_objects(ticket_t *ticket, const char *what, struct json_object *found,
              GError **error)
{
    g_autofree char *allowed = NULL;

    if (!json_object_is_type(found, json_type_object) ||
        json_object_object_length(found) == 0 ||
        json_object_object_length(found) > TICKET_MAX_OBJECTS) {
        allowed = g_strdup_printf("a JSON object with 1 to %d objects",
                                  TICKET_MAX_OBJECTS);
        return fail_key(what, "objects", found, allowed, error);
    }
    json_object_object_foreach(found, name, body)
    {
        if (!parse_object(ticket, name, body, error)) {
            g_prefix_error(error, "%s: ", what);
            return false;
        }
    }
    g_ptr_array_sort(ticket->objects, compare_objects);
    return true;
}

typedef struct ticket_key {
    const char *name;
    bool (*parse)(ticket_t *ticket, const char *what,
                  struct json_object *found, GError **error);
} ticket_key_t;

/* In the order of parsing: the number comes first because the objects store
   it. */
static const ticket_key_t ticket_keys[] = {
    {"ticket", parse_number},
    {"author", parse_author},
    {"reason", parse_reason},
    {"objects", parse_objects},
};

static bool
check_keys(const char *what, struct json_object *root, GError **error)
{
    json_object_object_foreach(root, name, found)
    {
        bool known = false;

        for (size_t i = 0; i < G_N_ELEMENTS(ticket_keys); i++) {
            known = known || strcmp(ticket_keys[i].name, name) == 0;
        }
        if (!known) {
            return fail_key(what, name, found,
                            "only the keys ticket, author, reason, objects",
                            error);
        }
    }
    return true;
}

static bool
parse_fields(ticket_t *ticket, const char *what, struct json_object *root,
             GError **error)
{
    if (!json_object_is_type(root, json_type_object)) {
        g_set_error(error, TEASEL_ERROR, ERROR_INVALID,
                    "%s: found %s; allowed: a JSON object", what,
                    json_object_to_json_string(root));
        return false;
    }
    if (!check_keys(what, root, error)) {
        return false;
    }
    for (size_t i = 0; i < G_N_ELEMENTS(ticket_keys); i++) {
        struct json_object *found = NULL;

        if (!json_object_object_get_ex(root, ticket_keys[i].name, &found)) {
            g_set_error(error, TEASEL_ERROR, ERROR_INVALID,
                        "%s: key \"%s\" is missing", what,
                        ticket_keys[i].name);
            return false;
        }
        if (!ticket_keys[i].parse(ticket, what, found, error)) {
            return false;
        }
    }
    return true;
}

ticket_t *
ticket_parse(const char *text, size_t length, const char *what, GError **error)
{
    struct json_object *root =
        canonical_json_parse(text, length, TICKET_MAX_BYTES, what, error);
    ticket_t *ticket;
    GString *canonical;

    if (root == NULL) {
        return NULL;
    }
    ticket = g_new0(ticket_t, 1);
    ticket->objects = g_ptr_array_new_with_free_func(object_free);
    if (!parse_fields(ticket, what, root, error)) {
        json_object_put(root);
        ticket_free(ticket);
        return NULL;
    }
    canonical = g_string_new(NULL);
    canonical_json_write(root, canonical);
    json_object_put(root);
    ticket->hash = ticket_hash_bytes(canonical->str, canonical->len);
    ticket->canonical = g_string_free(canonical, FALSE);
    return ticket;
}

void
ticket_free(ticket_t *ticket)
{
    if (ticket == NULL) {
        return;
    }
    g_free(ticket->author);
    g_free(ticket->reason);
    g_ptr_array_unref(ticket->objects);
    g_free(ticket->canonical);
    g_free(ticket);
}
