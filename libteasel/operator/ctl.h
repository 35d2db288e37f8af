#ifndef TEASEL_OPERATOR_CTL_H
#define TEASEL_OPERATOR_CTL_H

#include <glib.h>
#include <json-c/json.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/error.h"
#include "base/loop.h"
#include "config/config.h"
#include "config/config_reader.h"
#include "stream/plog.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Exit codes of teaselctl. */
enum {
    CTL_DONE = 0,
    CTL_REFUSED = 1,
    CTL_USAGE = 2,
    CTL_UNKNOWN = 3, /* outcome unknown, or platform not reachable */
};

/**
 * struct ctl_settings - keys of the settings file
 */
typedef struct ctl_settings {
    char *log;
    char **entries;
    int64_t timeout_ms;
    char *author;
} ctl_settings_t;

/**
 * struct ctl_flags - command line options of the commands
 */
typedef struct ctl_flags {
    gboolean json;
    gboolean wait;
    gboolean off;
    char *author;
    char *reason;
    char *kind;
    char *object;
} ctl_flags_t;

/**
 * struct ctl - state of one teaselctl command
 * @args: arguments after the command name; NULL-terminated
 * @log: NULL until ctl_open_config() or ctl_open_log()
 * @reader: reader of stream "config"; NULL until ctl_open_config()
 * @last_result: result of the record that @reader applied last
 */
typedef struct ctl {
    loop_t *loop;
    const clock_source_t *clock;
    ctl_settings_t settings;
    ctl_flags_t flags;
    char **args;
    plog_t *log;
    config_reader_t *reader;
    config_result_t last_result;
} ctl_t;

/**
 * struct ctl_command - a row of the command table
 * @arguments: synopsis of the arguments in the help
 * @min_args: smallest number of arguments
 * @max_args: largest number of arguments
 * @options: long names of the options that this command accepts;
 *     NULL-terminated
 * @run: runs the command and returns the exit code
 */
typedef struct ctl_command {
    const char *name;
    const char *arguments;
    const char *summary;
    guint min_args;
    guint max_args;
    const char *const *options;
    int (*run)(ctl_t *ctl);
} ctl_command_t;

/**
 * ctl_main() - run teaselctl
 *
 * Return: the exit code.
 */
int ctl_main(int argc, char **argv);

int ctl_run_apply(ctl_t *ctl);
int ctl_run_audit(ctl_t *ctl);
int ctl_run_diff(ctl_t *ctl);
int ctl_run_drain(ctl_t *ctl);
int ctl_run_explain(ctl_t *ctl);
int ctl_run_jobs(ctl_t *ctl);
int ctl_run_members(ctl_t *ctl);
int ctl_run_show(ctl_t *ctl);

/**
 * ctl_open_log() - create the client of the log in the settings
 * @error: ERROR_INVALID if the settings have no log address
 */
bool ctl_open_log(ctl_t *ctl, GError **error);

/**
 * ctl_open_config() - open the log and read stream "config" to its end
 * @error: ERROR_LOG_UNAVAILABLE if the end was not reached within the timeout,
 *     or an error of ctl_open_log()
 */
bool ctl_open_config(ctl_t *ctl, GError **error);

/**
 * ctl_wait() - run the loop until @done is true or the timeout has passed
 *
 * Return: false after the timeout.
 */
bool ctl_wait(ctl_t *ctl, const bool *done, int64_t timeout_ms);

/**
 * ctl_append() - append a record to stream "config" and read it back
 * @offset: set to the offset of the record if it was read back
 * @error: ERROR_LOG_UNAVAILABLE if the record was not written;
 *     ERROR_LOG_UNKNOWN if it was not read back within the timeout and may
 *     have been written
 */
bool ctl_append(ctl_t *ctl, Teasel__LogRecord *record, uint64_t *offset,
                GError **error);

/**
 * ctl_fail() - print an error to standard error, with --json also as JSON
 *
 * Return: the exit code of the error.
 */
int ctl_fail(const ctl_t *ctl, const GError *error);

/**
 * ctl_usage() - print a usage error to standard error
 *
 * Return: CTL_USAGE.
 */
int ctl_usage(const char *format, ...) G_GNUC_PRINTF(1, 2);

/**
 * ctl_read_file() - read a whole file
 * @text: set to the contents; free with g_free()
 * @error: ERROR_INVALID if the file cannot be read
 */
bool ctl_read_file(const char *path, char **text, gsize *length,
                   GError **error);

/**
 * ctl_print_json() - print a JSON value and release the reference to it
 */
void ctl_print_json(struct json_object *value);

/**
 * ctl_print_table() - print rows as a table with aligned columns
 * @rows: GStrv elements, all with the same number of cells; the first row has
 *     the column titles
 */
void ctl_print_table(const GPtrArray *rows);

/* Accessors of JSON objects. The getters return "", 0, false or NULL for a
   missing key. */
void ctl_json_add_string(struct json_object *out, const char *key,
                         const char *value);
void ctl_json_add_number(struct json_object *out, const char *key,
                         uint64_t value);
void ctl_json_add_flag(struct json_object *out, const char *key, bool value);
const char *ctl_json_get_string(struct json_object *in, const char *key);
uint64_t ctl_json_get_number(struct json_object *in, const char *key);
bool ctl_json_get_flag(struct json_object *in, const char *key);
struct json_object *ctl_json_get(struct json_object *in, const char *key);

#ifdef __cplusplus
}
#endif

#endif
