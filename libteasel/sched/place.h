#ifndef TEASEL_SCHED_PLACE_H
#define TEASEL_SCHED_PLACE_H

#include "base/list.h"
#include "sched/executor.h"
#include "sched/job.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * sched_place_choose() - best executor for a task, or NULL if none has room
 * @executors: list of sched_executor_t
 * @rack: only this rack; NULL for any
 */
sched_executor_t *sched_place_choose(const list_t *executors,
                                     const sched_task_t *task,
                                     const char *rack, int64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
