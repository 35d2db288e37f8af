#include "request/outlier.h"

#include <string.h>

#include "base/clock.h"

void
outlier_set_init(outlier_set_t *set, const outlier_opts_t *opts)
{
    memset(set, 0, sizeof(*set));
    set->opts = *opts;
}

void
outlier_join(outlier_set_t *set, outlier_t *outlier)
{
    memset(outlier, 0, sizeof(*outlier));
    set->members++;
}

static void
readmit(outlier_set_t *set, outlier_t *outlier)
{
    if (outlier->state != OUTLIER_ACTIVE) {
        set->ejected--;
    }
    outlier->state = OUTLIER_ACTIVE;
    outlier->failures = 0;
}

void
outlier_leave(outlier_set_t *set, outlier_t *outlier)
{
    readmit(set, outlier);
    set->members--;
}

bool
outlier_is_allowed(const outlier_t *outlier, struct timespec now)
{
    switch (outlier->state) {
    case OUTLIER_ACTIVE:
        return true;
    case OUTLIER_EJECTED:
        return !timespec_is_before(now, outlier->ejected_until);
    default:
        return false;
    }
}

bool
outlier_begin(outlier_t *outlier)
{
    if (outlier->state != OUTLIER_EJECTED) {
        return false;
    }
    outlier->state = OUTLIER_PROBING;
    return true;
}

static uint64_t
get_ejection_ms(const outlier_set_t *set, const outlier_t *outlier)
{
    uint64_t ms = set->opts.base_ms;

    for (unsigned i = 0; i < outlier->ejections && ms < set->opts.max_ms;
         i++) {
        ms *= 2;
    }
    return ms < set->opts.max_ms ? ms : set->opts.max_ms;
}

/* More failing members than the cap allows to eject indicate a common cause.
   Ejections are then not prolonged, so that all members receive requests soon
   after the cause has gone. */
static bool
has_common_cause(const outlier_set_t *set, struct timespec now)
{
    return set->was_blocked && timespec_diff_ms(now, set->last_blocked) <=
                                   (int64_t)set->opts.base_ms;
}

static void
start_ejection(outlier_set_t *set, outlier_t *outlier, struct timespec now)
{
    int64_t since_end_ms = timespec_diff_ms(now, outlier->ejected_until);

    if (since_end_ms > (int64_t)set->opts.max_ms ||
        has_common_cause(set, now)) {
        outlier->ejections = 0;
    }
    outlier->ejected_until =
        timespec_add_ms(now, (int64_t)get_ejection_ms(set, outlier));
    outlier->ejections++;
    outlier->state = OUTLIER_EJECTED;
}

static void
eject(outlier_set_t *set, outlier_t *outlier, struct timespec now)
{
    if ((set->ejected + 1) * 3 > set->members) {
        set->was_blocked = true;
        set->last_blocked = now;
        return;
    }
    set->ejected++;
    start_ejection(set, outlier, now);
}

void
outlier_end(outlier_set_t *set, outlier_t *outlier, bool probe, bool failed,
            struct timespec now)
{
    if (probe && outlier->state == OUTLIER_PROBING) {
        if (failed) {
            start_ejection(set, outlier, now);
        }
        else {
            readmit(set, outlier);
        }
        return;
    }
    if (outlier->state != OUTLIER_ACTIVE) {
        return;
    }
    outlier->failures = failed ? outlier->failures + 1 : 0;
    if (outlier->failures >= set->opts.failures) {
        eject(set, outlier, now);
    }
}

void
outlier_abandon_probe(outlier_t *outlier)
{
    if (outlier->state == OUTLIER_PROBING) {
        outlier->state = OUTLIER_EJECTED;
    }
}
