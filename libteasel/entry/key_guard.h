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
 * @submit: forwards a request whose key was claimed; same contract as
 *     forwarder_submit()
 * @writer: writer id of the appended records
 * @append_timeout_ms: a claim that the entry has not read back from the log
 *     within this time is abandoned
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
 * key_guard_new() - create a key guard that follows stream "keys"
 */
key_guard_t *key_guard_new(const key_guard_opts_t *opts);
void key_guard_free(key_guard_t *guard);

/**
 * key_guard_submit() - run a request at most once per idempotency key
 * @key: must stay valid until @cb
 * @hash: hash of method, target and body; a request that reuses the key with
 *     another hash is refused
 * @cb: called exactly once, possibly before this function returns
 *
 * The request is forwarded after its key was claimed on the log. A repetition
 * waits for the first request and gets its recorded answer. While the log is
 * unavailable, requests with a new key are refused as not run.
 */
void key_guard_submit(key_guard_t *guard, const char *key, uint64_t hash,
                      const forward_request_t *request, forward_cb cb,
                      void *data);

/**
 * key_guard_get_pending() - return the number of unfinished requests and
 * results that are not on the log yet
 */
size_t key_guard_get_pending(const key_guard_t *guard);

#ifdef __cplusplus
}
#endif

#endif
