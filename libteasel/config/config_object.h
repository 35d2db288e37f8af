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
 * @head: common to all kinds
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
 * config_object_check_name() - find the kind of an object KIND/NAME
 * @kind: may be NULL
 */
bool config_object_check_name(const char *object, config_kind_t *kind,
                              GError **error);

/**
 * config_object_get_defaults() - settings of an object that no ticket names
 */
void config_object_get_defaults(config_kind_t kind, config_value_t *value);

/**
 * config_object_parse() - validate the settings of an object
 * @object: KIND/NAME, named in errors
 * @body: JSON object; keys that are missing take their presets
 * @error: names the object, the key, the found value and what is allowed
 */
bool config_object_parse(const char *object, struct json_object *body,
                         config_value_t *value, GError **error);

/**
 * config_object_to_json() - all settings of an object, with presets
 *
 * Return: a new JSON object with the keys in the order of the table.
 */
struct json_object *config_object_to_json(config_kind_t kind,
                                          const config_value_t *value);

/**
 * config_object_get_prefix() - "service/", "team/" or "policy/"
 */
const char *config_object_get_prefix(config_kind_t kind);

#ifdef __cplusplus
}
#endif

#endif
