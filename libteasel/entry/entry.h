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
 * @settings: owned by the calling code; must outlive the entry
 *
 * Return: the entry, or NULL with @error set if an address cannot be used.
 */
entry_t *entry_new(loop_t *loop, const entry_settings_t *settings,
                   GError **error);

/**
 * entry_leave() - begin a graceful shutdown
 * @reason: written to the log
 *
 * Stops the loop once no request, connection, idempotency key or job
 * submission is pending, or after the setting stop_timeout_ms. Has no effect
 * if the entry is already leaving.
 */
void entry_leave(entry_t *entry, const char *reason);
void entry_free(entry_t *entry);

#ifdef __cplusplus
}
#endif

#endif
