#ifndef TEASEL_CONFIG_CONFIG_TYPES_H
#define TEASEL_CONFIG_CONFIG_TYPES_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/**
 * enum config_idempotent - whether requests without a Teasel-Idempotent header
 * count as idempotent; "method", "no" and "yes" in a ticket
 */
typedef enum config_idempotent {
    CONFIG_IDEMPOTENT_BY_METHOD = 0, /* POST and PATCH are not idempotent */
    CONFIG_IDEMPOTENT_NO,
    CONFIG_IDEMPOTENT_YES,
} config_idempotent_t;

/**
 * struct config_service - object "service/NAME"
 * @declared: the object is in force; false for defaults
 * @ticket: number of the ticket that set the object, 0 for defaults
 * @slots: requests that one executor runs at a time
 * @connections: connections that one agent opens to its executor
 * @queue: requests that wait at one agent; 0 refuses requests when no slot is
 *     free
 * @default_deadline_ms: deadline of requests that carry none
 * @max_deadline_ms: longer deadlines are shortened to this
 * @reserved_cpu_milli: reserved for the executor on its machine
 * @reserved_memory_mb: reserved for the executor on its machine
 * @idempotent: config_idempotent_t
 */
typedef struct config_service {
    bool declared;
    uint64_t ticket;
    int64_t slots;
    int64_t connections;
    int64_t queue;
    int64_t default_deadline_ms;
    int64_t max_deadline_ms;
    int64_t reserved_cpu_milli;
    int64_t reserved_memory_mb;
    int64_t idempotent;
} config_service_t;

/**
 * struct config_team - object "team/NAME"
 * @declared: the object is in force; false for defaults
 * @ticket: number of the ticket that set the object, 0 for defaults
 * @weight: share relative to other teams; the default is 100
 * @cpu_milli: quota for all running jobs of the team together; the default is
 *     the largest value, in effect no limit
 * @memory_mb: quota, as @cpu_milli
 * @accelerators: quota, as @cpu_milli
 */
typedef struct config_team {
    bool declared;
    uint64_t ticket;
    int64_t weight;
    int64_t cpu_milli;
    int64_t memory_mb;
    int64_t accelerators;
} config_team_t;

/**
 * struct config_policy - object "policy/NAME"
 * @declared: the object is in force; false for defaults
 * @ticket: number of the ticket that set the object, 0 for defaults
 * @throughput_weight: importance of batch throughput, 0 to 100
 * @eviction_weight: importance of few evictions, 0 to 100
 * @tail_weight: importance of a low tail latency of services, 0 to 100
 * @lease_ms: duration of the lease of a worker
 * @throttle_percent: resource pressure at which batch tasks are throttled
 * @suspend_percent: pressure at which they are suspended
 * @checkpoint_percent: pressure at which they are checkpointed
 * @evict_percent: pressure at which they are evicted
 * @hysteresis_percent: a step is reverted when the pressure is this much below
 *     the threshold of the step
 */
typedef struct config_policy {
    bool declared;
    uint64_t ticket;
    int64_t throughput_weight;
    int64_t eviction_weight;
    int64_t tail_weight;
    int64_t lease_ms;
    int64_t throttle_percent;
    int64_t suspend_percent;
    int64_t checkpoint_percent;
    int64_t evict_percent;
    int64_t hysteresis_percent;
} config_policy_t;

#ifdef __cplusplus
}
#endif

#endif
