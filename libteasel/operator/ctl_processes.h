#ifndef TEASEL_OPERATOR_CTL_PROCESSES_H
#define TEASEL_OPERATOR_CTL_PROCESSES_H

#include "operator/ctl.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * typedef ctl_processes_t - entries and agents with their config offsets
 *
 * A process that was seen once stays known: when it can no longer be reached
 * it counts as lagging, not as gone.
 */
typedef struct ctl_processes ctl_processes_t;

ctl_processes_t *ctl_processes_new(void);
void ctl_processes_free(ctl_processes_t *processes);

/**
 * ctl_processes_poll() - ask all known entries
 *
 * Begins with the entries of the settings and goes on with those that they
 * name. Return: false if no entry answered.
 */
bool ctl_processes_poll(ctl_t *ctl, ctl_processes_t *processes);

/**
 * ctl_processes_get_max_next() - highest config offset of any process
 */
uint64_t ctl_processes_get_max_next(const ctl_processes_t *processes);

/**
 * ctl_processes_count_lagging() - processes that have not read up to @next
 */
guint ctl_processes_count_lagging(const ctl_processes_t *processes,
                                  uint64_t next);

/**
 * ctl_processes_to_json() - array of {"process", "id", "data_centre",
 * "config_next", "lag", "ticket", "state"}
 * @config: translates offsets to tickets, may be NULL
 */
struct json_object *ctl_processes_to_json(const ctl_processes_t *processes,
                                          const config_t *config,
                                          uint64_t next);

/**
 * ctl_processes_print() - table of ctl_processes_to_json()
 */
void ctl_processes_print(struct json_object *list);

/**
 * ctl_processes_get_config() - configuration of the entry with the highest
 * offset, or NULL; borrowed
 */
struct json_object *ctl_processes_get_config(const ctl_processes_t *processes);

/**
 * ctl_processes_wait() - poll until all have read up to @next
 * @out: "processes" and "waited_ms" are added
 *
 * Return: CTL_DONE, or CTL_UNKNOWN after the timeout.
 */
int ctl_processes_wait(ctl_t *ctl, uint64_t next, struct json_object *out);

/**
 * ctl_processes_print_wait() - print what ctl_processes_wait() added
 */
void ctl_processes_print_wait(struct json_object *out);

G_DEFINE_AUTOPTR_CLEANUP_FUNC(ctl_processes_t, ctl_processes_free)

#ifdef __cplusplus
}
#endif

#endif
