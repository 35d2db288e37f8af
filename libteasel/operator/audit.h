#ifndef TEASEL_OPERATOR_AUDIT_H
#define TEASEL_OPERATOR_AUDIT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "config/config.h"
#include "wire/teasel.pb-c.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct audit_row - one action in the audit trail
 * @wall_ms: wall-clock time of the writer, in ms since the Unix epoch
 * @stream: "config" or "cell-0"
 * @offset: offset of the record in @stream
 * @kind: ticket, drain, epoch, job, eviction or quarantine
 * @objects: NULL-terminated list of the affected objects, agents, workers or
 *     jobs
 * @author: person who acted, or the process that wrote the record
 * @action: for example "apply", "drain" or "cancel"
 * @result: accepted, repeated, refused, decided, ignored or written
 * @why: reason given by the author, or why the record was refused
 *
 * The strings are valid only during the callback.
 */
typedef struct audit_row {
    uint64_t wall_ms;
    const char *stream;
    uint64_t offset;
    const char *kind;
    const char *const *objects;
    const char *author;
    const char *action;
    const char *result;
    const char *why;
} audit_row_t;

typedef void (*audit_row_fn)(const audit_row_t *row, void *data);

/**
 * typedef audit_t - converts log records to audit rows
 *
 * Applies the same rules as the readers of the streams, starting from the
 * oldest record passed to audit_apply(), to find out which records took
 * effect.
 */
typedef struct audit audit_t;

/**
 * audit_new() - create an audit without records
 * @current: configuration in force, with the results of the retained tickets;
 *     gives the result of a ticket that depends on records that the log no
 *     longer retains. May be NULL; must outlive the audit.
 */
audit_t *audit_new(const config_t *current);
void audit_free(audit_t *audit);

/**
 * audit_apply() - emit the audit rows of one record
 * @stream: name of the stream, copied to the rows; must outlive the calls of
 *     @fn. How the record is handled depends on its kind, not on the stream.
 *
 * The records of a stream must be passed in offset order.
 */
void audit_apply(audit_t *audit, const char *stream,
                 const Teasel__LogRecord *record, uint64_t offset,
                 audit_row_fn fn, void *data);

/**
 * struct audit_filter - conditions on audit rows; a NULL field matches any row
 */
typedef struct audit_filter {
    const char *kind;
    const char *object;
    const char *author;
} audit_filter_t;

bool audit_filter_match(const audit_filter_t *filter, const audit_row_t *row);

/**
 * audit_is_kind() - check whether @kind is a valid audit_row.kind
 */
bool audit_is_kind(const char *kind);

G_DEFINE_AUTOPTR_CLEANUP_FUNC(audit_t, audit_free)

#ifdef __cplusplus
}
#endif

#endif
