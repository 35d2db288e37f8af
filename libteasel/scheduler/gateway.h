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
 * Takes calls on jobs to whichever scheduler leads, and sends them again to a
 * new leader: all of them may be repeated, as a job has an id of its caller.
 */

typedef struct gateway gateway_t;

gateway_t *gateway_new(loop_t *loop, const clock_source_t *clock,
                       cluster_t *cluster);
void gateway_free(gateway_t *gateway);

/**
 * gateway_set_cluster() - calls go through this cluster
 */
void gateway_set_cluster(gateway_t *gateway, cluster_t *cluster);

/**
 * gateway_set_leader() - this process leads, or does not (NULL)
 */
void gateway_set_leader(gateway_t *gateway, leader_t *leader);

/**
 * gateway_call() - make a call
 * @call: its call_id is ignored
 * @answer: called once, perhaps from inside this function
 */
void gateway_call(gateway_t *gateway, const Teasel__JobCall *call,
                  job_answer_fn answer, void *data);

/**
 * gateway_resend() - another scheduler leads
 */
void gateway_resend(gateway_t *gateway);
void gateway_take_answer(gateway_t *gateway, const Teasel__JobAnswer *answer);

/**
 * gateway_count_calls() - calls without an answer
 */
size_t gateway_count_calls(const gateway_t *gateway);

#ifdef __cplusplus
}
#endif

#endif
