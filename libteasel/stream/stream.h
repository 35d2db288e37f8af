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
 * @apply: apply one record to the state; called in offset order, at most once
 *     for each offset. The log may contain a record twice; the second copy
 *     must be ignored.
 * @load_snapshot: replace the state with a snapshot; returns false if it
 *     cannot be decoded, and the next older one is then tried. NULL if the
 *     stream has no snapshots; after a trim, reading then continues at the
 *     oldest record.
 * @caught_up: the reader has reached the end of the stream for the first time;
 *     may be NULL
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
 * @name: name of the stream; its snapshots are in the stream NAME.snapshots
 * @writer: name of this writer, stored in each record that it appends; may be
 *     NULL
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
 * stream_new() - follow a stream from its newest snapshot, or from its start
 */
stream_t *stream_new(const stream_opts_t *opts);
void stream_free(stream_t *stream);

typedef enum stream_outcome {
    STREAM_APPLIED, /* the record was read back from the log and applied */
    STREAM_REFUSED, /* the record was not and will not be written */
    STREAM_UNKNOWN, /* not read back in time; it may yet be written */
} stream_outcome_t;

typedef void (*stream_append_cb)(stream_outcome_t outcome, uint64_t offset,
                                 const char *detail, void *data);

/**
 * stream_append() - append a record and wait until it is read back
 * @record: id, writer and wall time are set by this function
 * @cb: called once, never from inside this function; on success, after the
 *     record has been passed to @apply. Not called after stream_free().
 */
void stream_append(stream_t *stream, Teasel__LogRecord *record,
                   uint64_t timeout_ms, stream_append_cb cb, void *cb_data);

/**
 * stream_write_snapshot() - append a snapshot in chunks to NAME.snapshots
 * @snapshot: state after all records applied so far
 * @cb: may be NULL; its offset is the last one that the snapshot covers
 */
void stream_write_snapshot(stream_t *stream, const uint8_t *snapshot,
                           size_t length, stream_append_cb cb, void *cb_data);

/**
 * stream_get_next_offset() - return the offset of the next record to read
 */
uint64_t stream_get_next_offset(const stream_t *stream);

/**
 * stream_get_first_offset() - return the oldest offset in the log, 0 if not
 * yet known
 */
uint64_t stream_get_first_offset(const stream_t *stream);

/**
 * stream_get_snapshot_offset() - return the highest offset that a snapshot
 * loaded or written here covers
 */
uint64_t stream_get_snapshot_offset(const stream_t *stream);

bool stream_is_caught_up(const stream_t *stream);

/**
 * stream_is_reachable() - return whether the log answered the last read
 */
bool stream_is_reachable(const stream_t *stream);

/**
 * stream_get_sync_time() - return the start time of the last read that reached
 * the end of the stream
 *
 * Every record that was in the log at that time has been applied.
 */
struct timespec stream_get_sync_time(const stream_t *stream);

#ifdef __cplusplus
}
#endif

#endif
