#ifndef TEASEL_SCHEDULER_GATEWAY_H
#define TEASEL_SCHEDULER_GATEWAY_H

#include "base/clock.h"
#include "base/loop.h"
#include "cluster/cluster.h"
#include "scheduler/job_call.h"
#include "scheduler/leader.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Forwards job calls to the leading scheduler and resends pending calls to a
 * new leader. Every call may be repeated because callers choose the job id.
 */

typedef struct gateway gateway_t;

/**
 * gateway_new() - create a gateway
 * @random: draws the times after which refused callers try again; must outlive
 *     the gateway
 */
gateway_t *gateway_new(loop_t *loop, const clock_source_t *clock,
                       cluster_t *cluster, GRand *random);
void gateway_free(gateway_t *gateway);

/**
 * gateway_set_cluster() - set the cluster through which calls reach the leader
 */
void gateway_set_cluster(gateway_t *gateway, cluster_t *cluster);

/**
 * gateway_set_leader() - set the leader object of this process
 * @leader: NULL if this process does not lead
 */
void gateway_set_leader(gateway_t *gateway, leader_t *leader);

/**
 * gateway_call() - send a call to the leader
 * @call: copied; its call_id is ignored
 * @answer: called once, possibly before this function returns; not called
 *     after gateway_free()
 */
void gateway_call(gateway_t *gateway, const Teasel__JobCall *call,
                  job_answer_fn answer, void *data);

/**
 * gateway_resend() - resend all pending calls to the new leader
 */
void gateway_resend(gateway_t *gateway);

/**
 * gateway_handle_answer() - handle the answer of the leader to a call
 */
void gateway_handle_answer(gateway_t *gateway,
                           const Teasel__JobAnswer *answer);

/**
 * gateway_count_calls() - return the number of calls without an answer
 */
size_t gateway_count_calls(const gateway_t *gateway);

#ifdef __cplusplus
}
#endif

#endif
