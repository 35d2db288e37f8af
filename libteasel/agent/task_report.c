#include "agent/task_runner_internal.h"

enum {
    /* Capacity taken by overuse is reported in this many steps, because each
       change costs the cell a record. */
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
is_worker_answering(const task_runner_t *runner)
{
    struct timespec now = clock_get_monotonic(runner->opts.clock);

    return runner->worker_known &&
           timespec_diff_ms(now, runner->worker_heard) <
               (int64_t)runner->opts.worker_silence_ms;
}

/* What is left beside the interactive side and overused sizes, so that the
   coordinator sends no work that would be refused. */
static void
fill_capacity(const task_runner_t *runner, Teasel__Resources *out)
{
    ledger_amount_t left = runner->opts.ledger->capacity;

    for (int kind = 0; kind < LEDGER_KIND_COUNT; kind++) {
        uint64_t step = left.units[kind] / CAPACITY_STEPS + 1;
        uint64_t excess = 0;

        LIST_FOREACH (task, &runner->tasks, task_t, link) {
            excess += task->excess.units[kind];
        }
        excess = (excess + step - 1) / step * step;
        left.units[kind] -=
            MIN(left.units[kind], runner->reserved.units[kind] + excess);
    }
    out->cpu_milli = (uint32_t)left.units[LEDGER_CPU_MILLI];
    out->memory_mb = left.units[LEDGER_MEMORY_MB];
    out->accelerators = (uint32_t)left.units[LEDGER_ACCELERATORS];
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

    /* A list that is not known would read as tasks that are gone. */
    if (!is_worker_answering(runner)) {
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
