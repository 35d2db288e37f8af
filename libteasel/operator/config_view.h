#ifndef TEASEL_OPERATOR_CONFIG_VIEW_H
#define TEASEL_OPERATOR_CONFIG_VIEW_H

#include <json-c/json.h>

#include "config/config.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * config_view_get_objects() - return the objects in force as JSON
 *
 * Return: a new object from object name to {"ticket", "value"}.
 */
struct json_object *config_view_get_objects(const config_t *config);

/**
 * config_view_get_drains() - return the drained agents as JSON
 *
 * Return: a new object from agent id to {"author", "reason"}.
 */
struct json_object *config_view_get_drains(const config_t *config);

#ifdef __cplusplus
}
#endif

#endif
