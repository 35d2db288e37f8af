#include <stdio.h>
#include <string.h>

#include "operator/ctl.h"
#include "operator/ctl_http.h"

enum {
    MAX_JOB_ID_LENGTH = 128,
};

static bool
check_id(const char *id, GError **error)
{
    static const char allowed[] = "abcdefghijklmnopqrstuvwxyz"
                                  "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-";
    size_t length = strlen(id);

    if (length >= 1 && length <= MAX_JOB_ID_LENGTH &&
        strspn(id, allowed) == length) {
        return true;
    }
    g_set_error(error, TEASEL_ERROR, ERROR_INVALID,
                "job id \"%s\": allowed: 1 to %d letters, digits, \".\", "
                "\"_\" or \"-\"",
                id, MAX_JOB_ID_LENGTH);
    return false;
}

static void
print_keys(struct json_object *object)
{
    json_object_object_foreach(object, key, value)
    {
        if (value == NULL) {
            continue;
        }
        printf("%s: %s\n", key,
               json_object_is_type(value, json_type_string)
                   ? json_object_get_string(value)
                   : json_object_to_json_string_ext(value,
                                                    JSON_C_TO_STRING_PLAIN));
    }
}

/* Compares numbers by value: job-2 sorts before job-10. */
static int
compare_jobs(const void *a, const void *b)
{
    return strverscmp(
        ctl_json_get_string(*(struct json_object *const *)a, "job_id"),
        ctl_json_get_string(*(struct json_object *const *)b, "job_id"));
}

static int
print_list(ctl_t *ctl)
{
    static const char *const titles[] = {"JOB",  "STATE",  "ATTEMPT", "WORKER",
                                         "TEAM", "DETAIL", NULL};
    static const char *const keys[] = {"job_id", "state",  "attempt", "worker",
                                       "team",   "detail", NULL};
    g_autoptr(GPtrArray) rows =
        g_ptr_array_new_with_free_func((GDestroyNotify)g_strfreev);
    g_autoptr(GError) error = NULL;
    int status;
    struct json_object *answer =
        ctl_fetch_any(ctl, "GET", "/admin/jobs", NULL, &status, &error);
    struct json_object *jobs = ctl_json_get(answer, "jobs");

    if (answer == NULL) {
        return ctl_fail(ctl, error);
    }
    if (json_object_is_type(jobs, json_type_array)) {
        json_object_array_sort(jobs, compare_jobs);
    }
    if (ctl->flags.json) {
        ctl_print_json(answer);
        return CTL_DONE;
    }
    g_ptr_array_add(rows, g_strdupv((char **)titles));
    for (size_t i = 0; jobs != NULL && i < json_object_array_length(jobs);
         i++) {
        struct json_object *job = json_object_array_get_idx(jobs, i);
        char **row = g_new0(char *, G_N_ELEMENTS(keys));

        for (size_t k = 0; keys[k] != NULL; k++) {
            row[k] = g_strdup(ctl_json_get_string(job, keys[k]));
        }
        g_ptr_array_add(rows, row);
    }
    ctl_print_table(rows);
    json_object_put(answer);
    return CTL_DONE;
}

static int
request(ctl_t *ctl, const char *method, const char *id, const char *body,
        const char *success)
{
    g_autofree char *target = g_strdup_printf("/jobs/%s", id);
    g_autoptr(GError) error = NULL;
    struct json_object *answer = NULL;
    int status = 0;

    if (check_id(id, &error)) {
        answer = ctl_fetch_any(ctl, method, target, body, &status, &error);
    }
    if (answer == NULL) {
        int code = ctl_fail(ctl, error);

        /* The entry refused the job; the command line was valid. */
        return status >= 400 && code == CTL_USAGE ? CTL_REFUSED : code;
    }
    if (ctl->flags.json) {
        ctl_print_json(answer);
        return CTL_DONE;
    }
    if (success != NULL) {
        printf("job %s: %s%s\n", id, success,
               status == 200 && strcmp(method, "PUT") == 0 ? " before" : "");
    }
    else {
        print_keys(answer);
    }
    json_object_put(answer);
    return CTL_DONE;
}

static int
submit(ctl_t *ctl, char **args)
{
    g_autofree char *body = NULL;
    g_autoptr(GError) error = NULL;

    if (!ctl_read_file(args[2], &body, NULL, &error)) {
        return ctl_fail(ctl, error);
    }
    return request(ctl, "PUT", args[1], body, "accepted");
}

static int
show(ctl_t *ctl, char **args)
{
    return request(ctl, "GET", args[1], NULL, NULL);
}

static int
cancel(ctl_t *ctl, char **args)
{
    return request(ctl, "DELETE", args[1], NULL, "cancellation accepted");
}

typedef struct job_action {
    const char *name;
    guint args;
    int (*run)(ctl_t *ctl, char **args);
} job_action_t;

static const job_action_t actions[] = {
    {"show", 2, show},
    {"submit", 3, submit},
    {"cancel", 2, cancel},
};

int
ctl_run_jobs(ctl_t *ctl)
{
    guint count = g_strv_length(ctl->args);

    if (count == 0) {
        return print_list(ctl);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(actions); i++) {
        if (strcmp(actions[i].name, ctl->args[0]) == 0 &&
            actions[i].args == count) {
            return actions[i].run(ctl, ctl->args);
        }
    }
    return ctl_usage("usage: teaselctl jobs [show ID | submit ID FILE | "
                     "cancel ID]");
}
