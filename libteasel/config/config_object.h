#ifndef TEASEL_CONFIG_CONFIG_OBJECT_H
#define TEASEL_CONFIG_CONFIG_OBJECT_H

#include <glib.h>
#include <json-c/json.h>
#include <stdbool.h>

#include "config/config_types.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef enum config_kind {
    CONFIG_SERVICE,
    CONFIG_TEAM,
    CONFIG_POLICY,
    CONFIG_KIND_COUNT
} config_kind_t;

/**
 * union config_value - typed settings of an object
 * @head: fields at the start of the settings of every kind
 */
typedef union config_value {
    struct {
        bool declared;
        uint64_t ticket;
    } head;
    config_service_t service;
    config_team_t team;
    config_policy_t policy;
} config_value_t;

/**
 * config_object_check_name() - validate an object name and find its kind
 * @object: KIND/NAME
 * @kind: receives the kind, may be NULL
 *
 * Return: false with ERROR_INVALID if the kind is unknown or NAME is invalid.
 */
bool config_object_check_name(const char *object, config_kind_t *kind,
                              GError **error);

/**
 * config_object_get_defaults() - get the settings of an object that is not in
 * force
 */
void config_object_get_defaults(config_kind_t kind, config_value_t *value);

/**
 * config_object_parse() - validate the settings of an object
 * @object: KIND/NAME, for error messages
 * @body: JSON object; missing keys take their default values
 * @error: names the object, the key, the value found and the allowed values
 */
bool config_object_parse(const char *object, struct json_object *body,
                         config_value_t *value, GError **error);

/**
 * config_object_to_json() - convert all settings of an object, including
 * default values
 *
 * Return: a new JSON object with the keys in the order of the key table.
 */
struct json_object *config_object_to_json(config_kind_t kind,
                                          const config_value_t *value);

/**
 * config_object_get_prefix() - get "service/", "team/" or "policy/"
 */
const char *config_object_get_prefix(config_kind_t kind);

#ifdef __cplusplus
}
#endif

#endif
