#ifndef TEASEL_SCHEDULER_RETRY_AFTER_H
#define TEASEL_SCHEDULER_RETRY_AFTER_H

#include <glib.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Times after which a refused caller tries again. Each is a whole number of
 * seconds, at least 1, and drawn from a range of at least two values, so that
 * callers that are refused together return at different times.
 */

/**
 * retry_after_get_outage_ms() - return the time for a caller that is refused
 * because of an outage, such as that of the store or the lack of a leader
 * @outage_ms: how long the outage has lasted, as far as it is known
 *
 * The time is about as long as the outage has lasted. A caller that retries a
 * few times then outlasts an outage of several seconds, and returns soon after
 * the end of a short one.
 */
uint32_t retry_after_get_outage_ms(int64_t outage_ms, GRand *random);

/**
 * retry_after_get_backlog_ms() - return the time for a caller that is refused
 * for lack of capacity
 * @drain_ms: time in which the work before the job is expected to drain
 */
uint32_t retry_after_get_backlog_ms(int64_t drain_ms, GRand *random);

#ifdef __cplusplus
}
#endif

#endif
