/* Tells the story of a job from the logs of several processes. */

#include <stdio.h>
#include <string.h>

#include "operator/ctl.h"

/* A line of a log that names the job. */
typedef struct story_line {
    char *source;
    const char *time; /* in @record */
    guint position;   /* keeps the order of lines of one time */
    struct json_object *record;
} story_line_t;

static void
free_line(void *data)
{
    story_line_t *line = data;

    json_object_put(line->record);
    g_free(line->source);
    g_free(line);
}

/* A task name begins with the id of its job. */
static bool
names_job(struct json_object *record, const char *id)
{
    const char *task = ctl_json_get_string(record, "task");
    size_t length = strlen(id);

    return strcmp(ctl_json_get_string(record, "job"), id) == 0 ||
           (strncmp(task, id, length) == 0 &&
            (task[length] == '.' || task[length] == '\0'));
}

static void
add_line(GPtrArray *story, const char *source, const char *text,
         const char *id)
{
    const char *start = strchr(text, '{');
    struct json_object *record =
        start != NULL ? json_tokener_parse(start) : NULL;
    story_line_t *line;

    if (!json_object_is_type(record, json_type_object) ||
        !names_job(record, id)) {
        json_object_put(record);
        return;
    }
    line = g_new(story_line_t, 1);
    line->source = g_strdup(source);
    line->time = ctl_json_get_string(record, "time");
    line->position = story->len;
    line->record = record;
    g_ptr_array_add(story, line);
}

static bool
read_log(GPtrArray *story, const char *path, const char *id, GError **error)
{
    g_autofree char *text = NULL;
    g_autofree char *source = g_path_get_basename(path);
    g_auto(GStrv) lines = NULL;

    if (!ctl_read_file(path, &text, NULL, error)) {
        return false;
    }
    lines = g_strsplit(text, "\n", -1);
    for (char **line = lines; *line != NULL; line++) {
        add_line(story, source, *line, id);
    }
    return true;
}

static int
compare_lines(gconstpointer left, gconstpointer right)
{
    const story_line_t *a = *(story_line_t *const *)left;
    const story_line_t *b = *(story_line_t *const *)right;
    int order = strcmp(a->time, b->time);

    if (order != 0) {
        return order;
    }
    return a->position < b->position ? -1 : a->position > b->position;
}

static bool
is_head(const char *key)
{
    static const char *const head[] = {
        "time", "steady_ms", "level", "event_name", "program", "event", NULL};

    return g_strv_contains(head, key);
}

static void
print_line(const story_line_t *line)
{
    printf("%s %s %s", line->time, line->source,
           ctl_json_get_string(line->record, "event_name"));
    json_object_object_foreach(line->record, key, value)
    {
        if (!is_head(key)) {
            printf(" %s=%s", key, json_object_get_string(value));
        }
    }
    printf("\n");
}

static void
print_json(const GPtrArray *story)
{
    struct json_object *out = json_object_new_array();

    for (guint i = 0; i < story->len; i++) {
        const story_line_t *line = g_ptr_array_index(story, i);

        ctl_json_add_string(line->record, "source", line->source);
        json_object_array_add(out, json_object_get(line->record));
    }
    ctl_print_json(out);
}

int
ctl_run_explain(ctl_t *ctl)
{
    g_autoptr(GPtrArray) story = g_ptr_array_new_with_free_func(free_line);
    g_autoptr(GError) error = NULL;
    const char *id = ctl->args[0];

    for (char **path = ctl->args + 1; *path != NULL; path++) {
        if (!read_log(story, *path, id, &error)) {
            return ctl_fail(ctl, error);
        }
    }
    g_ptr_array_sort(story, compare_lines);
    if (ctl->flags.json) {
        print_json(story);
    }
    else {
        for (guint i = 0; i < story->len; i++) {
            print_line(g_ptr_array_index(story, i));
        }
    }
    if (story->len == 0) {
        fprintf(stderr, "teaselctl: no line of these logs names \"%s\"\n", id);
        return CTL_REFUSED;
    }
    return CTL_DONE;
}
