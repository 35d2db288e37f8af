#ifndef TEASEL_STORE_FOLLOWER_H
#define TEASEL_STORE_FOLLOWER_H

#include "base/clock.h"
#include "base/loop.h"
#include "store/store.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Keeps a reader up to date with the newest records of a topic: a listing,
 * then reads that wait, and a new listing when records were missed.
 */

typedef struct follower follower_t;

/**
 * struct follower_opts - options of follower_new()
 * @wait_ms: longest wait of one read; a silent connection is noticed a little
 *     later
 * @on_record: called in order of offset, repeats included
 * @on_caught_up: the listing is complete; may be NULL
 * @on_available: the store stopped answering, or answers again; may be NULL
 */
typedef struct follower_opts {
    loop_t *loop;
    const clock_source_t *clock;
    store_t *store;
    const char *topic;
    uint64_t wait_ms;
    void (*on_record)(const store_record_t *record, void *data);
    void (*on_caught_up)(void *data);
    void (*on_available)(bool usable, void *data);
    void *data;
} follower_opts_t;

follower_t *follower_new(const follower_opts_t *opts);
void follower_free(follower_t *follower);

/**
 * follower_is_caught_up() - the listing is complete
 */
bool follower_is_caught_up(const follower_t *follower);

/**
 * follower_get_next_offset() - offset of the next record that is not known yet
 */
uint64_t follower_get_next_offset(const follower_t *follower);

/**
 * follower_is_available() - the last call to the store was answered
 */
bool follower_is_available(const follower_t *follower);

#ifdef __cplusplus
}
#endif

#endif
