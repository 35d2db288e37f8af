#include <inttypes.h>
#include <stdio.h>

#include "operator/ctl.h"
#include "operator/ctl_plan.h"
#include "operator/ctl_processes.h"

static void
add_result(struct json_object *list, const ctl_step_t *step,
           const char *result, uint64_t offset, const char *detail)
{
    struct json_object *item = json_object_new_object();

    ctl_json_add_number(item, "ticket", step->ticket->number);
    ctl_json_add_string(item, "file", step->path);
    ctl_json_add_string(item, "result", result);
    ctl_json_add_number(item, "offset", offset);
    ctl_json_add_string(item, "detail", detail);
    json_object_array_add(list, item);
}

/* Called after the record was read back. Another operator's ticket with the
   same number or object may precede it in the log. */
static bool
check_accepted(const ctl_t *ctl, const ctl_step_t *step, uint64_t *offset,
               GError **error)
{
    const config_t *config = config_reader_get_state(ctl->reader);
    const config_ticket_t *known =
        config_find_ticket(config, step->ticket->number);
    const config_result_t *result = &ctl->last_result;

    if (known != NULL && known->hash == step->ticket->hash &&
        known->accepted) {
        *offset = known->offset;
        return true;
    }
    if (result->verdict == CONFIG_REFUSED) {
        g_set_error(error, TEASEL_ERROR, (gint)result->kind, "%s: %s",
                    step->path, result->message);
    }
    else {
        g_set_error(error, TEASEL_ERROR, ERROR_STALE,
                    "%s: ticket %" PRIu64 " was refused", step->path,
                    step->ticket->number);
    }
    return false;
}

static bool
apply_step(ctl_t *ctl, const ctl_step_t *step, struct json_object *list,
           GError **error)
{
    Teasel__Ticket body;
    Teasel__LogRecord record;
    uint64_t offset;

    if (step->skipped) {
        add_result(list, step, "skipped", 0,
                   "lower than all retained ticket numbers");
        return true;
    }
    if (step->result.verdict == CONFIG_REPEATED) {
        const config_ticket_t *known = config_find_ticket(
            config_reader_get_state(ctl->reader), step->ticket->number);

        add_result(list, step, "accepted before", known->offset, NULL);
        return true;
    }
    ctl_plan_fill_record(step->ticket, &body, &record);
    if (!ctl_append(ctl, &record, &offset, error) ||
        !check_accepted(ctl, step, &offset, error)) {
        return false;
    }
    add_result(list, step, "accepted", offset, NULL);
    return true;
}

static const char *
get_failed_result(const GError *error)
{
    if (error->code == ERROR_LOG_UNKNOWN) {
        return "unknown";
    }
    return error->code == ERROR_LOG_UNAVAILABLE ? "not written" : "refused";
}

static int
apply_steps(ctl_t *ctl, const GPtrArray *steps, struct json_object *list)
{
    for (guint i = 0; i < steps->len; i++) {
        g_autoptr(GError) error = NULL;

        if (!apply_step(ctl, steps->pdata[i], list, &error)) {
            add_result(list, steps->pdata[i], get_failed_result(error), 0,
                       error->message);
            return error_get_info((unsigned)error->code)->exit_code;
        }
    }
    return CTL_DONE;
}

static void
print_tickets(struct json_object *list)
{
    for (size_t i = 0; i < json_object_array_length(list); i++) {
        struct json_object *item = json_object_array_get_idx(list, i);
        uint64_t offset = ctl_json_get_number(item, "offset");
        const char *detail = ctl_json_get_string(item, "detail");

        printf("ticket %" PRIu64 ": %s", ctl_json_get_number(item, "ticket"),
               ctl_json_get_string(item, "result"));
        if (offset > 0) {
            printf(" at offset %" PRIu64, offset);
        }
        printf("%s%s\n", detail[0] != '\0' ? ": " : "", detail);
    }
}

static int
finish(const ctl_t *ctl, struct json_object *out, int code)
{
    if (ctl->flags.json) {
        ctl_json_add_number(out, "exit", (uint64_t)code);
        ctl_print_json(out);
        return code;
    }
    print_tickets(ctl_json_get(out, "tickets"));
    ctl_processes_print_wait(out);
    json_object_put(out);
    return code;
}

int
ctl_run_apply(ctl_t *ctl)
{
    g_autoptr(GPtrArray) steps = NULL;
    g_autoptr(GError) error = NULL;
    struct json_object *out;
    struct json_object *list;
    int code;

    if (ctl->flags.wait && ctl->settings.entries[0] == NULL) {
        return ctl_usage("--wait needs --entry ADDRESS or key \"entries\" in "
                         "the settings");
    }
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
    out = json_object_new_object();
    list = json_object_new_array();
    json_object_object_add(out, "tickets", list);
    code = apply_steps(ctl, steps, list);
    if (code == CTL_DONE && ctl->flags.wait) {
        code = ctl_processes_wait(
            ctl, config_reader_get_next_offset(ctl->reader), out);
    }
    return finish(ctl, out, code);
}
