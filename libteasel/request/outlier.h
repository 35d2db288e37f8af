#ifndef TEASEL_REQUEST_OUTLIER_H
#define TEASEL_REQUEST_OUTLIER_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct outlier_opts - options of outlier ejection
 * @failures: consecutive failures after which a member is ejected
 * @base_ms: duration of the first ejection, doubled for each repeated one
 * @max_ms: longest ejection; a member without ejection for this long starts
 *     again at @base_ms
 */
typedef struct outlier_opts {
    unsigned failures;
    uint64_t base_ms;
    uint64_t max_ms;
} outlier_opts_t;

/**
 * struct outlier_set - members of which at most one third is ejected at a time
 * @members: number of members
 * @ejected: number of members that are ejected or being probed
 * @was_blocked: the cap of one third has prevented an ejection
 * @last_blocked: time when the cap last prevented an ejection
 */
typedef struct outlier_set {
    outlier_opts_t opts;
    unsigned members;
    unsigned ejected;
    bool was_blocked;
    struct timespec last_blocked;
} outlier_set_t;

typedef enum outlier_state {
    OUTLIER_ACTIVE,  /* receives requests */
    OUTLIER_EJECTED, /* receives none until the ejection ends, then a probe */
    OUTLIER_PROBING, /* the probe is in progress */
} outlier_state_t;

/**
 * struct outlier - ejection state of one member
 * @failures: consecutive failures
 * @ejections: repeated ejections, which determine the duration of the next
 */
typedef struct outlier {
    outlier_state_t state;
    unsigned failures;
    unsigned ejections;
    struct timespec ejected_until;
} outlier_t;

void outlier_set_init(outlier_set_t *set, const outlier_opts_t *opts);

/**
 * outlier_join() - add a member to a set
 */
void outlier_join(outlier_set_t *set, outlier_t *outlier);

/**
 * outlier_leave() - remove a member from its set
 */
void outlier_leave(outlier_set_t *set, outlier_t *outlier);

/**
 * outlier_is_allowed() - check whether the member may receive a request now
 */
bool outlier_is_allowed(const outlier_t *outlier, struct timespec now);

/**
 * outlier_begin() - record that a request is sent to the member
 *
 * Return: true if the request is the probe.
 */
bool outlier_begin(outlier_t *outlier);

/**
 * outlier_end() - record the result of a request
 * @probe: result of outlier_begin(); while a member is ejected, only the probe
 *     counts
 * @failed: the executor of the member failed to process the request
 */
void outlier_end(outlier_set_t *set, outlier_t *outlier, bool probe,
                 bool failed, struct timespec now);

/**
 * outlier_abandon_probe() - record that a probe ended without a result
 *
 * The next request is a probe again. Does nothing if no probe is in progress.
 */
void outlier_abandon_probe(outlier_t *outlier);

#ifdef __cplusplus
}
#endif

#endif
