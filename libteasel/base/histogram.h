#ifndef TEASEL_BASE_HISTOGRAM_H
#define TEASEL_BASE_HISTOGRAM_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

enum {
    HISTOGRAM_SUB_BITS = 5, /* 32 buckets per power of two: 3% error */
    HISTOGRAM_BUCKETS = (64 - HISTOGRAM_SUB_BITS + 1) << HISTOGRAM_SUB_BITS,
};

/**
 * struct histogram - log-linear histogram of unsigned values
 */
typedef struct histogram {
    uint64_t count;
    uint64_t sum;
    uint64_t max;
    uint32_t buckets[HISTOGRAM_BUCKETS];
} histogram_t;

void histogram_add(histogram_t *histogram, uint64_t value);

/**
 * histogram_get_quantile() - estimate a quantile
 * @quantile: 0.0 to 1.0
 *
 * Return: the upper bound of the bucket that holds the quantile, or the
 * largest value if that is less.
 */
uint64_t histogram_get_quantile(const histogram_t *histogram, double quantile);

#ifdef __cplusplus
}
#endif

#endif
