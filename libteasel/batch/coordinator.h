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
 * @cell: the fold; the coordinator becomes its listener
 * @lease_ms: longest lease of a worker
 * @placement: strategy, best fit if NULL
 * @use_declared_sizes: do not learn sizes (baseline of the measurements)
 * @arrival_order: start jobs in order of arrival, not the longest first
 * (baseline of the measurements)
 * @max_items: items per decision, 0 for the preset
 * @send: send a message to an agent; lost if it is not connected
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
 * coordinator_activate() - the own claim was read back: decide from now on
 *
 * Attempts of workers that are not heard from expire no earlier than 1.1
 * leases from now, when every lease of the predecessor has ended.
 */
void coordinator_activate(coordinator_t *coordinator, uint64_t epoch);

/**
 * coordinator_deactivate() - decide and renew nothing from now on
 */
void coordinator_deactivate(coordinator_t *coordinator);
bool coordinator_is_active(const coordinator_t *coordinator);

/**
 * coordinator_set_team() - weight and limits of a team, for further starts
 * @weight: at least 1, 100 is the usual one
 * @limit: most that its running jobs use together; lowering it evicts nothing
 */
void coordinator_set_team(coordinator_t *coordinator, const char *name,
                          uint32_t weight, const job_size_t *limit);

/**
 * coordinator_reset_teams() - give all teams the usual weight and no limit
 */
void coordinator_reset_teams(coordinator_t *coordinator);

/**
 * coordinator_on_heartbeat() - compare with the fold, then renew the lease
 * @proof_time: when the last read of the log began that showed no newer claim
 *
 * Tasks that the fold does not know are discarded before the renewal is sent.
 */
void coordinator_on_heartbeat(coordinator_t *coordinator,
                              const Teasel__Heartbeat *heartbeat,
                              struct timespec proof_time);

/**
 * coordinator_on_report() - an attempt has ended
 */
void coordinator_on_report(coordinator_t *coordinator,
                           const Teasel__TaskReport *report);

/**
 * coordinator_decide() - the next decision
 *
 * Return: NULL if nothing is to be decided, or if the previous decision has
 * no result yet. Valid until coordinator_on_write_result().
 */
const Teasel__Decision *coordinator_decide(coordinator_t *coordinator);

/**
 * coordinator_on_write_result() - the decision was read back or definitely not
 * written
 *
 * If its fate is unknown, call coordinator_deactivate() instead and claim
 * again: a record that comes late then has an older epoch and no effect.
 */
void coordinator_on_write_result(coordinator_t *coordinator);

/**
 * coordinator_has_work() - something changed since the last decision
 */
bool coordinator_has_work(const coordinator_t *coordinator);

#ifdef __cplusplus
}
#endif

#endif
