#include "sched/drain_rate.h"

#include <math.h>

enum {
    WINDOW_MS = 4000,
    /* The first windows of a new leader lack the runs whose ends its
       predecessor processed. */
    MIN_WINDOWS = 2,
};

static void
end_window(drain_rate_t *rate)
{
    rate->windows[rate->next] = rate->current;
    rate->next = (rate->next + 1) % DRAIN_RATE_WINDOWS;
    if (rate->count < DRAIN_RATE_WINDOWS) {
        rate->count++;
    }
    rate->current = 0;
    rate->began_ms += WINDOW_MS;
}

static void
end_old_windows(drain_rate_t *rate, int64_t now_ms)
{
    if (rate->began_ms == 0) {
        rate->began_ms = now_ms;
    }
    for (unsigned i = 0;
         i <= DRAIN_RATE_WINDOWS && now_ms - rate->began_ms >= WINDOW_MS;
         i++) {
        end_window(rate);
    }
    if (now_ms - rate->began_ms >= WINDOW_MS) {
        rate->began_ms = now_ms;
    }
}

void
drain_rate_add(drain_rate_t *rate, double work, int64_t now_ms)
{
    end_old_windows(rate, now_ms);
    rate->current += work;
}

double
drain_rate_get(drain_rate_t *rate, int64_t now_ms)
{
    double most = 0;

    if (rate->began_ms == 0) {
        return 0;
    }
    end_old_windows(rate, now_ms);
    if (rate->count < MIN_WINDOWS) {
        return 0;
    }
    for (unsigned i = 0; i < rate->count; i++) {
        most = fmax(most, rate->windows[i]);
    }
    return most / WINDOW_MS;
}
