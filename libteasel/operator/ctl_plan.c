#include "operator/ctl_plan.h"

#include <inttypes.h>
#include <string.h>

static void
step_free(gpointer data)
{
    ctl_step_t *step = data;

    g_free(step->path);
    ticket_free(step->ticket);
    config_result_clear(&step->result);
    json_object_put(step->changes);
    g_free(step);
}

static bool
load_file(GPtrArray *steps, const char *path, GError **error)
{
    g_autofree char *text = NULL;
    ctl_step_t *step;
    ticket_t *ticket;
    gsize length;

    if (!ctl_read_file(path, &text, &length, error)) {
        return false;
    }
    ticket = ticket_parse(text, length, path, error);
    if (ticket == NULL) {
        return false;
    }
    step = g_new0(ctl_step_t, 1);
    step->path = g_strdup(path);
    step->ticket = ticket;
    g_ptr_array_add(steps, step);
    return true;
}

static bool
load_directory(GPtrArray *steps, const char *path, GError **error)
{
    g_autoptr(GDir) dir = g_dir_open(path, 0, NULL);
    const char *name;

    if (dir == NULL) {
        g_set_error(error, TEASEL_ERROR, ERROR_INVALID,
                    "%s: the directory cannot be read", path);
        return false;
    }
    while ((name = g_dir_read_name(dir)) != NULL) {
        g_autofree char *file = g_build_filename(path, name, NULL);

        if (g_str_has_suffix(name, ".json") &&
            !load_file(steps, file, error)) {
            return false;
        }
    }
    if (steps->len == 0) {
        g_set_error(error, TEASEL_ERROR, ERROR_INVALID,
                    "directory %s contains no *.json files", path);
        return false;
    }
    return true;
}

static int
compare_steps(gconstpointer a, gconstpointer b)
{
    const ctl_step_t *first = *(const ctl_step_t *const *)a;
    const ctl_step_t *second = *(const ctl_step_t *const *)b;

    if (first->ticket->number != second->ticket->number) {
        return first->ticket->number < second->ticket->number ? -1 : 1;
    }
    return strcmp(first->path, second->path);
}

static bool
check_numbers(const GPtrArray *steps, GError **error)
{
    for (guint i = 1; i < steps->len; i++) {
        const ctl_step_t *previous = steps->pdata[i - 1];
        const ctl_step_t *step = steps->pdata[i];

        if (previous->ticket->number == step->ticket->number) {
            g_set_error(error, TEASEL_ERROR, ERROR_CONFLICT,
                        "%s and %s have the same ticket number %" PRIu64,
                        previous->path, step->path, step->ticket->number);
            return false;
        }
    }
    return true;
}

GPtrArray *
ctl_plan_load(const char *path, GError **error)
{
    g_autoptr(GPtrArray) steps = g_ptr_array_new_with_free_func(step_free);
    bool is_directory = g_file_test(path, G_FILE_TEST_IS_DIR);

    if (!(is_directory ? load_directory : load_file)(steps, path, error)) {
        return NULL;
    }
    g_ptr_array_sort(steps, compare_steps);
    if (!check_numbers(steps, error)) {
        return NULL;
    }
    return g_steal_pointer(&steps);
}

void
ctl_plan_fill_record(const ticket_t *ticket, Teasel__Ticket *body,
                     Teasel__LogRecord *record)
{
    teasel__ticket__init(body);
    body->number = ticket->number;
    body->author = ticket->author;
    body->reason = ticket->reason;
    body->body.data = (uint8_t *)ticket->canonical;
    body->body.len = strlen(ticket->canonical);
    teasel__log_record__init(record);
    record->body_case = TEASEL__LOG_RECORD__BODY_TICKET;
    record->ticket = body;
}

static struct json_object *
get_settings(const config_t *config, const ticket_object_t *object)
{
    const char *name = strchr(object->name, '/') + 1;

    return config_object_to_json(object->kind,
                                 config_get_value(config, object->kind, name));
}

static struct json_object *
compare_settings(struct json_object *before, struct json_object *after)
{
    struct json_object *keys = json_object_new_object();

    json_object_object_foreach(after, key, value)
    {
        struct json_object *old = json_object_object_get(before, key);
        struct json_object *pair;

        if (json_object_equal(old, value)) {
            continue;
        }
        pair = json_object_new_array();
        json_object_array_add(pair, json_object_get(old));
        json_object_array_add(pair, json_object_get(value));
        json_object_object_add(keys, key, pair);
    }
    return keys;
}

static const char *
describe_change(bool existed, bool exists)
{
    if (existed) {
        return exists ? "changed" : "removed";
    }
    return exists ? "new" : "absent";
}

/* Returns the objects that the ticket names, with their settings in @config,
   including default values. */
static struct json_object *
collect_objects(const config_t *config, const ticket_t *ticket)
{
    struct json_object *objects = json_object_new_object();

    for (guint i = 0; i < ticket->objects->len; i++) {
        const ticket_object_t *object = ticket->objects->pdata[i];
        struct json_object *item = json_object_new_object();

        ctl_json_add_flag(item, "there",
                          config_find_object(config, object->name) != NULL);
        json_object_object_add(item, "settings", get_settings(config, object));
        json_object_object_add(objects, object->name, item);
    }
    return objects;
}

static struct json_object *
compare_objects(struct json_object *before, struct json_object *after)
{
    struct json_object *changes = json_object_new_object();

    json_object_object_foreach(after, name, new)
    {
        struct json_object *old = ctl_json_get(before, name);
        struct json_object *change = json_object_new_object();

        ctl_json_add_string(change, "change",
                            describe_change(ctl_json_get_flag(old, "there"),
                                            ctl_json_get_flag(new, "there")));
        json_object_object_add(
            change, "keys",
            compare_settings(ctl_json_get(old, "settings"),
                             ctl_json_get(new, "settings")));
        json_object_object_add(changes, name, change);
    }
    return changes;
}

static bool
check_result(const ctl_step_t *step, const config_t *config, GError **error)
{
    const config_result_t *result = &step->result;

    if (result->verdict == CONFIG_REFUSED) {
        g_set_error(error, TEASEL_ERROR, (gint)result->kind, "%s: %s",
                    step->path, result->message);
        return false;
    }
    if (result->verdict == CONFIG_REPEATED && !result->accepted) {
        g_set_error(error, TEASEL_ERROR, ERROR_STALE,
                    "%s: ticket %" PRIu64 " was refused at offset %" PRIu64
                    "; use a higher number",
                    step->path, step->ticket->number,
                    config_find_ticket(config, step->ticket->number)->offset);
        return false;
    }
    return true;
}

static bool
dry_run_step(ctl_step_t *step, config_t *config, GError **error)
{
    struct json_object *before = collect_objects(config, step->ticket);
    struct json_object *after;
    Teasel__Ticket body;
    Teasel__LogRecord record;
    bool ok;

    ctl_plan_fill_record(step->ticket, &body, &record);
    config_apply(config, &record, config_get_next_offset(config),
                 &step->result);
    ok = check_result(step, config, error);
    if (ok) {
        after = collect_objects(config, step->ticket);
        step->changes = compare_objects(before, after);
        json_object_put(after);
    }
    json_object_put(before);
    return ok;
}

bool
ctl_plan_dry_run(GPtrArray *steps, const config_t *config, bool is_directory,
                 GError **error)
{
    g_autoptr(config_t) copy = config_clone(config);

    for (guint i = 0; i < steps->len; i++) {
        ctl_step_t *step = steps->pdata[i];

        step->skipped = is_directory &&
                        step->ticket->number < config_get_ticket_floor(config);
        if (!step->skipped && !dry_run_step(step, copy, error)) {
            return false;
        }
    }
    return true;
}
