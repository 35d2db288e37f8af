#ifndef TEASEL_STORE_STORE_H
#define TEASEL_STORE_STORE_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * A store of keyed topics: an ordered log of records whose newest record of
 * each key is kept for ever. Each topic that is used here has one partition.
 */

typedef struct store store_t;

typedef enum store_status {
    STORE_OK,
    STORE_CONFLICT,   /* the topic does not end where the writer expected */
    STORE_FENCED,     /* a writer with a higher epoch is known */
    STORE_MISORDERED, /* the sequence does not follow the last one */
    STORE_TRIMMED,    /* the records asked for are gone */
    STORE_REFUSED,    /* nothing was done */
    STORE_UNKNOWN,    /* no answer; the call may take effect later */
} store_status_t;

/**
 * struct store_record - a record of a keyed topic
 * @value: NULL if the key was dropped
 */
typedef struct store_record {
    const char *key;
    const uint8_t *value;
    size_t length;
    uint64_t offset;
} store_record_t;

/**
 * struct store_append - an atomic append of records
 * @check_end: append only if the topic ends at @expected_end
 * @producer: name of the writer that is fenced by epochs, or NULL
 * @sequence: of this append within the epoch; a repeat is answered as before
 * @timeout_ms: without an answer for this long the status is unknown; 0 for
 *     that of the store
 *
 * An append of no records only sets the epoch.
 */
typedef struct store_append {
    const char *topic;
    const store_record_t *records;
    size_t count;
    bool check_end;
    uint64_t expected_end;
    const char *producer;
    uint64_t epoch;
    uint64_t sequence;
    uint64_t timeout_ms;
} store_append_t;

/**
 * struct store_page - records that were read
 * @next: where the next read goes on
 * @more: of a listing: there are keys after the last one
 */
typedef struct store_page {
    const store_record_t *records;
    size_t count;
    uint64_t next;
    bool more;
} store_page_t;

typedef void (*store_append_cb)(store_status_t status, uint64_t offset,
                                void *data);
typedef void (*store_page_cb)(store_status_t status, const store_page_t *page,
                              void *data);

/**
 * struct store_vtbl - functions of a store
 * @append: @cb gets the offset of the first record
 * @read: records from an offset; waits up to @wait_ms for one
 * @list: newest records of the keys after @after, which may be NULL
 *
 * Each callback is called exactly once, never from inside the function.
 */
typedef struct store_vtbl {
    void (*append)(store_t *store, const store_append_t *append,
                   store_append_cb cb, void *data);
    void (*read)(store_t *store, const char *topic, uint64_t from,
                 uint64_t wait_ms, store_page_cb cb, void *data);
    void (*list)(store_t *store, const char *topic, const char *after,
                 store_page_cb cb, void *data);
} store_vtbl_t;

struct store {
    const store_vtbl_t *vtbl;
};

static inline void
store_append(store_t *store, const store_append_t *append, store_append_cb cb,
             void *data)
{
    store->vtbl->append(store, append, cb, data);
}

static inline void
store_read(store_t *store, const char *topic, uint64_t from, uint64_t wait_ms,
           store_page_cb cb, void *data)
{
    store->vtbl->read(store, topic, from, wait_ms, cb, data);
}

static inline void
store_list(store_t *store, const char *topic, const char *after,
           store_page_cb cb, void *data)
{
    store->vtbl->list(store, topic, after, cb, data);
}

const char *store_status_to_string(store_status_t status);

#ifdef __cplusplus
}
#endif

#endif
