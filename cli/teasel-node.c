#include <signal.h>

#include "announcements.h"
#include "base/events.h"
#include "base/program.h"
#include "base/settings_watch.h"
#include "executor_http.h"
#include "node/node.h"
#include "store_http.h"

static bool
load_settings(const char *path, void *settings, GError **error)
{
    return node_settings_load(path, settings, error);
}

static void
clear_settings(void *settings)
{
    node_settings_clear(settings);
}

typedef struct process {
    loop_t *loop;
    settings_watch_t *watch;
} process_t;

static void
on_signal(int signal_number, void *data)
{
    process_t *process = data;

    if (signal_number == SIGHUP) {
        settings_watch_reload(process->watch);
        return;
    }
    loop_stop(process->loop);
}

static void
on_metrics(http_exchange_t *exchange, void *data)
{
    g_autoptr(GString) out = g_string_new(NULL);

    node_write_metrics(data, out);
    http_exchange_reply_text(exchange, 200, "text/plain; version=0.0.4",
                             out->str);
}

static const http_route_t metrics_routes[] = {
    {"/metrics", on_metrics},
    {NULL, NULL},
};

static bool
start_metrics(loop_t *loop, const node_settings_t *settings, node_t *node,
              GError **error)
{
    http_server_opts_t opts = {
        .loop = loop,
        .listen = settings->metrics_listen,
        .max_body = 1024,
        .routes = metrics_routes,
        .data = node,
    };

    return opts.listen == NULL || http_server_new(&opts, error) != NULL;
}

static program_exit_t
run(void *data, GError **error)
{
    node_settings_t *settings = data;
    loop_t *loop = loop_new();
    settings_watch_opts_t watch_opts = {
        .loop = loop,
        .path = program_get_config_path(),
        .table = node_settings_table(),
        .load = load_settings,
        .clear = clear_settings,
        .live = settings,
        .size = sizeof(*settings),
    };
    process_t process = {.loop = loop};
    node_opts_t opts = {
        .loop = loop,
        .clock = clock_system(),
        .store = store_http_new(loop, settings->store_address, error),
        .settings = settings,
        .connect = executor_http_new,
    };
    node_t *node;

    if (opts.store == NULL) {
        return PROGRAM_EXIT_FAILED;
    }
    process.watch = settings_watch_new(&watch_opts);
    node = node_new(&opts, error);
    if (node == NULL || !start_metrics(loop, settings, node, error) ||
        announcements_new(loop, settings->control_listen, node, error) ==
            NULL ||
        !loop_on_signals(loop, on_signal, &process, error)) {
        return PROGRAM_EXIT_FAILED;
    }
    loop_run(loop);
    event_log(EVENT_PROCESS_STOPPED, "name=%s", settings->name);
    return PROGRAM_EXIT_SUCCESS;
}

int
main(int argc, char **argv)
{
    node_settings_t settings;
    program_opts_t opts = {
        .name = "teasel-node",
        .summary = "Runs the tasks of jobs on the executors of its instance.",
        .settings = &settings,
        .load_settings = load_settings,
        .clear_settings = clear_settings,
        .run = run,
    };

    return program_main(&opts, argc, argv);
}
