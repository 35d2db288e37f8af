#ifndef TEASEL_BATCH_COORDINATOR_H
#define TEASEL_BATCH_COORDINATOR_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"
#include "batch/cell.h"
#include "batch/placement.h"
#include "wire/teasel.pb-c.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct coordinator coordinator_t;

/**
 * struct coordinator_opts - options of coordinator_new()
 * @cell: state of the cell; the coordinator becomes its listener
 * @lease_ms: longest lease that a renewal grants
 * @placement: strategy, placement_best_fit if NULL
 * @use_declared_sizes: take the declared sizes instead of learned ones
 *     (baseline of the benchmarks)
 * @arrival_order: start jobs in order of arrival instead of the longest first
 *     (baseline of the benchmarks)
 * @max_items: maximum number of items per decision, 0 for
 *     COORDINATOR_MAX_ITEMS
 * @send: sends a message to an agent; the message is dropped if the agent is
 *     not connected
 * @data: passed to @send
 */
typedef struct coordinator_opts {
    const clock_source_t *clock;
    cell_t *cell;
    uint64_t lease_ms;
    const placement_strategy_t *placement;
    bool use_declared_sizes;
    bool arrival_order;
    size_t max_items;
    void (*send)(const char *agent, const Teasel__Envelope *message,
                 void *data);
    void *data;
} coordinator_opts_t;

coordinator_t *coordinator_new(const coordinator_opts_t *opts);
void coordinator_free(coordinator_t *coordinator);

/**
 * coordinator_activate() - start to make decisions
 * @epoch: offset of this process's claim, which was read from the log
 *
 * Attempts on workers that send no heartbeat expire no earlier than 1.1
 * leases from now, when every lease of the previous coordinator has ended.
 */
void coordinator_activate(coordinator_t *coordinator, uint64_t epoch);

/**
 * coordinator_deactivate() - stop making decisions and renewing leases
 *
 * A decision in flight is freed.
 */
void coordinator_deactivate(coordinator_t *coordinator);
bool coordinator_is_active(const coordinator_t *coordinator);

/**
 * coordinator_set_team() - set the weight and the quota of a team
 * @weight: share of the cell relative to other teams; at least 1, default 100
 * @limit: maximum resources of its running jobs together; a lower limit holds
 *     back further starts but evicts no job
 */
void coordinator_set_team(coordinator_t *coordinator, const char *name,
                          uint32_t weight, const job_size_t *limit);

/**
 * coordinator_reset_teams() - give all teams the default weight and no limit
 */
void coordinator_reset_teams(coordinator_t *coordinator);

/**
 * coordinator_on_heartbeat() - compare the listed tasks with the cell, then
 * renew the lease of the worker
 * @log_read_time: when the last read of the log began that showed no newer
 *     claim; the renewed lease is shorter by the age of that read
 *
 * The agent is told to discard tasks that are not in the cell before the
 * renewal is sent.
 */
void coordinator_on_heartbeat(coordinator_t *coordinator,
                              const Teasel__Heartbeat *heartbeat,
                              struct timespec log_read_time);

/**
 * coordinator_on_report() - process a report that an attempt has ended
 *
 * The next decision records the end. If the attempt does not run in the cell,
 * the agent is told to release or discard it.
 */
void coordinator_on_report(coordinator_t *coordinator,
                           const Teasel__TaskReport *report);

/**
 * coordinator_decide() - make the next decision
 *
 * The decision has to be appended to the log, and applied to the cell when it
 * is read from there.
 *
 * Return: NULL if there is nothing to decide, or if the write of the previous
 * decision is pending. Valid until coordinator_on_write_result().
 */
const Teasel__Decision *coordinator_decide(coordinator_t *coordinator);

/**
 * coordinator_on_write_result() - end the decision in flight, which was read
 * from the log or is known not to be written
 *
 * If it is unknown whether it was written, call coordinator_deactivate()
 * instead and claim again: a late record then has an older epoch and no
 * effect.
 */
void coordinator_on_write_result(coordinator_t *coordinator);

/**
 * coordinator_has_work() - check whether something changed since the last
 * decision and no write is pending
 */
bool coordinator_has_work(const coordinator_t *coordinator);

#ifdef __cplusplus
}
#endif

#endif
