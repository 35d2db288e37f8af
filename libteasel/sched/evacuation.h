#ifndef TEASEL_SCHED_EVACUATION_H
#define TEASEL_SCHED_EVACUATION_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * The set of evacuated data centres, in which no run may be started. It
 * follows the records of the operator's topic: a listing of the topic, and the
 * records that are read after it. Records may be delivered more than once.
 * Without I/O and clock.
 */

/* Reason with which an agent rejects a start in an evacuated data centre. */
#define EVACUATION_REASON "evacuated"

typedef struct evacuation evacuation_t;

/* What a record changes. */
typedef enum evacuation_change {
    EVACUATION_UNCHANGED, /* it was delivered before, or is out of date */
    EVACUATION_BEGUN,
    EVACUATION_ENDED,
    EVACUATION_REPEATED, /* a further record of an evacuation in force */
} evacuation_change_t;

evacuation_t *evacuation_new(void);
void evacuation_free(evacuation_t *evacuation);

/**
 * evacuation_begin() - apply a record that begins the evacuation of a data
 * centre
 * @offset: of the record
 * @listed: the record is part of a listing, which has only the newest record
 *     of each key
 */
evacuation_change_t evacuation_begin(evacuation_t *evacuation,
                                     const char *data_centre, uint64_t offset,
                                     bool listed);

/**
 * evacuation_end() - apply a record that ends the evacuation of a data centre
 */
evacuation_change_t evacuation_end(evacuation_t *evacuation,
                                   const char *data_centre, uint64_t offset);

/**
 * evacuation_keep() - note that a listing has a record of a data centre that
 * cannot be read, which changes nothing
 */
void evacuation_keep(evacuation_t *evacuation, const char *data_centre);

/**
 * evacuation_finish_listing() - end the evacuations that a listing lacks
 *
 * Return: the names of their data centres, owned by the caller.
 */
GPtrArray *evacuation_finish_listing(evacuation_t *evacuation);

/**
 * evacuation_is_known() - return whether a listing was complete once
 * @evacuation: NULL for a set that is always empty
 */
bool evacuation_is_known(const evacuation_t *evacuation);

/**
 * evacuation_covers() - return whether a data centre is evacuated
 * @evacuation: NULL for a set that is always empty
 * @data_centre: NULL if it is not known
 */
bool evacuation_covers(const evacuation_t *evacuation,
                       const char *data_centre);

/**
 * evacuation_count() - return the number of evacuated data centres
 * @evacuation: NULL for a set that is always empty
 */
guint evacuation_count(const evacuation_t *evacuation);

/**
 * evacuation_get_name() - return the name of an evacuated data centre
 * @index: less than evacuation_count()
 */
const char *evacuation_get_name(const evacuation_t *evacuation, guint index);

/**
 * evacuation_get_offset() - return the offset of the record that began an
 * evacuation
 */
uint64_t evacuation_get_offset(const evacuation_t *evacuation, guint index);

#ifdef __cplusplus
}
#endif

#endif
