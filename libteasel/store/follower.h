#ifndef TEASEL_STORE_FOLLOWER_H
#define TEASEL_STORE_FOLLOWER_H

#include "base/clock.h"
#include "base/loop.h"
#include "store/store.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Follows the newest records of a topic: lists the newest record of each key,
 * then reads new records as they arrive, and lists again when the topic was
 * trimmed beyond the read position.
 */

typedef struct follower follower_t;

/**
 * struct follower_opts - options of follower_new()
 * @wait_ms: longest wait of one read; a connection that stopped answering is
 *     noticed only after it
 * @on_record: called with each listed record, then with each new record in
 *     order of offset; a record may be delivered more than once
 * @on_caught_up: called when a listing is complete; may be NULL
 * @on_available: called when the store stops answering and when it answers
 *     again; may be NULL
 */
typedef struct follower_opts {
    loop_t *loop;
    const clock_source_t *clock;
    store_t *store;
    const char *topic;
    uint64_t wait_ms;
    void (*on_record)(const store_record_t *record, void *data);
    void (*on_caught_up)(void *data);
    void (*on_available)(bool available, void *data);
    void *data;
} follower_opts_t;

follower_t *follower_new(const follower_opts_t *opts);

/**
 * follower_free() - free a follower; no callback runs after this
 *
 * May be called from inside a callback.
 */
void follower_free(follower_t *follower);

/**
 * follower_is_caught_up() - return whether the listing is complete
 */
bool follower_is_caught_up(const follower_t *follower);

/**
 * follower_get_next_offset() - return the offset of the next record to read
 */
uint64_t follower_get_next_offset(const follower_t *follower);

/**
 * follower_is_available() - return whether the store answered the last call
 */
bool follower_is_available(const follower_t *follower);

#ifdef __cplusplus
}
#endif

#endif
