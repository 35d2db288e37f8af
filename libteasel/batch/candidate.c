#include "batch/candidate.h"

void
candidate_init(candidate_t *candidate, const clock_source_t *clock,
               uint64_t silence_ms, uint64_t delay_ms)
{
    candidate->clock = clock;
    candidate->silence_ms = silence_ms;
    candidate->delay_ms = delay_ms;
    candidate->last_contact = clock_get_monotonic(clock);
    candidate->last_check = candidate->last_contact;
    candidate->leave_announced = false;
}

void
candidate_note_contact(candidate_t *candidate)
{
    candidate->last_contact = clock_get_monotonic(candidate->clock);
    candidate->leave_announced = false;
}

void
candidate_note_leave(candidate_t *candidate)
{
    if (!candidate->leave_announced) {
        candidate_note_contact(candidate);
        candidate->leave_announced = true;
    }
}

bool
candidate_is_due(candidate_t *candidate)
{
    struct timespec now = clock_get_monotonic(candidate->clock);
    uint64_t wait = candidate->delay_ms;

    if (timespec_diff_ms(now, candidate->last_check) >= CANDIDATE_STALL_MS) {
        candidate_note_contact(candidate);
    }
    candidate->last_check = now;
    if (!candidate->leave_announced) {
        wait += candidate->silence_ms;
    }
    return timespec_diff_ms(now, candidate->last_contact) >= (int64_t)wait;
}
