#ifndef TEASEL_ENTRY_KEY_GUARD_H
#define TEASEL_ENTRY_KEY_GUARD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "entry/forwarder.h"
#include "stream/plog.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct key_guard key_guard_t;

/**
 * struct key_guard_opts - options of key_guard_new()
 * @submit: runs a request whose key was claimed, like forwarder_submit()
 * @writer: put on each record
 * @append_timeout_ms: after this a claim that was not read back is abandoned
 */
typedef struct key_guard_opts {
    loop_t *loop;
    const clock_source_t *clock;
    plog_t *log;
    void (*submit)(void *submit_data, const forward_request_t *request,
                   forward_cb cb, void *data);
    void *submit_data;
    const char *entry_id;
    const char *writer;
    uint64_t append_timeout_ms;
} key_guard_opts_t;

/**
 * key_guard_new() - follow stream "keys"
 */
key_guard_t *key_guard_new(const key_guard_opts_t *opts);
void key_guard_free(key_guard_t *guard);

/**
 * key_guard_submit() - forward a request whose key no other request holds
 * @hash: of method, target and body; the same key with another hash is
 *     refused
 * @cb: called exactly once, possibly from inside
 *
 * A repetition gets the recorded answer. While the log is not reachable the
 * request is refused as not run.
 */
void key_guard_submit(key_guard_t *guard, const char *key, uint64_t hash,
                      const forward_request_t *request, forward_cb cb,
                      void *data);

/**
 * key_guard_get_pending() - requests and results that are not finished
 */
size_t key_guard_get_pending(const key_guard_t *guard);

#ifdef __cplusplus
}
#endif

#endif
