#ifndef TEASEL_OPERATOR_CONFIG_VIEW_H
#define TEASEL_OPERATOR_CONFIG_VIEW_H

#include <json-c/json.h>

#include "config/config.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * config_view_get_objects() - objects in force by name: {"ticket", "value"}
 */
struct json_object *config_view_get_objects(const config_t *config);

/**
 * config_view_get_drains() - drained agents by id: {"author", "reason"}
 */
struct json_object *config_view_get_drains(const config_t *config);

#ifdef __cplusplus
}
#endif

#endif
