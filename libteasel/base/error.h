#ifndef TEASEL_BASE_ERROR_H
#define TEASEL_BASE_ERROR_H

#include <glib.h>
#include <stdbool.h>

#ifdef __cplusplus
extern "C" {
#endif

/**
 * enum error_kind - kinds of errors
 *
 * The values are sent in messages: append new kinds at the end.
 */
typedef enum error_kind {
    ERROR_INVALID = 0,     /* the input is malformed or out of range */
    ERROR_NOT_FOUND,       /* no such service, job or object */
    ERROR_CONFLICT,        /* an object with this name has other contents */
    ERROR_TOO_LARGE,       /* a body or header exceeds its limit */
    ERROR_UNPLACEABLE,     /* the job does not fit on any worker */
    ERROR_OVERLOADED,      /* rejected: a queue is full or too slow */
    ERROR_LEAVING,         /* the instance is shutting down */
    ERROR_NO_EXECUTOR,     /* no executor is available */
    ERROR_EXPIRED,         /* the deadline passed before execution */
    ERROR_LOG_UNAVAILABLE, /* the log refused the record; not written */
    ERROR_LOG_UNKNOWN,     /* the log may have written the record */
    ERROR_CONNECT,         /* could not connect; nothing was sent */
    ERROR_CONNECTION_LOST, /* disconnected; the request may have run */
    ERROR_TIMEOUT,         /* no response before the deadline */
    ERROR_TRUNCATED,       /* the response ended early */
    ERROR_PROTOCOL,        /* a malformed frame or message */
    ERROR_STALE,           /* a newer epoch, incarnation or ticket exists */
    ERROR_DUPLICATE,       /* another request uses the idempotency key */
    ERROR_INTERNAL,        /* an internal error of this program */
    ERROR_KIND_COUNT
} error_kind_t;

#define TEASEL_ERROR (teasel_error_quark())
GQuark teasel_error_quark(void);

/**
 * struct error_info - how an error kind is reported
 * @name: stable identifier, used as the type of problem documents
 * @title: description in one short sentence
 * @http_status: status code of the HTTP response
 * @executed: the request may have been executed
 * @exit_code: exit code of teaselctl
 */
typedef struct error_info {
    const char *name;
    const char *title;
    int http_status;
    bool executed;
    int exit_code;
} error_info_t;

/**
 * error_get_info() - look up how an error kind is reported
 * @kind: an error_kind_t; a value out of range is treated as ERROR_INTERNAL
 */
const error_info_t *error_get_info(unsigned kind);

#ifdef __cplusplus
}
#endif

#endif
