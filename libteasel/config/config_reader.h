#ifndef TEASEL_CONFIG_CONFIG_READER_H
#define TEASEL_CONFIG_CONFIG_READER_H

#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/loop.h"
#include "config/config_types.h"
#include "stream/plog.h"
#include "stream/stream.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct config_reader config_reader_t;
struct config;
struct config_result;

/**
 * typedef config_changed_cb - called when an object or a drain changed
 *
 * Called after each record that changed the state, after a snapshot was
 * loaded, and once when the reader has caught up for the first time. Pointers
 * from earlier lookups are invalid from then on.
 */
typedef void (*config_changed_cb)(config_reader_t *reader, void *data);

/**
 * typedef config_record_cb - called after each record that was applied
 * @result: outcome of the record, valid during the call
 */
typedef void (*config_record_cb)(const Teasel__LogRecord *record,
                                 uint64_t offset,
                                 const struct config_result *result,
                                 void *data);

/**
 * struct config_reader_opts - options of config_reader_new()
 * @log: owned by the caller, must outlive the reader
 * @writer: set on each record that is appended, for example "entry entry-1"
 * @on_change: may be NULL
 * @on_record: used by the operator tools; may be NULL
 * @data: passed to the callbacks
 */
typedef struct config_reader_opts {
    loop_t *loop;
    const clock_source_t *clock;
    plog_t *log;
    const char *writer;
    config_changed_cb on_change;
    config_record_cb on_record;
    void *data;
} config_reader_opts_t;

/**
 * config_reader_new() - follow stream "config" and keep its state
 *
 * Lookups are allowed at once; they return defaults until the log was read.
 */
config_reader_t *config_reader_new(const config_reader_opts_t *opts);
void config_reader_free(config_reader_t *reader);

/**
 * config_reader_get_service() - get the settings of a service
 *
 * Return: the defaults, with @declared false, if the service is not in force;
 * never NULL. The pointer is valid until the next change.
 */
const config_service_t *
config_reader_get_service(const config_reader_t *reader, const char *name);
const config_team_t *config_reader_get_team(const config_reader_t *reader,
                                            const char *name);

/**
 * config_reader_get_policy() - get the settings of a policy
 * @name: a deployment uses the policy named "default"
 */
const config_policy_t *config_reader_get_policy(const config_reader_t *reader,
                                                const char *name);

bool config_reader_is_drained(const config_reader_t *reader,
                              const char *agent_id);

/**
 * config_reader_get_next_offset() - get the next offset to read
 *
 * All records before it are in force in this process. Sent as config_next in
 * Load, Heartbeat and EntryAnnounce.
 */
uint64_t config_reader_get_next_offset(const config_reader_t *reader);

bool config_reader_is_caught_up(const config_reader_t *reader);

/**
 * config_reader_is_reachable() - check whether the last read of the log was
 * answered
 */
bool config_reader_is_reachable(const config_reader_t *reader);

/**
 * config_reader_get_state() - get the whole state, for admin pages
 */
const struct config *config_reader_get_state(const config_reader_t *reader);

/**
 * config_reader_get_stream() - get the followed stream, to append records
 */
stream_t *config_reader_get_stream(config_reader_t *reader);

/**
 * config_reader_maybe_write_snapshot() - write a snapshot if one is due
 *
 * Called periodically by the coordinator of cell 0. Does nothing while an
 * earlier write is pending, the log is not reachable, or the reader has not
 * caught up.
 *
 * Return: true if a write was started.
 */
bool config_reader_maybe_write_snapshot(config_reader_t *reader);

#ifdef __cplusplus
}
#endif

#endif
