#ifndef TEASEL_ENTRY_DIRECTORY_H
#define TEASEL_ENTRY_DIRECTORY_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"
#include "wire/teasel.pb-c.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct directory directory_t;

/**
 * struct directory_opts - options of directory_new()
 * @own_address: peer address of this entry; listed until
 *     directory_unlist_self() is called
 * @expiry_ms: an entry that was not announced for this long is removed
 */
typedef struct directory_opts {
    const clock_source_t *clock;
    const char *own_address;
    uint64_t expiry_ms;
} directory_opts_t;

/**
 * directory_new() - create the table of known entries
 */
directory_t *directory_new(const directory_opts_t *opts);
void directory_free(directory_t *directory);

/**
 * directory_handle_announce() - apply an announcement of another entry
 *
 * An announcement is ignored if it names this entry, has an invalid peer
 * address, or belongs to an older incarnation of a known entry or to an
 * incarnation that has already announced that it is leaving.
 *
 * Return: true if the list of addresses changed.
 */
bool directory_handle_announce(directory_t *directory,
                               const Teasel__EntryAnnounce *announce);

/**
 * directory_add_address() - add an address that another entry reported
 *
 * The address is not passed on to other entries until its entry announces
 * itself. Otherwise two entries would refresh each other's record of a dead
 * entry, and it would never expire.
 *
 * Return: true if the list of addresses changed.
 */
bool directory_add_address(directory_t *directory, const char *address);

/**
 * directory_expire() - remove entries not announced for expiry_ms
 *
 * Return: true if the list of addresses changed.
 */
bool directory_expire(directory_t *directory);

/**
 * directory_unlist_self() - omit this entry from directory_list()
 */
void directory_unlist_self(directory_t *directory);

typedef enum directory_scope {
    DIRECTORY_ALL,       /* all known addresses; sent to agents */
    DIRECTORY_ANNOUNCED, /* announced entries only; sent to entries */
} directory_scope_t;

/**
 * directory_list() - list the peer addresses of entries
 *
 * Leaving entries are omitted.
 *
 * Return: a NULL-terminated array; free with g_strfreev().
 */
char **directory_list(const directory_t *directory, directory_scope_t scope);

typedef void (*directory_entry_fn)(const char *entry_id,
                                   const char *http_address,
                                   const char *data_centre, void *data);

/**
 * directory_each_announced() - call @fn for each announced entry
 *
 * Skips this entry, entries that never announced themselves and entries that
 * are leaving.
 */
void directory_each_announced(const directory_t *directory,
                              directory_entry_fn fn, void *data);

#ifdef __cplusplus
}
#endif

#endif
