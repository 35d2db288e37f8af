#include <inttypes.h>
#include <stdio.h>

#include "operator/ctl.h"
#include "operator/ctl_plan.h"

static const char *
to_text(struct json_object *value)
{
    return json_object_to_json_string_ext(value, JSON_C_TO_STRING_PLAIN);
}

static void
print_change(const char *object, struct json_object *change)
{
    struct json_object *keys = ctl_json_get(change, "keys");

    printf("  %s: %s\n", object, ctl_json_get_string(change, "change"));
    json_object_object_foreach(keys, key, pair)
    {
        g_autofree char *before =
            g_strdup(to_text(json_object_array_get_idx(pair, 0)));

        printf("    %s: %s -> %s\n", key, before,
               to_text(json_object_array_get_idx(pair, 1)));
    }
}

static const char *
describe_step(const ctl_step_t *step)
{
    if (step->skipped) {
        return "skipped, older than the numbers that are remembered";
    }
    return step->result.verdict == CONFIG_REPEATED ? "accepted before"
                                                   : "would be accepted";
}

static void
print_step(const ctl_step_t *step)
{
    printf("ticket %" PRIu64 " (%s: %s): %s\n", step->ticket->number,
           step->ticket->author, step->ticket->reason, describe_step(step));
    if (step->skipped || step->result.verdict == CONFIG_REPEATED) {
        return;
    }
    json_object_object_foreach(step->changes, object, change)
    {
        print_change(object, change);
    }
}

static struct json_object *
step_to_json(const ctl_step_t *step)
{
    struct json_object *item = json_object_new_object();

    ctl_json_add_number(item, "ticket", step->ticket->number);
    ctl_json_add_string(item, "file", step->path);
    ctl_json_add_string(item, "author", step->ticket->author);
    ctl_json_add_string(item, "reason", step->ticket->reason);
    ctl_json_add_string(item, "result", describe_step(step));
    if (!step->skipped) {
        json_object_object_add(item, "changes",
                               json_object_get(step->changes));
    }
    return item;
}

static void
print_plan_json(const GPtrArray *steps)
{
    struct json_object *out = json_object_new_object();
    struct json_object *list = json_object_new_array();

    for (guint i = 0; i < steps->len; i++) {
        json_object_array_add(list, step_to_json(steps->pdata[i]));
    }
    json_object_object_add(out, "tickets", list);
    ctl_print_json(out);
}

int
ctl_run_diff(ctl_t *ctl)
{
    g_autoptr(GPtrArray) steps = NULL;
    g_autoptr(GError) error = NULL;

    steps = ctl_plan_load(ctl->args[0], &error);
    if (steps == NULL) {
        ctl_fail(ctl, error);
        return CTL_REFUSED;
    }
    if (!ctl_open_config(ctl, &error) ||
        !ctl_plan_dry_run(steps, config_reader_get_state(ctl->reader),
                          g_file_test(ctl->args[0], G_FILE_TEST_IS_DIR),
                          &error)) {
        return ctl_fail(ctl, error);
    }
    if (ctl->flags.json) {
        print_plan_json(steps);
        return CTL_DONE;
    }
    for (guint i = 0; i < steps->len; i++) {
        print_step(steps->pdata[i]);
    }
    return CTL_DONE;
}
