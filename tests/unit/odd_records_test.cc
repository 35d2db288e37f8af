/* Stored jobs and estimates that another writer has changed. */

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cmath>
#include <functional>
#include <string>
#include <vector>

#include "sched_fixture.h"

extern "C" {
#include "sched/sched_internal.h"
}

namespace {

const char *const EXECUTOR = "10.0.0.1:80/x/100";

/* Returns the record of job "j" with one placed and one waiting task. */
std::string
stored_job()
{
    Core core;
    Report report(EXECUTOR);

    core.report(report);
    sched_submit(core.sched,
                 make_spec("j", {{.count = 1}, {.count = 1, .after = {0}}}));
    core.run_and_commit();
    return core.stored["j"];
}

std::string
change(const std::string &stored,
       const std::function<void(Teasel__JobRecord *)> &edit)
{
    Teasel__JobRecord *record = teasel__job_record__unpack(
        nullptr, stored.size(),
        reinterpret_cast<const uint8_t *>(stored.data()));
    std::string out;

    edit(record);
    out.resize(teasel__job_record__get_packed_size(record));
    teasel__job_record__pack(record, reinterpret_cast<uint8_t *>(out.data()));
    teasel__job_record__free_unpacked(record, nullptr);
    return out;
}

void
set_text(char **field, const std::string &value)
{
    if (*field != protobuf_c_empty_string) {
        free(*field);
    }
    *field = strdup(value.c_str());
}

bool
load(Core &core, const std::string &key, const std::string &record)
{
    g_autoptr(GError) error = nullptr;
    bool loaded = sched_load(core.sched, key.c_str(), record.data(),
                             record.size(), &error);

    EXPECT_EQ(loaded, error == nullptr);
    return loaded;
}

// Guards against a record that is refused although it is sound.
TEST(OddRecords, ASoundRecordIsLoaded)
{
    Core core;

    EXPECT_TRUE(load(core, "j", stored_job()));
    EXPECT_NE(sched_find(core.sched, "j"), nullptr);
}

// Guards against states and counts out of range that are taken over: such a
// job never ends or shows no state, and counts wrap around, so that a failed
// task gets all its attempts again.
TEST(OddRecords, NumbersOutOfRangeAreRefused)
{
    std::string sound = stored_job();
    using Record = Teasel__JobRecord;
    const std::vector<std::function<void(Record *)>> edits = {
        [](Record *record) { record->state = 5; },
        [](Record *record) { record->state = UINT32_MAX; },
        [](Record *record) { record->next_occurrence = 0; },
        [](Record *record) { record->next_occurrence = UINT32_MAX; },
        [](Record *record) { record->accepted = UINT64_MAX; },
        [](Record *record) { record->finished_ms = INT64_MAX; },
        [](Record *record) { record->finished_ms = INT64_MIN; },
        [](Record *record) { record->accepted_ms = INT64_MAX; },
        [](Record *record) { record->accepted_ms = INT64_MIN; },
        [](Record *record) { record->occurrences[0]->number = UINT32_MAX; },
        [](Record *record) {
            Teasel__OccurrenceRecord *occurrence = record->occurrences[0];

            teasel__task_record__free_unpacked(
                occurrence->tasks[--occurrence->n_tasks], nullptr);
        },
        [](Record *record) { record->occurrences[0]->tasks[0]->state = 4; },
        [](Record *record) {
            record->occurrences[0]->tasks[0]->state = UINT32_MAX;
        },
        [](Record *record) { record->occurrences[0]->tasks[0]->place = 2; },
        [](Record *record) {
            record->occurrences[0]->tasks[0]->place = UINT32_MAX;
        },
        [](Record *record) {
            record->occurrences[0]->tasks[0]->run = UINT32_MAX;
        },
        [](Record *record) {
            record->occurrences[0]->tasks[0]->failures = UINT32_MAX;
        },
        [](Record *record) { record->spec->steps[1]->after[0] = 7; },
        [](Record *record) { record->spec->steps[0]->count = UINT32_MAX; },
        [](Record *record) { set_text(&record->spec->id, ""); },
        [](Record *record) { set_text(&record->spec->id, "other"); },
    };

    for (size_t i = 0; i < edits.size(); i++) {
        Core core;

        EXPECT_FALSE(load(core, "j", change(sound, edits[i]))) << "edit " << i;
        core.run_and_commit();
        EXPECT_EQ(sched_find(core.sched, "j"), nullptr);
        EXPECT_TRUE(list_is_empty(sched_get_executors(core.sched)))
            << "edit " << i;
    }
}

// Guards against two records of one job, of which both run its tasks.
TEST(OddRecords, AJobIsLoadedOnlyFromItsKey)
{
    Core core;
    std::string sound = stored_job();

    EXPECT_FALSE(load(core, "a", sound));
    EXPECT_TRUE(load(core, "j", sound));
    EXPECT_FALSE(load(core, "j", sound));
}

// Guards against a schedule that overflows, and so is due at once, and against
// one that needs more memory than there is: each leader would end on it.
TEST(OddRecords, SchedulesOutOfRangeAreRefused)
{
    struct Schedule {
        uint32_t repeat_count;
        int64_t first_start_ms;
        int64_t interval_ms;
    };

    for (const Schedule &schedule :
         std::vector<Schedule>{{4000000000, 0, 0},
                               {4000000000, 0, 1},
                               {3, INT64_MAX, 1},
                               {3, INT64_MIN, 1},
                               {3, -1, 1},
                               {3, 1, INT64_MAX / 2 + 2},
                               {3, 1, INT64_MIN},
                               {3, 1, -1}}) {
        Teasel__JobSpec *spec = make_spec("j", {{.count = 2}});
        g_autoptr(GError) error = nullptr;

        spec->repeat_count = schedule.repeat_count;
        spec->first_start_ms = schedule.first_start_ms;
        spec->interval_ms = schedule.interval_ms;
        EXPECT_FALSE(sched_job_check(spec, &error));
        teasel__job_spec__free_unpacked(spec, nullptr);
    }
}

// Guards against names of tasks that are cut off and then are alike.
TEST(OddRecords, IdsThatAreTooLongAreRefused)
{
    Teasel__JobSpec *sound = make_spec(std::string(60, 'j'), {{}});
    Teasel__JobSpec *odd = make_spec(std::string(100, 'j'), {{}});
    g_autoptr(GError) error = nullptr;

    EXPECT_TRUE(sched_job_check(sound, nullptr));
    EXPECT_FALSE(sched_job_check(odd, &error));
    teasel__job_spec__free_unpacked(sound, nullptr);
    teasel__job_spec__free_unpacked(odd, nullptr);
}

// Guards against estimates that are no numbers and that spread to the order of
// jobs and to the throttling of tasks.
TEST(OddRecords, EstimatesThatAreNoNumbersAreLeftOut)
{
    for (double odd :
         {(double)NAN, (double)INFINITY, -(double)INFINITY, -1e300, 1e300}) {
        Teasel__LearnedRecord record = TEASEL__LEARNED_RECORD__INIT;
        Teasel__LearnedPair pair = TEASEL__LEARNED_PAIR__INIT;
        Teasel__LearnedQueue queue = TEASEL__LEARNED_QUEUE__INIT;
        Teasel__LearnedPair *pairs[] = {&pair};
        Teasel__LearnedQueue *queues[] = {&queue};
        Core core;

        pair.filler = const_cast<char *>("f");
        pair.serving = const_cast<char *>("s");
        pair.weight = odd;
        queue.queue = const_cast<char *>("queue");
        queue.estimate_error = odd;
        record.n_pairs = 1;
        record.pairs = pairs;
        record.n_queues = 1;
        record.queues = queues;
        std::string bytes(teasel__learned_record__get_packed_size(&record), 0);
        teasel__learned_record__pack(&record,
                                     reinterpret_cast<uint8_t *>(&bytes[0]));
        EXPECT_TRUE(
            sched_load_learned(core.sched, bytes.data(), bytes.size()));

        GByteArray *stored = sched_learned_to_record(core.sched);
        Teasel__LearnedRecord *kept =
            teasel__learned_record__unpack(nullptr, stored->len, stored->data);
        for (size_t i = 0; i < kept->n_pairs; i++) {
            EXPECT_TRUE(std::isfinite(kept->pairs[i]->weight)) << odd;
        }
        for (size_t i = 0; i < kept->n_queues; i++) {
            EXPECT_TRUE(std::isfinite(kept->queues[i]->estimate_error)) << odd;
        }
        teasel__learned_record__free_unpacked(kept, nullptr);
        g_byte_array_unref(stored);
    }
}

// Guards against a changed byte that ends each new leader.
RC_GTEST_PROP(OddRecords, SurviveDamagedBytes, ())
{
    static const std::string sound = stored_job();
    std::string record = sound;
    Core core;
    Report report(EXECUTOR);
    int changes = *rc::gen::inRange(1, 4);

    for (int i = 0; i < changes; i++) {
        record[*rc::gen::inRange<size_t>(0, record.size())] =
            *rc::gen::arbitrary<char>();
    }
    sched_load(core.sched, "j", record.data(), record.size(), nullptr);
    core.run_and_commit();
    core.report(report);
    core.run_and_commit();
    core.restart();
    core.run_and_commit();
}

} // namespace
