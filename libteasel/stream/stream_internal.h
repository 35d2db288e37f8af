#ifndef TEASEL_STREAM_STREAM_INTERNAL_H
#define TEASEL_STREAM_STREAM_INTERNAL_H

#include "base/list.h"
#include "stream/stream.h"

enum {
    STREAM_ID_SIZE = 16,
};

/**
 * struct stream_loader - reads all of NAME.snapshots and collects the
 * snapshots
 */
typedef struct stream_loader {
    void *read;
    uint64_t next;
    GHashTable *snapshots; /* id -> partial or complete snapshot */
} stream_loader_t;

struct stream {
    stream_opts_t opts;
    char *name;
    char *snapshot_name;
    char *writer;
    uint64_t next;
    uint64_t first;
    uint64_t snapshot_offset;
    uint64_t loaded_through; /* last offset that the loaded snapshot covers */
    bool caught_up;
    bool reachable;
    bool unavailable_logged;
    bool gap_logged;
    bool behind_logged;
    bool needs_snapshot;
    struct timespec sync_time;
    struct timespec read_started;
    void *read;
    loop_timer_t retry;
    unsigned failures;
    stream_loader_t loader;
    list_t appends;
    list_t snapshot_writes;
};

/* stream_follower.c */
void stream_follower_init(stream_t *stream);
void stream_follower_clear(stream_t *stream);

/**
 * stream_follower_wake() - end a backoff early and read now
 */
void stream_follower_wake(stream_t *stream);

/**
 * stream_follower_on_loaded() - continue after the snapshots were read
 * @ok: false if reading them failed, for the reason in @detail
 */
void stream_follower_on_loaded(stream_t *stream, bool ok, const char *detail);

/* stream_append.c */

/**
 * stream_fill_record() - set a new id, the writer and the time of a record
 */
void stream_fill_record(stream_t *stream, Teasel__LogRecord *record,
                        uint8_t id[STREAM_ID_SIZE]);

/**
 * stream_append_on_record() - complete the append of a record that was applied
 */
void stream_append_on_record(stream_t *stream, const ProtobufCBinaryData *id,
                             uint64_t offset);

/**
 * stream_append_on_snapshot() - complete the appends of records that the
 * loaded snapshot covers
 */
void stream_append_on_snapshot(stream_t *stream);
void stream_append_clear(stream_t *stream);

/* stream_loader.c */

/**
 * stream_loader_start() - load the newest snapshot that is ahead of the reader
 *
 * Calls stream_follower_on_loaded() at the end.
 */
void stream_loader_start(stream_t *stream);
void stream_loader_clear(stream_t *stream);

/* snapshot.c */
void stream_snapshot_clear(stream_t *stream);

#endif
