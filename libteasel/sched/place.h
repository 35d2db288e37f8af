#ifndef TEASEL_SCHED_PLACE_H
#define TEASEL_SCHED_PLACE_H

#include "base/list.h"
#include "sched/executor.h"
#include "sched/interference.h"
#include "sched/job.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct sched_places - what placement chooses from
 * @executors: list of sched_executor_t
 * @interference: what fillers do to serving tasks
 * @rack: only this rack; NULL for any
 * @idle: the job stands still, so that its fillers are placed even where they
 *     disturb, at a pace that their agent chooses
 */
typedef struct sched_places {
    const list_t *executors;
    const interference_t *interference;
    const char *rack;
    bool idle;
    int64_t now_ms;
} sched_places_t;

/**
 * sched_place_choose() - best executor for a task, or NULL if none has room
 */
sched_executor_t *sched_place_choose(const sched_places_t *places,
                                     const sched_task_t *task);

#ifdef __cplusplus
}
#endif

#endif
