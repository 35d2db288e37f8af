#include "sched/backlog.h"

/* Tasks run at least for this part of their estimate, which is as far as
   estimates are off. */
static const double MIN_ESTIMATE_ERROR = 0.1;

/**
 * struct backlog_entry - a job with waiting tasks
 * @work_before: waiting work of the entries before it, in core-ms
 */
typedef struct backlog_entry {
    job_rank_t rank;
    double work_before;
} backlog_entry_t;

backlog_t *
backlog_new(void)
{
    backlog_t *backlog = g_new0(backlog_t, 1);

    backlog->entries = g_array_new(FALSE, FALSE, sizeof(backlog_entry_t));
    return backlog;
}

void
backlog_free(backlog_t *backlog)
{
    g_array_unref(backlog->entries);
    g_free(backlog);
}

void
backlog_clear(backlog_t *backlog)
{
    g_array_set_size(backlog->entries, 0);
    backlog->waiting_work = 0;
    backlog->busy_cores = 0;
}

void
backlog_add_job(backlog_t *backlog, const sched_job_t *job,
                double estimate_error)
{
    backlog_entry_t entry = {
        .rank = job_order_get_rank(job),
        .work_before = backlog->waiting_work,
    };

    estimate_error = CLAMP(estimate_error, MIN_ESTIMATE_ERROR, 1.0);
    LIST_FOREACH (occurrence, &job->occurrences, sched_occurrence_t, link) {
        for (size_t i = 0; i < job->spec->n_steps; i++) {
            const sched_step_t *step = &occurrence->steps[i];
            double cores = step->spec->cpu_milli / 1000.0;
            uint32_t placed = step->spec->count - step->done - step->waiting;

            if (step->spec->long_running) {
                continue;
            }
            backlog->waiting_work +=
                step->waiting * cores * step->spec->estimated_ms;
            backlog->busy_cores += placed * cores / estimate_error;
        }
    }
    if (backlog->waiting_work > entry.work_before) {
        g_array_append_val(backlog->entries, entry);
    }
}

double
backlog_get_work_before(const backlog_t *backlog, const job_rank_t *rank)
{
    guint low = 0;
    guint high = backlog->entries->len;

    while (low < high) {
        guint middle = low + (high - low) / 2;
        const backlog_entry_t *entry =
            &g_array_index(backlog->entries, backlog_entry_t, middle);

        if (job_order_compare_ranks(&entry->rank, rank) < 0) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    if (low == backlog->entries->len) {
        return backlog->waiting_work;
    }
    return g_array_index(backlog->entries, backlog_entry_t, low).work_before;
}

double
backlog_get_rate(backlog_t *backlog, int64_t now_ms)
{
    double finished = drain_rate_get(&backlog->drain_rate, now_ms);

    return finished > 0 ? MAX(finished, backlog->busy_cores) : 0;
}
