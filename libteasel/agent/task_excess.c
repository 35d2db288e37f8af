#include "agent/task_runner_internal.h"
#include "base/events.h"

static uint64_t
get_excess(uint64_t measured, uint64_t declared)
{
    return measured > declared ? measured - declared : 0;
}

/* If less than the wanted amount is free, reserves all that is free, so that
   no other task starts. */
static void
reserve_excess(task_t *task, const ledger_amount_t *wanted)
{
    ledger_t *ledger = task->runner->opts.ledger;

    ledger_release(ledger, &task->excess);
    for (int kind = 0; kind < LEDGER_KIND_COUNT; kind++) {
        uint64_t free = ledger_get_free(ledger, kind);

        task->excess.units[kind] = MIN(wanted->units[kind], free);
    }
    ledger_reserve(ledger, &task->excess, NULL);
}

static task_t *
find_victim(const task_runner_t *runner)
{
    task_t *victim = NULL;

    LIST_FOREACH (task, &runner->tasks, task_t, link) {
        if (task->state == TASK_ACTIVE &&
            (victim == NULL ||
             task_get_lost_ms(task) < task_get_lost_ms(victim))) {
            victim = task;
        }
    }
    return victim;
}

/* Measurements lag behind, so the effect of an eviction must be visible before
   the next one. */
static bool
may_evict(task_runner_t *runner)
{
    struct timespec now = clock_get_monotonic(runner->opts.clock);

    if (runner->overuse_evicted &&
        timespec_diff_ms(now, runner->overuse_time) <
            (int64_t)runner->pressure.opts.hold_ms) {
        return false;
    }
    runner->overuse_evicted = true;
    runner->overuse_time = now;
    return true;
}

void
task_excess_update(task_t *task)
{
    task_runner_t *runner = task->runner;
    /* Peak use, because each change of the capacity costs a record in the
       cell's stream. */
    ledger_amount_t wanted = {
        .units = {
            [LEDGER_CPU_MILLI] = get_excess(
                task->peak_cpu_milli, task->size.units[LEDGER_CPU_MILLI]),
            [LEDGER_MEMORY_MB] = get_excess(
                task->peak_memory_mb, task->size.units[LEDGER_MEMORY_MB]),
        }};
    task_t *victim;

    /* The worker shares its processors among the tasks, but overused memory is
       freed only by an eviction. */
    reserve_excess(task, &wanted);
    if (task->memory_mb <= task->size.units[LEDGER_MEMORY_MB] +
                               task->excess.units[LEDGER_MEMORY_MB] ||
        !may_evict(runner)) {
        return;
    }
    victim = find_victim(runner);
    if (victim != NULL) {
        event_log(
            EVENT_MEMORY_OVERUSE,
            "job=%s attempt=%u memory_mb=%" G_GUINT64_FORMAT " evicted=%s",
            task->job_id, task->attempt, task->memory_mb, victim->job_id);
        task_stop(victim, TEASEL__STOP_REASON__STOP_REASON_EVICT);
    }
}
