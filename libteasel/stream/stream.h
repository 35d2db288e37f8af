#ifndef TEASEL_STREAM_STREAM_H
#define TEASEL_STREAM_STREAM_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/loop.h"
#include "stream/plog.h"
#include "wire/teasel.pb-c.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct stream stream_t;

/**
 * struct stream_handler - consumer of a stream
 * @apply: fold one record; called in offset order, each offset once. The log
 *     may hold a record twice; the fold must ignore the second one.
 * @load_snapshot: replace the state by a snapshot; false if the snapshot
 *     cannot be decoded, the next best one is then tried. NULL if the stream
 *     has no snapshots: reading goes on at the oldest kept record.
 * @caught_up: the reader reached the end of the stream for the first time
 */
typedef struct stream_handler {
    void (*apply)(const Teasel__LogRecord *record, uint64_t offset,
                  void *data);
    bool (*load_snapshot)(const uint8_t *snapshot, size_t length,
                          uint64_t covers_through, void *data);
    void (*caught_up)(void *data);
} stream_handler_t;

/**
 * struct stream_opts - options of stream_new()
 * @name: name of the stream; snapshots are in NAME.snapshots
 * @writer: put on each record that is appended
 */
typedef struct stream_opts {
    loop_t *loop;
    const clock_source_t *clock;
    plog_t *log;
    const char *name;
    const char *writer;
    const stream_handler_t *handler;
    void *data;
} stream_opts_t;

/**
 * stream_new() - follow a stream from its newest snapshot, or its beginning
 */
stream_t *stream_new(const stream_opts_t *opts);
void stream_free(stream_t *stream);

typedef enum stream_outcome {
    STREAM_APPLIED, /* the record was read back and folded */
    STREAM_REFUSED, /* the record was definitely not written */
    STREAM_UNKNOWN, /* not read back before the timeout */
} stream_outcome_t;

typedef void (*stream_append_cb)(stream_outcome_t outcome, uint64_t offset,
                                 const char *detail, void *data);

/**
 * stream_append() - append a record and wait until it is read back
 * @record: id, writer and wall time are filled in
 * @cb: called once, after @apply of this record, never from inside
 */
void stream_append(stream_t *stream, Teasel__LogRecord *record,
                   uint64_t timeout_ms, stream_append_cb cb, void *cb_data);

/**
 * stream_write_snapshot() - append a snapshot in chunks to NAME.snapshots
 * @snapshot: state after everything that was applied so far
 */
void stream_write_snapshot(stream_t *stream, const uint8_t *snapshot,
                           size_t length, stream_append_cb cb, void *cb_data);

/**
 * stream_get_next_offset() - offset that is read next
 */
uint64_t stream_get_next_offset(const stream_t *stream);

/**
 * stream_get_first_offset() - oldest offset that the log keeps, 0 if not yet
 * known
 */
uint64_t stream_get_first_offset(const stream_t *stream);

/**
 * stream_get_snapshot_offset() - highest offset covered by a known snapshot
 */
uint64_t stream_get_snapshot_offset(const stream_t *stream);

bool stream_is_caught_up(const stream_t *stream);

/**
 * stream_is_reachable() - the last read was answered
 */
bool stream_is_reachable(const stream_t *stream);

/**
 * stream_get_sync_time() - when the last read began that reached the end of
 * the stream
 *
 * Every record that was on the log at that time has been applied.
 */
struct timespec stream_get_sync_time(const stream_t *stream);

#ifdef __cplusplus
}
#endif

#endif
