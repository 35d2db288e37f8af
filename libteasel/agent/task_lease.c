#include "agent/task_runner_internal.h"
#include "base/events.h"

enum {
    /* Subtracted from the lease that is passed on to the worker, to allow for
       the delay of the call. */
    WORKER_LEASE_MARGIN_MS = 500,
};

bool
task_lease_is_live(const task_runner_t *runner)
{
    return lease_is_live(&runner->lease);
}

bool
task_lease_is_worker_live(const task_runner_t *runner)
{
    struct timespec now = clock_get_monotonic(runner->opts.clock);

    return runner->worker_leased &&
           timespec_is_before(now, runner->worker_lease_end);
}

static void
on_worker_renewed(worker_outcome_t outcome, const void *checkpoint,
                  size_t length, const char *detail, void *data)
{
    task_runner_t *runner = data;

    runner->renewing = false;
    if (outcome != WORKER_OK) {
        return;
    }
    runner->worker_leased = true;
    runner->worker_lease_end = runner->renew_until;
    task_step_all(runner);
}

static void
renew_worker_lease(task_runner_t *runner)
{
    uint64_t remaining_ms = lease_get_remaining_ms(&runner->lease);
    worker_t *worker = runner->opts.worker;

    if (runner->renewing || remaining_ms == 0) {
        return;
    }
    runner->renewing = true;
    runner->renew_until = timespec_add_ms(
        runner->lease.end,
        -(int64_t)MIN((uint64_t)WORKER_LEASE_MARGIN_MS, remaining_ms / 4));
    worker->vtbl->renew(worker, runner->renew_until, on_worker_renewed,
                        runner);
}

static void
start_lease_timer(task_runner_t *runner)
{
    loop_timer_start(&runner->lease_timer,
                     lease_get_remaining_ms(&runner->lease));
}

static void
record_expiry(task_runner_t *runner)
{
    if (!runner->expired) {
        runner->expired = true;
        runner->expirations.value++;
        event_log(EVENT_LEASE_EXPIRED, "epoch=%" G_GUINT64_FORMAT,
                  runner->lease.granted_epoch);
    }
    runner->resume_blocked = true;
    runner->resume_sequence = 0;
}

void
task_runner_check_lease(task_runner_t *runner)
{
    if (runner->lease.granted_epoch == 0) {
        return;
    }
    if (task_lease_is_live(runner)) {
        start_lease_timer(runner);
        return;
    }
    loop_timer_stop(&runner->lease_timer);
    if (!runner->expired) {
        record_expiry(runner);
        task_step_all(runner);
    }
}

/* The coordinator discards tasks in its answer to a heartbeat. Only the answer
   to a heartbeat sent after contact was restored shows that the coordinator
   has seen the suspended tasks and keeps them. */
static void
unblock_resume(task_runner_t *runner, uint64_t sequence)
{
    if (!runner->resume_blocked) {
        return;
    }
    if (runner->resume_sequence == 0) {
        runner->resume_sequence = runner->sequence + 1;
        task_report_send_heartbeat(runner);
    }
    else if (sequence >= runner->resume_sequence) {
        runner->expired = false;
        runner->resume_blocked = false;
        event_log(EVENT_LEASE_RESTORED, "epoch=%" G_GUINT64_FORMAT,
                  runner->lease.granted_epoch);
    }
}

void
task_lease_renew(task_runner_t *runner, const Teasel__Renew *renew)
{
    lease_result_t result;

    task_runner_check_lease(runner);
    result = lease_renew(&runner->lease, renew->epoch, renew->sequence,
                         renew->lease_ms);
    if (result == LEASE_STALE) {
        event_log(EVENT_EPOCH_REFUSED,
                  "message=renew epoch=%" G_GUINT64_FORMAT
                  " newest=%" G_GUINT64_FORMAT,
                  renew->epoch, runner->lease.epoch);
        return;
    }
    runner->opts.handler->on_contact(renew->epoch, runner->opts.data);
    if (result == LEASE_UNKNOWN || !task_lease_is_live(runner)) {
        return;
    }
    start_lease_timer(runner);
    unblock_resume(runner, renew->sequence);
    renew_worker_lease(runner);
    task_step_all(runner);
}
