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
 * @own_address: peer address of this entry; always listed until it leaves
 * @expiry_ms: an entry that was not announced for this long is forgotten
 */
typedef struct directory_opts {
    const clock_source_t *clock;
    const char *own_address;
    uint64_t expiry_ms;
} directory_opts_t;

/**
 * directory_new() - the entries that this entry knows
 */
directory_t *directory_new(const directory_opts_t *opts);
void directory_free(directory_t *directory);

/**
 * directory_handle_announce() - handle an announcement
 *
 * An older incarnation of a known entry is ignored.
 *
 * Return: true if the list of addresses changed.
 */
bool directory_handle_announce(directory_t *directory,
                               const Teasel__EntryAnnounce *announce);

/**
 * directory_add_address() - an address reported by another entry
 *
 * Such an address is not passed on to other entries, or two entries would keep
 * each other's memory of a dead one alive.
 *
 * Return: true if the list of addresses changed.
 */
bool directory_add_address(directory_t *directory, const char *address);

/**
 * directory_expire() - forget entries that were not announced for long
 *
 * Return: true if the list of addresses changed.
 */
bool directory_expire(directory_t *directory);

/**
 * directory_unlist_self() - no longer list this entry
 */
void directory_unlist_self(directory_t *directory);

typedef enum directory_scope {
    DIRECTORY_ALL,       /* for agents */
    DIRECTORY_ANNOUNCED, /* for other entries */
} directory_scope_t;

/**
 * directory_list() - peer addresses, NULL-terminated; free with g_strfreev()
 */
char **directory_list(const directory_t *directory, directory_scope_t scope);

typedef void (*directory_entry_fn)(const char *entry_id,
                                   const char *http_address,
                                   const char *data_centre, void *data);

/**
 * directory_each_announced() - other entries that announced themselves and
 * are not leaving
 */
void directory_each_announced(const directory_t *directory,
                              directory_entry_fn fn, void *data);

#ifdef __cplusplus
}
#endif

#endif
