#ifndef TEASEL_ENTRY_ENTRY_SERVICE_H
#define TEASEL_ENTRY_ENTRY_SERVICE_H

#include <stddef.h>

#include "caller/service_handler.h"
#include "config/config_reader.h"
#include "entry/key_guard.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct entry_service entry_service_t;

/**
 * struct entry_service_opts - options of entry_service_new()
 * @key_guard: handles requests that have an idempotency key
 * @entry_id: part of generated request ids
 * @max_in_flight: limit of pending requests; more are refused as not run
 * @max_body: limit of a request body in bytes; larger ones are refused as not
 *     run
 */
typedef struct entry_service_opts {
    const config_reader_t *config;
    forwarder_t *forwarder;
    key_guard_t *key_guard;
    const char *entry_id;
    uint64_t incarnation;
    size_t max_in_flight;
    size_t max_body;
} entry_service_opts_t;

/**
 * entry_service_new() - create the handler of service requests
 */
entry_service_t *entry_service_new(const entry_service_opts_t *opts);
void entry_service_free(entry_service_t *service);

/**
 * entry_service_submit() - forward a service call; a service_submit_fn
 * @data: the entry_service_t
 */
void entry_service_submit(service_call_t *call, void *data);

#ifdef __cplusplus
}
#endif

#endif
