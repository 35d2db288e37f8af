#ifndef TEASEL_ENTRY_ANNOUNCER_H
#define TEASEL_ENTRY_ANNOUNCER_H

#include <stdbool.h>
#include <stdint.h>

#include "base/loop.h"
#include "entry/directory.h"
#include "stream/plog.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct announcer announcer_t;

/**
 * struct announcer_opts - options of announcer_new()
 * @log: announcements are appended to and read from its stream "entries"
 * @directory: updated from the announcements of other entries
 * @seeds: peer addresses of other entries, NULL-terminated, or NULL;
 *     @own_address is skipped
 * @writer: writer id of the appended records
 * @interval_ms: period of the announcements, in milliseconds
 * @silence_ms: a seed connection that receives nothing for this long is closed
 * @ping_ms: a Ping is sent to a seed after this long without another message
 * @fill_announce: fills in the announcement of this entry
 * @on_change: called when the list of addresses in @directory changed
 */
typedef struct announcer_opts {
    loop_t *loop;
    const clock_source_t *clock;
    plog_t *log;
    directory_t *directory;
    char **seeds;
    const char *own_address;
    const char *writer;
    uint64_t interval_ms;
    uint64_t silence_ms;
    uint64_t ping_ms;
    void (*fill_announce)(Teasel__EntryAnnounce *announce, void *data);
    void (*on_change)(void *data);
    void *data;
} announcer_opts_t;

/**
 * announcer_new() - announce this entry and follow other entries
 *
 * Announces periodically to the seeds and on stream "entries", and feeds the
 * announcements read from that stream into the directory.
 */
announcer_t *announcer_new(const announcer_opts_t *opts);
void announcer_free(announcer_t *announcer);

/**
 * announcer_announce() - announce immediately
 *
 * Used when the announced state changes, for example when the entry leaves.
 * Restarts the announcement interval.
 */
void announcer_announce(announcer_t *announcer);

#ifdef __cplusplus
}
#endif

#endif
