#ifndef TEASEL_CONFIG_CONFIG_TYPES_H
#define TEASEL_CONFIG_CONFIG_TYPES_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct config_service - object "service/NAME"
 * @declared: a ticket in force names the service; false for presets
 * @ticket: number of that ticket, 0 for presets
 * @slots: requests that one executor runs at a time
 * @connections: connections that one agent opens to its executor
 * @queue: requests that wait at one agent; 0 refuses when no slot is free
 * @default_deadline_ms: for requests that carry no deadline
 * @max_deadline_ms: longer deadlines are shortened to this
 * @reserved_cpu_milli: kept for the executor on its machine
 * @reserved_memory_mb: kept for the executor on its machine
 * @idempotent: "yes" or "no" for requests without a Teasel-Idempotent header;
 *     "method" decides by the request method
 */
typedef enum config_idempotent {
    CONFIG_IDEMPOTENT_BY_METHOD = 0, /* POST and PATCH are not idempotent */
    CONFIG_IDEMPOTENT_NO,
    CONFIG_IDEMPOTENT_YES,
} config_idempotent_t;

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
    int64_t idempotent; /* config_idempotent_t */
} config_service_t;

/**
 * struct config_team - object "team/NAME"
 * @weight: share relative to other teams, 100 is the usual one
 * @cpu_milli: most that the team's running jobs use together; the preset is
 *     the largest value, which is no limit in practice
 * @memory_mb: as @cpu_milli
 * @accelerators: as @cpu_milli
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
 * @throughput_weight: importance of batch throughput, 0 to 100
 * @eviction_weight: importance of few evictions, 0 to 100
 * @tail_weight: importance of tail latency of services, 0 to 100
 * @lease_ms: lease of a worker
 * @throttle_percent: pressure at which batch tasks are throttled
 * @suspend_percent: pressure at which they are suspended
 * @checkpoint_percent: pressure at which they are checkpointed
 * @evict_percent: pressure at which they are evicted
 * @hysteresis_percent: a step is taken back this much below its threshold
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
