#ifndef TEASEL_TESTS_DEPLOYMENT_H
#define TEASEL_TESTS_DEPLOYMENT_H

#include <memory>
#include <string>
#include <vector>

#include "fake_executor.h"
#include "fake_store.h"
#include "loop_wait.h"
#include "sched_fixture.h"
#include "test_address.h"

extern "C" {
#include "cluster/control.h"
#include "node/node.h"
#include "scheduler/scheduler.h"
}

/* Schedulers and node agents in one process, with real connections between
   them and an in-memory store and executors. */
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
        uint32_t cpu_milli = 8000;
        int64_t max_lease_ms = 2000;
        int64_t clock_ahead_ms = 0;
        uint64_t sequence = 0;
    };
    loop_t *loop = loop_new();
    FakeStore store;
    std::vector<std::unique_ptr<Scheduler>> schedulers;
    std::vector<std::unique_ptr<Node>> nodes;

    Deployment(int scheduler_count, int node_count, int port)
    {
        for (int i = 0; i < scheduler_count; i++) {
            auto scheduler = std::make_unique<Scheduler>();

            scheduler->name = "s" + std::to_string(i);
            test_address(scheduler->address, port + i);
            schedulers.push_back(std::move(scheduler));
            start_scheduler(i);
        }
        for (int i = 0; i < node_count; i++) {
            auto node = std::make_unique<Node>();

            node->name = "n" + std::to_string(i);
            test_address(node->address, port + 50 + i);
            node->executor.loop = loop;
            FakeExecutor::at()[node->address] = &node->executor;
            nodes.push_back(std::move(node));
            start_node(i);
        }
    }
    Deployment(const Deployment &) = delete;
    ~Deployment()
    {
        for (auto &node : nodes) {
            node_free(node->node);
            FakeExecutor::at().erase(node->address);
        }
        for (auto &scheduler : schedulers) {
            scheduler_free(scheduler->scheduler);
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
        Scheduler &scheduler = *schedulers[i];
        scheduler_opts_t opts = {};
        g_autoptr(GError) error = nullptr;
        queue_t queue = {};
        queue_table_t *table = queue_table_new(1);

        scheduler.view = std::make_unique<FakeStoreView>(&store, loop);
        scheduler.settings.name = scheduler.name.data();
        scheduler.settings.data_centre = const_cast<char *>("dc");
        scheduler.settings.peer_address = scheduler.address;
        scheduler.settings.lease_ms = 2000;
        scheduler.settings.retain_ms = 600000;
        scheduler.settings.stop_run_ms = 100;
        scheduler.settings.record_bytes = (int64_t)store.record_bytes;
        scheduler.settings.silence_ms = 800;
        scheduler.settings.status_ms = 100;
        scheduler.settings.leave_delay_ms = 100;
        scheduler.settings.stop_timeout_ms = 2000;
        opts.loop = loop;
        opts.clock = clock_system();
        opts.store = &scheduler.view->base;
        opts.settings = &scheduler.settings;
        opts.on_left = on_left;
        opts.data = &scheduler;
        scheduler.scheduler = scheduler_new(&opts, &error);
        g_assert_no_error(error);
        queue.name = const_cast<char *>("queue");
        queue.host = const_cast<char *>("host");
        queue.prefix = const_cast<char *>("/q/");
        queue.service = const_cast<char *>("service");
        queue_table_add(table, &queue);
        scheduler_set_queues(scheduler.scheduler, table);
        scheduler_finish_evacuation_listing(scheduler.scheduler);
    }
    void
    kill_scheduler(int i)
    {
        scheduler_free(schedulers[i]->scheduler);
        schedulers[i]->scheduler = nullptr;
        /* The view must outlive its last pending call. */
        run_ms(50);
        schedulers[i]->view.reset();
    }
    void
    start_node(int i, bool announced = true)
    {
        Node &node = *nodes[i];
        node_opts_t opts = {};

        node.view = std::make_unique<FakeStoreView>(&store, loop);
        node.settings.name = node.name.data();
        node.settings.data_centre = const_cast<char *>("dc");
        node.settings.report_ms = 100;
        node.settings.silence_ms = 800;
        node.settings.poll_wait_ms = 500;
        node.settings.max_lease_ms = node.max_lease_ms;
        opts.loop = loop;
        opts.clock = clock_system();
        opts.store = &node.view->base;
        opts.settings = &node.settings;
        opts.connect = FakeExecutor::connect;
        node.node = node_new(&opts, nullptr);
        if (announced) {
            announce_present(i);
        }
    }
    /* Announces the present incarnation of an executor. */
    bool
    announce_present(int i, bool draining = false)
    {
        const FakeExecutor &executor = nodes[i]->executor;

        return announce(i, draining, executor.born_ms, executor.id.c_str());
    }
    bool
    announce(int i, bool draining = false, int64_t started_ms = 100,
             const char *id = "id")
    {
        Node &node = *nodes[i];
        const char *labels[] = {"a", "r1"};
        executor_info_t info = {};

        info.id = id;
        info.started_ms = started_ms;
        info.address = node.address;
        info.service = "service";
        info.data_centre = "dc";
        info.rack = "r1";
        info.labels = labels;
        info.label_count = 2;
        info.cpu_milli = node.cpu_milli;
        info.memory_mb = 8000;
        info.draining = draining;
        info.remaining_ms = draining ? 3000 : 0;
        info.clock_ms = FakeExecutor::now_ms() + node.clock_ahead_ms;
        info.sequence = ++node.sequence;
        return node_announce_executor(node.node, &info);
    }
    void
    run_ms(int64_t ms)
    {
        loop_run_ms(loop, ms);
    }
    /* Runs the loop until the condition holds; returns false after 30 s. */
    bool
    wait(const std::function<bool()> &condition)
    {
        return loop_wait(loop, 30000, condition);
    }
    /* Name in the newest leader record. */
    std::string
    leader_name()
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
    find_scheduler(const std::string &name)
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
        return find_scheduler(leader_name());
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
        for (auto &scheduler : schedulers) {
            if (scheduler->scheduler != nullptr &&
                !scheduler_is_ready(scheduler->scheduler)) {
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
    /* Polls until the job is in the state; returns false after 300 polls. */
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
    /* Kills an agent and starts it again, and announces its executor. */
    void
    restart_node(int i, bool draining = false)
    {
        node_free(nodes[i]->node);
        nodes[i]->node = nullptr;
        run_ms(30);
        start_node(i);
        if (draining) {
            announce(i, true);
        }
    }
    /* Tasks that ran twice at the same time, or again after they were done. */
    std::vector<std::string>
    get_doubled()
    {
        std::vector<std::string> out;

        for (auto &node : nodes) {
            out.insert(out.end(), node->executor.doubled.begin(),
                       node->executor.doubled.end());
        }
        return out;
    }
    int
    count_starts(const std::string &task)
    {
        int starts = 0;

        for (auto &node : nodes) {
            auto found = node->executor.starts.find(task);

            starts += found != node->executor.starts.end() ? found->second : 0;
        }
        return starts;
    }
};

#endif
