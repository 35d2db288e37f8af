#include <inttypes.h>

#include "operator/ctl.h"
#include "stream/plog_http.h"

bool
ctl_wait(ctl_t *ctl, const bool *done, int64_t timeout_ms)
{
    struct timespec end =
        timespec_add_ms(clock_get_monotonic(ctl->clock), timeout_ms);

    while (!*done) {
        int64_t left = timespec_diff_ms(end, clock_get_monotonic(ctl->clock));

        if (left <= 0) {
            return false;
        }
        loop_run_once(ctl->loop, (int)left);
    }
    return true;
}

bool
ctl_open_log(ctl_t *ctl, GError **error)
{
    plog_http_opts_t opts = {
        .loop = ctl->loop,
        .address = ctl->settings.log,
        .append_timeout_ms = (uint64_t)ctl->settings.timeout_ms,
    };

    if (ctl->log != NULL) {
        return true;
    }
    if (ctl->settings.log == NULL) {
        g_set_error(error, TEASEL_ERROR, ERROR_INVALID,
                    "the address of the log is missing; give --log ADDRESS or "
                    "key \"log\" in the settings");
        return false;
    }
    ctl->log = plog_http_new(&opts, error);
    return ctl->log != NULL;
}

static void
on_record(const Teasel__LogRecord *record, uint64_t offset,
          const config_result_t *result, void *data)
{
    ctl_t *ctl = data;

    config_result_clear(&ctl->last_result);
    ctl->last_result = *result;
    ctl->last_result.message = g_strdup(result->message);
}

bool
ctl_open_config(ctl_t *ctl, GError **error)
{
    config_reader_opts_t opts = {
        .loop = ctl->loop,
        .clock = ctl->clock,
        .writer = "teaselctl",
        .on_record = on_record,
        .data = ctl,
    };
    struct timespec end;

    if (!ctl_open_log(ctl, error)) {
        return false;
    }
    opts.log = ctl->log;
    ctl->reader = config_reader_new(&opts);
    end = timespec_add_ms(clock_get_monotonic(ctl->clock),
                          ctl->settings.timeout_ms);
    while (!config_reader_is_caught_up(ctl->reader)) {
        int64_t left = timespec_diff_ms(end, clock_get_monotonic(ctl->clock));

        if (left <= 0) {
            g_set_error(error, TEASEL_ERROR, ERROR_LOG_UNAVAILABLE,
                        "log %s: stream \"config\" could not be read within "
                        "%" PRId64 " ms; nothing was written",
                        ctl->settings.log, ctl->settings.timeout_ms);
            return false;
        }
        loop_run_once(ctl->loop, (int)left);
    }
    return true;
}

typedef struct append_result {
    bool done;
    stream_outcome_t outcome;
    uint64_t offset;
    char *detail;
} append_result_t;

static void
on_appended(stream_outcome_t outcome, uint64_t offset, const char *detail,
            void *data)
{
    append_result_t *result = data;

    result->done = true;
    result->outcome = outcome;
    result->offset = offset;
    result->detail = g_strdup(detail);
}

bool
ctl_append(ctl_t *ctl, Teasel__LogRecord *record, uint64_t *offset,
           GError **error)
{
    append_result_t result = {0};
    g_autofree char *detail = NULL;

    config_result_clear(&ctl->last_result);
    ctl->last_result = (config_result_t){CONFIG_IGNORED};
    stream_append(config_reader_get_stream(ctl->reader), record,
                  (uint64_t)ctl->settings.timeout_ms, on_appended, &result);
    while (!result.done) {
        loop_run_once(ctl->loop, 1000);
    }
    detail = result.detail;
    *offset = result.offset;
    if (result.outcome == STREAM_APPLIED) {
        return true;
    }
    if (result.outcome == STREAM_REFUSED) {
        g_set_error(error, TEASEL_ERROR, ERROR_LOG_UNAVAILABLE,
                    "log %s did not write the record: %s", ctl->settings.log,
                    detail != NULL ? detail : "append refused");
    }
    else {
        g_set_error(error, TEASEL_ERROR, ERROR_LOG_UNKNOWN,
                    "log %s may have written the record: %s; run the same "
                    "command again to get a definite result",
                    ctl->settings.log,
                    detail != NULL ? detail : "the record was not read back");
    }
    return false;
}
