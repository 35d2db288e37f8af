#include <inttypes.h>
#include <stdio.h>

#include "operator/ctl.h"
#include "operator/ctl_processes.h"

static bool
is_in_requested_state(const ctl_t *ctl, const char *agent_id)
{
    return config_reader_is_drained(ctl->reader, agent_id) != ctl->flags.off;
}

static bool
append_drain(ctl_t *ctl, char *agent_id, char *author, GError **error)
{
    Teasel__Drain drain = TEASEL__DRAIN__INIT;
    Teasel__LogRecord record = TEASEL__LOG_RECORD__INIT;
    uint64_t offset;

    drain.agent_id = agent_id;
    drain.on = !ctl->flags.off;
    drain.author = author;
    drain.reason = ctl->flags.reason != NULL ? ctl->flags.reason : (char *)"";
    drain.seen_next = config_reader_get_next_offset(ctl->reader);
    record.body_case = TEASEL__LOG_RECORD__BODY_DRAIN;
    record.drain = &drain;
    if (!ctl_append(ctl, &record, &offset, error)) {
        return false;
    }
    if (ctl->last_result.verdict == CONFIG_REFUSED) {
        g_set_error(error, TEASEL_ERROR, (gint)ctl->last_result.kind, "%s",
                    ctl->last_result.message);
        return false;
    }
    return true;
}

static int
finish(ctl_t *ctl, const char *agent_id, bool unchanged)
{
    struct json_object *out = json_object_new_object();
    int code = CTL_DONE;

    ctl_json_add_string(out, "agent", agent_id);
    ctl_json_add_flag(out, "drained", !ctl->flags.off);
    ctl_json_add_flag(out, "changed", !unchanged);
    if (ctl->flags.wait) {
        code = ctl_processes_wait(
            ctl, config_reader_get_next_offset(ctl->reader), out);
    }
    if (ctl->flags.json) {
        ctl_json_add_number(out, "exit", (uint64_t)code);
        ctl_print_json(out);
        return code;
    }
    printf("agent %s: %s%s\n", agent_id, unchanged ? "already " : "",
           ctl->flags.off ? "not drained" : "drained");
    ctl_processes_print_wait(out);
    json_object_put(out);
    return code;
}

int
ctl_run_drain(ctl_t *ctl)
{
    char *agent_id = ctl->args[0];
    char *author = ctl->flags.author;
    g_autoptr(GError) error = NULL;
    bool unchanged;

    if (author == NULL) {
        author = ctl->settings.author;
    }
    if (author == NULL) {
        return ctl_usage("drain needs --author NAME or key \"author\" in the "
                         "settings");
    }
    if (ctl->flags.wait && ctl->settings.entries[0] == NULL) {
        return ctl_usage("--wait needs --entry ADDRESS or key \"entries\" in "
                         "the settings");
    }
    if (!ctl_open_config(ctl, &error)) {
        return ctl_fail(ctl, error);
    }
    unchanged = is_in_requested_state(ctl, agent_id);
    if (!unchanged && !append_drain(ctl, agent_id, author, &error)) {
        return ctl_fail(ctl, error);
    }
    return finish(ctl, agent_id, unchanged);
}
