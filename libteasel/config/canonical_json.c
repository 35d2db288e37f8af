#include "config/canonical_json.h"

#include <string.h>

#include "base/error.h"

static int
compare_keys(gconstpointer a, gconstpointer b)
{
    return strcmp(*(const char *const *)a, *(const char *const *)b);
}

static void
write_string(const char *text, int length, GString *out)
{
    struct json_object *string = json_object_new_string_len(text, length);

    g_string_append(out, json_object_to_json_string_ext(
                             string, JSON_C_TO_STRING_PLAIN |
                                         JSON_C_TO_STRING_NOSLASHESCAPE));
    json_object_put(string);
}

static void
write_array(struct json_object *value, GString *out)
{
    size_t count = json_object_array_length(value);

    g_string_append_c(out, '[');
    for (size_t i = 0; i < count; i++) {
        if (i > 0) {
            g_string_append_c(out, ',');
        }
        canonical_json_write(json_object_array_get_idx(value, i), out);
    }
    g_string_append_c(out, ']');
}

static void
write_object(struct json_object *value, GString *out)
{
    g_autoptr(GPtrArray) keys = g_ptr_array_new();

    json_object_object_foreach(value, name, member)
    {
        (void)member;
        g_ptr_array_add(keys, name);
    }
    g_ptr_array_sort(keys, compare_keys);
    g_string_append_c(out, '{');
    for (guint i = 0; i < keys->len; i++) {
        const char *key = keys->pdata[i];

        if (i > 0) {
            g_string_append_c(out, ',');
        }
        write_string(key, (int)strlen(key), out);
        g_string_append_c(out, ':');
        canonical_json_write(json_object_object_get(value, key), out);
    }
    g_string_append_c(out, '}');
}

/* The recursion is bounded: the parser rejects more than 32 levels. */
void
canonical_json_write(struct json_object *value, GString *out)
{
    switch (json_object_get_type(value)) {
    case json_type_object:
        write_object(value, out);
        break;
    case json_type_array:
        write_array(value, out);
        break;
    case json_type_string:
        write_string(json_object_get_string(value),
                     json_object_get_string_len(value), out);
        break;
    default:
        g_string_append(out, json_object_to_json_string_ext(
                                 value, JSON_C_TO_STRING_PLAIN));
        break;
    }
}

static unsigned
line_of_offset(const char *text, size_t offset)
{
    unsigned line = 1;

    for (size_t i = 0; i < offset; i++) {
        line += text[i] == '\n';
    }
    return line;
}

struct json_object *
canonical_json_parse(const char *text, size_t length, size_t max_length,
                     const char *what, GError **error)
{
    g_autofree char *copy = NULL;
    struct json_tokener *tokener;
    struct json_object *value;
    size_t end;

    if (length > max_length) {
        g_set_error(error, TEASEL_ERROR, ERROR_TOO_LARGE,
                    "%s: found %zu bytes; allowed: at most %zu", what, length,
                    max_length);
        return NULL;
    }
    while (length > 0 && g_ascii_isspace(text[length - 1])) {
        length--;
    }
    tokener = json_tokener_new();
    json_tokener_set_flags(tokener,
                           JSON_TOKENER_STRICT | JSON_TOKENER_VALIDATE_UTF8);
    /* Includes the NUL: without it, json-c expects more digits after a bare
       number. */
    copy = g_strndup(text, length);
    value = json_tokener_parse_ex(tokener, copy, (int)length + 1);
    end = json_tokener_get_parse_end(tokener);
    if (value == NULL || end != length) {
        enum json_tokener_error reason = json_tokener_get_error(tokener);

        /* json-c reports success for a bare null, which parses to NULL, and
           for text after a complete value. */
        if (reason == json_tokener_success) {
            reason = json_tokener_error_parse_unexpected;
        }
        g_set_error(error, TEASEL_ERROR, ERROR_INVALID, "%s:%u: %s", what,
                    line_of_offset(text, MIN(end, length)),
                    json_tokener_error_desc(reason));
        g_clear_pointer(&value, json_object_put);
    }
    json_tokener_free(tokener);
    return value;
}
