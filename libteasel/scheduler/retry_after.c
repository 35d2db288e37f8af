#include "scheduler/retry_after.h"

enum {
    MS_PER_S = 1000,
    MIN_RETRY_MS = 1000,
    /* Outages of the store usually end within 9 s, which a caller with four
       retries also covers with this limit. */
    MAX_OUTAGE_RETRY_MS = 5000,
    /* Limits the error of an estimate of how fast a backlog drains. */
    MAX_BACKLOG_RETRY_MS = 60000,
    /* The times of callers differ by up to this much from the mean. */
    SPREAD_PERCENT = 25,
};

/* Draws a whole number of seconds around a mean. */
static uint32_t
draw_ms(int64_t mean_ms, int64_t max_ms, GRand *random)
{
    int64_t mean = CLAMP(mean_ms, MIN_RETRY_MS, max_ms);
    int64_t spread = mean * SPREAD_PERCENT / 100;
    int64_t first_s = MAX(1, (mean - spread) / MS_PER_S);
    int64_t last_s = (mean + spread + MS_PER_S - 1) / MS_PER_S;

    last_s = MIN(last_s, max_ms / MS_PER_S);
    return (uint32_t)g_rand_int_range(random, (gint32)first_s,
                                      (gint32)last_s + 1) *
           MS_PER_S;
}

uint32_t
retry_after_get_outage_ms(int64_t outage_ms, GRand *random)
{
    return draw_ms(outage_ms, MAX_OUTAGE_RETRY_MS, random);
}

uint32_t
retry_after_get_backlog_ms(int64_t drain_ms, GRand *random)
{
    return draw_ms(drain_ms, MAX_BACKLOG_RETRY_MS, random);
}
