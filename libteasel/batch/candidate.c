#include "batch/candidate.h"

void
candidate_init(candidate_t *candidate, const clock_source_t *clock,
               uint64_t silence_ms, uint64_t delay_ms)
{
    candidate->clock = clock;
    candidate->silence_ms = silence_ms;
    candidate->delay_ms = delay_ms;
    candidate->contact = clock_get_monotonic(clock);
    candidate->checked = candidate->contact;
    candidate->left = false;
}

void
candidate_note_contact(candidate_t *candidate)
{
    candidate->contact = clock_get_monotonic(candidate->clock);
    candidate->left = false;
}

void
candidate_note_leave(candidate_t *candidate)
{
    if (!candidate->left) {
        candidate_note_contact(candidate);
        candidate->left = true;
    }
}

bool
candidate_is_due(candidate_t *candidate)
{
    struct timespec now = clock_get_monotonic(candidate->clock);
    uint64_t wait = candidate->delay_ms;

    if (timespec_diff_ms(now, candidate->checked) >= CANDIDATE_GAP_MS) {
        candidate_note_contact(candidate);
    }
    candidate->checked = now;
    if (!candidate->left) {
        wait += candidate->silence_ms;
    }
    return timespec_diff_ms(now, candidate->contact) >= (int64_t)wait;
}
