#include <signal.h>

#include "base/events.h"
#include "base/program.h"
#include "base/settings_watch.h"
#include "config_feed.h"
#include "ingress.h"
#include "scheduler/scheduler.h"
#include "store_http.h"

typedef struct process {
    loop_t *loop;
    store_t *store;
    scheduler_t *scheduler;
    http_server_t *ingress;
    http_server_t *readiness;
    config_feed_t *config;
    settings_watch_t *watch;
} process_t;

static char *remote_factor;

static const GOptionEntry options[] = {
    {"remote-factor", 0, 0, G_OPTION_ARG_STRING, &remote_factor,
     "Take the setting remote_factor from here", "FACTOR"},
    G_OPTION_ENTRY_NULL,
};

/* An option goes before the settings file, also after a reload. */
static bool
load_settings(const char *path, void *settings, GError **error)
{
    if (!scheduler_settings_load(path, settings, error)) {
        return false;
    }
    if (remote_factor != NULL && !scheduler_settings_set_remote_factor(
                                     settings, remote_factor, error)) {
        scheduler_settings_clear(settings);
        return false;
    }
    return true;
}

static void
clear_settings(void *settings)
{
    scheduler_settings_clear(settings);
}

static void
on_left(void *data)
{
    process_t *process = data;

    loop_stop(process->loop);
}

static void
on_signal(int signal_number, void *data)
{
    process_t *process = data;

    if (signal_number == SIGHUP) {
        settings_watch_reload(process->watch);
        return;
    }
    scheduler_leave(process->scheduler);
    if (process->ingress != NULL) {
        http_server_announce_shutdown(process->ingress);
    }
}

static bool
start(process_t *process, scheduler_settings_t *settings, GError **error)
{
    settings_watch_opts_t watch_opts = {
        .loop = process->loop,
        .path = program_get_config_path(),
        .table = scheduler_settings_table(),
        .load = load_settings,
        .clear = clear_settings,
        .live = settings,
        .size = sizeof(*settings),
    };
    scheduler_opts_t opts = {
        .loop = process->loop,
        .clock = clock_system(),
        .settings = settings,
        .on_left = on_left,
        .data = process,
    };

    process->store =
        store_http_new(process->loop, settings->store_address, error);
    if (process->store == NULL) {
        return false;
    }
    opts.store = process->store;
    process->scheduler = scheduler_new(&opts, error);
    if (process->scheduler == NULL) {
        return false;
    }
    process->watch = settings_watch_new(&watch_opts);
    process->config = config_feed_new(process->loop, clock_system(),
                                      process->store, process->scheduler);
    process->ingress = ingress_new(process->loop, settings->http_listen,
                                   (size_t)settings->max_body_bytes,
                                   process->scheduler, error);
    process->readiness = readiness_new(process->loop, settings->ready_listen,
                                       process->scheduler, error);
    return process->ingress != NULL && process->readiness != NULL &&
           loop_on_signals(process->loop, on_signal, process, error);
}

static program_exit_t
run(void *data, GError **error)
{
    scheduler_settings_t *settings = data;
    process_t process = {.loop = loop_new()};

    if (!start(&process, settings, error)) {
        return PROGRAM_EXIT_FAILED;
    }
    loop_run(process.loop);
    event_log(EVENT_PROCESS_STOPPED, "name=%s", settings->name);
    return PROGRAM_EXIT_SUCCESS;
}

int
main(int argc, char **argv)
{
    scheduler_settings_t settings;
    program_opts_t opts = {
        .name = "teasel-scheduler",
        .summary = "Accepts jobs and assigns their tasks to executors.",
        .options = options,
        .settings = &settings,
        .load_settings = load_settings,
        .clear_settings = clear_settings,
        .run = run,
    };

    return program_main(&opts, argc, argv);
}
