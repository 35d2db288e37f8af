#ifndef TEASEL_TESTS_TASK_RUNNER_FIXTURE_H
#define TEASEL_TESTS_TASK_RUNNER_FIXTURE_H

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

extern "C" {
#include "agent/task_runner.h"
#include "worker/worker.h"
}

#include "fake_clock.h"

struct FakeTask {
    worker_task_state_t state;
    uint64_t cpu;
    uint32_t throttle = 100;
    uint64_t used_memory = 0;
};

// An in-memory worker. deliver_answers() answers the pending calls in order.
struct FakeWorker {
    worker_t super;
    std::map<std::string, FakeTask> tasks;
    std::deque<std::function<void()>> pending;
    std::vector<std::string> calls;
    worker_status_cb watch_cb = nullptr;
    void *watch_data = nullptr;
    uint64_t incarnation = 1;
    uint64_t lease_end_ms = 0;
    worker_outcome_t start_outcome = WORKER_OK;
    uint64_t max_cpu = 0;

    static FakeWorker *
    from(worker_t *worker)
    {
        return reinterpret_cast<FakeWorker *>(worker);
    }

    static void
    watch(worker_t *worker, uint64_t, uint64_t, worker_status_cb cb,
          void *data)
    {
        from(worker)->watch_cb = cb;
        from(worker)->watch_data = data;
    }

    static void
    renew(worker_t *worker, struct timespec until, worker_cb cb, void *data)
    {
        from(worker)->lease_end_ms = timespec_to_ms(until);
        from(worker)->pending.push_back(
            [=] { cb(WORKER_OK, nullptr, 0, "", data); });
    }

    static void
    start(worker_t *worker, const worker_start_t *task, worker_cb cb,
          void *data)
    {
        auto *self = from(worker);
        uint64_t sum = 0;

        self->calls.push_back("start " + std::string(task->job_id));
        if (self->start_outcome != WORKER_REFUSED) {
            self->tasks[task->job_id] = {WORKER_TASK_RUNNING, task->cpu_milli};
        }
        for (auto &[id, one] : self->tasks) {
            if (one.state <= WORKER_TASK_SUSPENDED) {
                sum += one.cpu;
            }
        }
        self->max_cpu = std::max(self->max_cpu, sum);
        auto outcome = self->start_outcome;
        self->pending.push_back([=] { cb(outcome, nullptr, 0, "", data); });
    }

    static void
    act(worker_t *worker, const char *job_id, uint32_t, worker_action_t action,
        uint32_t value, worker_cb cb, void *data)
    {
        static const char *const names[] = {"suspend", "resume",  "throttle",
                                            "stop",    "release", "forget"};
        auto *self = from(worker);
        auto found = self->tasks.find(job_id);

        self->calls.push_back(std::string(names[action]) + " " + job_id);
        if (found == self->tasks.end()) {
            self->pending.push_back(
                [=] { cb(WORKER_REFUSED, nullptr, 0, "no such task", data); });
            return;
        }
        if (action == WORKER_SUSPEND) {
            found->second.state = WORKER_TASK_SUSPENDED;
        }
        else if (action == WORKER_RESUME) {
            found->second.state = WORKER_TASK_RUNNING;
        }
        else if (action == WORKER_THROTTLE) {
            found->second.throttle = value;
        }
        else if (action == WORKER_STOP) {
            found->second.state = WORKER_TASK_STOPPED;
        }
        else if (action == WORKER_FORGET) {
            self->tasks.erase(found);
        }
        self->pending.push_back([=] { cb(WORKER_OK, "{cp}", 4, "", data); });
    }

    void
    answer_watch()
    {
        std::vector<worker_task_t> list;
        worker_status_t status = {};
        auto cb = watch_cb;

        if (cb == nullptr) {
            return;
        }
        for (auto &[id, task] : tasks) {
            worker_task_t item = {};
            item.job_id = id.c_str();
            item.attempt = 1;
            item.state = task.state;
            item.throttle_percent = task.throttle;
            item.memory_mb = task.used_memory;
            item.cpu_milli = 1; /* measured */
            item.declared_cpu_milli = static_cast<uint32_t>(task.cpu);
            item.detail = "";
            list.push_back(item);
        }
        status.ok = true;
        status.detail = "";
        status.incarnation = incarnation;
        status.cpu_milli = 8000;
        status.memory_mb = 1000;
        status.tasks = list.data();
        status.task_count = list.size();
        watch_cb = nullptr;
        cb(&status, watch_data);
    }

    void
    deliver_answers()
    {
        while (!pending.empty()) {
            auto call = pending.front();
            pending.pop_front();
            call();
        }
    }
};

struct RunnerFixture {
    loop_t *loop = loop_new();
    fake_clock_t clock;
    metrics_t metrics;
    ledger_t ledger;
    FakeWorker worker;
    task_runner_t *runner;
    uint64_t sequence = 0;
    std::vector<std::string> heartbeat_jobs; // of the latest heartbeat
    std::vector<std::string> reports;
    bool idle = false;
    uint32_t load = 0;
    uint64_t capacity_mb = 0;

    static bool
    send(const Teasel__Envelope *message, void *data)
    {
        auto *self = static_cast<RunnerFixture *>(data);

        if (message->body_case == TEASEL__ENVELOPE__BODY_HEARTBEAT) {
            self->sequence = message->heartbeat->sequence;
            self->capacity_mb = message->heartbeat->capacity->memory_mb;
            self->heartbeat_jobs.clear();
            for (size_t i = 0; i < message->heartbeat->n_tasks; i++) {
                self->heartbeat_jobs.push_back(
                    message->heartbeat->tasks[i]->job_id);
            }
        }
        else if (message->body_case == TEASEL__ENVELOPE__BODY_TASK_REPORT) {
            auto *report = message->task_report;
            self->reports.push_back(
                std::string(report->job_id) + " " +
                std::to_string(report->outcome) + " " +
                std::string(reinterpret_cast<char *>(report->checkpoint.data),
                            report->checkpoint.len));
        }
        return true;
    }

    static void
    fill(Teasel__Heartbeat *, void *)
    {
    }

    static uint32_t
    get_load(void *data)
    {
        return static_cast<RunnerFixture *>(data)->load;
    }

    static void
    on_contact(uint64_t, void *)
    {
    }

    static void
    on_idle(void *data)
    {
        static_cast<RunnerFixture *>(data)->idle = true;
    }

    RunnerFixture()
    {
        static const worker_vtbl_t vtbl = {
            FakeWorker::watch, FakeWorker::renew, FakeWorker::start,
            FakeWorker::act, nullptr};
        static const task_runner_handler_t handler = {send, fill, get_load,
                                                      on_contact, on_idle};
        ledger_amount_t none = {};
        task_runner_opts_t opts = {};

        fake_clock_init(&clock);
        metrics_init(&metrics);
        ledger_init(&ledger, &none);
        worker.super.vtbl = &vtbl;
        opts.loop = loop;
        opts.clock = &clock.clock;
        opts.metrics = &metrics;
        opts.worker = &worker.super;
        opts.ledger = &ledger;
        opts.reserved.units[LEDGER_CPU_MILLI] = 2000;
        opts.agent_id = "agent-1";
        opts.incarnation = 1;
        opts.heartbeat_ms = 1;
        opts.worker_silence_ms = 1000000;
        opts.pressure = {&clock.clock, 70, 80, 90, 95, 10, 0, 50, 50};
        opts.handler = &handler;
        opts.data = this;
        runner = task_runner_new(&opts);
    }

    ~RunnerFixture()
    {
        task_runner_free(runner);
        loop_free(loop);
    }

    // Answers all worker calls and waits for the next watch and heartbeat,
    // three times, so that follow-up calls are answered too.
    void
    settle()
    {
        for (int i = 0; i < 3; i++) {
            uint64_t before = sequence;

            while (worker.watch_cb == nullptr) {
                loop_run_once(loop, 1000);
            }
            worker.deliver_answers();
            worker.answer_watch();
            worker.deliver_answers();
            while (sequence == before) {
                loop_run_once(loop, 1000);
            }
        }
    }

    void
    renew(uint64_t epoch, uint32_t lease_ms)
    {
        Teasel__Envelope envelope = TEASEL__ENVELOPE__INIT;
        Teasel__Renew message = TEASEL__RENEW__INIT;

        message.epoch = epoch;
        message.sequence = sequence;
        message.lease_ms = lease_ms;
        envelope.body_case = TEASEL__ENVELOPE__BODY_RENEW;
        envelope.renew = &message;
        task_runner_on_message(runner, &envelope);
        worker.deliver_answers();
    }

    void
    start(uint64_t epoch, const char *job, uint32_t cpu)
    {
        Teasel__Envelope envelope = TEASEL__ENVELOPE__INIT;
        Teasel__StartTask message = TEASEL__START_TASK__INIT;
        Teasel__Resources size = TEASEL__RESOURCES__INIT;
        static uint8_t spec[] = "{}";
        static uint8_t checkpoint[] = "old";

        size.cpu_milli = cpu;
        message.epoch = epoch;
        message.job_id = const_cast<char *>(job);
        message.attempt = 1;
        message.size = &size;
        message.spec = {2, spec};
        message.checkpoint = {3, checkpoint};
        envelope.body_case = TEASEL__ENVELOPE__BODY_START_TASK;
        envelope.start_task = &message;
        task_runner_on_message(runner, &envelope);
        worker.deliver_answers();
    }

    void
    stop(uint64_t epoch, const char *job, Teasel__StopReason reason)
    {
        Teasel__Envelope envelope = TEASEL__ENVELOPE__INIT;
        Teasel__StopTask message = TEASEL__STOP_TASK__INIT;

        message.epoch = epoch;
        message.job_id = const_cast<char *>(job);
        message.attempt = 1;
        message.reason = reason;
        envelope.body_case = TEASEL__ENVELOPE__BODY_STOP_TASK;
        envelope.stop_task = &message;
        task_runner_on_message(runner, &envelope);
        worker.deliver_answers();
    }

    void
    release(uint64_t epoch, const char *job)
    {
        Teasel__Envelope envelope = TEASEL__ENVELOPE__INIT;
        Teasel__ReleaseTask message = TEASEL__RELEASE_TASK__INIT;

        message.epoch = epoch;
        message.job_id = const_cast<char *>(job);
        message.attempt = 1;
        envelope.body_case = TEASEL__ENVELOPE__BODY_RELEASE_TASK;
        envelope.release_task = &message;
        task_runner_on_message(runner, &envelope);
        worker.deliver_answers();
    }

    bool
    reported(const std::string &report) const
    {
        return std::count(reports.begin(), reports.end(), report) > 0;
    }

    size_t
    count(const std::string &call) const
    {
        return std::count(worker.calls.begin(), worker.calls.end(), call);
    }
};

#endif
