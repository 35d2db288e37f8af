#include "node/effect_limit.h"

#include <math.h>

enum {
    /* Best-effort tasks are paused after a target was missed for this long. */
    PAUSE_AFTER_MISS_MS = 1500,
};

/* Ratio of tail latency to target that counts as missed. */
static const double MISSED_RATIO = 1.0;
/* Ratio below which best-effort tasks may speed up. */
static const double HEADROOM_RATIO = 0.85;
/* Typical ratio without best-effort tasks. */
static const double BASELINE_RATIO = 0.45;
/* Ratio that the limit aims at. */
static const double TARGET_RATIO = 0.9;
/* Lower bound of the excess over BASELINE_RATIO that is divided by. */
static const double MIN_EXCESS = 0.05;

/* Bounds of the rise of the limit per interval, as a share of the effects at
   full speed. */
static const double MIN_RAISE = 0.1;
static const double MAX_RAISE = 0.3;
/* Bounds of the factor by which the limit is cut per interval. Below the lower
   one no task would run at a useful speed. */
static const double MIN_CUT = 0.03;
static const double MAX_CUT = 0.7;

bool
effect_limit_is_missed(double ratio)
{
    return ratio > MISSED_RATIO;
}

/* Returns the factor for the effects of the best-effort tasks, to which the
   excess over BASELINE_RATIO is assumed to be proportional. */
static double
get_speed_factor(double worst_ratio)
{
    return (TARGET_RATIO - BASELINE_RATIO) /
           fmax(MIN_EXCESS, worst_ratio - BASELINE_RATIO);
}

static double
clamp(double value, double low, double high)
{
    return fmin(fmax(value, low), high);
}

static double
cut_limit(const effect_limit_input_t *input)
{
    if (input->missed_ms >= PAUSE_AFTER_MISS_MS) {
        return 0;
    }
    return input->current *
           clamp(get_speed_factor(input->worst_ratio), MIN_CUT, MAX_CUT);
}

static double
raise_limit(const effect_limit_input_t *input)
{
    double limit = clamp(input->current * get_speed_factor(input->worst_ratio),
                         input->current + MIN_RAISE * input->total,
                         input->current + MAX_RAISE * input->total);

    return limit < input->total ? limit : INFINITY;
}

double
effect_limit_choose(const effect_limit_input_t *input)
{
    if (!input->has_target) {
        return INFINITY;
    }
    if (effect_limit_is_missed(input->worst_ratio)) {
        return cut_limit(input);
    }
    return input->worst_ratio < HEADROOM_RATIO ? raise_limit(input)
                                               : input->limit;
}
