#ifndef TEASEL_STREAM_STREAM_INTERNAL_H
#define TEASEL_STREAM_STREAM_INTERNAL_H

#include "base/list.h"
#include "stream/stream.h"

enum {
    STREAM_ID_SIZE = 16,
};

/**
 * struct stream_loader - reads NAME.snapshots from its oldest record to its
 * end and collects complete snapshots
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
    uint64_t loaded_through; /* last offset of the snapshot in use */
    bool caught_up;
    bool reachable;
    bool lost_logged;
    bool gap_logged;
    bool behind_logged;
    bool wants_snapshot;
    struct timespec proof;
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
 * stream_follower_wake() - read now instead of at the end of a backoff
 */
void stream_follower_wake(stream_t *stream);

/**
 * stream_follower_on_loaded() - the snapshots were read, or that failed
 */
void stream_follower_on_loaded(stream_t *stream, bool ok, const char *detail);

/* stream_append.c */

/**
 * stream_fill_record() - put a new id, the writer and the time on a record
 */
void stream_fill_record(stream_t *stream, Teasel__LogRecord *record,
                        uint8_t id[STREAM_ID_SIZE]);

/**
 * stream_append_on_record() - tell the writer that its record was folded
 */
void stream_append_on_record(stream_t *stream, const ProtobufCBinaryData *id,
                             uint64_t offset);

/**
 * stream_append_on_snapshot() - tell writers of records that a loaded
 * snapshot includes
 */
void stream_append_on_snapshot(stream_t *stream);
void stream_append_clear(stream_t *stream);

/* stream_loader.c */

/**
 * stream_loader_start() - load the newest snapshot beyond the own offset
 *
 * Ends with stream_follower_on_loaded().
 */
void stream_loader_start(stream_t *stream);
void stream_loader_clear(stream_t *stream);

/* snapshot.c */
void stream_snapshot_clear(stream_t *stream);

#endif
