#include "sched/candidates.h"

#include <math.h>

/**
 * struct candidate - an executor and its cost
 * @position: in the list of executors; the first of several executors with
 *     equal costs is the best
 */
typedef struct candidate {
    sched_executor_t *executor;
    double cost;
    unsigned position;
} candidate_t;

/* The candidates form a binary heap with the best one at index 0. */
struct sched_candidates {
    const sched_placement_t *placement;
    const sched_step_t *step;
    GArray *heap;
};

static candidate_t *
get_candidate(const sched_candidates_t *candidates, guint index)
{
    return &g_array_index(candidates->heap, candidate_t, index);
}

static bool
is_better(const candidate_t *a, const candidate_t *b)
{
    return a->cost < b->cost ||
           (a->cost == b->cost && a->position < b->position);
}

static void
sift_down(sched_candidates_t *candidates, guint index)
{
    guint count = candidates->heap->len;

    for (;;) {
        guint best = index;
        candidate_t swapped;

        for (guint child = 2 * index + 1;
             child <= 2 * index + 2 && child < count; child++) {
            if (is_better(get_candidate(candidates, child),
                          get_candidate(candidates, best))) {
                best = child;
            }
        }
        if (best == index) {
            return;
        }
        swapped = *get_candidate(candidates, index);
        *get_candidate(candidates, index) = *get_candidate(candidates, best);
        *get_candidate(candidates, best) = swapped;
        index = best;
    }
}

sched_candidates_t *
sched_candidates_new(const sched_placement_t *placement,
                     const sched_step_t *step)
{
    sched_candidates_t *candidates = g_new0(sched_candidates_t, 1);
    unsigned position = 0;

    candidates->placement = placement;
    candidates->step = step;
    candidates->heap = g_array_new(FALSE, FALSE, sizeof(candidate_t));
    LIST_FOREACH (executor, placement->executors, sched_executor_t, link) {
        candidate_t candidate = {
            .executor = executor,
            .cost = sched_placement_get_cost(placement, executor, step),
            .position = position++,
        };

        if (candidate.cost < INFINITY) {
            g_array_append_val(candidates->heap, candidate);
        }
    }
    for (guint i = candidates->heap->len / 2; i > 0; i--) {
        sift_down(candidates, i - 1);
    }
    return candidates;
}

void
sched_candidates_free(sched_candidates_t *candidates)
{
    g_array_unref(candidates->heap);
    g_free(candidates);
}

sched_executor_t *
sched_candidates_get_best(const sched_candidates_t *candidates)
{
    return candidates->heap->len > 0 ? get_candidate(candidates, 0)->executor
                                     : NULL;
}

void
sched_candidates_update_best(sched_candidates_t *candidates)
{
    candidate_t *best = get_candidate(candidates, 0);

    best->cost = sched_placement_get_cost(candidates->placement,
                                          best->executor, candidates->step);
    if (best->cost == INFINITY) {
        g_array_remove_index_fast(candidates->heap, 0);
    }
    sift_down(candidates, 0);
}
