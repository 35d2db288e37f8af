#ifndef TEASEL_TESTS_SCHED_FIXTURE_H
#define TEASEL_TESTS_SCHED_FIXTURE_H

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

extern "C" {
#include "fake_clock.h"
#include "sched/sched.h"
}

/* Options of a step; the rest of the specification is zero. */
struct Step {
    uint32_t count = 1;
    uint32_t cpu = 1000;
    uint32_t memory = 100;
    std::vector<uint32_t> after = {};
    bool gang = false;
    bool long_running = false;
    bool best_effort = false;
    uint32_t target_ms = 0;
    uint32_t max_per_executor = 0;
    std::string label = "";
    bool checkpointing = false;
    std::string data_rack = "";
    uint32_t estimated_ms = 0;
};

inline Teasel__JobSpec *
make_spec(const std::string &id, const std::vector<Step> &steps,
          uint32_t max_attempts = 2, uint32_t priority = 0)
{
    auto *spec =
        static_cast<Teasel__JobSpec *>(g_malloc(sizeof(Teasel__JobSpec)));

    teasel__job_spec__init(spec);
    spec->id = g_strdup(id.c_str());
    spec->queue = g_strdup("queue");
    spec->service = g_strdup("service");
    spec->payload = g_strdup(("payload of " + id).c_str());
    spec->max_attempts = max_attempts;
    spec->priority = priority;
    spec->steps = g_new(Teasel__StepSpec *, steps.size() + 1);
    for (const Step &step : steps) {
        auto *out = g_new(Teasel__StepSpec, 1);

        teasel__step_spec__init(out);
        out->count = step.count;
        out->cpu_milli = step.cpu;
        out->memory_mb = step.memory;
        out->gang = step.gang;
        out->long_running = step.long_running;
        out->filler = step.best_effort;
        out->latency_target_ms = step.target_ms;
        out->max_per_executor = step.max_per_executor;
        out->checkpointing = step.checkpointing;
        out->required_label = g_strdup(step.label.c_str());
        out->data_rack = g_strdup(step.data_rack.c_str());
        out->estimated_ms = step.estimated_ms;
        out->image = g_strdup("image");
        out->after = g_new(uint32_t, step.after.size() + 1);
        for (uint32_t before : step.after) {
            out->after[out->n_after++] = before;
        }
        spec->steps[spec->n_steps++] = out;
    }
    return spec;
}

using TaskRun = std::pair<std::string, uint32_t>;

/* Builds the report of an agent on one executor. */
struct Report {
    Teasel__ExecutorReport message = TEASEL__EXECUTOR_REPORT__INIT;
    Teasel__Capacity capacity = TEASEL__CAPACITY__INIT;
    std::vector<Teasel__RunStatus> running;
    std::vector<Teasel__RunEnd> ended;
    std::vector<Teasel__RejectedStart> rejected;
    std::vector<void *> pointers;
    std::vector<std::string> texts;
    std::vector<char *> labels;

    Report(const std::string &key, uint32_t cpu = 4000)
    {
        texts.reserve(1000);
        message.key = text(key);
        message.service = text("service");
        message.data_centre = text("dc");
        message.rack = text("r1");
        capacity.cpu_milli = cpu;
        capacity.memory_mb = 100000;
        message.capacity = &capacity;
        message.listed = true;
    }
    Report(const Report &) = delete;

    char *
    text(const std::string &value)
    {
        texts.push_back(value);
        return texts.back().data();
    }
    Report &
    label(const std::string &value)
    {
        labels.push_back(text(value));
        return *this;
    }
    Report &
    runs(const TaskRun &run, uint32_t measurement = 0, uint32_t slowdown = 0)
    {
        Teasel__RunStatus status = TEASEL__RUN_STATUS__INIT;

        status.task = text(run.first);
        status.run = run.second;
        status.figure = measurement;
        status.slowdown = slowdown;
        running.push_back(status);
        return *this;
    }
    Report &
    ends(uint64_t number, const TaskRun &run, sched_end_t how,
         const std::string &checkpoint = "")
    {
        Teasel__RunEnd end = TEASEL__RUN_END__INIT;

        end.number = number;
        end.task = text(run.first);
        end.run = run.second;
        end.how = how;
        end.checkpoint = text(checkpoint);
        ended.push_back(end);
        return *this;
    }
    Report &
    rejects(const TaskRun &run, const std::string &reason = "")
    {
        Teasel__RejectedStart start = TEASEL__REJECTED_START__INIT;

        start.task = text(run.first);
        start.run = run.second;
        start.reason = text(reason);
        rejected.push_back(start);
        return *this;
    }
    Teasel__ExecutorReport *
    get()
    {
        size_t at = 0;

        pointers.resize(running.size() + ended.size() + rejected.size() + 1);
        message.running = reinterpret_cast<Teasel__RunStatus **>(&pointers[0]);
        message.n_running = running.size();
        for (auto &status : running) {
            pointers[at++] = &status;
        }
        message.ended = reinterpret_cast<Teasel__RunEnd **>(&pointers[at]);
        message.n_ended = ended.size();
        for (auto &end : ended) {
            pointers[at++] = &end;
        }
        message.rejected =
            reinterpret_cast<Teasel__RejectedStart **>(&pointers[at]);
        message.n_rejected = rejected.size();
        for (auto &start : rejected) {
            pointers[at++] = &start;
        }
        message.labels = labels.data();
        message.n_labels = labels.size();
        return &message;
    }
};

/* A scheduler core; the test acts as the store and as the agents. */
struct Core {
    fake_clock_t clock;
    sched_t *sched;
    std::map<std::string, std::string> stored;
    std::vector<std::pair<std::string, std::string>> pending_changes;
    bool writing = false;
    size_t record_bytes;
    int64_t max_lease_ms = 0;
    const evacuation_t *evacuation = nullptr; /* from the next leader on */
    double remote_factor;

    Core(size_t record_bytes = 262144, double remote_factor = 1.5)
        : record_bytes(record_bytes), remote_factor(remote_factor)
    {
        fake_clock_init(&clock);
        sched = create();
    }
    Core(const Core &) = delete;
    ~Core()
    {
        sched_free(sched);
    }
    sched_t *
    create()
    {
        sched_opts_t opts = {};

        opts.clock = &clock.clock;
        opts.predecessor_lease_ms = 6000;
        opts.max_lease_ms = max_lease_ms;
        opts.retain_ms = 600000;
        opts.stop_ms = 500;
        opts.record_bytes = record_bytes;
        opts.evacuation = evacuation;
        opts.remote_factor = remote_factor;
        return sched_new(&opts);
    }
    /* Replaces the leader by one that loads the stored records. */
    void
    restart()
    {
        sched_free(sched);
        sched = create();
        writing = false;
        for (auto &[key, value] : stored) {
            g_autoptr(GError) error = nullptr;

            if (key == SCHED_LEARNED_KEY) {
                g_assert(
                    sched_load_learned(sched, value.data(), value.size()));
                continue;
            }
            g_assert(sched_load(sched, key.c_str(), value.data(), value.size(),
                                &error));
        }
    }
    size_t write_bytes = 1024 * 1024; /* see sched_take_changes() */
    void
    begin_write()
    {
        GPtrArray *changes = sched_changes_new();

        if (sched_take_changes(sched, changes, write_bytes)) {
            writing = true;
            pending_changes.clear();
            for (guint i = 0; i < changes->len; i++) {
                auto *change = static_cast<sched_change_t *>(
                    g_ptr_array_index(changes, i));

                pending_changes.emplace_back(
                    change->key, change->value == nullptr
                                     ? ""
                                     : std::string(reinterpret_cast<char *>(
                                                       change->value->data),
                                                   change->value->len));
            }
        }
        g_ptr_array_unref(changes);
    }
    /* Applies the pending write to the store without committing it in the
       scheduler. */
    void
    store_pending_changes()
    {
        for (auto &[key, value] : pending_changes) {
            if (value.empty()) {
                stored.erase(key);
            }
            else {
                stored[key] = value;
            }
        }
        pending_changes.clear();
    }
    void
    end_write()
    {
        if (writing) {
            store_pending_changes();
            writing = false;
            sched_commit(sched);
        }
    }
    /* Runs the scheduler, then writes and commits the changes. */
    void
    run_and_commit()
    {
        sched_run(sched);
        begin_write();
        end_write();
    }
    void
    report(Report &report, const std::string &node = "node")
    {
        sched_apply_report(sched, node.c_str(), report.get());
    }

    struct Orders {
        std::vector<TaskRun> starts;
        std::vector<TaskRun> stops;
        std::set<TaskRun> alone; /* starts on trial */
        std::map<TaskRun, std::string> checkpoints;
        std::map<TaskRun, uint32_t> targets; /* from traits */
        std::set<TaskRun> best_effort;       /* from traits */
        uint64_t cursor = 0;
    };
    Orders
    orders(const std::string &key)
    {
        Orders out;

        LIST_FOREACH (executor, sched_get_executors(sched), sched_executor_t,
                      link) {
            Teasel__ExecutorOrders *orders;

            if (key != executor->key) {
                continue;
            }
            orders = sched_take_orders(sched, executor);
            if (orders == nullptr) {
                return out;
            }
            for (size_t i = 0; i < orders->n_starts; i++) {
                TaskRun run(orders->starts[i]->task, orders->starts[i]->run);

                out.starts.push_back(run);
                out.checkpoints[run] = orders->starts[i]->checkpoint;
                if (orders->starts[i]->alone) {
                    out.alone.insert(run);
                }
            }
            for (size_t i = 0; i < orders->n_stops; i++) {
                out.stops.emplace_back(orders->stops[i]->task,
                                       orders->stops[i]->run);
            }
            for (size_t i = 0; i < orders->n_traits; i++) {
                const Teasel__RunTraits *traits = orders->traits[i];
                TaskRun run(traits->task, traits->run);

                out.targets[run] = traits->latency_target_ms;
                if (traits->filler) {
                    out.best_effort.insert(run);
                }
            }
            out.cursor = orders->end_cursor;
            sched_orders_free(orders);
        }
        return out;
    }
    sched_job_state_t
    visible_state(const std::string &id)
    {
        sched_job_t *job = sched_find(sched, id.c_str());

        g_assert(job != nullptr);
        return sched_job_get_visible_state(job);
    }
};

#endif
