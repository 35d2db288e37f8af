#include "base/program.h"

#include <locale.h>
#include <stdio.h>

#include "base/events.h"

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
parse_options(const program_opts_t *opts, int argc, char **argv,
              GError **error)
{
    g_autoptr(GOptionContext) context = g_option_context_new(NULL);

    g_option_context_set_summary(context, opts->summary);
    g_option_context_add_main_entries(context, options, NULL);
    if (opts->options != NULL) {
        g_option_context_add_main_entries(context, opts->options, NULL);
    }
    return g_option_context_parse(context, &argc, &argv, error);
}

const char *
program_get_config_path(void)
{
    return config_path;
}

int
program_main(const program_opts_t *opts, int argc, char **argv)
{
    g_autoptr(GError) error = NULL;
    program_exit_t code;

    setlocale(LC_ALL, "");
    events_init(opts->name);
    if (!parse_options(opts, argc, argv, &error)) {
        fprintf(stderr, "%s: %s\n", opts->name, error->message);
        return PROGRAM_EXIT_USAGE;
    }
    if (show_version) {
        printf("%s %s\n", opts->name, TEASEL_VERSION);
        return PROGRAM_EXIT_SUCCESS;
    }
    if (config_path == NULL) {
        fprintf(stderr, "%s: option --config FILE is missing\n", opts->name);
        return PROGRAM_EXIT_USAGE;
    }
    if (!opts->load_settings(config_path, opts->settings, &error)) {
        fprintf(stderr, "%s: %s\n", opts->name, error->message);
        return PROGRAM_EXIT_USAGE;
    }
    if (check_config) {
        opts->clear_settings(opts->settings);
        return PROGRAM_EXIT_SUCCESS;
    }
    code = opts->run(opts->settings, &error);
    if (error != NULL) {
        event_log(EVENT_PROCESS_FAILED, "error=\"%s\"", error->message);
        fprintf(stderr, "%s: %s\n", opts->name, error->message);
    }
    opts->clear_settings(opts->settings);
    return code;
}
