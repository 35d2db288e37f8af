#include "operator/config_view.h"

static void
add_object(const config_object_t *object, void *data)
{
    struct json_object *item = json_object_new_object();

    json_object_object_add(item, "ticket",
                           json_object_new_uint64(object->ticket));
    json_object_object_add(
        item, "value", config_object_to_json(object->kind, &object->value));
    json_object_object_add(data, object->name, item);
}

static void
add_drain(const config_drain_t *drain, void *data)
{
    struct json_object *item = json_object_new_object();

    json_object_object_add(item, "author",
                           json_object_new_string(drain->author));
    json_object_object_add(item, "reason",
                           json_object_new_string(drain->reason));
    json_object_object_add(data, drain->agent_id, item);
}

struct json_object *
config_view_get_objects(const config_t *config)
{
    struct json_object *objects = json_object_new_object();

    config_foreach_object(config, add_object, objects);
    return objects;
}

struct json_object *
config_view_get_drains(const config_t *config)
{
    struct json_object *drains = json_object_new_object();

    config_foreach_drain(config, add_drain, drains);
    return drains;
}
