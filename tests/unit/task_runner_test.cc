#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

extern "C" {
#include "agent/task_runner.h"
#include "platform/worker.h"
}

#include "fake_clock.h"

namespace {

struct FakeTask {
    worker_task_state_t state;
    uint64_t cpu;
    uint32_t throttle = 100;
    uint64_t used_memory = 0;
};

// Worker in memory. Calls are answered by pump(), in order.
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
    of(worker_t *worker)
    {
        return reinterpret_cast<FakeWorker *>(worker);
    }

    static void
    watch(worker_t *worker, uint64_t, uint64_t, worker_status_cb cb,
          void *data)
    {
        of(worker)->watch_cb = cb;
        of(worker)->watch_data = data;
    }

    static void
    renew(worker_t *worker, struct timespec until, worker_cb cb, void *data)
    {
        of(worker)->lease_end_ms = timespec_to_ms(until);
        of(worker)->pending.push_back(
            [=] { cb(WORKER_OK, nullptr, 0, "", data); });
    }

    static void
    start(worker_t *worker, const worker_start_t *task, worker_cb cb,
          void *data)
    {
        auto *self = of(worker);
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
        auto *self = of(worker);
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
    pump()
    {
        while (!pending.empty()) {
            auto call = pending.front();
            pending.pop_front();
            call();
        }
    }
};

struct Runner {
    loop_t *loop = loop_new();
    fake_clock_t clock;
    metrics_t metrics;
    ledger_t ledger;
    FakeWorker worker;
    task_runner_t *runner;
    uint64_t sequence = 0;
    std::vector<std::string> listed; // in the latest heartbeat
    std::vector<std::string> reports;
    bool idle = false;
    uint32_t load = 0;
    uint64_t capacity_mb = 0;

    static bool
    send(const Teasel__Envelope *message, void *data)
    {
        auto *self = static_cast<Runner *>(data);

        if (message->body_case == TEASEL__ENVELOPE__BODY_HEARTBEAT) {
            self->sequence = message->heartbeat->sequence;
            self->capacity_mb = message->heartbeat->capacity->memory_mb;
            self->listed.clear();
            for (size_t i = 0; i < message->heartbeat->n_tasks; i++) {
                self->listed.push_back(message->heartbeat->tasks[i]->job_id);
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
        return static_cast<Runner *>(data)->load;
    }

    static void
    on_contact(uint64_t, void *)
    {
    }

    static void
    on_idle(void *data)
    {
        static_cast<Runner *>(data)->idle = true;
    }

    Runner()
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

    ~Runner()
    {
        task_runner_free(runner);
        loop_free(loop);
    }

    // Lets the worker answer and waits for the next watch and heartbeat.
    void
    settle()
    {
        for (int i = 0; i < 3; i++) {
            uint64_t before = sequence;

            while (worker.watch_cb == nullptr) {
                loop_run_once(loop, 1000);
            }
            worker.pump();
            worker.answer_watch();
            worker.pump();
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
        worker.pump();
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
        worker.pump();
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
        worker.pump();
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
        worker.pump();
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

const std::string done = " 0 ", evicted = " 2 ", not_started = " 4 ";

// Guards against a start without a lease, with an expired one, or by a
// replaced coordinator.
TEST(TaskRunner, StartsOnlyUnderALease)
{
    Runner it;

    it.settle();
    it.start(5, "a", 1000);
    EXPECT_EQ(it.reports.back(), "a" + not_started + "old");
    it.renew(5, 15000);
    it.start(4, "b", 1000);
    it.start(5, "c", 1000);
    fake_clock_advance_ms(&it.clock, 15000);
    it.start(5, "d", 1000);
    EXPECT_EQ(it.reports.back(), "d" + not_started + "old");
    EXPECT_EQ(it.count("start a") + it.count("start b") + it.count("start d"),
              0U);
    EXPECT_EQ(it.count("start c"), 1U);
}

// Guards against a worker lease that outlives the agent's, also when the
// worker reads the renewal late.
TEST(TaskRunner, PassesOnTheEndOfItsLease)
{
    Runner it;
    uint64_t granted_end;

    it.settle();
    granted_end = timespec_to_ms(it.clock.now) + 15000;
    it.renew(5, 15000);
    EXPECT_GT(it.worker.lease_end_ms, granted_end - 2000);
    EXPECT_LT(it.worker.lease_end_ms, granted_end);
}

// Guards against effects that are published before, or more than once after,
// the finish is on the log, and against a lost report.
TEST(TaskRunner, RepeatsReportUntilRelease)
{
    Runner it;

    it.settle();
    it.renew(5, 15000);
    it.start(5, "a", 1000);
    it.worker.tasks["a"].state = WORKER_TASK_DONE;
    it.settle();
    EXPECT_GE(it.reports.size(), 2U);
    EXPECT_EQ(it.reports.back(), "a" + done + "old");
    EXPECT_EQ(it.count("release a"), 0U);
    it.release(4, "a");
    EXPECT_EQ(it.count("release a"), 0U);
    it.release(5, "a");
    it.release(5, "a");
    EXPECT_EQ(it.count("release a"), 1U);
    EXPECT_EQ(it.count("forget a"), 1U);
    it.settle();
    size_t reports = it.reports.size();
    it.settle();
    EXPECT_EQ(it.reports.size(), reports);
    EXPECT_TRUE(task_runner_is_idle(it.runner));
}

// Guards against a task that goes on after its lease, and against one that is
// resumed before the coordinator could discard it.
TEST(TaskRunner, SuspendsAtExpiryAndResumesAfterContact)
{
    Runner it;

    it.settle();
    it.renew(5, 15000);
    it.settle();
    it.renew(5, 15000);
    it.start(5, "kept", 1000);
    it.start(5, "gone", 1000);
    fake_clock_advance_ms(&it.clock, 15000);
    it.settle();
    EXPECT_EQ(it.count("suspend kept"), 1U);
    EXPECT_EQ(it.worker.tasks["gone"].state, WORKER_TASK_SUSPENDED);
    it.renew(5, 15000);
    EXPECT_EQ(it.count("resume kept"), 0U);
    it.stop(5, "gone", TEASEL__STOP_REASON__STOP_REASON_DISCARD);
    it.settle();
    it.renew(5, 15000);
    it.settle();
    EXPECT_EQ(it.count("resume kept"), 1U);
    EXPECT_EQ(it.count("resume gone"), 0U);
    EXPECT_EQ(it.worker.tasks.count("gone"), 0U);
    EXPECT_EQ(it.worker.tasks["kept"].state, WORKER_TASK_RUNNING);
}

// Guards against an empty task list in the first heartbeat of a restarted
// agent, which would let the coordinator start its tasks a second time, and
// against the loss of a task with its worker.
TEST(TaskRunner, RecoversTasksAndReportsLostOnes)
{
    Runner it;

    it.worker.tasks["a"] = {WORKER_TASK_RUNNING, 3000};
    it.worker.tasks["b"] = {WORKER_TASK_DONE, 0};
    for (int i = 0; i < 20; i++) {
        loop_run_once(it.loop, 1);
    }
    EXPECT_EQ(it.sequence, 0U);
    it.settle();
    EXPECT_EQ(it.listed, std::vector<std::string>{"a"});
    EXPECT_EQ(it.reports.back(), "b" + done);
    EXPECT_EQ(it.count("suspend a"), 0U);
    it.renew(5, 15000);
    it.start(5, "a", 3000);
    EXPECT_EQ(it.count("start a"), 0U);
    it.start(5, "c", 3001);
    EXPECT_EQ(it.count("start c"), 0U);
    it.start(5, "d", 1000);
    EXPECT_EQ(it.ledger.reserved.units[LEDGER_CPU_MILLI], 6000U);
    it.worker.incarnation = 2;
    it.worker.tasks.clear();
    it.settle();
    EXPECT_TRUE(it.reported("a" + evicted));
    EXPECT_TRUE(it.reported("d" + evicted + "old"));
    EXPECT_EQ(it.ledger.reserved.units[LEDGER_CPU_MILLI], 2000U);
}

// Guards against a restarted agent that resumes tasks whose lease ran out
// under its predecessor, before the coordinator could discard them.
TEST(TaskRunner, ResumesRecoveredTasksAfterContact)
{
    Runner it;

    it.worker.tasks["a"] = {WORKER_TASK_SUSPENDED, 1000};
    it.settle();
    it.renew(5, 15000);
    EXPECT_EQ(it.count("resume a"), 0U);
    it.settle();
    it.renew(5, 15000);
    it.settle();
    EXPECT_EQ(it.count("resume a"), 1U);
}

// Guards against a planned stop that loses a checkpoint or ends before the
// coordinator has it.
TEST(TaskRunner, HandsOverByCheckpoint)
{
    Runner it;

    it.settle();
    it.renew(5, 15000);
    it.start(5, "a", 1000);
    task_runner_set_leaving(it.runner, true);
    it.start(5, "b", 1000);
    it.settle();
    EXPECT_EQ(it.count("start b"), 0U);
    EXPECT_TRUE(it.reported("a" + evicted + "{cp}"));
    EXPECT_FALSE(it.idle);
    it.release(5, "a");
    it.release(5, "b");
    it.settle();
    EXPECT_TRUE(it.idle);
}

// Guards against batch work that does not give way to interactive requests, or
// does not get its speed back.
TEST(TaskRunner, GivesWayToInteractiveLoad)
{
    Runner it;

    it.settle();
    it.renew(5, 15000);
    it.settle();
    it.renew(5, 15000);
    it.start(5, "a", 1000);
    it.load = 85;
    while (it.count("suspend a") == 0) {
        it.settle();
    }
    EXPECT_EQ(it.count("throttle a"), 1U);
    EXPECT_EQ(it.worker.tasks["a"].throttle, 50U);
    it.load = 0;
    while (it.worker.tasks["a"].throttle != 100) {
        it.settle();
    }
    EXPECT_EQ(it.worker.tasks["a"].state, WORKER_TASK_RUNNING);
    it.load = 100;
    while (!it.reported("a" + evicted + "{cp}")) {
        it.settle();
    }
}

// Guards against starts beside a task that uses far more than it declared, and
// against a worker that is left without memory.
TEST(TaskRunner, CountsWhatTasksReallyUse)
{
    Runner it;

    it.settle();
    it.renew(5, 15000);
    it.start(5, "a", 1000);
    it.start(5, "b", 1000);
    it.worker.tasks["a"].used_memory = 900;
    it.settle();
    EXPECT_EQ(ledger_get_free(&it.ledger, LEDGER_MEMORY_MB), 100U);
    EXPECT_LE(it.capacity_mb, 100U);
    it.worker.tasks["b"].used_memory = 200;
    it.settle();
    EXPECT_EQ(it.count("stop a") + it.count("stop b"), 1U);
    EXPECT_LE(it.ledger.reserved.units[LEDGER_MEMORY_MB], 1000U);
}

// Guards against a start whose answer was lost being taken for not started.
TEST(TaskRunner, RepeatsStartWithUnknownOutcome)
{
    Runner it;

    it.settle();
    it.renew(5, 15000);
    it.worker.start_outcome = WORKER_UNKNOWN;
    it.start(5, "a", 1000);
    EXPECT_TRUE(it.reports.empty());
    it.worker.start_outcome = WORKER_OK;
    it.settle();
    EXPECT_TRUE(it.reports.empty());
    EXPECT_EQ(it.worker.tasks["a"].state, WORKER_TASK_RUNNING);
}

// Guards against more started work than the worker holds beside what is kept
// for interactive requests, in any order of starts and stops.
TEST(TaskRunner, NeverExceedsCapacity)
{
    EXPECT_TRUE(rc::check([] {
        Runner it;

        it.settle();
        it.renew(5, 15000);
        for (int i = 0; i < 25; i++) {
            std::string job = "job" + std::to_string(*rc::gen::inRange(0, 8));

            if (*rc::gen::inRange(0, 3) == 0) {
                it.stop(5, job.c_str(),
                        TEASEL__STOP_REASON__STOP_REASON_DISCARD);
            }
            else {
                it.start(5, job.c_str(),
                         *rc::gen::element(0U, 500U, 1500U, 4000U, 6000U,
                                           6001U, UINT32_MAX));
            }
        }
        RC_ASSERT(it.worker.max_cpu <= 6000U);
    }));
}

} // namespace
