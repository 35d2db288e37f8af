/* Metrics of the leader. */

#include "base/metrics.h"
#include "scheduler/leader_internal.h"

void
leader_write_metrics(const leader_t *leader, GString *out)
{
    sched_evacuation_counts_t evacuated = sched_count_evacuated(leader->sched);

    metrics_write_counter(out, "teasel_jobs_accepted_total", "Jobs accepted.",
                          leader->accepted);
    leader_write_refusals(leader, out);
    metrics_write_counter(out, "teasel_calls_awaiting_proof_total",
                          "Calls that waited until the leader knew that no "
                          "other scheduler led when they arrived.",
                          leader->proof_waits);
    metrics_write_counter(out, "teasel_calls_unproven_total",
                          "Calls for which that was not known in time.",
                          leader->unproven);
    metrics_write_counter(out, "teasel_store_writes_total",
                          "Writes of job records and renewals.",
                          leader->writes);
    metrics_write_counter(out, "teasel_store_write_retries_total",
                          "Repeated writes.", leader->write_retries);
    metrics_write_counter(out, "teasel_evacuated_runs_released_total",
                          "Runs in evacuated data centres that ended before "
                          "their start was sent.",
                          evacuated.released);
    metrics_write_counter(out, "teasel_evacuated_runs_stopped_total",
                          "Runs in evacuated data centres that were stopped, "
                          "as they were not known to run.",
                          evacuated.stopped);
    g_string_append_printf(
        out,
        "# HELP teasel_store_write_seconds Time of a write to the store.\n"
        "# TYPE teasel_store_write_seconds summary\n"
        "teasel_store_write_seconds{quantile=\"0.5\"} %.6f\n"
        "teasel_store_write_seconds{quantile=\"0.99\"} %.6f\n",
        (double)histogram_get_quantile(leader->write_us, 0.5) / 1e6,
        (double)histogram_get_quantile(leader->write_us, 0.99) / 1e6);
}
