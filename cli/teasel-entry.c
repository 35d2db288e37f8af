#include <glib.h>
#include <locale.h>
#include <stdio.h>

#include "entry/entry.h"
#include "base/events.h"

enum {
    EXIT_DONE = 0,
    EXIT_FAILED = 1,
    EXIT_USAGE = 2,
};

static char *config_path;
static gboolean check_config;
static gboolean show_version;

static const GOptionEntry options[] = {
    {"config", 'c', 0, G_OPTION_ARG_FILENAME, &config_path,
     "Read settings from FILE", "FILE"},
    {"check-config", 0, 0, G_OPTION_ARG_NONE, &check_config,
     "Check the settings and exit", NULL},
    {"version", 0, 0, G_OPTION_ARG_NONE, &show_version,
     "Print the version and exit", NULL},
    G_OPTION_ENTRY_NULL,
};

static bool
parse_options(int argc, char **argv, GError **error)
{
    g_autoptr(GOptionContext) context = g_option_context_new(NULL);

    g_option_context_set_summary(
        context, "Serves callers and operators of teaselhaven.");
    g_option_context_add_main_entries(context, options, NULL);
    return g_option_context_parse(context, &argc, &argv, error);
}

static void
on_signal(int signal_number, void *data)
{
    entry_leave(data, signal_number == SIGTERM ? "SIGTERM" : "SIGINT");
}

static int
run(const entry_settings_t *settings, GError **error)
{
    loop_t *loop = loop_new();
    entry_t *entry = entry_new(loop, settings, error);
    int code = EXIT_FAILED;

    if (entry != NULL && loop_on_signals(loop, on_signal, entry, error)) {
        loop_run(loop);
        event_log(EVENT_PROCESS_STOPPED, "id=%s", settings->entry_id);
        code = EXIT_DONE;
    }
    entry_free(entry);
    loop_free(loop);
    return code;
}

int
main(int argc, char **argv)
{
    g_autoptr(GError) error = NULL;
    entry_settings_t settings;
    int code;

    setlocale(LC_ALL, "");
    events_init("teasel-entry");
    if (!parse_options(argc, argv, &error)) {
        fprintf(stderr, "teasel-entry: %s\n", error->message);
        return EXIT_USAGE;
    }
    if (show_version) {
        printf("teasel-entry %s\n", TEASEL_VERSION);
        return EXIT_DONE;
    }
    if (config_path == NULL) {
        fprintf(stderr, "teasel-entry: option --config FILE is missing\n");
        return EXIT_USAGE;
    }
    if (!entry_settings_load(config_path, &settings, &error)) {
        fprintf(stderr, "teasel-entry: %s\n", error->message);
        return EXIT_USAGE;
    }
    if (check_config) {
        entry_settings_clear(&settings);
        return EXIT_DONE;
    }
    code = run(&settings, &error);
    if (error != NULL) {
        fprintf(stderr, "teasel-entry: %s\n", error->message);
    }
    entry_settings_clear(&settings);
    return code;
}
