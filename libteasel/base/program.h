#ifndef TEASEL_BASE_PROGRAM_H
#define TEASEL_BASE_PROGRAM_H

#include <glib.h>
#include <stdbool.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef enum program_exit {
    PROGRAM_EXIT_SUCCESS = 0,
    PROGRAM_EXIT_FAILED = 1,
    PROGRAM_EXIT_USAGE = 2,
} program_exit_t;

/**
 * struct program_opts - a daemon that is configured by a settings file
 * @name: program name in error messages and the log
 * @summary: one sentence for --help
 * @options: options besides the common ones, ended by G_OPTION_ENTRY_NULL; or
 *     NULL
 * @settings: settings struct, passed to the callbacks
 * @load_settings: fills @settings; leaves nothing allocated on failure
 * @clear_settings: frees what @load_settings allocated
 * @run: runs until the shutdown and returns the exit code
 */
typedef struct program_opts {
    const char *name;
    const char *summary;
    const GOptionEntry *options;
    void *settings;
    bool (*load_settings)(const char *path, void *settings, GError **error);
    void (*clear_settings)(void *settings);
    program_exit_t (*run)(void *settings, GError **error);
} program_opts_t;

/**
 * program_get_config_path() - return the path given with --config
 */
const char *program_get_config_path(void);

/**
 * program_main() - parse the command line, load the settings and run
 *
 * Return: the exit code, a program_exit_t.
 */
int program_main(const program_opts_t *opts, int argc, char **argv);

#ifdef __cplusplus
}
#endif

#endif
