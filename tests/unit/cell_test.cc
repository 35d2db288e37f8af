#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <map>
#include <set>

#include "cell_records.h"

namespace {

using records::bytes;

/* A record at its offset in the log. */
struct LogEntry {
    uint64_t offset;
    bytes data;
};

struct Cell {
    cell_t *cell = cell_new();
    Cell() = default;
    Cell(const Cell &) = delete;
    ~Cell()
    {
        cell_free(cell);
    }
};

enum ItemKind {
    ITEM_START,
    ITEM_FINISH,
    ITEM_REVOKE,
    ITEM_EXPIRE,
    ITEM_WORKER
};

/* An item of a decision with the messages and strings that it points to. The
   resources, outcome, checkpoint and quarantine state are derived from
   variant. */
struct Item {
    Teasel__DecisionItem item = TEASEL__DECISION_ITEM__INIT;
    Teasel__DecisionStart start = TEASEL__DECISION_START__INIT;
    Teasel__DecisionFinish finish = TEASEL__DECISION_FINISH__INIT;
    Teasel__DecisionRevoke revoke = TEASEL__DECISION_REVOKE__INIT;
    Teasel__DecisionExpire expire = TEASEL__DECISION_EXPIRE__INIT;
    Teasel__DecisionWorker worker = TEASEL__DECISION_WORKER__INIT;
    Teasel__Resources size = TEASEL__RESOURCES__INIT;
    std::string job, name, checkpoint;

    Item(int kind, int job_number, int worker_number, uint32_t attempt,
         int variant)
        : job("j" + std::to_string(job_number)),
          name("w" + std::to_string(worker_number)),
          checkpoint("c" + std::to_string(variant))
    {
        size.cpu_milli = 100 + 100 * (variant % 4);
        size.memory_mb = 100;
        start.job_id = finish.job_id = job.data();
        revoke.job_id = expire.job_id = job.data();
        start.attempt = finish.attempt = attempt;
        revoke.attempt = expire.attempt = attempt;
        start.worker = worker.worker = name.data();
        start.size = &size;
        finish.outcome = static_cast<Teasel__Outcome>(variant % 5);
        finish.checkpoint = {checkpoint.size(),
                             reinterpret_cast<uint8_t *>(checkpoint.data())};
        worker.capacity = &size;
        size.memory_mb = kind == ITEM_WORKER ? 10000 : 100;
        size.cpu_milli =
            kind == ITEM_WORKER ? 300 + 100 * (variant % 3) : size.cpu_milli;
        worker.quarantined = variant % 2;
        item.item_case = kinds[kind];
        item.start = kind == ITEM_START    ? &start
                     : kind == ITEM_FINISH ? (Teasel__DecisionStart *)&finish
                     : kind == ITEM_REVOKE ? (Teasel__DecisionStart *)&revoke
                     : kind == ITEM_EXPIRE ? (Teasel__DecisionStart *)&expire
                                           : (Teasel__DecisionStart *)&worker;
    }

    static constexpr Teasel__DecisionItem__ItemCase kinds[] = {
        TEASEL__DECISION_ITEM__ITEM_START, TEASEL__DECISION_ITEM__ITEM_FINISH,
        TEASEL__DECISION_ITEM__ITEM_REVOKE, TEASEL__DECISION_ITEM__ITEM_EXPIRE,
        TEASEL__DECISION_ITEM__ITEM_WORKER};
};

/* Returns a random log. Most of its records take effect; some are of an older
   epoch or do not match the state. */
std::vector<LogEntry>
make_history()
{
    const int length = *rc::gen::inRange(20, 120);
    std::vector<LogEntry> history;
    Cell state;
    uint64_t epoch = 0;

    for (int i = 1; i <= length; i++) {
        const uint64_t offset = 10 * static_cast<uint64_t>(i);
        const int kind = *rc::gen::inRange(0, 10);
        const int job = i <= 4 ? i - 1 : *rc::gen::inRange(0, 4);

        if (kind == 0 || i <= 4) {
            history.push_back(
                {offset, records::submit(i, "j" + std::to_string(job),
                                         records::spec(100))});
        }
        else if (kind == 1 && *rc::gen::inRange(0, 3) == 0) {
            history.push_back(
                {offset, records::cancel(i, "j" + std::to_string(job))});
        }
        else if (kind == 2 || epoch == 0) {
            const bool stale = *rc::gen::inRange(0, 4) == 0 && epoch > 0;

            history.push_back(
                {offset, records::claim(i, "a", stale ? epoch - 1 : epoch)});
            epoch = stale ? epoch : offset;
        }
        else {
            std::vector<std::unique_ptr<Item>> items;
            std::vector<Teasel__DecisionItem *> pointers;
            Teasel__Decision body = TEASEL__DECISION__INIT;

            for (int k = *rc::gen::inRange(1, 4); k > 0; k--) {
                const int item_kind =
                    *rc::gen::weightedElement<int>({{6, ITEM_START},
                                                    {3, ITEM_FINISH},
                                                    {1, ITEM_REVOKE},
                                                    {1, ITEM_EXPIRE},
                                                    {4, ITEM_WORKER}});
                const int target = *rc::gen::inRange(0, 4);

                const cell_job_t *job_state = cell_find_job(
                    state.cell, ("j" + std::to_string(target)).c_str());
                const uint32_t attempt =
                    job_state == nullptr
                        ? 1
                        : job_state->attempt +
                              (item_kind == ITEM_START ? 1 : 0);

                items.push_back(std::make_unique<Item>(
                    item_kind, target, *rc::gen::inRange(0, 2), attempt,
                    *rc::gen::inRange(0, 100)));
                pointers.push_back(&items.back()->item);
            }
            body.epoch = *rc::gen::inRange(0, 6) == 0 ? epoch - 1 : epoch;
            body.n_items = pointers.size();
            body.items = pointers.data();
            history.push_back({offset, records::decision(i, body)});
        }
        records::apply(state.cell, history.back().data, offset);
    }
    return history;
}

/* Inserts copies of random records at random later positions. */
void
add_duplicates(std::vector<LogEntry> &history)
{
    for (int i = *rc::gen::inRange(1, 30); i > 0; i--) {
        const auto from = *rc::gen::inRange<size_t>(0, history.size());
        const auto to = *rc::gen::inRange(from, history.size());

        history.insert(history.begin() + static_cast<long>(to) + 1,
                       {history[to].offset, history[from].data});
    }
}

/* Counts the starts that took effect and checks the capacity. */
struct Observer {
    std::map<std::pair<std::string, uint32_t>, int> starts;
    bool overcommitted = false;
    cell_t *cell;

    static void
    on_job(cell_job_t *job, int before, void *data)
    {
        auto *self = static_cast<Observer *>(data);

        if (job->state == CELL_RUNNING && before == CELL_QUEUED) {
            const cell_worker_t *worker =
                cell_find_worker(self->cell, job->worker);

            self->starts[{job->id, job->attempt}]++;
            self->overcommitted |=
                !job_size_fits(&worker->used, &worker->capacity);
        }
    }
};

const cell_listener_t observer_vtbl = {
    Observer::on_job,
    [](cell_job_t *, const Teasel__DecisionFinish *, void *) {},
    [](cell_worker_t *, void *) {},
    [](cell_job_t *, void *) {},
    [](cell_worker_t *, void *) {},
    [](uint64_t, void *) {},
};

void
apply_all(cell_t *cell, const std::vector<LogEntry> &history, size_t from = 0)
{
    for (size_t i = from; i < history.size(); i++) {
        records::apply(cell, history[i].data, history[i].offset);
    }
}

// Guards against a snapshot that loses a part of the state: a process that
// starts from it would end in another state than the others.
TEST(Cell, SnapshotAtEveryOffsetGivesTheSameState)
{
    EXPECT_TRUE(rc::check([] {
        auto history = make_history();
        Cell full;

        add_duplicates(history);
        apply_all(full.cell, history);
        const bytes expected = records::encode(full.cell);
        Cell prefix;
        for (size_t i = 0; i < history.size(); i++) {
            Cell loaded;
            const bytes snapshot = records::encode(prefix.cell);

            RC_ASSERT(cell_load(loaded.cell, snapshot.data(), snapshot.size(),
                                nullptr));
            apply_all(loaded.cell, history, i);
            RC_ASSERT(records::encode(loaded.cell) == expected);
            records::apply(prefix.cell, history[i].data, history[i].offset);
        }
    }));
}

// Guards against records that take effect twice, because an append was
// repeated or came late, and against starts beyond a worker's capacity.
TEST(Cell, LateDuplicatesHaveNoEffect)
{
    EXPECT_TRUE(rc::check([] {
        auto history = make_history();
        Cell reference, duplicated;
        Observer observer;

        apply_all(reference.cell, history);
        add_duplicates(history);
        observer.cell = duplicated.cell;
        cell_set_listener(duplicated.cell, &observer_vtbl, &observer);
        apply_all(duplicated.cell, history);
        RC_ASSERT(records::encode(duplicated.cell) ==
                  records::encode(reference.cell));
        RC_ASSERT(!observer.overcommitted);
        for (const auto &start : observer.starts) {
            RC_ASSERT(start.second == 1);
        }
        RC_CLASSIFY(!observer.starts.empty(), "has starts");
    }));
}

// Guards against a dependence on the order in which independent writers
// append: jobs that different entries submit and cancel end in the same
// states.
TEST(Cell, OrderOfIndependentJobsDoesNotMatter)
{
    EXPECT_TRUE(rc::check([] {
        const auto lengths =
            *rc::gen::container<std::vector<int>>(6, rc::gen::inRange(1, 4));
        std::vector<std::vector<bytes>> queues;
        Cell ordered, mixed;
        uint64_t number = 1;

        for (size_t job = 0; job < lengths.size(); job++) {
            const std::string id = "j" + std::to_string(job);
            const std::vector<bytes> all = {
                records::submit(number++, id, records::spec(100)),
                records::cancel(number++, id),
                records::submit(number++, id, records::spec(200))};

            queues.emplace_back(all.begin(), all.begin() + lengths[job]);
            for (const auto &data : queues.back()) {
                records::apply(ordered.cell, data, number++);
            }
        }
        while (!queues.empty()) {
            const auto pick = *rc::gen::inRange<size_t>(0, queues.size());

            records::apply(mixed.cell, queues[pick].front(), number++);
            queues[pick].erase(queues[pick].begin());
            if (queues[pick].empty()) {
                queues.erase(queues.begin() + static_cast<long>(pick));
            }
        }
        for (size_t job = 0; job < lengths.size(); job++) {
            const std::string id = "j" + std::to_string(job);
            const cell_job_t *a = cell_find_job(ordered.cell, id.c_str());
            const cell_job_t *b = cell_find_job(mixed.cell, id.c_str());

            RC_ASSERT(a->state == b->state);
            RC_ASSERT(a->body_hash == b->body_hash);
        }
    }));
}

// Guards against decisions of a previous coordinator that still take effect,
// and against two concurrent claims that both take effect.
TEST(Cell, OlderEpochsAreIgnored)
{
    Cell cell;
    Item worker(ITEM_WORKER, 0, 0, 0, 0);
    Item start(ITEM_START, 0, 0, 1, 0);
    Teasel__DecisionItem *items[] = {&worker.item, &start.item};
    Teasel__Decision body = TEASEL__DECISION__INIT;

    EXPECT_TRUE(records::apply(cell.cell, records::claim(1, "a", 0), 1));
    EXPECT_FALSE(records::apply(cell.cell, records::claim(2, "b", 0), 2));
    EXPECT_EQ(cell.cell->epoch, 1U);
    EXPECT_TRUE(records::apply(cell.cell, records::claim(3, "b", 1), 3));
    records::apply(cell.cell, records::submit(4, "j0", records::spec(100)), 4);
    body.n_items = 2;
    body.items = items;
    body.epoch = 1;
    EXPECT_FALSE(records::apply(cell.cell, records::decision(5, body), 5));
    EXPECT_EQ(cell_find_job(cell.cell, "j0")->state, CELL_QUEUED);
    body.epoch = 3;
    EXPECT_TRUE(records::apply(cell.cell, records::decision(6, body), 6));
    EXPECT_EQ(cell_find_job(cell.cell, "j0")->state, CELL_RUNNING);
}

// Guards against a damaged snapshot that replaces a valid state.
TEST(Cell, MalformedSnapshotChangesNothing)
{
    Cell cell;
    GError *error = nullptr;

    records::apply(cell.cell, records::submit(1, "j0", records::spec(100)), 1);
    bytes snapshot = records::encode(cell.cell);
    const bytes good = snapshot;
    snapshot.resize(snapshot.size() / 2);
    EXPECT_FALSE(
        cell_load(cell.cell, snapshot.data(), snapshot.size(), &error));
    ASSERT_NE(error, nullptr);
    g_clear_error(&error);
    EXPECT_EQ(records::encode(cell.cell), good);
}

// Guards against error messages that do not name the key, the value found and
// the values allowed.
TEST(Job, ErrorNamesKeyValueAndAllowedValues)
{
    static const struct {
        std::string text;
        const char *message;
    } cases[] = {
        {records::spec(0), "key \"cpu_milli\": found 0, allowed is an "
                           "integer from 1 to 1024000"},
        {records::spec(1, ",\"priority\":\"high\""),
         "key \"priority\": found \"high\", allowed is \"normal\" or "
         "\"urgent\""},
        {records::spec(1, ",\"cpu\":1"), "key \"cpu\": found 1, but a job "
                                         "specification has no such key"},
        {"{}", "key \"class\": found nothing, allowed is a value, the key is "
               "required"},
        {"[1]", "job specification: byte 3: expected an object"},
    };

    for (const auto &c : cases) {
        job_spec_t spec;
        GError *error = nullptr;

        EXPECT_FALSE(job_spec_parse(c.text.data(), c.text.size(), &spec,
                                    nullptr, &error));
        EXPECT_STREQ(error->message, c.message);
        g_clear_error(&error);
    }
}

// Guards against equal specifications with different canonical forms: a
// repeated submission would be taken for another job.
TEST(Job, CanonicalFormDoesNotDependOnOrderOrDefaults)
{
    const std::string a = "{\"team\":\"t\",\"run_ms\":1000, \"memory_mb\":100,"
                          "\"cpu_milli\":5,\"class\":\"c\"}";
    const std::string b = records::spec(5);
    job_spec_t spec;
    char *canonical = nullptr;

    ASSERT_TRUE(
        job_spec_parse(a.data(), a.size(), &spec, &canonical, nullptr));
    EXPECT_EQ(b, canonical);
    job_spec_clear(&spec);
    g_free(canonical);
}

} // namespace
