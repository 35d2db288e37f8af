#include <stdio.h>
#include <string.h>

#include "base/settings.h"
#include "operator/ctl.h"

enum {
    DEFAULT_TIMEOUT_MS = 10000,
    MAX_TIMEOUT_MS = 600000,
    MAX_EXPLAIN_ARGS = 1000,
};

static const char *const no_options[] = {NULL};
static const char *const wait_options[] = {"wait", NULL};
static const char *const jobs_options[] = {"author", NULL};
static const char *const drain_options[] = {"off", "wait", "author", "reason",
                                            NULL};
static const char *const audit_options[] = {"kind", "object", "author", NULL};

static const ctl_command_t commands[] = {
    {"apply", "FILE|DIR", "apply a ticket, or all tickets of a directory", 1,
     1, wait_options, ctl_run_apply},
    {"diff", "FILE|DIR", "show what tickets would change", 1, 1, no_options,
     ctl_run_diff},
    {"show", "",
     "show the configuration in force and how far each process has read it", 0,
     0, no_options, ctl_run_show},
    {"jobs", "[show ID | submit ID FILE | cancel ID]",
     "list, show, submit or cancel batch jobs", 0, 3, jobs_options,
     ctl_run_jobs},
    {"members", "", "list the agents known to an entry", 0, 0, no_options,
     ctl_run_members},
    {"drain", "AGENT", "stop sending new work to an agent, or resume (--off)",
     1, 1, drain_options, ctl_run_drain},
    {"explain", "ID LOGFILE...",
     "show the lines about a job from log files in time order", 2,
     MAX_EXPLAIN_ARGS, no_options, ctl_run_explain},
    {"audit", "", "list who changed what, when and why", 0, 0, audit_options,
     ctl_run_audit},
};

static const setting_t settings_table[] = {
    {.key = "log",
     .type = SETTING_ADDRESS,
     .offset = offsetof(ctl_settings_t, log)},
    {.key = "entries",
     .type = SETTING_ADDRESS_LIST,
     .offset = offsetof(ctl_settings_t, entries)},
    {.key = "timeout_ms",
     .type = SETTING_INTEGER,
     .offset = offsetof(ctl_settings_t, timeout_ms),
     .min = 100,
     .max = MAX_TIMEOUT_MS,
     .default_value = DEFAULT_TIMEOUT_MS},
    {.key = "author",
     .type = SETTING_STRING,
     .offset = offsetof(ctl_settings_t, author)},
    {.key = NULL},
};

typedef struct global_options {
    char *config;
    char *log;
    char **entries;
    int timeout_ms;
    gboolean check_config;
    gboolean version;
} global_options_t;

static const ctl_command_t *
find_command(const char *name)
{
    for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
        if (strcmp(commands[i].name, name) == 0) {
            return &commands[i];
        }
    }
    return NULL;
}

static char *
describe_commands(void)
{
    GString *text = g_string_new("Commands:\n");

    for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
        g_string_append_printf(text, "  %s %s\n      %s\n", commands[i].name,
                               commands[i].arguments, commands[i].summary);
    }
    g_string_append(text, "\nExit codes: 0 done, 1 refused, 2 usage, 3 "
                          "outcome unknown or platform not reachable.");
    return g_string_free(text, FALSE);
}

static bool
parse_options(int *argc, char ***argv, global_options_t *options,
              ctl_flags_t *flags, GError **error)
{
    const GOptionEntry entries[] = {
        {"config", 0, 0, G_OPTION_ARG_FILENAME, &options->config,
         "Settings file, JSON with comments", "FILE"},
        {"check-config", 0, 0, G_OPTION_ARG_NONE, &options->check_config,
         "Check the settings file and exit", NULL},
        {"log", 0, 0, G_OPTION_ARG_STRING, &options->log,
         "Address of the log service; overrides the settings file", "ADDRESS"},
        {"entry", 0, 0, G_OPTION_ARG_STRING_ARRAY, &options->entries,
         "Address of an entry; overrides the settings file; may be repeated",
         "ADDRESS"},
        {"timeout", 0, 0, G_OPTION_ARG_INT, &options->timeout_ms,
         "Time limit for answers, in milliseconds", "MS"},
        {"json", 0, 0, G_OPTION_ARG_NONE, &flags->json, "Print JSON", NULL},
        {"wait", 0, 0, G_OPTION_ARG_NONE, &flags->wait,
         "apply, drain: wait until the change is in force on all processes",
         NULL},
        {"off", 0, 0, G_OPTION_ARG_NONE, &flags->off, "drain: end the drain",
         NULL},
        {"author", 0, 0, G_OPTION_ARG_STRING, &flags->author,
         "drain, jobs: who makes the change; audit: only this author", "NAME"},
        {"reason", 0, 0, G_OPTION_ARG_STRING, &flags->reason,
         "drain: reason, recorded in the log", "TEXT"},
        {"kind", 0, 0, G_OPTION_ARG_STRING, &flags->kind,
         "audit: only ticket, drain, epoch, job, eviction or quarantine",
         "KIND"},
        {"object", 0, 0, G_OPTION_ARG_STRING, &flags->object,
         "audit: only this object, agent, worker or job", "NAME"},
        {"version", 0, 0, G_OPTION_ARG_NONE, &options->version,
         "Print the version and exit", NULL},
        {NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL},
    };
    g_autoptr(GOptionContext) context =
        g_option_context_new("COMMAND [ARGUMENT...]");
    g_autofree char *summary = describe_commands();

    g_option_context_set_summary(context, summary);
    g_option_context_add_main_entries(context, entries, NULL);
    return g_option_context_parse(context, argc, argv, error);
}

static bool
accepts_option(const ctl_command_t *command, const char *name)
{
    return g_strv_contains(command->options, name);
}

/* Returns the first given option that the command does not accept, or NULL. */
static const char *
find_unsupported_option(const ctl_command_t *command, const ctl_flags_t *flags)
{
    const struct {
        const char *name;
        bool given;
    } given[] = {
        {"wait", flags->wait},         {"off", flags->off},
        {"author", flags->author},     {"reason", flags->reason},
        {"kind", flags->kind != NULL}, {"object", flags->object != NULL},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(given); i++) {
        if (given[i].given && !accepts_option(command, given[i].name)) {
            return given[i].name;
        }
    }
    return NULL;
}

static bool
check_address(const char *option, const char *text, GError **error)
{
    if (address_parse(text, NULL, NULL, error)) {
        return true;
    }
    g_prefix_error(error, "option --%s: ", option);
    return false;
}

static bool
override_settings(const global_options_t *options, ctl_settings_t *settings,
                  GError **error)
{
    if (options->log != NULL) {
        if (!check_address("log", options->log, error)) {
            return false;
        }
        g_free(settings->log);
        settings->log = g_strdup(options->log);
    }
    if (options->entries != NULL) {
        for (char **entry = options->entries; *entry != NULL; entry++) {
            if (!check_address("entry", *entry, error)) {
                return false;
            }
        }
        g_strfreev(settings->entries);
        settings->entries = g_strdupv(options->entries);
    }
    if (options->timeout_ms < 0 || options->timeout_ms > MAX_TIMEOUT_MS) {
        g_set_error(error, TEASEL_ERROR, ERROR_INVALID,
                    "option --timeout: found %d; allowed: 1 to %d",
                    options->timeout_ms, MAX_TIMEOUT_MS);
        return false;
    }
    if (options->timeout_ms > 0) {
        settings->timeout_ms = options->timeout_ms;
    }
    return true;
}

static bool
load_settings(const global_options_t *options, ctl_settings_t *settings,
              GError **error)
{
    if (options->config != NULL) {
        if (!settings_load(options->config, settings_table, settings, error)) {
            return false;
        }
    }
    else {
        settings->entries = g_strsplit("", ",", 0);
        settings->timeout_ms = DEFAULT_TIMEOUT_MS;
    }
    return override_settings(options, settings, error);
}

static int
check_config(const global_options_t *options, const ctl_settings_t *settings)
{
    if (options->config == NULL) {
        return ctl_usage("--check-config needs --config FILE");
    }
    printf("%s: valid\n", options->config);
    return CTL_DONE;
}

/* Log events of the library are meant for daemons, not for teaselctl. */
static GLogWriterOutput
drop_events(GLogLevelFlags level, const GLogField *fields, gsize count,
            gpointer data)
{
    return G_LOG_WRITER_HANDLED;
}

static int
run_command(ctl_t *ctl, const ctl_command_t *command, int argc, char **argv)
{
    guint args = (guint)argc - 2;
    const char *unsupported = find_unsupported_option(command, &ctl->flags);
    int code;

    if (args < command->min_args || args > command->max_args) {
        return ctl_usage("usage: teaselctl %s %s", command->name,
                         command->arguments);
    }
    if (unsupported != NULL) {
        return ctl_usage("command %s does not accept option --%s",
                         command->name, unsupported);
    }
    g_log_set_writer_func(drop_events, NULL, NULL);
    ctl->args = argv + 2;
    ctl->clock = clock_system();
    ctl->loop = loop_new();
    code = command->run(ctl);
    config_reader_free(ctl->reader);
    if (ctl->log != NULL) {
        ctl->log->vtbl->free(ctl->log);
    }
    config_result_clear(&ctl->last_result);
    loop_free(ctl->loop);
    return code;
}

static int
run(ctl_t *ctl, global_options_t *options, int argc, char **argv)
{
    g_autoptr(GError) error = NULL;
    const ctl_command_t *command;

    if (!parse_options(&argc, &argv, options, &ctl->flags, &error)) {
        return ctl_usage("%s", error->message);
    }
    if (options->version) {
        printf("teaselctl %s\n", TEASEL_VERSION);
        return CTL_DONE;
    }
    if (!load_settings(options, &ctl->settings, &error)) {
        return ctl_usage("%s", error->message);
    }
    if (options->check_config) {
        return check_config(options, &ctl->settings);
    }
    if (argc < 2) {
        return ctl_usage("a command is missing");
    }
    command = find_command(argv[1]);
    if (command == NULL) {
        return ctl_usage("unknown command \"%s\"", argv[1]);
    }
    return run_command(ctl, command, argc, argv);
}

int
ctl_main(int argc, char **argv)
{
    global_options_t options = {0};
    ctl_t ctl = {0};
    int code = run(&ctl, &options, argc, argv);

    settings_clear(settings_table, &ctl.settings);
    g_free(options.config);
    g_free(options.log);
    g_strfreev(options.entries);
    g_free(ctl.flags.author);
    g_free(ctl.flags.reason);
    g_free(ctl.flags.kind);
    g_free(ctl.flags.object);
    return code;
}
