#include <stdio.h>
#include <string.h>

#include "operator/ctl.h"
#include "operator/ctl_http.h"

static const char *
describe_state(struct json_object *member)
{
    static const struct {
        const char *key;
        bool value;
        const char *text;
    } states[] = {
        {"connected", false, "lost"},
        {"drained", true, "drained"}, /* a drained agent is also leaving */
        {"leaving", true, "leaving"},
        {"ejected", true, "ejected"},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(states); i++) {
        if (ctl_json_get_flag(member, states[i].key) == states[i].value) {
            return states[i].text;
        }
    }
    return "usable";
}

static char *
join_services(struct json_object *member)
{
    struct json_object *list = ctl_json_get(member, "services");
    GString *text = g_string_new(NULL);

    for (size_t i = 0; list != NULL && i < json_object_array_length(list);
         i++) {
        g_string_append_printf(
            text, "%s%s", i > 0 ? "," : "",
            json_object_get_string(json_object_array_get_idx(list, i)));
    }
    return g_string_free(text, FALSE);
}

static void
print_members(struct json_object *list)
{
    static const char *const titles[] = {
        "AGENT", "DATA CENTRE",  "RACK", "SERVICES", "RUNNING", "QUEUED",
        "SLOTS", "SERVICE TIME", "AGE",  "STATE",    NULL};
    g_autoptr(GPtrArray) rows =
        g_ptr_array_new_with_free_func((GDestroyNotify)g_strfreev);

    g_ptr_array_add(rows, g_strdupv((char **)titles));
    for (size_t i = 0; list != NULL && i < json_object_array_length(list);
         i++) {
        struct json_object *member = json_object_array_get_idx(list, i);
        char **row = g_new0(char *, G_N_ELEMENTS(titles));

        row[0] = g_strdup(ctl_json_get_string(member, "agent_id"));
        row[1] = g_strdup(ctl_json_get_string(member, "data_centre"));
        row[2] = g_strdup(ctl_json_get_string(member, "rack"));
        row[3] = join_services(member);
        row[4] = g_strdup(ctl_json_get_string(member, "running"));
        row[5] = g_strdup(ctl_json_get_string(member, "queued"));
        row[6] = g_strdup(ctl_json_get_string(member, "slots"));
        row[7] = g_strdup_printf(
            "%s us", ctl_json_get_string(member, "service_time_us"));
        row[8] = g_strdup_printf("%s ms",
                                 ctl_json_get_string(member, "report_age_ms"));
        row[9] = g_strdup(describe_state(member));
        g_ptr_array_add(rows, row);
    }
    ctl_print_table(rows);
}

/* Compares numbers by value: agent-2 sorts before agent-10. */
static int
compare_members(const void *a, const void *b)
{
    return strverscmp(
        ctl_json_get_string(*(struct json_object *const *)a, "agent_id"),
        ctl_json_get_string(*(struct json_object *const *)b, "agent_id"));
}

int
ctl_run_members(ctl_t *ctl)
{
    g_autoptr(GError) error = NULL;
    int status;
    struct json_object *answer =
        ctl_fetch_any(ctl, "GET", "/admin/members", NULL, &status, &error);
    struct json_object *list;

    if (answer == NULL) {
        return ctl_fail(ctl, error);
    }
    list = ctl_json_get(answer, "members");
    if (json_object_is_type(list, json_type_array)) {
        json_object_array_sort(list, compare_members);
    }
    if (ctl->flags.json) {
        ctl_print_json(answer);
        return CTL_DONE;
    }
    printf("entry %s\n", ctl_json_get_string(answer, "entry_id"));
    print_members(list);
    json_object_put(answer);
    return CTL_DONE;
}
