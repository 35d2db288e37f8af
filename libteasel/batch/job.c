#include "batch/job.h"

#include <json-c/json.h>
#include <string.h>
#include <xxhash.h>

#include "base/error.h"

typedef enum field_type {
    FIELD_INTEGER,
    FIELD_NAME,
    FIELD_PRIORITY,
    FIELD_BOOLEAN,
} field_type_t;

typedef struct field {
    const char *key;
    field_type_t type;
    bool required;
    int64_t min;
    int64_t max;
} field_t;

/* Upper bounds: a machine of 1,024 processors with 16 TiB of memory and 64
   accelerators, and a run time of 31 days. Sorted by key, which is the order
   of the canonical form. "fail" and "true_*" are read by the workers of the
   tests. */
#define MAX_CPU_MILLI 1024000
#define MAX_MEMORY_MB 16777216
#define MAX_RUN_MS 2678400000
static const field_t fields[] = {
    {"accelerators", FIELD_INTEGER, false, 0, 64},
    {"checkpoint_ms", FIELD_INTEGER, false, 0, MAX_RUN_MS},
    {"class", FIELD_NAME, true, 1, 64},
    {"cpu_milli", FIELD_INTEGER, true, 1, MAX_CPU_MILLI},
    {"fail", FIELD_BOOLEAN, false, 0, 0},
    {"memory_mb", FIELD_INTEGER, true, 1, MAX_MEMORY_MB},
    {"priority", FIELD_PRIORITY, false, 0, 0},
    {"run_ms", FIELD_INTEGER, true, 1, MAX_RUN_MS},
    {"team", FIELD_NAME, true, 1, 64},
    {"true_cpu_milli", FIELD_INTEGER, false, 0, MAX_CPU_MILLI},
    {"true_memory_mb", FIELD_INTEGER, false, 0, MAX_MEMORY_MB},
    {"true_run_ms", FIELD_INTEGER, false, 0, MAX_RUN_MS},
};

static bool
is_name(const char *text, size_t max)
{
    size_t length = strlen(text);

    if (length == 0 || length > max) {
        return false;
    }
    for (size_t i = 0; i < length; i++) {
        if (!g_ascii_isalnum(text[i]) && strchr("._-", text[i]) == NULL) {
            return false;
        }
    }
    return true;
}

bool
job_id_check(const char *id, GError **error)
{
    if (!is_name(id, JOB_ID_MAX)) {
        g_set_error(error, TEASEL_ERROR, ERROR_INVALID,
                    "job id \"%.80s\": allowed are 1 to %d letters, digits, "
                    "dots, dashes and underscores",
                    id, JOB_ID_MAX);
        return false;
    }
    return true;
}

static bool
reject(GError **error, const field_t *field, struct json_object *value,
       const char *allowed)
{
    g_set_error(error, TEASEL_ERROR, ERROR_INVALID,
                "key \"%s\": found %.80s, allowed is %s", field->key,
                value ? json_object_to_json_string(value) : "nothing",
                allowed);
    return false;
}

static bool
check_integer(const field_t *field, struct json_object *value, GError **error)
{
    g_autofree char *allowed = g_strdup_printf(
        "an integer from %" G_GINT64_FORMAT " to %" G_GINT64_FORMAT,
        field->min, field->max);

    if (!json_object_is_type(value, json_type_int) ||
        json_object_get_int64(value) < field->min ||
        json_object_get_int64(value) > field->max) {
        return reject(error, field, value, allowed);
    }
    return true;
}

static bool
check_text(const field_t *field, struct json_object *value, GError **error)
{
    const char *text;

    if (!json_object_is_type(value, json_type_string)) {
        return reject(error, field, value, "a string");
    }
    text = json_object_get_string(value);
    if (field->type == FIELD_NAME && !is_name(text, (size_t)field->max)) {
        return reject(error, field, value,
                      "1 to 64 letters, digits, dots, dashes and underscores");
    }
    if (field->type == FIELD_PRIORITY && strcmp(text, "normal") != 0 &&
        strcmp(text, "urgent") != 0) {
        return reject(error, field, value, "\"normal\" or \"urgent\"");
    }
    return true;
}

static bool
check_field(const field_t *field, struct json_object *value, GError **error)
{
    if (value == NULL) {
        return !field->required ||
               reject(error, field, value, "a value, the key is required");
    }
    if (field->type == FIELD_INTEGER) {
        return check_integer(field, value, error);
    }
    if (field->type == FIELD_BOOLEAN) {
        return json_object_is_type(value, json_type_boolean) ||
               reject(error, field, value, "true or false");
    }
    return check_text(field, value, error);
}

static bool
check_keys_known(struct json_object *object, GError **error)
{
    json_object_object_foreach(object, key, value)
    {
        bool known = false;

        for (size_t i = 0; i < G_N_ELEMENTS(fields) && !known; i++) {
            known = strcmp(fields[i].key, key) == 0;
        }
        if (!known) {
            g_set_error(error, TEASEL_ERROR, ERROR_INVALID,
                        "key \"%.80s\": found %.80s, but a job specification "
                        "has no such key",
                        key, json_object_to_json_string(value));
            return false;
        }
    }
    return true;
}

static int64_t
get_integer(struct json_object *object, const char *key)
{
    return json_object_get_int64(json_object_object_get(object, key));
}

static char *
get_interned(struct json_object *object, const char *key)
{
    return g_ref_string_new_intern(
        json_object_get_string(json_object_object_get(object, key)));
}

static void
fill_spec(struct json_object *object, job_spec_t *spec)
{
    const char *priority =
        json_object_get_string(json_object_object_get(object, "priority"));

    spec->team = get_interned(object, "team");
    spec->class_name = get_interned(object, "class");
    spec->priority =
        g_strcmp0(priority, "urgent") == 0 ? JOB_URGENT : JOB_NORMAL;
    spec->size.cpu_milli = (uint32_t)get_integer(object, "cpu_milli");
    spec->size.memory_mb = (uint64_t)get_integer(object, "memory_mb");
    spec->size.accelerators = (uint32_t)get_integer(object, "accelerators");
    spec->run_ms = (uint64_t)get_integer(object, "run_ms");
    spec->checkpoint_ms = (uint64_t)get_integer(object, "checkpoint_ms");
}

static char *
make_canonical(struct json_object *object)
{
    struct json_object *sorted = json_object_new_object();
    char *text;

    for (size_t i = 0; i < G_N_ELEMENTS(fields); i++) {
        struct json_object *value =
            json_object_object_get(object, fields[i].key);

        if (value != NULL) {
            json_object_object_add(sorted, fields[i].key,
                                   json_object_get(value));
        }
        else if (fields[i].type == FIELD_PRIORITY) {
            json_object_object_add(sorted, fields[i].key,
                                   json_object_new_string("normal"));
        }
    }
    text = g_strdup(json_object_to_json_string_ext(
        sorted, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE));
    json_object_put(sorted);
    return text;
}

static struct json_object *
parse_object(const void *text, size_t length, GError **error)
{
    struct json_tokener *tokener;
    struct json_object *object;
    enum json_tokener_error status;

    if (length > JOB_SPEC_MAX) {
        g_set_error(error, TEASEL_ERROR, ERROR_TOO_LARGE,
                    "job specification of %zu bytes: at most %d are allowed",
                    length, JOB_SPEC_MAX);
        return NULL;
    }
    tokener = json_tokener_new_ex(8);
    json_tokener_set_flags(tokener, JSON_TOKENER_STRICT);
    object = json_tokener_parse_ex(tokener, text, (int)length);
    status = json_tokener_get_error(tokener);
    if (status != json_tokener_success ||
        !json_object_is_type(object, json_type_object)) {
        g_set_error(error, TEASEL_ERROR, ERROR_INVALID,
                    "job specification: byte %zu: %s",
                    json_tokener_get_parse_end(tokener),
                    status != json_tokener_success
                        ? json_tokener_error_desc(status)
                        : "expected an object");
        g_clear_pointer(&object, json_object_put);
    }
    json_tokener_free(tokener);
    return object;
}

bool
job_spec_parse(const void *text, size_t length, job_spec_t *spec,
               char **canonical, GError **error)
{
    struct json_object *object = parse_object(text, length, error);
    bool ok = object != NULL && check_keys_known(object, error);

    memset(spec, 0, sizeof(*spec));
    for (size_t i = 0; ok && i < G_N_ELEMENTS(fields); i++) {
        ok = check_field(&fields[i],
                         json_object_object_get(object, fields[i].key), error);
    }
    if (ok) {
        fill_spec(object, spec);
        if (canonical != NULL) {
            *canonical = make_canonical(object);
        }
    }
    g_clear_pointer(&object, json_object_put);
    return ok;
}

void
job_spec_clear(job_spec_t *spec)
{
    g_clear_pointer(&spec->team, g_ref_string_release);
    g_clear_pointer(&spec->class_name, g_ref_string_release);
}

uint64_t
job_body_hash(const void *canonical, size_t length)
{
    return XXH64(canonical, length, 0);
}
