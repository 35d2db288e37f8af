#ifndef TEASEL_TESTS_DEPLOYMENT_H
#define TEASEL_TESTS_DEPLOYMENT_H

#include <memory>
#include <string>
#include <vector>

#include "fake_executor.h"
#include "fake_store.h"
#include "sched_fixture.h"
#include "test_address.h"

extern "C" {
#include "cluster/control.h"
#include "node/node.h"
#include "scheduler/scheduler.h"
}

/* Schedulers and node agents in one process: real connections between them,
   and a store and executors in memory. */
struct Deployment {
    struct Scheduler {
        std::string name;
        char address[32];
        scheduler_settings_t settings = {};
        std::unique_ptr<FakeStoreView> view;
        scheduler_t *scheduler = nullptr;
        bool left = false;
    };
    struct Node {
        std::string name;
        node_settings_t settings = {};
        std::unique_ptr<FakeStoreView> view;
        node_t *node = nullptr;
        FakeExecutor executor;
        char address[32];
        uint64_t sequence = 0;
    };
    loop_t *loop = loop_new();
    FakeStore store;
    std::vector<std::unique_ptr<Scheduler>> schedulers;
    std::vector<std::unique_ptr<Node>> nodes;

    Deployment(int scheduler_count, int node_count, int port)
    {
        for (int i = 0; i < scheduler_count; i++) {
            auto one = std::make_unique<Scheduler>();

            one->name = "s" + std::to_string(i);
            test_address(one->address, port + i);
            schedulers.push_back(std::move(one));
            start_scheduler(i);
        }
        for (int i = 0; i < node_count; i++) {
            auto one = std::make_unique<Node>();

            one->name = "n" + std::to_string(i);
            test_address(one->address, port + 50 + i);
            one->executor.loop = loop;
            FakeExecutor::at()[one->address] = &one->executor;
            nodes.push_back(std::move(one));
            start_node(i);
        }
    }
    Deployment(const Deployment &) = delete;
    ~Deployment()
    {
        for (auto &one : nodes) {
            node_free(one->node);
        }
        for (auto &one : schedulers) {
            scheduler_free(one->scheduler);
        }
        nodes.clear();
        schedulers.clear();
        loop_free(loop);
    }

    static void
    on_left(void *data)
    {
        static_cast<Scheduler *>(data)->left = true;
    }
    void
    start_scheduler(int i)
    {
        Scheduler &one = *schedulers[i];
        scheduler_opts_t opts = {};
        g_autoptr(GError) error = nullptr;
        queue_t queue = {};
        queue_table_t *table = queue_table_new(1);

        one.view = std::make_unique<FakeStoreView>(&store, loop);
        one.settings.name = one.name.data();
        one.settings.data_centre = const_cast<char *>("dc");
        one.settings.peer_address = one.address;
        one.settings.lease_ms = 2000;
        one.settings.retain_ms = 600000;
        one.settings.stop_run_ms = 100;
        one.settings.silence_ms = 800;
        one.settings.status_ms = 100;
        one.settings.leave_delay_ms = 100;
        one.settings.stop_timeout_ms = 2000;
        opts.loop = loop;
        opts.clock = clock_system();
        opts.store = &one.view->base;
        opts.settings = &one.settings;
        opts.on_left = on_left;
        opts.data = &one;
        one.scheduler = scheduler_new(&opts, &error);
        g_assert_no_error(error);
        queue.name = const_cast<char *>("queue");
        queue.host = const_cast<char *>("host");
        queue.prefix = const_cast<char *>("/q/");
        queue.service = const_cast<char *>("service");
        queue_table_add(table, &queue);
        scheduler_set_queues(one.scheduler, table);
    }
    void
    kill_scheduler(int i)
    {
        scheduler_free(schedulers[i]->scheduler);
        schedulers[i]->scheduler = nullptr;
        /* The view stays until its last call has returned. */
        run_ms(50);
        schedulers[i]->view.reset();
    }
    void
    start_node(int i)
    {
        Node &one = *nodes[i];
        node_opts_t opts = {};

        one.view = std::make_unique<FakeStoreView>(&store, loop);
        one.settings.name = one.name.data();
        one.settings.data_centre = const_cast<char *>("dc");
        one.settings.report_ms = 100;
        one.settings.silence_ms = 800;
        one.settings.poll_wait_ms = 500;
        opts.loop = loop;
        opts.clock = clock_system();
        opts.store = &one.view->base;
        opts.settings = &one.settings;
        opts.connect = FakeExecutor::connect;
        one.node = node_new(&opts, nullptr);
        announce(i);
    }
    bool
    announce(int i, bool draining = false, int64_t started_ms = 100)
    {
        Node &one = *nodes[i];
        const char *labels[] = {"a", "r1"};
        executor_info_t info = {};

        info.id = "id";
        info.started_ms = started_ms;
        info.address = one.address;
        info.service = "service";
        info.data_centre = "dc";
        info.rack = "r1";
        info.labels = labels;
        info.label_count = 2;
        info.cpu_milli = 8000;
        info.memory_mb = 8000;
        info.draining = draining;
        info.remaining_ms = draining ? 3000 : 0;
        info.clock_ms = FakeExecutor::now_ms();
        info.sequence = ++one.sequence;
        return node_announce_executor(one.node, &info);
    }
    void
    run_ms(int64_t ms)
    {
        int64_t end_ms = FakeExecutor::now_ms() + ms;

        while (FakeExecutor::now_ms() < end_ms) {
            loop_run_once(loop, 10);
        }
    }
    /* Runs until the condition holds; false after a long time. */
    bool
    wait(const std::function<bool()> &condition)
    {
        int64_t end_ms = FakeExecutor::now_ms() + 30000;

        while (!condition()) {
            if (FakeExecutor::now_ms() > end_ms) {
                return false;
            }
            loop_run_once(loop, 10);
        }
        return true;
    }
    std::string
    leader()
    {
        std::string value = store.newest(CONTROL_TOPIC, CONTROL_KEY_LEADER);
        Teasel__LeaderRecord *record = teasel__leader_record__unpack(
            nullptr, value.size(),
            reinterpret_cast<const uint8_t *>(value.data()));
        std::string name = record->name;

        teasel__leader_record__free_unpacked(record, nullptr);
        return name;
    }
    int
    find(const std::string &name)
    {
        for (size_t i = 0; i < schedulers.size(); i++) {
            if (schedulers[i]->name == name) {
                return (int)i;
            }
        }
        return -1;
    }
    int
    leader_index()
    {
        return find(leader());
    }
    int
    count_elections()
    {
        int count = 0;

        for (auto &record : store.topics[CONTROL_TOPIC].records) {
            count += record.key == CONTROL_KEY_LEADER;
        }
        return count;
    }
    bool
    all_ready()
    {
        for (auto &one : schedulers) {
            if (one->scheduler != nullptr &&
                !scheduler_is_ready(one->scheduler)) {
                return false;
            }
        }
        return true;
    }

    struct Answer {
        bool arrived = false;
        uint32_t outcome = 0;
        uint32_t state = 0;
        uint32_t count = 0;
        uint32_t retry_after_ms = 0;
    };
    static void
    on_answer(const Teasel__JobAnswer *answer, void *data)
    {
        auto *out = static_cast<Answer *>(data);

        out->arrived = true;
        out->outcome = answer->outcome;
        out->state = answer->state;
        out->count = answer->count;
        out->retry_after_ms = answer->retry_after_ms;
    }
    void
    send(int scheduler, job_verb_t verb, const std::string &id,
         Teasel__JobSpec *spec, Answer *answer)
    {
        Teasel__JobCall call = TEASEL__JOB_CALL__INIT;

        call.verb = verb;
        call.id = const_cast<char *>(id.c_str());
        call.queue = const_cast<char *>("queue");
        call.spec = spec;
        scheduler_call(schedulers[scheduler]->scheduler, &call, on_answer,
                       answer);
        if (spec != nullptr) {
            teasel__job_spec__free_unpacked(spec, nullptr);
        }
    }
    Answer
    call(int scheduler, job_verb_t verb, const std::string &id,
         Teasel__JobSpec *spec = nullptr)
    {
        Answer answer;

        send(scheduler, verb, id, spec, &answer);
        g_assert(wait([&] { return answer.arrived; }));
        return answer;
    }
    /* Asks until the job is in the state. */
    bool
    wait_state(int scheduler, const std::string &id, sched_job_state_t state)
    {
        for (int i = 0; i < 300; i++) {
            Answer answer = call(scheduler, JOB_VERB_GET, id);

            if (answer.outcome == JOB_OUTCOME_DONE && answer.state == state) {
                return true;
            }
            run_ms(30);
        }
        return false;
    }
    int
    count_starts(const std::string &task)
    {
        int starts = 0;

        for (auto &one : nodes) {
            auto found = one->executor.starts.find(task);

            starts += found != one->executor.starts.end() ? found->second : 0;
        }
        return starts;
    }
};

#endif
