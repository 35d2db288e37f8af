#ifndef TEASEL_STREAM_PLOG_HTTP_H
#define TEASEL_STREAM_PLOG_HTTP_H

#include <glib.h>

#include "base/loop.h"
#include "stream/plog.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct plog_http_opts - options of plog_http_new()
 * @address: IPv4:PORT of the log service
 * @append_timeout_ms: an append without a response for this long completes
 *     with PLOG_UNKNOWN
 */
typedef struct plog_http_opts {
    loop_t *loop;
    const char *address;
    uint64_t append_timeout_ms;
} plog_http_opts_t;

/**
 * plog_http_new() - create a client of the log service over HTTP
 *
 * docs/standins.md documents the protocol.
 */
plog_t *plog_http_new(const plog_http_opts_t *opts, GError **error);

#ifdef __cplusplus
}
#endif

#endif
