#ifndef TEASEL_NODE_ANNOUNCEMENT_FILTER_H
#define TEASEL_NODE_ANNOUNCEMENT_FILTER_H

#include <stdbool.h>
#include <stdint.h>

#include "node/executor_api.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Tells the announcements of one incarnation of an executor from those that
 * arrive late and from those of other writers, which may name it too.
 *
 * An incarnation keeps its service, data centre and labels, and its sequence
 * numbers grow by small steps. An announcement that does not follow the last
 * accepted one is held back. The executor goes on announcing itself, so it is
 * believed once several announcements that follow each other, at intervals,
 * were held back and none was accepted meanwhile.
 */

typedef enum announcement_verdict {
    ANNOUNCEMENT_NEXT,    /* follows the last accepted one */
    ANNOUNCEMENT_RESUMED, /* the last of several that were held back; what was
                             accepted before may be of another writer */
    ANNOUNCEMENT_LATE,    /* older than the last accepted one */
    ANNOUNCEMENT_ODD,     /* not from this incarnation, as far as known */
} announcement_verdict_t;

/**
 * struct announcement_filter - the announcements of one incarnation
 * @traits: what all announcements of the incarnation have in common
 * @sequence: of the last accepted announcement
 * @held: number of announcements that were held back in a row, each of which
 *     followed the one before after some time
 * @held_traits: of the last one that was held back
 * @held_sequence: of the last one that was held back
 * @held_ms: time of the last one that was counted
 */
typedef struct announcement_filter {
    char *traits;
    uint64_t sequence;
    unsigned held;
    char *held_traits;
    uint64_t held_sequence;
    int64_t held_ms;
} announcement_filter_t;

/**
 * announcement_filter_init() - begin with the first announcement
 */
void announcement_filter_init(announcement_filter_t *filter,
                              const executor_info_t *info);
void announcement_filter_clear(announcement_filter_t *filter);

/**
 * announcement_filter_judge() - judge the next announcement
 *
 * Return: ANNOUNCEMENT_NEXT or ANNOUNCEMENT_RESUMED if it is accepted.
 */
announcement_verdict_t announcement_filter_judge(announcement_filter_t *filter,
                                                 const executor_info_t *info,
                                                 int64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
