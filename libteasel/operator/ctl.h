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
    CTL_UNKNOWN = 3, /* outcome unknown or platform not reachable */
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
 * struct ctl_flags - options of the command line
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
 * struct ctl - a run of teaselctl
 * @args: arguments after the command
 * @log: NULL until ctl_open_config() or ctl_open_log()
 * @reader: NULL until ctl_open_config()
 * @last_result: of the record that was folded last
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
 * @arguments: shown in the help
 * @min_args: smallest number of arguments
 * @max_args: largest number of arguments
 * @options: flags that this command takes, by their long names; ends with
 *     NULL
 * @run: returns the exit code
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
 * ctl_open_log() - connect to the log
 */
bool ctl_open_log(ctl_t *ctl, GError **error);

/**
 * ctl_open_config() - read stream "config" to its end
 * @error: ERROR_LOG_UNAVAILABLE after the timeout
 */
bool ctl_open_config(ctl_t *ctl, GError **error);

/**
 * ctl_wait() - run the loop until @done or until the time is over
 */
bool ctl_wait(ctl_t *ctl, const bool *done, int64_t timeout_ms);

/**
 * ctl_append() - append to stream "config" and wait for the read-back
 * @offset: of the record, if it was read back
 * @error: ERROR_LOG_UNAVAILABLE: not written; ERROR_LOG_UNKNOWN
 */
bool ctl_append(ctl_t *ctl, Teasel__LogRecord *record, uint64_t *offset,
                GError **error);

/**
 * ctl_fail() - print an error to standard error, and as JSON if wanted
 *
 * Return: the exit code of the error.
 */
int ctl_fail(const ctl_t *ctl, const GError *error);

/**
 * ctl_usage() - print a usage error; returns CTL_USAGE
 */
int ctl_usage(const char *format, ...) G_GNUC_PRINTF(1, 2);

/**
 * ctl_read_file() - read a whole file
 */
bool ctl_read_file(const char *path, char **text, gsize *length,
                   GError **error);

/**
 * ctl_print_json() - print and free a JSON value
 */
void ctl_print_json(struct json_object *value);

/**
 * ctl_print_table() - print rows of an equal number of cells, aligned
 * @rows: GStrv elements; the first row has the titles
 */
void ctl_print_table(const GPtrArray *rows);

/* Builders and readers of JSON objects; absent keys read as "", 0, false. */
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
