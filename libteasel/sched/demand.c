#include "sched/demand.h"

#include <string.h>

enum {
    /* Bounds the time of a check; further demands are not recorded. */
    MAX_DEMANDS = 64,
};

typedef struct demand {
    const char *service;
    const Teasel__StepSpec *spec;
    uint16_t image_id;
    sched_overcommit_t overcommit;
} demand_t;

struct demand_list {
    GArray *demands;
};

demand_list_t *
demand_list_new(void)
{
    demand_list_t *list = g_new(demand_list_t, 1);

    list->demands = g_array_new(FALSE, FALSE, sizeof(demand_t));
    return list;
}

void
demand_list_free(demand_list_t *list)
{
    g_array_unref(list->demands);
    g_free(list);
}

static demand_t
get_demand(const sched_step_t *step, sched_overcommit_t overcommit)
{
    return (demand_t){
        .service = step->occurrence->job->spec->service,
        .spec = step->spec,
        .image_id = sched_step_get_image_id(step),
        .overcommit = overcommit,
    };
}

static bool
needs_at_least(const Teasel__StepSpec *a, const Teasel__StepSpec *b)
{
    return a->cpu_milli >= b->cpu_milli && a->memory_mb >= b->memory_mb &&
           a->accelerators >= b->accelerators;
}

/* A best-effort task is also limited by its effect on serving tasks, which
   depends on its image, unless it may overcommit an executor. Lasting tasks
   also run on executors that are on probation. */
static bool
has_same_limits(const demand_t *a, const demand_t *b)
{
    return a->spec->filler == b->spec->filler &&
           a->spec->long_running == b->spec->long_running &&
           (!a->spec->filler ||
            (a->overcommit == b->overcommit && a->image_id == b->image_id &&
             a->image_id != SCHED_NO_IMAGE)) &&
           strcmp(a->service, b->service) == 0;
}

static bool
implies(const demand_t *failed, const demand_t *demand)
{
    return needs_at_least(demand->spec, failed->spec) &&
           has_same_limits(demand, failed) &&
           (failed->spec->required_label[0] == '\0' ||
            strcmp(failed->spec->required_label,
                   demand->spec->required_label) == 0);
}

void
demand_list_add(demand_list_t *list, const sched_step_t *step,
                sched_overcommit_t overcommit)
{
    demand_t demand = get_demand(step, overcommit);

    /* A limit on the tasks of the step may have been the reason. */
    if (step->spec->max_per_executor == 0 &&
        list->demands->len < MAX_DEMANDS) {
        g_array_append_val(list->demands, demand);
    }
}

bool
demand_list_covers(const demand_list_t *list, const sched_step_t *step,
                   sched_overcommit_t overcommit)
{
    demand_t demand = get_demand(step, overcommit);

    for (guint i = 0; i < list->demands->len; i++) {
        if (implies(&g_array_index(list->demands, demand_t, i), &demand)) {
            return true;
        }
    }
    return false;
}
