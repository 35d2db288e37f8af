#ifndef TEASEL_PLATFORM_STREAM_INTERNAL_H
#define TEASEL_PLATFORM_STREAM_INTERNAL_H

#include "base/list.h"
#include "platform/stream.h"

enum {
    STREAM_ID_SIZE = 16,
};

/**
 * struct stream_recent - ids of the last records that need it
 *
 * A fold recognises repeated records by their content: job ids, attempts,
 * epochs, ticket numbers, keys. A Drain has no such content: a late second
 * copy of "drain on" would undo a later "drain off". The follower therefore
 * drops repeated ids of Drain records. The ids are part of each snapshot, so
 * that all readers drop the same records.
 */
typedef struct stream_recent {
    GQueue order; /* GBytes, oldest first; owned by the set */
    GHashTable *set;
} stream_recent_t;

void stream_recent_init(stream_recent_t *recent);
void stream_recent_clear(stream_recent_t *recent);

/**
 * stream_recent_is_repeat() - check and remember a record
 */
bool stream_recent_is_repeat(stream_recent_t *recent,
                             const Teasel__LogRecord *record);

/**
 * stream_recent_encode() - append the ids to a snapshot
 */
void stream_recent_encode(const stream_recent_t *recent, GByteArray *out);

/**
 * stream_recent_measure() - size of the ids at the start of a snapshot
 *
 * Return: 0 if the data is malformed.
 */
size_t stream_recent_measure(const uint8_t *data, size_t length);

/**
 * stream_recent_decode() - replace the ids by those of a snapshot
 * @size: result of stream_recent_measure()
 */
void stream_recent_decode(stream_recent_t *recent, const uint8_t *data,
                          size_t size);

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
    stream_recent_t recent;
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
