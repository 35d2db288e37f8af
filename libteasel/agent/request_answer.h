#ifndef TEASEL_AGENT_REQUEST_ANSWER_H
#define TEASEL_AGENT_REQUEST_ANSWER_H

#include <stdbool.h>
#include <stdint.h>

#include "agent/agent_link.h"
#include "base/error.h"
#include "executor/executor.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * request_answer_send() - send the result of a request to the entry
 *
 * Sends Reply, NotRun or Unknown. If an executor's response does not fit into
 * a frame, sends Unknown with ERROR_TOO_LARGE instead.
 */
void request_answer_send(agent_link_t *link, uint64_t request_id,
                         const executor_result_t *result, Teasel__Load *load);

/**
 * request_answer_send_not_run() - send NotRun for a request that did not run
 */
void request_answer_send_not_run(agent_link_t *link, uint64_t request_id,
                                 error_kind_t kind, const char *detail,
                                 Teasel__Load *load);

#ifdef __cplusplus
}
#endif

#endif
