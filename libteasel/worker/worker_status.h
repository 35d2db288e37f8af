#ifndef TEASEL_WORKER_WORKER_STATUS_H
#define TEASEL_WORKER_WORKER_STATUS_H

#include <json-c/json.h>

#include "worker/worker.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * worker_status_parse() - read the answer to GET /status
 * @status: set if @root is well-formed; its strings are owned by @root, its
 *     tasks are freed by worker_status_clear()
 *
 * Return: false if a member is missing or has another type.
 */
bool worker_status_parse(struct json_object *root, worker_status_t *status);
void worker_status_clear(worker_status_t *status);

#ifdef __cplusplus
}
#endif

#endif
