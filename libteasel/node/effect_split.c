#include "node/effect_split.h"

#include <math.h>

enum {
    /* Halvings of the range in which the cap is searched. */
    SEARCH_STEPS = 24,
};

static double
get_sum(const double *effects, size_t count, double cap)
{
    double sum = 0;

    for (size_t i = 0; i < count; i++) {
        sum += fmin(effects[i], cap);
    }
    return sum;
}

/* Returns the highest cap on the effect of each task that keeps the limit. */
static double
find_cap(const double *effects, size_t count, double limit)
{
    double low = 0;
    double high = 0;

    for (size_t i = 0; i < count; i++) {
        high = fmax(high, effects[i]);
    }
    if (get_sum(effects, count, high) <= limit) {
        return high;
    }
    for (int i = 0; i < SEARCH_STEPS; i++) {
        double middle = (low + high) / 2;

        if (get_sum(effects, count, middle) <= limit) {
            low = middle;
        }
        else {
            high = middle;
        }
    }
    return low;
}

void
effect_split(const double *effects, double *speeds, size_t count, double limit)
{
    double cap = find_cap(effects, count, limit);

    for (size_t i = 0; i < count; i++) {
        speeds[i] = fmin(1.0, cap / effects[i]);
    }
}
