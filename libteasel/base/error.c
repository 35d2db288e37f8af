#include "base/error.h"

G_DEFINE_QUARK(teasel - error - quark, teasel_error)

static const error_info_t infos[ERROR_KIND_COUNT] = {
    [ERROR_INVALID] = {"invalid", "The request is not valid", 400, false, 2},
    [ERROR_NOT_FOUND] = {"not-found", "No such object", 404, false, 1},
    [ERROR_CONFLICT] = {"conflict", "Another body has this name", 409, false,
                        1},
    [ERROR_TOO_LARGE] = {"too-large", "The request is too large", 413, false,
                         1},
    [ERROR_UNPLACEABLE] = {"unplaceable", "No worker can hold the job", 422,
                           false, 1},
    [ERROR_OVERLOADED] = {"overloaded", "The service is overloaded", 503,
                          false, 1},
    [ERROR_LEAVING] = {"leaving", "The instance is shutting down", 503, false,
                       1},
    [ERROR_NO_EXECUTOR] = {"no-executor", "No executor is available", 503,
                           false, 1},
    [ERROR_EXPIRED] = {"expired", "The deadline passed before the start", 504,
                       false, 1},
    [ERROR_LOG_UNAVAILABLE] = {"log-unavailable", "The log is unavailable",
                               503, false, 3},
    [ERROR_LOG_UNKNOWN] = {"log-unknown", "The log did not confirm the record",
                           504, true, 3},
    [ERROR_CONNECT] = {"connect", "The peer could not be reached", 502, false,
                       3},
    [ERROR_CONNECTION_LOST] = {"connection-lost",
                               "The connection was lost before the answer",
                               502, true, 3},
    [ERROR_TIMEOUT] = {"timeout", "No answer before the deadline", 504, true,
                       3},
    [ERROR_TRUNCATED] = {"truncated", "The answer was cut short", 502, true,
                         3},
    [ERROR_PROTOCOL] = {"protocol", "A message was malformed", 502, true, 3},
    [ERROR_STALE] = {"stale", "A newer state is in force", 409, false, 1},
    [ERROR_DUPLICATE] = {"duplicate", "The idempotency key is in use", 409,
                         true, 1},
    [ERROR_INTERNAL] = {"internal", "Internal error", 500, true, 3},
};

const error_info_t *
error_get_info(unsigned kind)
{
    if (kind >= ERROR_KIND_COUNT) {
        kind = ERROR_INTERNAL;
    }
    return &infos[kind];
}
