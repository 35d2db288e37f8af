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
 * @seeds: peer addresses of other entries, NULL-terminated
 * @fill_announce: fills in the announcement of this entry
 * @on_change: the list of the directory changed
 * @interval_ms: between two announcements
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
 * announcer_new() - announce this entry to the seeds and on stream "entries",
 * and follow the announcements of others
 */
announcer_t *announcer_new(const announcer_opts_t *opts);
void announcer_free(announcer_t *announcer);

/**
 * announcer_announce() - announce at once, for example when leaving
 */
void announcer_announce(announcer_t *announcer);

#ifdef __cplusplus
}
#endif

#endif
