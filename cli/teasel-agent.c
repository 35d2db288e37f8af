#include <signal.h>

#include "agent/agent.h"
#include "base/events.h"
#include "base/program.h"

static bool
load_settings(const char *path, void *settings, GError **error)
{
    return agent_settings_load(path, settings, error);
}

static void
clear_settings(void *settings)
{
    agent_settings_clear(settings);
}

static void
on_signal(int signal_number, void *data)
{
    if (signal_number == SIGHUP) {
        event_log(EVENT_SETTINGS_REFUSED,
                  "reason=\"settings are read only at startup\"");
        return;
    }
    agent_leave(data, signal_number == SIGTERM ? "SIGTERM" : "SIGINT");
}

static program_exit_t
run(void *data, GError **error)
{
    const agent_settings_t *settings = data;
    loop_t *loop = loop_new();
    agent_t *agent = agent_new(loop, settings, error);
    program_exit_t code = PROGRAM_EXIT_FAILED;

    if (agent != NULL && loop_on_signals(loop, on_signal, agent, error)) {
        loop_run(loop);
        event_log(EVENT_PROCESS_STOPPED, "id=%s", settings->agent_id);
        code = PROGRAM_EXIT_SUCCESS;
    }
    agent_free(agent);
    loop_free(loop);
    return code;
}

int
main(int argc, char **argv)
{
    agent_settings_t settings;
    program_opts_t opts = {
        .name = "teasel-agent",
        .summary = "Connects a local executor and worker to teaselhaven.",
        .settings = &settings,
        .load_settings = load_settings,
        .clear_settings = clear_settings,
        .run = run,
    };

    return program_main(&opts, argc, argv);
}
