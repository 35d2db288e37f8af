/* Prints the log lines about a job from several log files in time order. */

#include <stdio.h>
#include <string.h>

#include "operator/ctl.h"

/* A log line about the job. */
typedef struct log_line {
    char *source;
    const char *time; /* points into @record */
    guint position;   /* order of reading; breaks ties of @time */
    struct json_object *record;
} log_line_t;

static void
free_line(void *data)
{
    log_line_t *line = data;

    json_object_put(line->record);
    g_free(line->source);
    g_free(line);
}

/* A task id is the job id, or starts with the job id and ".". */
static bool
refers_to_job(struct json_object *record, const char *id)
{
    const char *task = ctl_json_get_string(record, "task");
    size_t length = strlen(id);

    return strcmp(ctl_json_get_string(record, "job"), id) == 0 ||
           (strncmp(task, id, length) == 0 &&
            (task[length] == '.' || task[length] == '\0'));
}

static void
add_line(GPtrArray *timeline, const char *source, const char *text,
         const char *id)
{
    const char *start = strchr(text, '{');
    struct json_object *record =
        start != NULL ? json_tokener_parse(start) : NULL;
    log_line_t *line;

    if (!json_object_is_type(record, json_type_object) ||
        !refers_to_job(record, id)) {
        json_object_put(record);
        return;
    }
    line = g_new(log_line_t, 1);
    line->source = g_strdup(source);
    line->time = ctl_json_get_string(record, "time");
    line->position = timeline->len;
    line->record = record;
    g_ptr_array_add(timeline, line);
}

static bool
read_log(GPtrArray *timeline, const char *path, const char *id, GError **error)
{
    g_autofree char *text = NULL;
    g_autofree char *source = g_path_get_basename(path);
    g_auto(GStrv) text_lines = NULL;

    if (!ctl_read_file(path, &text, NULL, error)) {
        return false;
    }
    text_lines = g_strsplit(text, "\n", -1);
    for (char **line = text_lines; *line != NULL; line++) {
        add_line(timeline, source, *line, id);
    }
    return true;
}

static int
compare_lines(gconstpointer left, gconstpointer right)
{
    const log_line_t *a = *(log_line_t *const *)left;
    const log_line_t *b = *(log_line_t *const *)right;
    int order = strcmp(a->time, b->time);

    if (order != 0) {
        return order;
    }
    return a->position < b->position ? -1 : a->position > b->position;
}

/* These keys are printed at the start of the line, or not at all. */
static bool
is_header_key(const char *key)
{
    static const char *const header_keys[] = {
        "time", "steady_ms", "level", "event_name", "program", "event", NULL};

    return g_strv_contains(header_keys, key);
}

static void
print_line(const log_line_t *line)
{
    printf("%s %s %s", line->time, line->source,
           ctl_json_get_string(line->record, "event_name"));
    json_object_object_foreach(line->record, key, value)
    {
        if (!is_header_key(key)) {
            printf(" %s=%s", key, json_object_get_string(value));
        }
    }
    printf("\n");
}

static void
print_json(const GPtrArray *timeline)
{
    struct json_object *out = json_object_new_array();

    for (guint i = 0; i < timeline->len; i++) {
        const log_line_t *line = g_ptr_array_index(timeline, i);

        ctl_json_add_string(line->record, "source", line->source);
        json_object_array_add(out, json_object_get(line->record));
    }
    ctl_print_json(out);
}

int
ctl_run_explain(ctl_t *ctl)
{
    g_autoptr(GPtrArray) timeline = g_ptr_array_new_with_free_func(free_line);
    g_autoptr(GError) error = NULL;
    const char *id = ctl->args[0];

    for (char **path = ctl->args + 1; *path != NULL; path++) {
        if (!read_log(timeline, *path, id, &error)) {
            return ctl_fail(ctl, error);
        }
    }
    g_ptr_array_sort(timeline, compare_lines);
    if (ctl->flags.json) {
        print_json(timeline);
    }
    else {
        for (guint i = 0; i < timeline->len; i++) {
            print_line(g_ptr_array_index(timeline, i));
        }
    }
    if (timeline->len == 0) {
        fprintf(stderr, "teaselctl: no log line refers to job \"%s\"\n", id);
        return CTL_REFUSED;
    }
    return CTL_DONE;
}
