#ifndef TEASEL_OPERATOR_CTL_PROCESSES_H
#define TEASEL_OPERATOR_CTL_PROCESSES_H

#include "operator/ctl.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * typedef ctl_processes_t - entries and agents, with their config offsets
 *
 * A process is not removed when it becomes unreachable, so that it still
 * counts as lagging if it has not read the newest configuration.
 */
typedef struct ctl_processes ctl_processes_t;

ctl_processes_t *ctl_processes_new(void);
void ctl_processes_free(ctl_processes_t *processes);

/**
 * ctl_processes_poll() - update the processes from all known entries
 *
 * Starts with the entries in the settings and continues with the entries that
 * they report.
 *
 * Return: false if no entry responded.
 */
bool ctl_processes_poll(ctl_t *ctl, ctl_processes_t *processes);

/**
 * ctl_processes_get_max_next() - return the highest config offset of all
 * processes
 */
uint64_t ctl_processes_get_max_next(const ctl_processes_t *processes);

/**
 * ctl_processes_count_lagging() - count the processes that have not read the
 * config stream up to @next
 */
guint ctl_processes_count_lagging(const ctl_processes_t *processes,
                                  uint64_t next);

/**
 * ctl_processes_to_json() - return the processes as JSON
 * @config: gives the newest ticket before an offset; may be NULL
 * @next: config offset that a process has to reach
 *
 * Return: a new array of {"process", "id", "data_centre", "config_next",
 * "lag", "ticket", "state"}; "lag" is a number of offsets.
 */
struct json_object *ctl_processes_to_json(const ctl_processes_t *processes,
                                          const config_t *config,
                                          uint64_t next);

/**
 * ctl_processes_print() - print the result of ctl_processes_to_json() as a
 * table
 */
void ctl_processes_print(struct json_object *list);

/**
 * ctl_processes_get_config() - return the /admin/config response of the entry
 * with the highest config offset
 *
 * Return: borrowed; NULL if no entry has responded.
 */
struct json_object *ctl_processes_get_config(const ctl_processes_t *processes);

/**
 * ctl_processes_wait() - poll until all processes have read up to @next
 * @out: the keys "processes" and "waited_ms" are added to it
 *
 * Return: CTL_DONE, or CTL_UNKNOWN after the timeout.
 */
int ctl_processes_wait(ctl_t *ctl, uint64_t next, struct json_object *out);

/**
 * ctl_processes_print_wait() - print the keys that ctl_processes_wait() added
 * to @out, if any
 */
void ctl_processes_print_wait(struct json_object *out);

G_DEFINE_AUTOPTR_CLEANUP_FUNC(ctl_processes_t, ctl_processes_free)

#ifdef __cplusplus
}
#endif

#endif
