#include "config/config_object.h"

#include <inttypes.h>
#include <stddef.h>
#include <string.h>

#include "base/error.h"

enum {
    NAME_MAX_LENGTH = 63,
    MAX_SLOTS = 10000,
    MAX_DEADLINE_MS = 3600000,
    MAX_CPU_MILLI = 1000000000,
    MAX_ACCELERATORS = 1000000,
    MAX_LEASE_MS = 600000,
};

#define MAX_MEMORY_MB INT64_C(1000000000000)

typedef struct config_key {
    const char *name;
    size_t offset;
    int64_t min;
    int64_t max;
    int64_t default_value;
    const char *const *choices; /* value is the index; NULL for integers */
} config_key_t;

typedef struct config_kind_info {
    const char *prefix;
    const config_key_t *keys; /* ends with a NULL name */
    bool (*check)(const char *object, const config_value_t *value,
                  GError **error);
} config_kind_info_t;

static const char *const idempotent_choices[] = {"method", "no", "yes", NULL};

#define SERVICE(field) offsetof(config_service_t, field)
static const config_key_t service_keys[] = {
    {"slots", SERVICE(slots), 1, MAX_SLOTS, 8, NULL},
    {"connections", SERVICE(connections), 1, MAX_SLOTS, 64, NULL},
    {"queue", SERVICE(queue), 0, 100000, 32, NULL},
    {"default_deadline_ms", SERVICE(default_deadline_ms), 1, MAX_DEADLINE_MS,
     10000, NULL},
    {"max_deadline_ms", SERVICE(max_deadline_ms), 1, MAX_DEADLINE_MS, 60000,
     NULL},
    {"reserved_cpu_milli", SERVICE(reserved_cpu_milli), 0, MAX_CPU_MILLI, 4000,
     NULL},
    {"reserved_memory_mb", SERVICE(reserved_memory_mb), 0, MAX_CPU_MILLI, 8000,
     NULL},
    {"idempotent", SERVICE(idempotent), 0, 0, CONFIG_IDEMPOTENT_BY_METHOD,
     idempotent_choices},
    {NULL, 0, 0, 0, 0, NULL},
};

#define TEAM(field) offsetof(config_team_t, field)
static const config_key_t team_keys[] = {
    {"weight", TEAM(weight), 1, 10000, 100, NULL},
    {"cpu_milli", TEAM(cpu_milli), 0, MAX_CPU_MILLI, MAX_CPU_MILLI, NULL},
    {"memory_mb", TEAM(memory_mb), 0, MAX_MEMORY_MB, MAX_MEMORY_MB, NULL},
    {"accelerators", TEAM(accelerators), 0, MAX_ACCELERATORS, MAX_ACCELERATORS,
     NULL},
    {NULL, 0, 0, 0, 0, NULL},
};

#define POLICY(field) offsetof(config_policy_t, field)
static const config_key_t policy_keys[] = {
    {"throughput_weight", POLICY(throughput_weight), 0, 100, 50, NULL},
    {"eviction_weight", POLICY(eviction_weight), 0, 100, 50, NULL},
    {"tail_weight", POLICY(tail_weight), 0, 100, 50, NULL},
    {"lease_ms", POLICY(lease_ms), 2000, MAX_LEASE_MS, 15000, NULL},
    {"throttle_percent", POLICY(throttle_percent), 1, 1000, 70, NULL},
    {"suspend_percent", POLICY(suspend_percent), 1, 1000, 80, NULL},
    {"checkpoint_percent", POLICY(checkpoint_percent), 1, 1000, 90, NULL},
    {"evict_percent", POLICY(evict_percent), 1, 1000, 95, NULL},
    {"hysteresis_percent", POLICY(hysteresis_percent), 0, 100, 10, NULL},
    {NULL, 0, 0, 0, 0, NULL},
};

static bool
check_order(const char *object, const char *low_key, int64_t low,
            const char *high_key, int64_t high, GError **error)
{
    if (low <= high) {
        return true;
    }
    g_set_error(error, TEASEL_ERROR, ERROR_INVALID,
                "object \"%s\": key \"%s\": found %" PRId64
                "; allowed: at most the value of \"%s\", %" PRId64,
                object, low_key, low, high_key, high);
    return false;
}

static bool
check_service(const char *object, const config_value_t *value, GError **error)
{
    const config_service_t *service = &value->service;

    return check_order(object, "default_deadline_ms",
                       service->default_deadline_ms, "max_deadline_ms",
                       service->max_deadline_ms, error) &&
           check_order(object, "slots", service->slots, "connections",
                       service->connections, error);
}

static bool
check_team(const char *object, const config_value_t *value, GError **error)
{
    return true;
}

static bool
check_policy(const char *object, const config_value_t *value, GError **error)
{
    const config_policy_t *policy = &value->policy;

    return check_order(object, "hysteresis_percent",
                       policy->hysteresis_percent, "throttle_percent",
                       policy->throttle_percent, error) &&
           check_order(object, "throttle_percent", policy->throttle_percent,
                       "suspend_percent", policy->suspend_percent, error) &&
           check_order(object, "suspend_percent", policy->suspend_percent,
                       "checkpoint_percent", policy->checkpoint_percent,
                       error) &&
           check_order(object, "checkpoint_percent",
                       policy->checkpoint_percent, "evict_percent",
                       policy->evict_percent, error);
}

static const config_kind_info_t kinds[CONFIG_KIND_COUNT] = {
    [CONFIG_SERVICE] = {"service/", service_keys, check_service},
    [CONFIG_TEAM] = {"team/", team_keys, check_team},
    [CONFIG_POLICY] = {"policy/", policy_keys, check_policy},
};

static bool
is_name(const char *name)
{
    static const char allowed[] = "abcdefghijklmnopqrstuvwxyz0123456789._-";
    size_t length = strlen(name);

    return length > 0 && length <= NAME_MAX_LENGTH &&
           strspn(name, allowed) == length && g_ascii_isalnum(name[0]);
}

bool
config_object_check_name(const char *object, config_kind_t *kind,
                         GError **error)
{
    for (config_kind_t i = 0; i < CONFIG_KIND_COUNT; i++) {
        if (g_str_has_prefix(object, kinds[i].prefix) &&
            is_name(object + strlen(kinds[i].prefix))) {
            if (kind != NULL) {
                *kind = i;
            }
            return true;
        }
    }
    g_set_error(error, TEASEL_ERROR, ERROR_INVALID,
                "object \"%s\": unknown name; allowed: service/NAME, "
                "team/NAME, policy/NAME, where NAME has 1 to %d of a-z, 0-9, "
                "\".\", \"_\", \"-\" and begins with a letter or digit",
                object, NAME_MAX_LENGTH);
    return false;
}

static int64_t *
get_field(config_value_t *value, const config_key_t *key)
{
    return (int64_t *)((char *)value + key->offset);
}

void
config_object_get_defaults(config_kind_t kind, config_value_t *value)
{
    memset(value, 0, sizeof(*value));
    for (const config_key_t *key = kinds[kind].keys; key->name; key++) {
        *get_field(value, key) = key->default_value;
    }
}

static bool
fail_key(const char *object, const char *key, struct json_object *found,
         const char *allowed, GError **error)
{
    g_set_error(error, TEASEL_ERROR, ERROR_INVALID,
                "object \"%s\": key \"%s\": found %s; allowed: %s", object,
                key,
                json_object_to_json_string_ext(found, JSON_C_TO_STRING_PLAIN),
                allowed);
    return false;
}

static bool
store_choice(const char *object, const config_key_t *key,
             struct json_object *found, int64_t *field, GError **error)
{
    g_autofree char *allowed = NULL;

    if (json_object_is_type(found, json_type_string)) {
        for (int64_t i = 0; key->choices[i] != NULL; i++) {
            if (strcmp(key->choices[i], json_object_get_string(found)) == 0) {
                *field = i;
                return true;
            }
        }
    }
    allowed = g_strjoinv(", ", (char **)key->choices);
    return fail_key(object, key->name, found, allowed, error);
}

static bool
store_integer(const char *object, const config_key_t *key,
              struct json_object *found, int64_t *field, GError **error)
{
    g_autofree char *allowed = NULL;

    /* json-c clamps a number that overflows; it then exceeds key->max. */
    if (json_object_is_type(found, json_type_int)) {
        int64_t number = json_object_get_int64(found);

        if (number >= key->min && number <= key->max) {
            *field = number;
            return true;
        }
    }
    allowed = g_strdup_printf("an integer from %" PRId64 " to %" PRId64,
                              key->min, key->max);
    return fail_key(object, key->name, found, allowed, error);
}

static const config_key_t *
find_key(const config_key_t *keys, const char *name)
{
    for (const config_key_t *key = keys; key->name; key++) {
        if (strcmp(key->name, name) == 0) {
            return key;
        }
    }
    return NULL;
}

static bool
fail_unknown_key(const char *object, const char *name,
                 struct json_object *found, const config_key_t *keys,
                 GError **error)
{
    g_autoptr(GString) allowed = g_string_new("one of the keys");

    for (const config_key_t *key = keys; key->name; key++) {
        g_string_append_printf(allowed, "%s %s", key == keys ? "" : ",",
                               key->name);
    }
    return fail_key(object, name, found, allowed->str, error);
}

bool
config_object_parse(const char *object, struct json_object *body,
                    config_value_t *value, GError **error)
{
    const config_key_t *keys;
    config_kind_t kind;

    if (!config_object_check_name(object, &kind, error)) {
        return false;
    }
    if (!json_object_is_type(body, json_type_object)) {
        g_set_error(error, TEASEL_ERROR, ERROR_INVALID,
                    "object \"%s\": found %s; allowed: a JSON object, or null "
                    "to remove it",
                    object, json_object_to_json_string(body));
        return false;
    }
    keys = kinds[kind].keys;
    config_object_get_defaults(kind, value);
    json_object_object_foreach(body, name, found)
    {
        const config_key_t *key = find_key(keys, name);
        int64_t *field;

        if (key == NULL) {
            return fail_unknown_key(object, name, found, keys, error);
        }
        field = get_field(value, key);
        if (!(key->choices ? store_choice : store_integer)(object, key, found,
                                                           field, error)) {
            return false;
        }
    }
    value->head.declared = true;
    return kinds[kind].check(object, value, error);
}

struct json_object *
config_object_to_json(config_kind_t kind, const config_value_t *value)
{
    struct json_object *out = json_object_new_object();

    for (const config_key_t *key = kinds[kind].keys; key->name; key++) {
        int64_t number = *(const int64_t *)((const char *)value + key->offset);

        json_object_object_add(
            out, key->name,
            key->choices ? json_object_new_string(key->choices[number])
                         : json_object_new_int64(number));
    }
    return out;
}

const char *
config_object_get_prefix(config_kind_t kind)
{
    return kinds[kind].prefix;
}
