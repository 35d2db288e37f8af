#include "base/settings.h"

#include <arpa/inet.h>
#include <inttypes.h>
#include <json-c/json.h>
#include <string.h>

#include "base/error.h"

static unsigned
line_of_offset(const char *text, size_t offset)
{
    unsigned line = 1;

    for (size_t i = 0; i < offset && text[i] != '\0'; i++) {
        line += text[i] == '\n';
    }
    return line;
}

/* Returns whether @text contains only white space and comments. */
static bool
is_blank(const char *text)
{
    struct json_tokener *tokener = json_tokener_new();
    struct json_object *object =
        json_tokener_parse_ex(tokener, text, (int)strlen(text));
    bool blank = object == NULL &&
                 json_tokener_get_error(tokener) == json_tokener_continue;

    json_object_put(object);
    json_tokener_free(tokener);
    return blank;
}

static struct json_object *
parse_text(const char *path, const char *text, size_t length, GError **error)
{
    struct json_tokener *tokener = json_tokener_new();
    struct json_object *root;
    size_t offset;

    root = json_tokener_parse_ex(tokener, text, (int)length + 1);
    offset = json_tokener_get_parse_end(tokener);
    if (root == NULL) {
        g_set_error(error, TEASEL_ERROR, ERROR_INVALID, "%s:%u: %s", path,
                    line_of_offset(text, offset),
                    json_tokener_error_desc(json_tokener_get_error(tokener)));
    }
    else if (!json_object_is_type(root, json_type_object)) {
        g_set_error(error, TEASEL_ERROR, ERROR_INVALID,
                    "%s: found %s; allowed: a JSON object", path,
                    json_object_to_json_string(root));
        g_clear_pointer(&root, json_object_put);
    }
    else if (offset < length && !is_blank(text + offset)) {
        g_set_error(error, TEASEL_ERROR, ERROR_INVALID,
                    "%s:%u: text after the end of the object", path,
                    line_of_offset(text, offset));
        g_clear_pointer(&root, json_object_put);
    }
    json_tokener_free(tokener);
    return root;
}

static bool
set_value_error(const char *path, const setting_t *setting,
                struct json_object *value, const char *allowed, GError **error)
{
    g_set_error(error, TEASEL_ERROR, ERROR_INVALID,
                "%s: key \"%s\": found %s; allowed: %s", path, setting->key,
                json_object_to_json_string(value), allowed);
    return false;
}

static bool
store_integer(const char *path, const setting_t *setting,
              struct json_object *value, void *field, GError **error)
{
    g_autofree char *allowed = g_strdup_printf(
        "an integer from %" PRId64 " to %" PRId64, setting->min, setting->max);
    int64_t number = json_object_get_int64(value);

    if (!json_object_is_type(value, json_type_int) || number < setting->min ||
        number > setting->max) {
        return set_value_error(path, setting, value, allowed, error);
    }
    *(int64_t *)field = number;
    return true;
}

static bool
store_boolean(const char *path, const setting_t *setting,
              struct json_object *value, void *field, GError **error)
{
    if (!json_object_is_type(value, json_type_boolean)) {
        return set_value_error(path, setting, value, "true or false", error);
    }
    *(gboolean *)field = json_object_get_boolean(value);
    return true;
}

static bool
store_string(const char *path, const setting_t *setting,
             struct json_object *value, void *field, GError **error)
{
    if (!json_object_is_type(value, json_type_string) ||
        json_object_get_string_len(value) == 0) {
        return set_value_error(path, setting, value,
                               "a string that is not empty", error);
    }
    *(char **)field = g_strdup(json_object_get_string(value));
    return true;
}

static bool
store_text(const char *path, const setting_t *setting,
           struct json_object *value, void *field, GError **error)
{
    if (!json_object_is_type(value, json_type_string)) {
        return set_value_error(path, setting, value, "a string", error);
    }
    *(char **)field = g_strdup(json_object_get_string(value));
    return true;
}

static bool
store_choice(const char *path, const setting_t *setting,
             struct json_object *value, void *field, GError **error)
{
    if (!json_object_is_type(value, json_type_string) ||
        !g_strv_contains(setting->choices, json_object_get_string(value))) {
        g_autofree char *allowed = g_strjoinv(", ", (char **)setting->choices);

        return set_value_error(path, setting, value, allowed, error);
    }
    *(char **)field = g_strdup(json_object_get_string(value));
    return true;
}

static bool
store_address(const char *path, const setting_t *setting,
              struct json_object *value, void *field, GError **error)
{
    if (!json_object_is_type(value, json_type_string) ||
        !address_parse(json_object_get_string(value), NULL, NULL, NULL)) {
        return set_value_error(path, setting, value,
                               "IPv4:PORT, for example 127.0.0.1:8080", error);
    }
    *(char **)field = g_strdup(json_object_get_string(value));
    return true;
}

static bool
store_list(const char *path, const setting_t *setting,
           struct json_object *value, void *field, GError **error)
{
    bool addresses = setting->type == SETTING_ADDRESS_LIST;
    g_autoptr(GPtrArray) items = NULL;
    size_t count;

    if (!json_object_is_type(value, json_type_array)) {
        return set_value_error(path, setting, value, "an array of strings",
                               error);
    }
    items = g_ptr_array_new_with_free_func(g_free);
    count = json_object_array_length(value);
    for (size_t i = 0; i < count; i++) {
        struct json_object *item = json_object_array_get_idx(value, i);
        char *text = NULL;
        bool stored = addresses
                          ? store_address(path, setting, item, &text, error)
                          : store_string(path, setting, item, &text, error);

        if (!stored) {
            return false;
        }
        g_ptr_array_add(items, text);
    }
    g_ptr_array_add(items, NULL);
    *(char ***)field =
        (char **)g_ptr_array_free(g_steal_pointer(&items), FALSE);
    return true;
}

typedef bool (*store_fn)(const char *path, const setting_t *setting,
                         struct json_object *value, void *field,
                         GError **error);

static const store_fn store_functions[] = {
    [SETTING_STRING] = store_string,    [SETTING_INTEGER] = store_integer,
    [SETTING_BOOLEAN] = store_boolean,  [SETTING_CHOICE] = store_choice,
    [SETTING_ADDRESS] = store_address,  [SETTING_ADDRESS_LIST] = store_list,
    [SETTING_STRING_LIST] = store_list, [SETTING_TEXT] = store_text,
};

static void
store_default(const setting_t *setting, void *field)
{
    switch (setting->type) {
    case SETTING_INTEGER:
        *(int64_t *)field = setting->default_value;
        break;
    case SETTING_BOOLEAN:
        *(gboolean *)field = setting->default_value != 0;
        break;
    case SETTING_ADDRESS_LIST:
    case SETTING_STRING_LIST:
        *(char ***)field = g_new0(char *, 1);
        break;
    default:
        *(char **)field = g_strdup(setting->default_string);
        break;
    }
}

static const setting_t *
find_setting(const setting_t *table, const char *key)
{
    for (const setting_t *setting = table; setting->key; setting++) {
        if (strcmp(setting->key, key) == 0) {
            return setting;
        }
    }
    return NULL;
}

static bool
check_keys(const char *path, const setting_t *table, struct json_object *root,
           GError **error)
{
    json_object_object_foreach(root, key, value)
    {
        g_autoptr(GString) allowed = NULL;

        if (find_setting(table, key) != NULL) {
            continue;
        }
        allowed = g_string_new(NULL);
        for (const setting_t *setting = table; setting->key; setting++) {
            g_string_append_printf(allowed, "%s%s", allowed->len ? ", " : "",
                                   setting->key);
        }
        g_set_error(error, TEASEL_ERROR, ERROR_INVALID,
                    "%s: unknown key \"%s\" with value %s; allowed: %s", path,
                    key, json_object_to_json_string(value), allowed->str);
        return false;
    }
    return true;
}

static bool
store_settings(const char *path, const setting_t *table,
               struct json_object *root, void *out, GError **error)
{
    for (const setting_t *setting = table; setting->key; setting++) {
        void *field = (char *)out + setting->offset;
        struct json_object *value = NULL;

        if (json_object_object_get_ex(root, setting->key, &value)) {
            if (!store_functions[setting->type](path, setting, value, field,
                                                error)) {
                return false;
            }
        }
        else if (setting->required) {
            g_set_error(error, TEASEL_ERROR, ERROR_INVALID,
                        "%s: key \"%s\" is missing", path, setting->key);
            return false;
        }
        else {
            store_default(setting, field);
        }
    }
    return true;
}

bool
settings_load(const char *path, const setting_t *table, void *out,
              GError **error)
{
    g_autofree char *text = NULL;
    g_autoptr(GError) read_error = NULL;
    struct json_object *root;
    gsize length;
    bool loaded;

    if (!g_file_get_contents(path, &text, &length, &read_error)) {
        g_set_error(error, TEASEL_ERROR, ERROR_INVALID, "%s",
                    read_error->message);
        return false;
    }
    root = parse_text(path, text, length, error);
    if (root == NULL) {
        return false;
    }
    loaded = check_keys(path, table, root, error) &&
             store_settings(path, table, root, out, error);
    json_object_put(root);
    if (!loaded) {
        settings_clear(table, out);
    }
    return loaded;
}

void
settings_clear(const setting_t *table, void *out)
{
    for (const setting_t *setting = table; setting->key; setting++) {
        void *field = (char *)out + setting->offset;

        switch (setting->type) {
        case SETTING_INTEGER:
        case SETTING_BOOLEAN:
            break;
        case SETTING_ADDRESS_LIST:
        case SETTING_STRING_LIST:
            g_clear_pointer((char ***)field, g_strfreev);
            break;
        default:
            g_clear_pointer((char **)field, g_free);
            break;
        }
    }
}

bool
settings_check_order(const char *path, const char *low_key, int64_t low,
                     const char *high_key, int64_t high, GError **error)
{
    if (low <= high) {
        return true;
    }
    g_set_error(error, TEASEL_ERROR, ERROR_INVALID,
                "%s: key \"%s\": found %" PRId64 "; allowed: at most %" PRId64
                ", from key \"%s\"",
                path, low_key, low, high, high_key);
    return false;
}

bool
address_parse(const char *text, char *host, uint16_t *port, GError **error)
{
    const char *colon = strrchr(text, ':');
    char buffer[INET_ADDRSTRLEN];
    struct in_addr address;
    guint64 number = 0;

    /* An address has one spelling, as addresses are compared as texts. */
    if (colon != NULL && colon[1] != '0' &&
        (size_t)(colon - text) < sizeof(buffer)) {
        memcpy(buffer, text, (size_t)(colon - text));
        buffer[colon - text] = '\0';
        if (inet_pton(AF_INET, buffer, &address) == 1 &&
            g_ascii_string_to_unsigned(colon + 1, 10, 1, 65535, &number,
                                       NULL)) {
            if (host != NULL) {
                memcpy(host, buffer, (size_t)(colon - text) + 1);
            }
            if (port != NULL) {
                *port = (uint16_t)number;
            }
            return true;
        }
    }
    g_set_error(error, TEASEL_ERROR, ERROR_INVALID,
                "address \"%s\" is not IPv4:PORT", text);
    return false;
}

static void
append_if_changed(const setting_t *setting, const void *live,
                  const void *fresh, GString *kept)
{
    const char *old = *(char *const *)((const char *)live + setting->offset);
    const char *new = *(char *const *)((const char *)fresh + setting->offset);

    if (g_strcmp0(old, new) != 0) {
        g_string_append_printf(kept, "%s%s", kept->len > 0 ? "," : "",
                               setting->key);
    }
}

void
settings_apply(const setting_t *table, void *live, const void *fresh,
               GString *kept)
{
    for (const setting_t *setting = table; setting->key; setting++) {
        char *to = (char *)live + setting->offset;
        const char *from = (const char *)fresh + setting->offset;

        switch (setting->type) {
        case SETTING_INTEGER:
            memcpy(to, from, sizeof(int64_t));
            break;
        case SETTING_BOOLEAN:
            memcpy(to, from, sizeof(gboolean));
            break;
        case SETTING_STRING:
        case SETTING_CHOICE:
        case SETTING_ADDRESS:
        case SETTING_TEXT:
            append_if_changed(setting, live, fresh, kept);
            break;
        default:
            break; /* lists take effect at the next start only */
        }
    }
}
