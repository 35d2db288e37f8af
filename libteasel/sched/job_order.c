#include "sched/job_order.h"

/* A job is of some use up to this multiple of the time it may take. */
static const double MAX_LATENESS = 3.0;

typedef double (*step_time_fn)(const sched_occurrence_t *occurrence,
                               const Teasel__JobSpec *spec, size_t step);

static double
get_full_time(const sched_occurrence_t *occurrence,
              const Teasel__JobSpec *spec, size_t step)
{
    return spec->steps[step]->estimated_ms;
}

static double
get_remaining_time(const sched_occurrence_t *occurrence,
                   const Teasel__JobSpec *spec, size_t step)
{
    const sched_step_t *state = &occurrence->steps[step];

    if (state->done == state->spec->count) {
        return 0;
    }
    /* Tasks that run are halfway through on average. */
    return state->waiting > 0 ? state->spec->estimated_ms
                              : state->spec->estimated_ms / 2.0;
}

/* Returns the time of the longest chain of dependent steps. */
static double
get_longest_chain_ms(const Teasel__JobSpec *spec,
                     const sched_occurrence_t *occurrence,
                     step_time_fn get_time)
{
    double ends[SCHED_MAX_STEPS];
    double longest = 0;

    for (size_t i = 0; i < spec->n_steps; i++) {
        const Teasel__StepSpec *step = spec->steps[i];

        ends[i] = 0;
        for (size_t j = 0; j < step->n_after; j++) {
            ends[i] = MAX(ends[i], ends[step->after[j]]);
        }
        ends[i] += get_time(occurrence, spec, i);
        longest = MAX(longest, ends[i]);
    }
    return longest;
}

static double
get_step_work(const Teasel__StepSpec *step, uint32_t tasks)
{
    return (double)tasks * step->estimated_ms * step->cpu_milli / 1000.0;
}

double
job_order_get_chain_ms(const Teasel__JobSpec *spec)
{
    return get_longest_chain_ms(spec, NULL, get_full_time);
}

double
job_order_get_objective_ms(const Teasel__JobSpec *spec, double chain_ms)
{
    return spec->allowance_ms + chain_ms * spec->slack_percent / 100.0;
}

double
job_order_get_useful_ms(double objective_ms)
{
    return objective_ms * MAX_LATENESS;
}

job_outlook_t
job_order_get_outlook(double needed_ms, double objective_ms)
{
    if (needed_ms <= objective_ms) {
        return JOB_OUTLOOK_IN_TIME;
    }
    return needed_ms <= job_order_get_useful_ms(objective_ms)
               ? JOB_OUTLOOK_LATE
               : JOB_OUTLOOK_TOO_LATE;
}

double
job_order_get_total_work(const Teasel__JobSpec *spec)
{
    double work = 0;

    for (size_t i = 0; i < spec->n_steps; i++) {
        work += get_step_work(spec->steps[i], spec->steps[i]->count);
    }
    return work;
}

static double
get_remaining_work(const sched_job_t *job)
{
    double work = 0;

    LIST_FOREACH (occurrence, &job->occurrences, sched_occurrence_t, link) {
        for (size_t i = 0; i < job->spec->n_steps; i++) {
            const sched_step_t *step = &occurrence->steps[i];

            work += get_step_work(step->spec, step->spec->count - step->done);
        }
    }
    return work;
}

static double
get_remaining_ms(const sched_job_t *job)
{
    double longest = 0;

    LIST_FOREACH (occurrence, &job->occurrences, sched_occurrence_t, link) {
        longest = MAX(longest, get_longest_chain_ms(job->spec, occurrence,
                                                    get_remaining_time));
    }
    return longest;
}

void
job_order_update(sched_job_t *job, double estimate_error, int64_t now_ms)
{
    double chain_ms = job_order_get_chain_ms(job->spec) * estimate_error;
    double needed_ms = (double)(now_ms - job->known_since_ms) +
                       get_remaining_ms(job) * estimate_error;

    job->remaining_work = get_remaining_work(job);
    job->outlook = (uint8_t)job_order_get_outlook(
        needed_ms, job_order_get_objective_ms(job->spec, chain_ms));
}

job_rank_t
job_order_get_rank(const sched_job_t *job)
{
    return (job_rank_t){
        .priority = job->spec->priority,
        .favoured = job->favoured,
        .outlook = (job_outlook_t)job->outlook,
        .remaining_work = job->remaining_work,
        .sequence = job->sequence,
    };
}

int
job_order_compare_ranks(const job_rank_t *a, const job_rank_t *b)
{
    if (a->priority != b->priority) {
        return a->priority < b->priority ? -1 : 1;
    }
    if (a->favoured != b->favoured) {
        return a->favoured ? -1 : 1;
    }
    if (a->outlook != b->outlook) {
        return a->outlook < b->outlook ? -1 : 1;
    }
    if (a->remaining_work != b->remaining_work) {
        return a->remaining_work < b->remaining_work ? -1 : 1;
    }
    return a->sequence < b->sequence ? -1 : a->sequence > b->sequence;
}

int
job_order_compare(const sched_job_t *a, const sched_job_t *b)
{
    job_rank_t left = job_order_get_rank(a);
    job_rank_t right = job_order_get_rank(b);

    return job_order_compare_ranks(&left, &right);
}
