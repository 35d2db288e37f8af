#ifndef TEASEL_REQUEST_OUTLIER_H
#define TEASEL_REQUEST_OUTLIER_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct outlier_opts - when members are ejected
 * @failures: consecutive failures that eject a member
 * @base_ms: length of the first ejection; doubled for each repeated one
 * @max_ms: longest ejection; a member without ejection for this long starts
 *     again at @base_ms
 */
typedef struct outlier_opts {
    unsigned failures;
    uint64_t base_ms;
    uint64_t max_ms;
} outlier_opts_t;

/**
 * struct outlier_set - members that share the cap of one third
 * @members: number of members
 * @ejected: number of members in ejection or on probation
 * @last_blocked: when the cap last prevented an ejection
 */
typedef struct outlier_set {
    outlier_opts_t opts;
    unsigned members;
    unsigned ejected;
    bool was_blocked;
    struct timespec last_blocked;
} outlier_set_t;

typedef enum outlier_state {
    OUTLIER_ACTIVE,  /* takes requests */
    OUTLIER_EJECTED, /* takes none until the ejection ends, then one */
    OUTLIER_PROBING, /* its one request is under way */
} outlier_state_t;

typedef struct outlier {
    outlier_state_t state;
    unsigned failures;  /* consecutive */
    unsigned ejections; /* repeated */
    struct timespec ejected_until;
} outlier_t;

void outlier_set_init(outlier_set_t *set, const outlier_opts_t *opts);

/**
 * outlier_join() - add a member; outlier_leave() removes it
 */
void outlier_join(outlier_set_t *set, outlier_t *outlier);
void outlier_leave(outlier_set_t *set, outlier_t *outlier);

/**
 * outlier_is_allowed() - the member may get a request now
 */
bool outlier_is_allowed(const outlier_t *outlier, struct timespec now);

/**
 * outlier_begin() - a request is sent to the member
 *
 * Return: true if it is the probe.
 */
bool outlier_begin(outlier_t *outlier);

/**
 * outlier_end() - a request ended
 * @probe: result of outlier_begin(); while a member is ejected, only the probe
 *     counts
 * @failed: the executor behind the member did not do its work
 */
void outlier_end(outlier_set_t *set, outlier_t *outlier, bool probe,
                 bool failed, struct timespec now);

/**
 * outlier_abandon_probe() - the probe ended without telling anything about
 * the executor; the next request is the probe
 */
void outlier_abandon_probe(outlier_t *outlier);

#ifdef __cplusplus
}
#endif

#endif
