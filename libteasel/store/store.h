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
 * A store of keyed topics. A topic is an ordered log of records that keeps at
 * least the newest record of each key. All topics in use have one partition.
 */

typedef struct store store_t;

typedef enum store_status {
    STORE_OK,
    STORE_CONFLICT,   /* the topic does not end where the writer expected */
    STORE_FENCED,     /* a writer with a higher epoch has written */
    STORE_MISORDERED, /* the sequence number is not the next one */
    STORE_TRIMMED,    /* the requested records have been removed */
    STORE_REFUSED,    /* the call had no effect */
    STORE_UNKNOWN,    /* no answer; the call may have taken effect or
                         may do so later */
} store_status_t;

/**
 * struct store_record - a record of a keyed topic
 * @value: NULL if the key was deleted
 */
typedef struct store_record {
    const char *key;
    const uint8_t *value;
    size_t length;
    uint64_t offset;
} store_record_t;

/**
 * struct store_append - arguments of an atomic append of records
 * @check_end: append only if the topic ends at @expected_end
 * @producer: name of the writer whose older epochs are fenced, or NULL
 * @sequence: number of this append within the epoch; a repeated append gets
 *     the answer of the first one
 * @timeout_ms: time without an answer after which the status is STORE_UNKNOWN;
 *     0 for the default of the store
 *
 * An append without records only sets the epoch.
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
 * struct store_page - records of one read or listing
 * @next: offset at which the next read starts
 * @more: in a listing, whether there are keys after the last one
 * @after: if @more, the argument for the listing of the next page; only the
 *     store interprets it, as a key of another writer may be any bytes
 */
typedef struct store_page {
    const store_record_t *records;
    size_t count;
    uint64_t next;
    bool more;
    const char *after;
} store_page_t;

typedef void (*store_append_cb)(store_status_t status, uint64_t offset,
                                void *data);
typedef void (*store_page_cb)(store_status_t status, const store_page_t *page,
                              void *data);

/**
 * struct store_vtbl - operations of a store
 * @append: append records; @cb gets the offset of the first one
 * @read: read records from offset @from; waits up to @wait_ms for the first
 * @list: list the newest records of the keys after @after, which is from the
 *     last page, or of all keys if it is NULL
 *
 * Each callback runs exactly once, never from inside the operation.
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
