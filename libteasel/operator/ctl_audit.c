#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "operator/audit.h"
#include "operator/ctl.h"
#include "stream/stream.h"

/**
 * struct audited_stream - a stream read from its oldest record
 */
typedef struct audited_stream {
    const char *name;
    struct audit_run *run;
    stream_t *stream;
    bool caught_up;
} audited_stream_t;

typedef struct audit_run {
    ctl_t *ctl;
    audit_t *audit;
    audit_filter_t filter;
    struct json_object *rows;
} audit_run_t;

static char *
format_time(uint64_t wall_ms)
{
    g_autoptr(GDateTime) time =
        g_date_time_new_from_unix_utc((gint64)(wall_ms / 1000));

    return time != NULL ? g_date_time_format(time, "%Y-%m-%dT%H:%M:%SZ")
                        : g_strdup("-");
}

static void
on_row(const audit_row_t *row, void *data)
{
    audit_run_t *run = data;
    struct json_object *item;
    struct json_object *objects;
    g_autofree char *time = NULL;

    if (!audit_filter_match(&run->filter, row)) {
        return;
    }
    item = json_object_new_object();
    objects = json_object_new_array();
    time = format_time(row->wall_ms);
    ctl_json_add_string(item, "time", time);
    ctl_json_add_number(item, "wall_ms", row->wall_ms);
    ctl_json_add_string(item, "stream", row->stream);
    ctl_json_add_number(item, "offset", row->offset);
    ctl_json_add_string(item, "author", row->author);
    ctl_json_add_string(item, "kind", row->kind);
    ctl_json_add_string(item, "action", row->action);
    for (const char *const *name = row->objects; *name != NULL; name++) {
        json_object_array_add(objects, json_object_new_string(*name));
    }
    json_object_object_add(item, "objects", objects);
    ctl_json_add_string(item, "result", row->result);
    ctl_json_add_string(item, "why", row->why);
    json_object_array_add(run->rows, item);
}

static void
on_apply(const Teasel__LogRecord *record, uint64_t offset, void *data)
{
    audited_stream_t *stream = data;

    audit_apply(stream->run->audit, stream->name, record, offset, on_row,
                stream->run);
}

static void
on_caught_up(void *data)
{
    ((audited_stream_t *)data)->caught_up = true;
}

static bool
read_stream(audit_run_t *run, const char *name, GError **error)
{
    /* Without a snapshot callback, reading starts at the oldest record that
       the log retains. */
    static const stream_handler_t handler = {on_apply, NULL, on_caught_up};
    audited_stream_t stream = {.name = name, .run = run};
    ctl_t *ctl = run->ctl;
    stream_opts_t opts = {
        .loop = ctl->loop,
        .clock = ctl->clock,
        .log = ctl->log,
        .name = name,
        .writer = "teaselctl",
        .handler = &handler,
        .data = &stream,
    };

    stream.stream = stream_new(&opts);
    ctl_wait(ctl, &stream.caught_up, ctl->settings.timeout_ms);
    stream_free(stream.stream);
    if (!stream.caught_up) {
        g_set_error(error, TEASEL_ERROR, ERROR_LOG_UNAVAILABLE,
                    "log %s: stream \"%s\" could not be read within %" PRId64
                    " ms",
                    ctl->settings.log, name, ctl->settings.timeout_ms);
    }
    return stream.caught_up;
}

static int
compare_numbers(uint64_t a, uint64_t b)
{
    return a < b ? -1 : a > b;
}

static int
compare_rows(const void *a, const void *b)
{
    struct json_object *first = *(struct json_object *const *)a;
    struct json_object *second = *(struct json_object *const *)b;
    int order = compare_numbers(ctl_json_get_number(first, "wall_ms"),
                                ctl_json_get_number(second, "wall_ms"));

    if (order == 0) {
        order = -strcmp(ctl_json_get_string(first, "stream"),
                        ctl_json_get_string(second, "stream"));
    }
    if (order == 0) {
        order = compare_numbers(ctl_json_get_number(first, "offset"),
                                ctl_json_get_number(second, "offset"));
    }
    return order;
}

static char *
join_objects(struct json_object *row)
{
    struct json_object *list = ctl_json_get(row, "objects");
    GString *text = g_string_new(NULL);

    for (size_t i = 0; i < json_object_array_length(list); i++) {
        g_string_append_printf(
            text, "%s%s", i > 0 ? "," : "",
            json_object_get_string(json_object_array_get_idx(list, i)));
    }
    return g_string_free(text, FALSE);
}

static void
print_rows(struct json_object *list)
{
    static const char *const titles[] = {"TIME",    "AUTHOR", "KIND", "ACTION",
                                         "OBJECTS", "RESULT", "WHY",  NULL};
    g_autoptr(GPtrArray) rows =
        g_ptr_array_new_with_free_func((GDestroyNotify)g_strfreev);

    g_ptr_array_add(rows, g_strdupv((char **)titles));
    for (size_t i = 0; i < json_object_array_length(list); i++) {
        struct json_object *item = json_object_array_get_idx(list, i);
        char **row = g_new0(char *, G_N_ELEMENTS(titles));

        row[0] = g_strdup(ctl_json_get_string(item, "time"));
        row[1] = g_strdup(ctl_json_get_string(item, "author"));
        row[2] = g_strdup(ctl_json_get_string(item, "kind"));
        row[3] = g_strdup(ctl_json_get_string(item, "action"));
        row[4] = join_objects(item);
        row[5] = g_strdup(ctl_json_get_string(item, "result"));
        row[6] = g_strdup(ctl_json_get_string(item, "why"));
        g_ptr_array_add(rows, row);
    }
    ctl_print_table(rows);
}

int
ctl_run_audit(ctl_t *ctl)
{
    g_autoptr(audit_t) audit = NULL;
    g_autoptr(GError) error = NULL;
    audit_run_t run = {
        .ctl = ctl,
        .filter = {ctl->flags.kind, ctl->flags.object, ctl->flags.author},
    };

    if (ctl->flags.kind != NULL && !audit_is_kind(ctl->flags.kind)) {
        return ctl_usage("option --kind: found \"%s\"; allowed: ticket, "
                         "drain, epoch, job, eviction, quarantine",
                         ctl->flags.kind);
    }
    if (!ctl_open_config(ctl, &error)) {
        return ctl_fail(ctl, error);
    }
    audit = audit_new(config_reader_get_state(ctl->reader));
    run.audit = audit;
    run.rows = json_object_new_array();
    if (!read_stream(&run, "config", &error) ||
        !read_stream(&run, "cell-0", &error)) {
        json_object_put(run.rows);
        return ctl_fail(ctl, error);
    }
    json_object_array_sort(run.rows, compare_rows);
    if (ctl->flags.json) {
        ctl_print_json(run.rows);
        return CTL_DONE;
    }
    print_rows(run.rows);
    json_object_put(run.rows);
    return CTL_DONE;
}
