#ifndef TEASEL_BASE_ERROR_H
#define TEASEL_BASE_ERROR_H

#include <glib.h>
#include <stdbool.h>

#ifdef __cplusplus
extern "C" {
#endif

/**
 * enum error_kind - the closed list of error kinds
 *
 * The numbers travel in messages; append new kinds at the end.
 */
typedef enum error_kind {
    ERROR_INVALID = 0,     /* the input is malformed or out of range */
    ERROR_NOT_FOUND,       /* no such service, job or object */
    ERROR_CONFLICT,        /* another body is known under the same name */
    ERROR_TOO_LARGE,       /* a body or header exceeds its limit */
    ERROR_UNPLACEABLE,     /* no worker could hold the job */
    ERROR_OVERLOADED,      /* shed by a full or too slow queue */
    ERROR_LEAVING,         /* the instance is shutting down */
    ERROR_NO_EXECUTOR,     /* no usable executor is known */
    ERROR_EXPIRED,         /* the deadline passed before the start */
    ERROR_LOG_UNAVAILABLE, /* the log refused; nothing was written */
    ERROR_LOG_UNKNOWN,     /* the log may have taken the record */
    ERROR_CONNECT,         /* the peer could not be reached; nothing sent */
    ERROR_CONNECTION_LOST, /* the peer may have run the request */
    ERROR_TIMEOUT,         /* no answer before the deadline */
    ERROR_TRUNCATED,       /* the answer ended early */
    ERROR_PROTOCOL,        /* a malformed frame or message */
    ERROR_STALE,           /* an older epoch, incarnation or ticket */
    ERROR_DUPLICATE,       /* another request holds the idempotency key */
    ERROR_INTERNAL,        /* a fault of this program */
    ERROR_KIND_COUNT
} error_kind_t;

#define TEASEL_ERROR (teasel_error_quark())
GQuark teasel_error_quark(void);

/**
 * struct error_info - how an error kind is reported
 * @name: stable name, used as the type of problem documents
 * @title: short sentence for people
 * @http_status: status of the HTTP answer
 * @executed: true if the request may have been run
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
 * error_get_info() - table lookup from kind to answer
 * @kind: an unknown number is answered like ERROR_INTERNAL
 */
const error_info_t *error_get_info(unsigned kind);

#ifdef __cplusplus
}
#endif

#endif
