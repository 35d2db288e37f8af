#ifndef TEASEL_BATCH_CANDIDATE_H
#define TEASEL_BATCH_CANDIDATE_H

#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"

#ifdef __cplusplus
extern "C" {
#endif

enum {
    /* A check that comes this late means that the process did not run; the
       coordinator may have spoken meanwhile, so the silence starts again. */
    CANDIDATE_GAP_MS = 1000,
};

/**
 * struct candidate - decides when to claim the role of the coordinator
 * @silence_ms: silence of the coordinator before a claim
 * @delay_ms: added according to the rank, so that candidates take turns
 */
typedef struct candidate {
    const clock_source_t *clock;
    uint64_t silence_ms;
    uint64_t delay_ms;
    struct timespec contact;
    struct timespec checked;
    bool left;
} candidate_t;

void candidate_init(candidate_t *candidate, const clock_source_t *clock,
                    uint64_t silence_ms, uint64_t delay_ms);

/**
 * candidate_note_contact() - the coordinator is alive, or there is a new one
 */
void candidate_note_contact(candidate_t *candidate);

/**
 * candidate_note_leave() - the coordinator leaves: claim without the silence
 */
void candidate_note_leave(candidate_t *candidate);

/**
 * candidate_is_due() - true if it is time to claim; call it several times a
 * second
 */
bool candidate_is_due(candidate_t *candidate);

#ifdef __cplusplus
}
#endif

#endif
