#include <inttypes.h>
#include <stdio.h>

#include "operator/config_view.h"
#include "operator/ctl.h"
#include "operator/ctl_processes.h"

static void
add_state(struct json_object *out, const config_t *config)
{
    ctl_json_add_number(out, "config_next", config_get_next_offset(config));
    json_object_object_add(out, "objects", config_view_get_objects(config));
    json_object_object_add(out, "drains", config_view_get_drains(config));
}

/* Adds the configuration of an entry; used when the log cannot be read. */
static void
add_entry_state(struct json_object *out, struct json_object *config)
{
    static const char *const keys[] = {"config_next", "objects", "drains"};

    for (size_t i = 0; i < G_N_ELEMENTS(keys); i++) {
        json_object_object_add(out, keys[i],
                               json_object_get(ctl_json_get(config, keys[i])));
    }
}

static void
print_objects(struct json_object *objects)
{
    json_object_object_foreach(objects, name, object)
    {
        struct json_object *value = ctl_json_get(object, "value");

        printf("%s (ticket %" PRIu64 ")\n", name,
               ctl_json_get_number(object, "ticket"));
        json_object_object_foreach(value, key, setting)
        {
            printf("  %s: %s\n", key,
                   json_object_to_json_string_ext(setting,
                                                  JSON_C_TO_STRING_PLAIN));
        }
    }
    if (json_object_object_length(objects) == 0) {
        printf("no ticket is in force; all settings have their defaults\n");
    }
}

static void
print_drains(struct json_object *drains)
{
    json_object_object_foreach(drains, agent, drain)
    {
        printf("agent %s is drained (%s: %s)\n", agent,
               ctl_json_get_string(drain, "author"),
               ctl_json_get_string(drain, "reason"));
    }
}

static void
print_state(struct json_object *out)
{
    printf("next config offset %" PRIu64 "%s\n",
           ctl_json_get_number(out, "config_next"),
           ctl_json_get_flag(out, "log_reachable")
               ? ""
               : " (from an entry; the log cannot be read)");
    print_objects(ctl_json_get(out, "objects"));
    print_drains(ctl_json_get(out, "drains"));
    if (ctl_json_get(out, "processes") != NULL) {
        printf("\n");
        ctl_processes_print(ctl_json_get(out, "processes"));
    }
}

static void
add_processes(struct json_object *out, const ctl_processes_t *processes,
              const config_t *config)
{
    uint64_t next = MAX(ctl_json_get_number(out, "config_next"),
                        ctl_processes_get_max_next(processes));

    json_object_object_add(out, "processes",
                           ctl_processes_to_json(processes, config, next));
}

int
ctl_run_show(ctl_t *ctl)
{
    g_autoptr(ctl_processes_t) processes = ctl_processes_new();
    g_autoptr(GError) error = NULL;
    struct json_object *out;
    bool has_entries = ctl->settings.entries[0] != NULL;
    bool log_read = ctl_open_config(ctl, &error);
    bool entry_read = has_entries && ctl_processes_poll(ctl, processes);

    if (!log_read && !entry_read) {
        return ctl_fail(ctl, error);
    }
    out = json_object_new_object();
    ctl_json_add_flag(out, "log_reachable", log_read);
    if (log_read) {
        add_state(out, config_reader_get_state(ctl->reader));
    }
    else {
        add_entry_state(out, ctl_processes_get_config(processes));
    }
    if (has_entries) {
        add_processes(out, processes,
                      log_read ? config_reader_get_state(ctl->reader) : NULL);
    }
    if (ctl->flags.json) {
        ctl_print_json(out);
    }
    else {
        print_state(out);
        json_object_put(out);
    }
    return log_read && entry_read == has_entries ? CTL_DONE : CTL_UNKNOWN;
}
