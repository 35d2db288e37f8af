#ifndef TEASEL_STREAM_PLOG_H
#define TEASEL_STREAM_PLOG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef struct plog plog_t;

typedef enum plog_outcome {
    PLOG_ACCEPTED, /* the record was written at a known offset */
    PLOG_REFUSED,  /* the record was not and will not be written */
    PLOG_UNKNOWN,  /* the record may have been or may yet be written */
} plog_outcome_t;

typedef struct plog_record {
    uint64_t offset;
    const uint8_t *data;
    size_t length;
} plog_record_t;

/**
 * struct plog_read - result of a read
 * @ok: the log returned a valid response
 * @trimmed: the requested offset has been trimmed from the log
 * @first: oldest offset in the log; offsets start at 1
 * @next: offset of the next record to be appended
 * @records: records in offset order, valid during the callback
 * @detail: error message unless @ok; may be NULL
 */
typedef struct plog_read {
    bool ok;
    bool trimmed;
    uint64_t first;
    uint64_t next;
    const plog_record_t *records;
    size_t count;
    const char *detail;
} plog_read_t;

typedef void (*plog_append_cb)(plog_outcome_t outcome, uint64_t offset,
                               const char *detail, void *data);
typedef void (*plog_read_cb)(const plog_read_t *result, void *data);

/**
 * struct plog_vtbl - operations of a client of the platform's log service
 * @append: append one record; @cb is called once, never from inside @append
 * @read: read records from an offset, waiting up to @wait_ms for the first;
 *     @cb is called once, never from inside @read; returns a handle for
 *     @cancel
 * @cancel: cancel a read; its callback is not called
 * @free: cancel all reads, complete all appends with PLOG_UNKNOWN, and free
 *     the client
 */
typedef struct plog_vtbl {
    void (*append)(plog_t *log, const char *stream, const uint8_t *data,
                   size_t length, plog_append_cb cb, void *cb_data);
    void *(*read)(plog_t *log, const char *stream, uint64_t from,
                  uint64_t wait_ms, plog_read_cb cb, void *cb_data);
    void (*cancel)(plog_t *log, void *read);
    void (*free)(plog_t *log);
} plog_vtbl_t;

struct plog {
    const plog_vtbl_t *vtbl;
};

#ifdef __cplusplus
}
#endif

#endif
