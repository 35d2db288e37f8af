#include <inttypes.h>
#include <stdio.h>

#include "operator/ctl_processes.h"

enum {
    POLL_INTERVAL_MS = 50,
};

void
ctl_processes_print(struct json_object *list)
{
    g_autoptr(GPtrArray) rows =
        g_ptr_array_new_with_free_func((GDestroyNotify)g_strfreev);
    static const char *const keys[] = {"process",     "id",     "data_centre",
                                       "config_next", "ticket", "lag",
                                       "state",       NULL};
    static const char *const titles[] = {
        "PROCESS", "ID",  "DATA CENTRE", "NEXT OFFSET",
        "TICKET",  "LAG", "STATE",       NULL};

    g_ptr_array_add(rows, g_strdupv((char **)titles));
    for (size_t i = 0; i < json_object_array_length(list); i++) {
        struct json_object *item = json_object_array_get_idx(list, i);
        char **row = g_new0(char *, G_N_ELEMENTS(keys));

        for (size_t k = 0; keys[k] != NULL; k++) {
            row[k] = g_strdup(ctl_json_get_string(item, keys[k]));
        }
        g_ptr_array_add(rows, row);
    }
    ctl_print_table(rows);
}

int
ctl_processes_wait(ctl_t *ctl, uint64_t next, struct json_object *out)
{
    ctl_processes_t *processes = ctl_processes_new();
    struct timespec start = clock_get_monotonic(ctl->clock);
    const bool never = false;
    bool first = true;
    bool reached;
    int64_t waited;

    do {
        ctl_wait(ctl, &never, first ? 0 : POLL_INTERVAL_MS);
        first = false;
        reached = ctl_processes_poll(ctl, processes) &&
                  ctl_processes_count_lagging(processes, next) == 0;
        waited = timespec_diff_ms(clock_get_monotonic(ctl->clock), start);
    } while (!reached && waited < ctl->settings.timeout_ms);
    json_object_object_add(
        out, "processes",
        ctl_processes_to_json(processes, config_reader_get_state(ctl->reader),
                              next));
    ctl_processes_free(processes);
    ctl_json_add_number(out, "waited_ms", (uint64_t)waited);
    return reached ? CTL_DONE : CTL_UNKNOWN;
}

void
ctl_processes_print_wait(struct json_object *out)
{
    struct json_object *list = ctl_json_get(out, "processes");
    size_t lagging = 0;

    if (list == NULL) {
        return;
    }
    for (size_t i = 0; i < json_object_array_length(list); i++) {
        struct json_object *item = json_object_array_get_idx(list, i);

        lagging += ctl_json_get_number(item, "lag") > 0;
    }
    printf("in force on %zu of %zu processes after %" PRIu64 " ms\n",
           json_object_array_length(list) - lagging,
           json_object_array_length(list),
           ctl_json_get_number(out, "waited_ms"));
    if (lagging > 0) {
        ctl_processes_print(list);
    }
}
