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
 * typedef config_changed_cb - an object or a drain changed
 *
 * Called after each record that changed the state, after a loaded snapshot,
 * and once when the reader has caught up for the first time. Pointers from
 * earlier lookups are invalid from then on.
 */
typedef void (*config_changed_cb)(config_reader_t *reader, void *data);

/**
 * typedef config_record_cb - a record was folded; @result tells what became
 * of it
 */
typedef void (*config_record_cb)(const Teasel__LogRecord *record,
                                 uint64_t offset,
                                 const struct config_result *result,
                                 void *data);

/**
 * struct config_reader_opts - options of config_reader_new()
 * @log: kept by the caller, outlives the reader
 * @writer: put on each record that is appended, for example "entry entry-1"
 * @on_change: may be NULL
 * @on_record: for tools; may be NULL
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
 * config_reader_new() - follow stream "config" and fold it
 *
 * Lookups may be made at once; they return presets until the log was read.
 */
config_reader_t *config_reader_new(const config_reader_opts_t *opts);
void config_reader_free(config_reader_t *reader);

/**
 * config_reader_get_service() - settings of a service
 *
 * Never NULL: the presets (@declared false) when no ticket names it. Valid
 * until the next change; copy what is kept longer.
 */
const config_service_t *
config_reader_get_service(const config_reader_t *reader, const char *name);
const config_team_t *config_reader_get_team(const config_reader_t *reader,
                                            const char *name);

/**
 * config_reader_get_policy() - settings of a policy; the one in force for a
 * deployment is named "default"
 */
const config_policy_t *config_reader_get_policy(const config_reader_t *reader,
                                                const char *name);

bool config_reader_is_drained(const config_reader_t *reader,
                              const char *agent_id);

/**
 * config_reader_get_next_offset() - config offset for Load, Heartbeat and
 * EntryAnnounce (config_next): the next offset that will be read; all records
 * before it are in force here
 */
uint64_t config_reader_get_next_offset(const config_reader_t *reader);

bool config_reader_is_caught_up(const config_reader_t *reader);

/**
 * config_reader_is_reachable() - the last read of the log was answered
 */
bool config_reader_is_reachable(const config_reader_t *reader);

/**
 * config_reader_get_state() - the folded state, for admin pages
 */
const struct config *config_reader_get_state(const config_reader_t *reader);

/**
 * config_reader_get_stream() - the followed stream, for appending records
 */
stream_t *config_reader_get_stream(config_reader_t *reader);

/**
 * config_reader_maybe_write_snapshot() - write a snapshot if one is due
 *
 * Called by the coordinator of cell 0 on its ticks; does nothing while an
 * earlier write is pending or the reader has not caught up. Return: true if
 * a write was started.
 */
bool config_reader_maybe_write_snapshot(config_reader_t *reader);

#ifdef __cplusplus
}
#endif

#endif
