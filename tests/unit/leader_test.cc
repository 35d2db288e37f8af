/* The leading scheduler, with a store in memory. */

#include <gtest/gtest.h>

#include "fake_store.h"
#include "loop_wait.h"
#include "sched_fixture.h"

extern "C" {
#include "scheduler/leader.h"
}

namespace {

enum {
    DONE_MS = 1000, /* less than the time after which a call is abandoned */
};

struct Leader : public testing::Test {
    loop_t *loop = loop_new();
    FakeStore store;
    FakeStoreView view{&store, loop};
    leader_t *leader = nullptr;
    std::map<uint64_t, job_outcome_t> outcomes; /* by call */
    uint64_t calls = 0;

    void
    start()
    {
        leader_opts_t opts = {};

        opts.loop = loop;
        opts.clock = clock_system();
        opts.store = &view.base;
        opts.epoch = 1;
        opts.lease_ms = 1000;
        opts.retain_ms = 60000;
        opts.stop_ms = 100;
        opts.record_bytes = store.record_bytes;
        opts.get_acked_ms = [](void *) { return (int64_t)0; };
        opts.on_store_change = [](bool, void *) {};
        opts.on_fenced = [](const char *, void *) {};
        leader = leader_new(&opts);
        ASSERT_TRUE(
            loop_wait(loop, 2000, [&] { return leader_is_ready(leader); }));
    }
    void
    TearDown() override
    {
        leader_free(leader);
        loop_run_ms(loop, 50); /* the view must outlive its last call */
        loop_free(loop);
    }
    static void
    on_answer(const Teasel__JobAnswer *answer, void *data)
    {
        auto *self = static_cast<Leader *>(data);

        self->outcomes[answer->call_id] = (job_outcome_t)answer->outcome;
    }
    /* Returns the outcome of a call, or JOB_OUTCOME_UNKNOWN without one. */
    job_outcome_t
    call(job_verb_t verb, const std::string &id, Teasel__JobSpec *spec)
    {
        Teasel__JobCall call = TEASEL__JOB_CALL__INIT;
        uint64_t number = ++calls;

        call.call_id = number;
        call.verb = verb;
        call.id = const_cast<char *>(id.c_str());
        call.spec = spec;
        leader_handle_call(leader, &call, on_answer, this);
        if (!loop_wait(loop, DONE_MS,
                       [&] { return outcomes.count(number) != 0; })) {
            return JOB_OUTCOME_UNKNOWN;
        }
        return outcomes[number];
    }
    job_outcome_t
    submit(const std::string &id, const std::vector<Step> &steps,
           uint32_t repeat_count = 0)
    {
        Teasel__JobSpec *spec = make_spec(id, steps);
        job_outcome_t outcome;

        spec->repeat_count = repeat_count;
        outcome = call(JOB_VERB_SUBMIT, id, spec);
        teasel__job_spec__free_unpacked(spec, nullptr);
        return outcome;
    }
};

// Guards against a leader that can write nothing any more, as the record of
// one job with many due occurrences is longer than the store takes.
TEST_F(Leader, WritesJobsBesideOneWithManyDueOccurrences)
{
    start();
    EXPECT_EQ(submit("many", {{.count = 1000}}, 200), JOB_OUTCOME_DONE);
    EXPECT_EQ(submit("other", {{}}), JOB_OUTCOME_DONE);
    EXPECT_EQ(call(JOB_VERB_CANCEL, "other", nullptr), JOB_OUTCOME_DONE);
    EXPECT_EQ(call(JOB_VERB_CANCEL, "many", nullptr), JOB_OUTCOME_DONE);
}

// Guards against a job that is accepted though its record can never be stored,
// and against a leader that can write nothing any more after it.
TEST_F(Leader, RefusesAJobWhoseRecordCannotFit)
{
    store.record_bytes = 4096;
    start();
    EXPECT_EQ(submit("large", {{.count = 2000}}), JOB_OUTCOME_INVALID);
    EXPECT_EQ(submit("other", {{}}), JOB_OUTCOME_DONE);
}

} // namespace
