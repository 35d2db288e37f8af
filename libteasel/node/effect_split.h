#ifndef TEASEL_NODE_EFFECT_SPLIT_H
#define TEASEL_NODE_EFFECT_SPLIT_H

#include <stddef.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Splits a limit of the effect on tail latencies between best-effort tasks.
 * One task with a large effect must not slow down those beside it that hardly
 * disturb the serving tasks, so a common cap limits the effect of each task:
 * tasks below the cap run at full speed.
 */

/**
 * effect_split() - choose the speeds of tasks
 * @effects: effect of each task at full speed, greater than 0
 * @speeds: receives the speed of each task, from 0 to 1
 * @limit: limit of the sum of effect times speed
 */
void effect_split(const double *effects, double *speeds, size_t count,
                  double limit);

#ifdef __cplusplus
}
#endif

#endif
