#ifndef TEASEL_BATCH_CANDIDATE_H
#define TEASEL_BATCH_CANDIDATE_H

#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"

#ifdef __cplusplus
extern "C" {
#endif

enum {
    /* Checks this far apart mean that the process was stalled. Messages of the
       coordinator may be unread, so its silence counts from now. */
    CANDIDATE_STALL_MS = 1000,
};

/**
 * struct candidate - election timer of an agent that may become coordinator
 * @silence_ms: time without contact with the coordinator before a claim
 * @delay_ms: added to @silence_ms; differs by rank, so that candidates do not
 *     claim at the same time
 * @last_contact: last time when the coordinator was known to be alive
 * @last_check: last call of candidate_is_due()
 * @leave_announced: the coordinator announced that it is leaving
 */
typedef struct candidate {
    const clock_source_t *clock;
    uint64_t silence_ms;
    uint64_t delay_ms;
    struct timespec last_contact;
    struct timespec last_check;
    bool leave_announced;
} candidate_t;

void candidate_init(candidate_t *candidate, const clock_source_t *clock,
                    uint64_t silence_ms, uint64_t delay_ms);

/**
 * candidate_note_contact() - restart the timer: the coordinator is alive, or
 * there is a new one
 */
void candidate_note_contact(candidate_t *candidate);

/**
 * candidate_note_leave() - note that the coordinator leaves; the claim then
 * waits only for @delay_ms
 */
void candidate_note_leave(candidate_t *candidate);

/**
 * candidate_is_due() - check whether it is time to claim
 *
 * Call it several times a second.
 */
bool candidate_is_due(candidate_t *candidate);

#ifdef __cplusplus
}
#endif

#endif
