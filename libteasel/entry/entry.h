#ifndef TEASEL_ENTRY_ENTRY_H
#define TEASEL_ENTRY_ENTRY_H

#include <glib.h>

#include "base/loop.h"
#include "entry/entry_settings.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct entry entry_t;

/**
 * entry_new() - start an entry on a loop
 * @settings: kept by the caller
 */
entry_t *entry_new(loop_t *loop, const entry_settings_t *settings,
                   GError **error);

/**
 * entry_leave() - begin a planned stop
 * @reason: for the log
 *
 * The loop is stopped when no request is in flight, or after stop_timeout_ms.
 */
void entry_leave(entry_t *entry, const char *reason);
void entry_free(entry_t *entry);

#ifdef __cplusplus
}
#endif

#endif
