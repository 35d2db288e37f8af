#include <errno.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "operator/ctl.h"

void
ctl_json_add_string(struct json_object *out, const char *key,
                    const char *value)
{
    json_object_object_add(out, key,
                           json_object_new_string(value != NULL ? value : ""));
}

void
ctl_json_add_number(struct json_object *out, const char *key, uint64_t value)
{
    json_object_object_add(out, key, json_object_new_uint64(value));
}

void
ctl_json_add_flag(struct json_object *out, const char *key, bool value)
{
    json_object_object_add(out, key, json_object_new_boolean(value));
}

struct json_object *
ctl_json_get(struct json_object *in, const char *key)
{
    return json_object_is_type(in, json_type_object)
               ? json_object_object_get(in, key)
               : NULL;
}

const char *
ctl_json_get_string(struct json_object *in, const char *key)
{
    struct json_object *value = ctl_json_get(in, key);

    return value != NULL ? json_object_get_string(value) : "";
}

uint64_t
ctl_json_get_number(struct json_object *in, const char *key)
{
    return json_object_get_uint64(ctl_json_get(in, key));
}

bool
ctl_json_get_flag(struct json_object *in, const char *key)
{
    return json_object_get_boolean(ctl_json_get(in, key));
}

void
ctl_print_json(struct json_object *value)
{
    printf("%s\n", json_object_to_json_string_ext(
                       value, JSON_C_TO_STRING_PRETTY |
                                  JSON_C_TO_STRING_NOSLASHESCAPE));
    json_object_put(value);
}

static size_t
get_width(const GPtrArray *rows, guint column)
{
    size_t width = 0;

    for (guint i = 0; i < rows->len; i++) {
        char **row = rows->pdata[i];

        width = MAX(width, strlen(row[column]));
    }
    return width;
}

void
ctl_print_table(const GPtrArray *rows)
{
    guint columns = g_strv_length(rows->pdata[0]);

    for (guint i = 0; i < rows->len; i++) {
        char **row = rows->pdata[i];

        for (guint column = 0; column + 1 < columns; column++) {
            printf("%-*s  ", (int)get_width(rows, column), row[column]);
        }
        printf("%s\n", row[columns - 1]);
    }
}

int
ctl_fail(const ctl_t *ctl, const GError *error)
{
    const error_info_t *answer = error_get_info((unsigned)error->code);

    fprintf(stderr, "teaselctl: %s\n", error->message);
    if (ctl->flags.json) {
        struct json_object *out = json_object_new_object();

        ctl_json_add_string(out, "error", answer->name);
        ctl_json_add_string(out, "detail", error->message);
        ctl_print_json(out);
    }
    return answer->exit_code;
}

int
ctl_usage(const char *format, ...)
{
    g_autofree char *message = NULL;
    va_list args;

    va_start(args, format);
    message = g_strdup_vprintf(format, args);
    va_end(args);
    fprintf(stderr, "teaselctl: %s\nSee teaselctl --help.\n", message);
    return CTL_USAGE;
}

/* Does not use the messages of GLib, which depend on the locale. */
bool
ctl_read_file(const char *path, char **text, gsize *length, GError **error)
{
    if (g_file_get_contents(path, text, length, NULL)) {
        return true;
    }
    g_set_error(
        error, TEASEL_ERROR, ERROR_INVALID, "%s: cannot be read: %s", path,
        access(path, R_OK) != 0 ? strerror(errno) : "not a regular file");
    return false;
}
