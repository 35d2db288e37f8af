#ifndef TEASEL_NODE_EFFECT_LIMIT_H
#define TEASEL_NODE_EFFECT_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Chooses how much the best-effort tasks of an executor may raise the tail
 * latencies of the serving tasks there: less while a target is missed, more in
 * small steps while all targets are met with headroom.
 *
 * Best-effort tasks run for a few seconds, and the effect of one that the
 * model does not expect may be ten times the predicted one. A cut therefore
 * goes at once to the speed at which the measured tail latency would have met
 * the target.
 */

/**
 * struct effect_limit_input - an executor at the time of a decision
 * @has_target: a serving task with a latency target runs there
 * @worst_ratio: highest measured ratio of tail latency to target
 * @missed_ms: how long a target has been missed, 0 if none is or has just been
 * @limit: present limit of the sum of the effects, INFINITY if none
 * @current: sum of the effects at the present speeds
 * @total: sum of the effects at full speed
 */
typedef struct effect_limit_input {
    bool has_target;
    double worst_ratio;
    int64_t missed_ms;
    double limit;
    double current;
    double total;
} effect_limit_input_t;

/**
 * effect_limit_is_missed() - check whether a ratio of tail latency to target
 * counts as a missed target
 */
bool effect_limit_is_missed(double ratio);

/**
 * effect_limit_choose() - choose the limit of the sum of the effects for the
 * next interval
 *
 * Return: the limit; INFINITY if the tasks may run at full speed.
 */
double effect_limit_choose(const effect_limit_input_t *input);

#ifdef __cplusplus
}
#endif

#endif
