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
 * struct audit_row - who did what, when and why
 * @wall_ms: of the writer's clock
 * @stream: "config" or "cell-0"
 * @kind: ticket, drain, epoch, job, eviction or quarantine
 * @objects: NULL-terminated names of what was acted on
 * @author: the person, or the process that wrote the record
 * @action: what was done
 * @result: accepted, repeated, refused, decided or ignored
 * @why: the given reason, or the reason of a refusal
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
 * typedef audit_t - turns records into rows
 *
 * Judges each record as the folds do, from the oldest record that it was
 * given.
 */
typedef struct audit audit_t;

/**
 * audit_new()
 * @known: the state in force, with the remembered tickets; decides about
 *     tickets whose objects were last changed by records that are no longer
 *     kept. May be NULL; outlives the audit.
 */
audit_t *audit_new(const config_t *known);
void audit_free(audit_t *audit);

/**
 * audit_apply() - emit the rows of one record, in offset order per stream
 * @stream: outlives the call of @fn; kinds of records decide, not its name
 */
void audit_apply(audit_t *audit, const char *stream,
                 const Teasel__LogRecord *record, uint64_t offset,
                 audit_row_fn fn, void *data);

/**
 * struct audit_filter - NULL members match everything
 */
typedef struct audit_filter {
    const char *kind;
    const char *object;
    const char *author;
} audit_filter_t;

bool audit_filter_match(const audit_filter_t *filter, const audit_row_t *row);

/**
 * audit_is_kind() - check the kind of a filter
 */
bool audit_is_kind(const char *kind);

G_DEFINE_AUTOPTR_CLEANUP_FUNC(audit_t, audit_free)

#ifdef __cplusplus
}
#endif

#endif
