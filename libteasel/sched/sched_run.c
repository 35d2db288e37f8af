/* Checks the timers and places waiting tasks in the order of their jobs. */

#include "sched/pass.h"

enum {
    /* Placement is repeated because probations and restart delays end without
       an event. */
    PLACE_INTERVAL_MS = 200,
};

/* A stopping run does not count as running: a stop may take most of a second,
   during which the job makes no progress. */
static void
update_idle_since(sched_job_t *job, int64_t now_ms)
{
    if (job->running > 0) {
        job->idle_since_ms = 0;
    }
    else if (job->idle_since_ms == 0) {
        job->idle_since_ms = now_ms;
    }
}

static void
place_job(pass_t *pass, sched_job_t *job)
{
    update_idle_since(job, pass->now_ms);
    LIST_FOREACH (occurrence, &job->occurrences, sched_occurrence_t, link) {
        for (size_t i = 0; i < job->spec->n_steps; i++) {
            sched_step_t *step = &occurrence->steps[i];

            if (step->waiting == 0 || !sched_step_is_ready(step)) {
                continue;
            }
            if (!step->spec->gang) {
                pass_place_tasks(pass, step);
            }
            else {
                pass_place_gang(pass, step);
            }
        }
    }
}

/* A lasting task that was at work goes before all work of its priority that
   has not begun. Otherwise short tasks would take each piece of room that
   becomes free on full executors, for as long as new ones arrive. */
static void
place_restarts(pass_t *pass, uint32_t priority)
{
    pass->restarts = true;
    LIST_FOREACH (job, &pass->sched->active_jobs, sched_job_t, link) {
        if (job->spec->priority == priority) {
            place_job(pass, job);
        }
    }
    pass->restarts = false;
}

static void
place_in_scope(pass_t *pass, pass_scope_t scope)
{
    int64_t last_priority = -1;

    pass->scope = scope;
    LIST_FOREACH (job, &pass->sched->active_jobs, sched_job_t, link) {
        /* Jobs that arrived after the last sort may be out of order. */
        if (job->spec->priority > last_priority) {
            last_priority = job->spec->priority;
            place_restarts(pass, job->spec->priority);
        }
        place_job(pass, job);
    }
}

static void
place_jobs(sched_t *sched, int64_t now_ms)
{
    pass_t pass = {.sched = sched, .now_ms = now_ms};

    pass.failed = demand_list_new();
    if (sched->lasting_overdue) {
        place_in_scope(&pass, PASS_OTHERS);
        place_in_scope(&pass, PASS_SUSPECTS);
    }
    else {
        place_in_scope(&pass, PASS_ALL);
    }
    sched->lasting_overdue = pass.overdue;
    demand_list_free(pass.failed);
}

void
sched_run(sched_t *sched)
{
    int64_t now_ms = sched_now_ms(sched);

    sched_check_timers(sched, now_ms);
    if (!evacuation_is_known(sched->opts.evacuation)) {
        return;
    }
    if (!sched->placement_needed &&
        now_ms - sched->last_placement_ms < PLACE_INTERVAL_MS) {
        return;
    }
    sched->placement_needed = false;
    sched->last_placement_ms = now_ms;
    sched_sort_jobs(sched);
    place_jobs(sched, now_ms);
}
