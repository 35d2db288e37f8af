#include "base/histogram.h"

static unsigned
bucket_of_value(uint64_t value)
{
    unsigned shift;

    if (value < (1U << HISTOGRAM_SUB_BITS)) {
        return (unsigned)value;
    }
    shift = 63U - (unsigned)__builtin_clzll(value) - HISTOGRAM_SUB_BITS;
    return ((shift + 1) << HISTOGRAM_SUB_BITS) +
           (unsigned)((value >> shift) & ((1U << HISTOGRAM_SUB_BITS) - 1));
}

static uint64_t
upper_bound_of_bucket(unsigned bucket)
{
    unsigned group = bucket >> HISTOGRAM_SUB_BITS;
    uint64_t low = bucket & ((1U << HISTOGRAM_SUB_BITS) - 1);

    if (group == 0) {
        return low;
    }
    return (((1ULL << HISTOGRAM_SUB_BITS) + low + 1) << (group - 1)) - 1;
}

void
histogram_add(histogram_t *histogram, uint64_t value)
{
    histogram->count++;
    histogram->sum += value;
    if (value > histogram->max) {
        histogram->max = value;
    }
    histogram->buckets[bucket_of_value(value)]++;
}

uint64_t
histogram_get_quantile(const histogram_t *histogram, double quantile)
{
    uint64_t rank = (uint64_t)(quantile * (double)histogram->count);
    uint64_t seen = 0;

    for (unsigned i = 0; i < HISTOGRAM_BUCKETS; i++) {
        seen += histogram->buckets[i];
        if (seen > rank) {
            uint64_t bound = upper_bound_of_bucket(i);

            return bound < histogram->max ? bound : histogram->max;
        }
    }
    return histogram->max;
}
