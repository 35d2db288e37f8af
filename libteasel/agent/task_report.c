#include "agent/task_runner_internal.h"

enum {
    /* Excess use is rounded up to a multiple of this fraction of the capacity,
       because each change of the reported capacity costs a record in the
       cell's stream. */
    CAPACITY_STEPS = 16,
};

void
task_report_send(task_t *task)
{
    Teasel__Envelope envelope = TEASEL__ENVELOPE__INIT;
    Teasel__TaskReport report = TEASEL__TASK_REPORT__INIT;
    task_runner_t *runner = task->runner;

    report.agent_id = (char *)runner->opts.agent_id;
    report.incarnation = runner->opts.incarnation;
    task_fill_report(task, &report);
    envelope.body_case = TEASEL__ENVELOPE__BODY_TASK_REPORT;
    envelope.task_report = &report;
    runner->opts.handler->send(&envelope, runner->opts.data);
}

void
task_report_send_all(task_runner_t *runner)
{
    LIST_FOREACH (task, &runner->tasks, task_t, link) {
        if (task->state == TASK_ENDED) {
            task_report_send(task);
        }
    }
}

static size_t
fill_tasks(task_runner_t *runner, Teasel__RunningTask *items,
           Teasel__RunningTask **pointers, size_t size)
{
    size_t count = 0;

    LIST_FOREACH (task, &runner->tasks, task_t, link) {
        Teasel__RunningTask *item;

        if (!task_is_on_worker(task) || count == size) {
            continue;
        }
        item = &items[count];
        teasel__running_task__init(item);
        item->job_id = task->job_id;
        item->attempt = task->attempt;
        item->progress_ms = task->progress_ms;
        item->suspended = task->worker_suspended;
        item->cpu_milli = task->cpu_milli;
        item->memory_mb = task->memory_mb;
        item->throttle = task->throttle;
        pointers[count++] = item;
    }
    return count;
}

static size_t
count_tasks(const task_runner_t *runner)
{
    size_t count = 0;

    LIST_FOREACH (task, &runner->tasks, task_t, link) {
        count++;
    }
    return count;
}

static bool
is_worker_status_recent(const task_runner_t *runner)
{
    struct timespec now = clock_get_monotonic(runner->opts.clock);

    return runner->worker_status_known &&
           timespec_diff_ms(now, runner->worker_status_time) <
               (int64_t)runner->opts.worker_silence_ms;
}

/* Reports the capacity without the part reserved for interactive requests and
   without excess use, so that the coordinator sends no task that would be
   refused. */
static void
fill_capacity(const task_runner_t *runner, Teasel__Resources *out)
{
    ledger_amount_t available = runner->opts.ledger->capacity;

    for (int kind = 0; kind < LEDGER_KIND_COUNT; kind++) {
        uint64_t step = available.units[kind] / CAPACITY_STEPS + 1;
        uint64_t excess = 0;

        LIST_FOREACH (task, &runner->tasks, task_t, link) {
            excess += task->excess.units[kind];
        }
        excess = (excess + step - 1) / step * step;
        available.units[kind] -=
            MIN(available.units[kind], runner->reserved.units[kind] + excess);
    }
    out->cpu_milli = (uint32_t)available.units[LEDGER_CPU_MILLI];
    out->memory_mb = available.units[LEDGER_MEMORY_MB];
    out->accelerators = (uint32_t)available.units[LEDGER_ACCELERATORS];
}

void
task_report_send_heartbeat(task_runner_t *runner)
{
    Teasel__Envelope envelope = TEASEL__ENVELOPE__INIT;
    Teasel__Heartbeat heartbeat = TEASEL__HEARTBEAT__INIT;
    Teasel__Resources capacity = TEASEL__RESOURCES__INIT;
    size_t size = count_tasks(runner);
    Teasel__RunningTask *items;
    Teasel__RunningTask **pointers;

    /* Without a recent list from the worker, the coordinator would take
       unlisted tasks for lost. */
    if (!is_worker_status_recent(runner)) {
        return;
    }
    items = g_new(Teasel__RunningTask, size + 1);
    pointers = g_new(Teasel__RunningTask *, size + 1);
    fill_capacity(runner, &capacity);
    heartbeat.agent_id = (char *)runner->opts.agent_id;
    heartbeat.incarnation = runner->opts.incarnation;
    heartbeat.sequence = ++runner->sequence;
    heartbeat.capacity = &capacity;
    heartbeat.tasks = pointers;
    heartbeat.n_tasks = fill_tasks(runner, items, pointers, size);
    heartbeat.leaving = runner->leaving;
    heartbeat.interactive_load =
        runner->opts.handler->get_load_percent(runner->opts.data);
    runner->opts.handler->fill_heartbeat(&heartbeat, runner->opts.data);
    envelope.body_case = TEASEL__ENVELOPE__BODY_HEARTBEAT;
    envelope.heartbeat = &heartbeat;
    lease_note_heartbeat(&runner->lease, runner->sequence);
    runner->opts.handler->send(&envelope, runner->opts.data);
    g_free(items);
    g_free(pointers);
}
