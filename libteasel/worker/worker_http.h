#ifndef TEASEL_WORKER_WORKER_HTTP_H
#define TEASEL_WORKER_WORKER_HTTP_H

#include <glib.h>

#include "base/loop.h"
#include "worker/worker.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct worker_http_opts - options of worker_http_new()
 * @address: IPv4:PORT of the worker
 * @timeout_ms: time without an answer after which the outcome of a call is
 *     unknown; for a watch its waiting time is added
 */
typedef struct worker_http_opts {
    loop_t *loop;
    const char *address;
    uint64_t timeout_ms;
} worker_http_opts_t;

/**
 * worker_http_new() - create a client for the protocol of docs/standins.md
 */
worker_t *worker_http_new(const worker_http_opts_t *opts, GError **error);

#ifdef __cplusplus
}
#endif

#endif
