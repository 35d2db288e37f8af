/* The leading scheduler, with a store in memory. */

#include <gtest/gtest.h>

#include <numeric>

#include "fake_store.h"
#include "loop_wait.h"
#include "sched_fixture.h"
#include "test_address.h"

extern "C" {
#include "scheduler/leader_internal.h"
#include "wire/peer.h"
}

namespace {

enum {
    DONE_MS = 1000, /* less than the time after which a call is abandoned */
    LEASE_MS = 1000,
    MAX_STORELESS_MS = 60000,
    SILENCE_MS = 60000,
    PAUSE_MS = 8000, /* longer than a run may be without progress */
};

struct Leader : public testing::Test {
    loop_t *loop = loop_new();
    FakeStore store;
    FakeStoreView view{&store, loop};
    FakeStoreView successor_view{&store, loop};
    const clock_source_t *clock = clock_system();
    leader_t *leader = nullptr;
    GRand *random = g_rand_new_with_seed(1);
    std::map<uint64_t, job_outcome_t> outcomes; /* by call */
    std::map<uint64_t, uint32_t> retry_ms;      /* by call */
    uint64_t calls = 0;
    uint64_t epoch = 0;   /* of the leader */
    bool alone = false;   /* no other scheduler is known */
    int64_t acked_ms = 0; /* send time of what all others acknowledged */
    int asked = 0;        /* requests for acknowledgements */
    evacuation_t *evacuation = evacuation_new();
    int store_failures = 0;

    int64_t
    now_ms()
    {
        return (int64_t)timespec_to_ms(clock_get_monotonic(clock));
    }
    void
    start()
    {
        begin();
        ASSERT_TRUE(
            loop_wait(loop, 2000, [&] { return leader_is_ready(leader); }));
    }
    void
    begin()
    {
        leader_opts_t opts = {};

        opts.loop = loop;
        opts.clock = clock;
        opts.store = &view.base;
        opts.epoch = ++epoch;
        opts.lease_ms = LEASE_MS;
        opts.retain_ms = 60000;
        opts.stop_ms = 100;
        opts.record_bytes = store.record_bytes;
        opts.evacuation = evacuation;
        opts.random = random;
        opts.get_acked_ms = [](void *data) {
            return static_cast<Leader *>(data)->acked_ms;
        };
        opts.max_storeless_ms = MAX_STORELESS_MS;
        opts.get_view_acked_ms = opts.get_acked_ms;
        opts.has_stale_leader = [](int64_t, void *) { return false; };
        opts.is_alone = [](void *data) {
            return static_cast<Leader *>(data)->alone;
        };
        opts.request_acks = [](void *data) {
            static_cast<Leader *>(data)->asked++;
        };
        opts.data = this;
        opts.on_store_change = [](bool available, void *data) {
            static_cast<Leader *>(data)->store_failures += !available;
        };
        opts.on_fenced = [](const char *, void *) {};
        leader = leader_new(&opts);
    }
    void
    TearDown() override
    {
        leader_free(leader);
        evacuation_free(evacuation);
        loop_run_ms(loop, 50); /* the view must outlive its last call */
        loop_free(loop);
        g_rand_free(random);
    }
    void
    SetUp() override
    {
        g_ptr_array_unref(evacuation_finish_listing(evacuation));
    }
    static void
    on_answer(const Teasel__JobAnswer *answer, void *data)
    {
        auto *self = static_cast<Leader *>(data);

        self->outcomes[answer->call_id] = (job_outcome_t)answer->outcome;
        self->retry_ms[answer->call_id] = answer->retry_after_ms;
    }
    /* Sets the epoch of a later leader, which this one has not heard of. */
    void
    replace()
    {
        store_append_t append = {};
        bool done = false;

        append.topic = JOBS_TOPIC;
        append.producer = JOBS_PRODUCER;
        append.epoch = epoch + 1;
        store_append(
            &successor_view.base, &append,
            [](store_status_t status, uint64_t, void *data) {
                EXPECT_EQ(status, STORE_OK);
                *static_cast<bool *>(data) = true;
            },
            &done);
        ASSERT_TRUE(loop_wait(loop, DONE_MS, [&] { return done; }));
    }
    /* Sends a call; returns its number. */
    uint64_t
    send(job_verb_t verb, const std::string &id,
         Teasel__JobSpec *spec = nullptr)
    {
        Teasel__JobCall call = TEASEL__JOB_CALL__INIT;

        call.call_id = ++calls;
        call.verb = verb;
        call.id = const_cast<char *>(id.c_str());
        call.queue = const_cast<char *>("queue");
        call.spec = spec;
        leader_handle_call(leader, &call, on_answer, this);
        return call.call_id;
    }
    uint64_t
    send_submission(const std::string &id)
    {
        Teasel__JobSpec *spec = make_spec(id, {{}});
        uint64_t number = send(JOB_VERB_SUBMIT, id, spec);

        teasel__job_spec__free_unpacked(spec, nullptr);
        return number;
    }
    bool
    is_answered(uint64_t number, int64_t within_ms = DONE_MS)
    {
        return loop_wait(loop, within_ms,
                         [&] { return outcomes.count(number) != 0; });
    }
    /* Returns the outcome of a call, or JOB_OUTCOME_UNKNOWN without one. */
    job_outcome_t
    call(job_verb_t verb, const std::string &id, Teasel__JobSpec *spec)
    {
        uint64_t number = send(verb, id, spec);

        return is_answered(number) ? outcomes[number] : JOB_OUTCOME_UNKNOWN;
    }
    /* Begins a write whose answer is held back. */
    void
    hold_write()
    {
        view.hold = true;
        send_submission("held");
        ASSERT_TRUE(
            loop_wait(loop, DONE_MS, [&] { return !view.calls.empty(); }));
    }
    void
    lose_store()
    {
        view.refuse = true;
        ASSERT_TRUE(
            loop_wait(loop, 3000, [&] { return leader->writes_failing; }));
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

/* A node agent that is connected to the leader. */
struct Agent {
    Leader *test;
    const char *node;
    peer_handler_t handler = {nullptr, on_orders, on_close};
    peer_opts_t opts = {};
    peer_listener_t *listener = nullptr;
    peer_t *agent = nullptr;
    peer_t *leader = nullptr;     /* its end of the connection */
    std::vector<uint32_t> leases; /* of the orders received, in ms */
    std::vector<size_t> starts;   /* number of starts, of each message */
    std::vector<size_t> stops;    /* number of stops, of each message */
    uint64_t ordered_echo_us = 0; /* of the newest message with an executor */
    std::string evacuated = "unknown"; /* in the newest message */

    Agent(Leader *test, const char *node = "node", uint16_t port = 12)
        : test(test), node(node)
    {
        char address[32];

        test_address(address, port);
        opts = {test->loop, clock_system(), &handler,      this,
                1 << 20,    SILENCE_MS,     SILENCE_MS / 2};
        listener = peer_listen(&opts, address, on_accept, nullptr);
        g_assert(listener != nullptr);
        agent = peer_connect(&opts, address, nullptr);
        g_assert(
            loop_wait(test->loop, DONE_MS, [&] { return leader != nullptr; }));
    }
    Agent(const Agent &) = delete;
    ~Agent()
    {
        leader_remove_peer(test->leader, leader);
        peer_close(agent);
        peer_close(leader);
        peer_listener_free(listener);
    }
    static void
    on_accept(peer_t *peer, void *data)
    {
        static_cast<Agent *>(data)->leader = peer;
    }
    static void
    on_orders(peer_t *peer, const Teasel__Envelope *message, void *data)
    {
        auto *self = static_cast<Agent *>(data);
        const Teasel__NodeOrders *orders = message->node_orders;
        size_t starts = 0;
        size_t stops = 0;

        for (size_t i = 0; i < orders->n_executors; i++) {
            starts += orders->executors[i]->n_starts;
            stops += orders->executors[i]->n_stops;
        }
        self->starts.push_back(starts);
        self->stops.push_back(stops);
        self->leases.push_back(orders->lease_ms);
        self->note_evacuation(orders->evacuation);
        if (orders->n_executors > 0) {
            self->ordered_echo_us = orders->echo_us;
        }
    }
    static void
    on_close(peer_t *peer, const char *reason, void *data)
    {
        ADD_FAILURE() << reason;
    }
    void
    note_evacuation(const Teasel__Evacuation *message)
    {
        evacuated = message == nullptr ? "unknown" : "";
        for (size_t i = 0; message != nullptr && i < message->n_data_centres;
             i++) {
            evacuated += std::string(message->data_centres[i]) + " ";
        }
    }
    /* Number of starts that it has received. */
    size_t
    count_starts() const
    {
        return std::accumulate(starts.begin(), starts.end(), size_t{0});
    }
    size_t
    count_stops() const
    {
        return std::accumulate(stops.begin(), stops.end(), size_t{0});
    }
    uint64_t sent_us = 0;
    std::vector<Teasel__ExecutorReport *> executors;
    /* Sends a report; returns the lease that the leader grants. */
    uint32_t
    report()
    {
        Teasel__NodeReport report = TEASEL__NODE_REPORT__INIT;
        size_t before = leases.size();

        report.sent_us = ++sent_us;
        report.n_executors = executors.size();
        report.executors = executors.data();
        leader_handle_report(test->leader, leader, node, &report);
        g_assert(loop_wait(test->loop, DONE_MS,
                           [&] { return leases.size() > before; }));
        return leases.back();
    }
};

/* An executor with room for one run of a step of 1000 milli-CPU, as an agent
   reports it. */
struct Executor {
    Teasel__Capacity capacity = TEASEL__CAPACITY__INIT;
    Teasel__ExecutorReport report = TEASEL__EXECUTOR_REPORT__INIT;
    Teasel__RunStatus status = TEASEL__RUN_STATUS__INIT;
    Teasel__RunStatus *running[1] = {&status};
    Teasel__RunEnd end = TEASEL__RUN_END__INIT;
    Teasel__RunEnd *ended[1] = {&end};

    Executor(const char *key)
    {
        capacity.cpu_milli = 1000;
        capacity.memory_mb = 100000;
        report.key = const_cast<char *>(key);
        report.service = const_cast<char *>("service");
        report.data_centre = const_cast<char *>("dc");
        report.rack = const_cast<char *>("r");
        report.capacity = &capacity;
        report.listed = true;
    }
    Executor(const Executor &) = delete;
    void
    run(const char *task)
    {
        status.task = const_cast<char *>(task);
        status.run = 1;
        report.n_running = 1;
        report.running = running;
    }
    void
    end_as_done(const char *task)
    {
        end.number = 1;
        end.task = const_cast<char *>(task);
        end.run = 1;
        end.how = SCHED_END_DONE;
        report.n_running = 0;
        report.n_ended = 1;
        report.ended = ended;
    }
};

/* Begins a run of job j, and reports it. */
void
begin_run(Agent &agent, Executor &executor)
{
    agent.executors = {&executor.report};
    agent.report();
    ASSERT_EQ(agent.test->submit("j", {{}}), JOB_OUTCOME_DONE);
    ASSERT_TRUE(loop_wait(agent.test->loop, DONE_MS,
                          [&] { return agent.count_starts() == 1; }));
    executor.run("j.0.0.0");
    agent.report();
}

// Guards against a leader that extends leases after a pause, while a later one
// counts them as expired and starts their tasks elsewhere.
TEST_F(Leader, GrantsNoLeaseAfterAPauseBeyondItsLeadership)
{
    fake_clock_t fake;

    fake_clock_init(&fake);
    clock = &fake.clock;
    start();
    Agent agent(this);
    EXPECT_EQ(agent.report(), (uint32_t)LEASE_MS);
    view.silent = true;
    fake_clock_advance_ms(&fake, LEASE_MS - 100);
    EXPECT_EQ(agent.report(), 100U);
    fake_clock_advance_ms(&fake, 200);
    EXPECT_EQ(agent.report(), 0U);
}

// Guards against the same of a leader that knows no other scheduler, as one
// may have started during the pause.
TEST_F(Leader, GrantsNoLeaseAfterAPauseIfItKnowsNoOtherScheduler)
{
    fake_clock_t fake;

    fake_clock_init(&fake);
    clock = &fake.clock;
    alone = true;
    start();
    Agent agent(this);
    EXPECT_EQ(agent.report(), (uint32_t)LEASE_MS);
    view.silent = true;
    fake_clock_advance_ms(&fake, LEASE_MS + 100);
    EXPECT_EQ(agent.report(), 0U);
}

// Guards against work that is lost in an outage of the store with one
// scheduler. A scheduler that starts during the outage, and reaches the store
// but neither this leader nor the agent, would run the tasks a second time.
TEST_F(Leader, ExtendsLeasesWithoutTheStoreIfItKnowsNoOtherScheduler)
{
    alone = true;
    start();
    Agent agent(this);
    lose_store();
    loop_run_ms(loop, LEASE_MS);
    EXPECT_EQ(agent.report(), (uint32_t)LEASE_MS);
    alone = false;
    EXPECT_EQ(agent.report(), 0U);
}

// Guards against a task that runs twice in a long cut: a leader that nobody
// contradicts went on extending its lease after its successor's longest wait.
TEST_F(Leader, ExtendsLeasesWithoutTheStoreForALimitedTime)
{
    fake_clock_t fake;

    fake_clock_init(&fake);
    clock = &fake.clock;
    alone = true;
    start();
    Agent agent(this);
    ASSERT_EQ(agent.report(), (uint32_t)LEASE_MS);
    view.refuse = true;
    fake_clock_advance_ms(&fake, 2000);
    loop_run_ms(loop, 200); /* a write begins */
    fake_clock_advance_ms(&fake, MAX_STORELESS_MS - 3000);
    ASSERT_TRUE(
        loop_wait(loop, DONE_MS, [&] { return leader->writes_failing; }));
    EXPECT_EQ(agent.report(), (uint32_t)LEASE_MS);
    alone = false;
    acked_ms = now_ms();
    EXPECT_EQ(agent.report(), (uint32_t)LEASE_MS);
    fake_clock_advance_ms(&fake, 1000);
    acked_ms = now_ms();
    EXPECT_EQ(agent.report(), 0U);
    alone = true;
    EXPECT_EQ(agent.report(), 0U);
}

// Guards against leases that outlast a leadership which ended before the
// answer to a repeated write: the store answers a repeat as it answered the
// first.
TEST_F(Leader, CountsLeasesFromTheFirstAttemptOfAWrite)
{
    fake_clock_t fake;

    fake_clock_init(&fake);
    clock = &fake.clock;
    start();
    Agent agent(this);
    ASSERT_EQ(agent.report(), (uint32_t)LEASE_MS);
    view.lose_answers = 1;
    uint64_t number = send_submission("j");
    ASSERT_TRUE(
        loop_wait(loop, DONE_MS, [&] { return view.lose_answers == 0; }));
    fake_clock_advance_ms(&fake, LEASE_MS / 2);
    ASSERT_TRUE(is_answered(number));
    EXPECT_EQ(agent.report(), (uint32_t)LEASE_MS / 2);
}

// Guards against a job that runs on for ever: its cancelling was answered as
// of an unknown job by a leader that had been replaced, while its successor
// had accepted the job.
TEST_F(Leader, AnswersNoCancellingAfterItWasReplaced)
{
    start();
    replace();
    EXPECT_EQ(call(JOB_VERB_CANCEL, "x", nullptr), JOB_OUTCOME_UNKNOWN);
}

// Guards against states and counts from the memory of a leader that has been
// replaced: of jobs that its successor accepted, cancelled or completed.
TEST_F(Leader, AnswersNoQuestionsAfterItWasReplaced)
{
    start();
    ASSERT_EQ(submit("j", {{}}), JOB_OUTCOME_DONE);
    replace();
    EXPECT_EQ(call(JOB_VERB_GET, "x", nullptr), JOB_OUTCOME_UNKNOWN);
    EXPECT_EQ(call(JOB_VERB_GET, "j", nullptr), JOB_OUTCOME_UNKNOWN);
    EXPECT_EQ(call(JOB_VERB_COUNT_PENDING, "", nullptr), JOB_OUTCOME_UNKNOWN);
}

// Guards against a caller who is told that a job never runs, by a leader that
// is cut off from the store, while its successor has accepted the job.
TEST_F(Leader, RefusesNoSubmissionAfterItWasReplaced)
{
    start();
    lose_store();
    replace();
    EXPECT_EQ(submit("j", {{}}), JOB_OUTCOME_UNKNOWN);
}

// Guards against a job that runs although its cancelling was answered: its
// submission was kept until another scheduler led.
TEST_F(Leader, RefusesASubmissionThatWasCancelledAtItsPredecessor)
{
    start();
    ASSERT_EQ(call(JOB_VERB_CANCEL, "x", nullptr), JOB_OUTCOME_NOT_FOUND);
    leader_free(leader);
    loop_run_ms(loop, 50); /* the view must outlive its last call */
    start();
    EXPECT_EQ(submit("x", {{}}), JOB_OUTCOME_REFUSED);
    EXPECT_EQ(call(JOB_VERB_GET, "x", nullptr), JOB_OUTCOME_NOT_FOUND);
}

// Guards against a job that runs although its cancelling was answered: the
// scheduler that kept its submission stood still for longer than the leader
// remembered the cancelling.
TEST_F(Leader, RefusesASubmissionThatWasCancelledLongBefore)
{
    enum {
        PAUSE_MS = 30000
    };
    fake_clock_t fake;

    fake_clock_init(&fake);
    clock = &fake.clock;
    start();
    ASSERT_EQ(call(JOB_VERB_CANCEL, "x", nullptr), JOB_OUTCOME_NOT_FOUND);
    fake_clock_advance_ms(&fake, PAUSE_MS);
    EXPECT_EQ(submit("x", {{}}), JOB_OUTCOME_REFUSED);
}

// Guards against a malformed record that keeps each leader from loading the
// jobs beside it.
TEST_F(Leader, LoadsTheJobsBesideAMalformedRecord)
{
    start();
    EXPECT_EQ(submit("a", {{}}), JOB_OUTCOME_DONE);
    store.put(JOBS_TOPIC, "m", "\xff\xff");
    EXPECT_EQ(submit("z", {{}}), JOB_OUTCOME_DONE);
    leader_free(leader);
    loop_run_ms(loop, 50); /* the view must outlive its last call */
    start();
    EXPECT_EQ(call(JOB_VERB_CANCEL, "a", nullptr), JOB_OUTCOME_DONE);
    EXPECT_EQ(call(JOB_VERB_CANCEL, "z", nullptr), JOB_OUTCOME_DONE);
    EXPECT_EQ(submit("other", {{}}), JOB_OUTCOME_DONE);
}

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

// Guards against a state from the memory of a leader that was replaced by a
// scheduler which started while it stood still: it knew no other scheduler,
// and the answer to an earlier write lay in its socket.
TEST_F(Leader, TakesTheLackOfOtherSchedulersForNoProof)
{
    start();
    alone = true;
    hold_write();
    replace();
    uint64_t number = send(JOB_VERB_GET, "x");
    loop_run_ms(loop, 5);
    view.release();
    EXPECT_TRUE(is_answered(1));
    EXPECT_FALSE(is_answered(number));
}

// Guards against a state that is proven by a write sent before the question.
TEST_F(Leader, TakesNoProofFromAWriteSentBeforeTheCall)
{
    start();
    hold_write();
    replace();
    uint64_t number = send(JOB_VERB_GET, "x");
    view.release();
    EXPECT_TRUE(is_answered(1));
    EXPECT_FALSE(is_answered(number));
}

// Guards against a state from the memory of a leader that was replaced while
// it loaded the jobs.
TEST_F(Leader, TakesNoProofFromItsElection)
{
    begin();
    view.refuse = true; /* the listing, not the write that was sent */
    ASSERT_TRUE(loop_wait(loop, DONE_MS,
                          [&] { return leader->stage == LEADER_LOADING; }));
    uint64_t number = send(JOB_VERB_GET, "x");
    replace();
    view.refuse = false;
    EXPECT_FALSE(is_answered(number));
}

// Guards against counts and states that are never answered.
TEST_F(Leader, AnswersFromMemoryWhileItLeads)
{
    start();
    EXPECT_EQ(submit("j", {{}}), JOB_OUTCOME_DONE);
    EXPECT_EQ(call(JOB_VERB_GET, "j", nullptr), JOB_OUTCOME_DONE);
    EXPECT_EQ(call(JOB_VERB_GET, "x", nullptr), JOB_OUTCOME_NOT_FOUND);
    EXPECT_EQ(call(JOB_VERB_COUNT_PENDING, "", nullptr), JOB_OUTCOME_DONE);
}

/* Makes a leader with one executor, of one core, that finishes a task a
   second. */
struct BusyLeader : public Leader {
    fake_clock_t fake;
    uint64_t ends = 0;

    job_outcome_t
    submit_timed(const std::string &id, uint32_t count, uint32_t priority)
    {
        Teasel__JobSpec *spec = make_spec(id, {{.count = count}}, 2, priority);
        job_outcome_t outcome;

        spec->steps[0]->estimated_ms = 1000;
        spec->slack_percent = 100;
        outcome = call(JOB_VERB_SUBMIT, id, spec);
        teasel__job_spec__free_unpacked(spec, nullptr);
        return outcome;
    }
    bool
    is_placed(const std::string &id)
    {
        sched_job_t *job = sched_find(leader->sched, id.c_str());
        sched_task_t *task = sched_job_find_task(job, 0, 0, 0);

        return task->executor != nullptr;
    }
    void
    begin_busy()
    {
        Report report("10.0.0.1:80/a/100", 1000);

        fake_clock_init(&fake);
        clock = &fake.clock;
        start();
        sched_apply_report(leader->sched, "node", report.get());
        for (int i = 0; i < 10; i++) {
            std::string id = "done" + std::to_string(i);
            Report end("10.0.0.1:80/a/100", 1000);

            ASSERT_EQ(submit_timed(id, 1, 0), JOB_OUTCOME_DONE);
            ASSERT_TRUE(
                loop_wait(loop, DONE_MS, [&] { return is_placed(id); }));
            fake_clock_advance_ms(&fake, 1000);
            end.message.listed = false;
            end.ends(++ends, {id + ".0.0.0", 1}, SCHED_END_DONE);
            sched_apply_report(leader->sched, "node", end.get());
        }
    }
};

// Guards against a job that is accepted although it certainly ends too late,
// and against a refusal that another leader could contradict.
TEST_F(BusyLeader, RefusesAJobThatCannotBeOfUse)
{
    g_autoptr(GString) metrics = g_string_new(nullptr);
    uint64_t proof_waits;

    begin_busy();
    ASSERT_EQ(submit_timed("urgent", 50, 0), JOB_OUTCOME_DONE);
    ASSERT_TRUE(loop_wait(loop, DONE_MS, [&] { return is_placed("urgent"); }));
    fake_clock_advance_ms(&fake, 300);
    loop_run_ms(loop, 150);
    proof_waits = leader->proof_waits;
    EXPECT_EQ(submit_timed("late", 1, 2), JOB_OUTCOME_REFUSED);
    EXPECT_EQ(leader->proof_waits, proof_waits + 1);
    EXPECT_GE(retry_ms[calls], 30000U);
    leader_write_metrics(leader, metrics);
    EXPECT_NE(
        strstr(metrics->str,
               "teasel_jobs_refused_total{reason=\"lack of capacity\"} 1"),
        nullptr);
    EXPECT_EQ(submit_timed("urgent-too", 1, 0), JOB_OUTCOME_DONE);
    EXPECT_EQ(call(JOB_VERB_GET, "late", nullptr), JOB_OUTCOME_NOT_FOUND);
}

// Guards against refusals while there is capacity.
TEST_F(BusyLeader, AcceptsJobsWhileAnExecutorHasRoom)
{
    Report other("10.0.0.2:80/b/100", 1500);

    begin_busy();
    ASSERT_EQ(submit_timed("urgent", 50, 0), JOB_OUTCOME_DONE);
    ASSERT_TRUE(loop_wait(loop, DONE_MS, [&] { return is_placed("urgent"); }));
    fake_clock_advance_ms(&fake, 300);
    loop_run_ms(loop, 150);
    sched_apply_report(leader->sched, "node", other.get());
    EXPECT_EQ(submit_timed("late", 1, 2), JOB_OUTCOME_DONE);
}

// Guards against refusals that are late or indefinite while the store is away,
// although all other schedulers confirm the leader.
TEST_F(Leader, RefusesWhileTheStoreIsAwayOnceTheOthersConfirm)
{
    enum {
        SOON_MS = 100
    };

    start();
    acked_ms = now_ms();
    lose_store();
    uint64_t number = send_submission("j");
    ASSERT_TRUE(loop_wait(loop, SOON_MS, [&] { return asked > 0; }));
    leader_answer_proven(leader);
    EXPECT_EQ(outcomes.count(number), 0U);
    acked_ms = now_ms();
    leader_answer_proven(leader);
    EXPECT_EQ(outcomes.count(number), 1U);
    EXPECT_EQ(outcomes[number], JOB_OUTCOME_REFUSED);
}

// Guards against callers that use up their retries within an outage, as they
// are told to come back after a second for as long as it lasts.
TEST_F(Leader, SendsCallersAwayForLongerInALongOutage)
{
    fake_clock_t fake;

    fake_clock_init(&fake);
    clock = &fake.clock;
    start();
    fake_clock_advance_ms(&fake, 2000);
    view.refuse = true;
    loop_run_ms(loop, 200);
    fake_clock_advance_ms(&fake, 4000);
    ASSERT_TRUE(loop_wait(loop, 3000, [&] { return leader->writes_failing; }));
    acked_ms = now_ms();
    uint64_t number = send_submission("j");
    fake_clock_advance_ms(&fake, 2);
    acked_ms = now_ms();
    leader_answer_proven(leader);
    ASSERT_EQ(outcomes[number], JOB_OUTCOME_REFUSED);
    EXPECT_GE(retry_ms[number], 3000U);
    EXPECT_LE(retry_ms[number], 5000U);
}

// Guards against a refusal on an acknowledgement of what was sent before the
// call arrived.
TEST_F(Leader, TakesNoProofFromAnEarlierAcknowledgement)
{
    fake_clock_t fake;

    fake_clock_init(&fake);
    clock = &fake.clock;
    start();
    fake_clock_advance_ms(&fake, 2000);
    view.refuse = true;
    loop_run_ms(loop, 200);
    fake_clock_advance_ms(&fake, 2000);
    ASSERT_TRUE(loop_wait(loop, 3000, [&] { return leader->writes_failing; }));
    acked_ms = now_ms();
    uint64_t number = send_submission("j");
    leader_answer_proven(leader);
    EXPECT_FALSE(is_answered(number, 100));
    fake_clock_advance_ms(&fake, 2);
    acked_ms = now_ms();
    leader_answer_proven(leader);
    EXPECT_EQ(outcomes[number], JOB_OUTCOME_REFUSED);
}

// Guards against callers who wait for a refusal that can't become definite.
TEST_F(Leader, AnswersAtOnceThatARefusalCannotBeProven)
{
    start();
    lose_store();
    uint64_t number = send_submission("j");
    EXPECT_EQ(outcomes.count(number), 1U);
    EXPECT_EQ(outcomes[number], JOB_OUTCOME_UNKNOWN);
}

// Guards against a caller who is told that a job never runs, by a leader whose
// write has had no answer, while its successor has accepted the job.
TEST_F(Leader, RefusesAWithdrawnSubmissionOnlyWithAProof)
{
    enum {
        EXPIRED_MS = 1500
    };

    start();
    hold_write();
    uint64_t number = send_submission("j");
    EXPECT_TRUE(is_answered(number, EXPIRED_MS));
    EXPECT_EQ(outcomes[number], JOB_OUTCOME_UNKNOWN);
    view.release();
}

// Guards against a submission without a definite outcome, though no write has
// included the job and all other schedulers confirm the leader.
TEST_F(Leader, RefusesAWithdrawnSubmissionWithAProof)
{
    enum {
        EXPIRED_MS = 1500
    };

    start();
    hold_write();
    uint64_t number = send_submission("j");
    loop_run_ms(loop, 5);
    acked_ms = now_ms();
    EXPECT_TRUE(is_answered(number, EXPIRED_MS));
    EXPECT_EQ(outcomes[number], JOB_OUTCOME_REFUSED);
    view.release();
}

// Guards against a task of a cancelled job that starts on the lease of a later
// leader: its agent kept the start of the earlier one, and gets the lease
// before the stop.
TEST_F(Leader, GrantsNoLeaseBeforeTheStopsThatItRepeats)
{
    Executor executor("127.0.0.1:1/e/1");

    executor.capacity.cpu_milli = 100000;
    start();
    {
        Agent agent(this);
        agent.executors = {&executor.report};
        agent.report();
        ASSERT_EQ(submit("j", {{.long_running = true}}), JOB_OUTCOME_DONE);
        ASSERT_TRUE(loop_wait(loop, DONE_MS, [&] {
            return !agent.starts.empty() && agent.starts.back() == 1;
        }));
    }
    leader_free(leader);
    loop_run_ms(loop, 50);
    start();
    ASSERT_EQ(call(JOB_VERB_CANCEL, "j", nullptr), JOB_OUTCOME_DONE);
    loop_run_ms(loop, 100);
    Agent agent(this);
    executor.run("j.0.0.0");
    executor.status.pending = true;
    agent.executors = {&executor.report};
    view.hold = true; /* the store takes its time with another job */
    send_submission("other");
    ASSERT_TRUE(loop_wait(loop, DONE_MS, [&] { return !view.calls.empty(); }));
    EXPECT_GT(agent.report(), 0U);
    EXPECT_EQ(agent.stops.back(), 1U);
    view.release();
    EXPECT_TRUE(
        loop_wait(loop, DONE_MS, [&] { return agent.stops.back() == 1; }));
}

// Guards against work that is stopped as without progress after a pause of the
// leader, though its reports wait in the leader's sockets.
TEST_F(Leader, StopsNoRunForAPauseOfItsOwn)
{
    fake_clock_t fake;
    Executor executor("127.0.0.1:1/e/1");

    fake_clock_init(&fake);
    clock = &fake.clock;
    start();
    Agent agent(this);
    begin_run(agent, executor);
    fake_clock_advance_ms(&fake, PAUSE_MS);
    loop_run_ms(loop, 300);
    executor.status.percent = 50;
    agent.report();
    loop_run_ms(loop, 1000);
    EXPECT_EQ(agent.count_stops(), 0U);
}

// Guards against a second run of a task that was done when the leader stood
// still: its lease has expired meanwhile, and its end waits for the agent to
// connect again.
TEST_F(Leader, TakesEndsAfterAPauseBeforeItExpiresLeases)
{
    fake_clock_t fake;
    Executor executor("127.0.0.1:1/e/1");
    Executor idle("127.0.0.1:2/f/1");

    fake_clock_init(&fake);
    clock = &fake.clock;
    start();
    {
        Agent agent(this);
        begin_run(agent, executor);
    }
    Agent other(this, "other", 13);
    other.executors = {&idle.report};
    other.report();
    fake_clock_advance_ms(&fake, PAUSE_MS);
    loop_run_ms(loop, 200);
    Agent agent(this);
    executor.end_as_done("j.0.0.0");
    agent.executors = {&executor.report};
    agent.report();
    loop_run_ms(loop, 1000);
    EXPECT_EQ(other.count_starts(), 0U);
    EXPECT_EQ(sched_job_get_visible_state(sched_find(leader->sched, "j")),
              SCHED_JOB_COMPLETED);
}

// Guards against a leader that is paused again and again, for example by a
// limit on its CPU, and never places anything, as each pause starts the wait
// for reports anew.
TEST_F(Leader, StartsTasksBetweenPausesThatFollowEachOther)
{
    constexpr int PAUSES = 12;
    constexpr int SHORT_PAUSE_MS = 1100;
    fake_clock_t fake;
    Executor executor("127.0.0.1:1/e/1");

    fake_clock_init(&fake);
    clock = &fake.clock;
    start();
    Agent agent(this);
    agent.executors = {&executor.report};
    agent.report();
    for (int i = 0; i < PAUSES; i++) {
        fake_clock_advance_ms(&fake, SHORT_PAUSE_MS);
        if (i == 0) {
            send_submission("j");
        }
        loop_run_ms(loop, 300);
        agent.report();
    }
    /* The reports lack the run, so the start is repeated. */
    EXPECT_GT(agent.count_starts(), 0U);
}

// Guards against a stop that is lost, as the agent took no order for an
// executor that the leader did not know anew yet.
TEST_F(Leader, RepeatsAStopOnceItKnowsAnExecutorAnew)
{
    Executor executor("127.0.0.1:1/e/1");

    start();
    Agent agent(this);
    begin_run(agent, executor);
    send(JOB_VERB_CANCEL, "j");
    ASSERT_TRUE(
        loop_wait(loop, DONE_MS, [&] { return agent.count_stops() == 1; }));
    agent.report();
    EXPECT_EQ(agent.count_stops(), 2U);
    EXPECT_EQ(agent.ordered_echo_us, agent.sent_us);
}

// Guards against orders that no agent takes: those of a later leader, or on a
// later connection, before it has received the lists.
TEST_F(Leader, OrdersNothingBeforeItKnowsTheExecutorsOfAConnection)
{
    Executor executor("127.0.0.1:1/e/1");

    start();
    {
        Agent agent(this);
        begin_run(agent, executor);
    }
    send(JOB_VERB_CANCEL, "j");
    Agent agent(this);
    agent.executors = {&executor.report};
    executor.report.listed = false;
    agent.report();
    loop_run_ms(loop, DONE_MS);
    EXPECT_EQ(agent.ordered_echo_us, 0U);
    EXPECT_EQ(agent.count_stops(), 0U);
    executor.report.listed = true;
    agent.report();
    EXPECT_EQ(agent.count_stops(), 1U);
    EXPECT_EQ(agent.ordered_echo_us, agent.sent_us);
}

// Guards against a caller that gives up a job which an earlier call has
// submitted: the leader that refused the repeat did not know the jobs yet.
TEST_F(Leader, SpeaksOfTheCallOnlyWhileItLoads)
{
    start();
    ASSERT_EQ(submit("j", {{}}), JOB_OUTCOME_DONE);
    leader_free(leader);
    loop_run_ms(loop, 50);
    view.silent = true;
    begin();
    EXPECT_EQ(submit("j", {{}}), JOB_OUTCOME_CALL_REFUSED);
}

// Guards against a new leader that starts work, or ends evacuations at the
// agents, before its scheduler has listed the evacuations.
TEST_F(Leader, StartsNothingBeforeItKnowsTheEvacuations)
{
    evacuation_free(evacuation);
    evacuation = evacuation_new();
    start();
    Agent agent(this);
    Executor executor("10.0.0.1:80/id/1");
    agent.executors = {&executor.report};
    agent.report();
    ASSERT_EQ(submit("j", {{}}), JOB_OUTCOME_DONE);
    loop_run_ms(loop, 300);
    agent.report();
    EXPECT_EQ(agent.count_starts(), 0U);
    EXPECT_EQ(agent.evacuated, "unknown");
    g_ptr_array_unref(evacuation_finish_listing(evacuation));
    leader_note_evacuation(leader);
    EXPECT_TRUE(
        loop_wait(loop, DONE_MS, [&] { return agent.count_starts() == 1; }));
    EXPECT_EQ(agent.evacuated, "");
}

// Guards against agents that learn of an evacuation only with the next lease,
// and against a start that follows it.
TEST_F(Leader, NamesEvacuatedDataCentresToItsAgentsAtOnce)
{
    start();
    Agent agent(this);
    Executor executor("10.0.0.1:80/id/1");
    agent.executors = {&executor.report};
    agent.report();
    evacuation_begin(evacuation, "dc", 1, false);
    evacuation_begin(evacuation, "other", 2, false);
    leader_note_evacuation(leader);
    ASSERT_TRUE(loop_wait(loop, DONE_MS,
                          [&] { return agent.evacuated == "dc other "; }));
    ASSERT_EQ(submit("j", {{}}), JOB_OUTCOME_DONE);
    loop_run_ms(loop, 300);
    EXPECT_EQ(agent.count_starts(), 0U);
    evacuation_end(evacuation, "dc", 3);
    leader_note_evacuation(leader);
    EXPECT_TRUE(
        loop_wait(loop, DONE_MS, [&] { return agent.count_starts() == 1; }));
    EXPECT_EQ(agent.evacuated, "other ");
}

// Guards against a start of a run that an earlier leader has placed, and that
// the agent does not list.
TEST_F(Leader, RepeatsNoStartOfAnEarlierLeaderInAnEvacuatedDataCentre)
{
    start();
    {
        Agent agent(this);
        Executor executor("10.0.0.1:80/id/1");

        begin_run(agent, executor);
    }
    leader_free(leader);
    evacuation_begin(evacuation, "dc", 1, false);
    start();
    Agent agent(this);
    Executor executor("10.0.0.1:80/id/1");
    agent.executors = {&executor.report};
    agent.report();
    EXPECT_TRUE(
        loop_wait(loop, DONE_MS, [&] { return agent.count_stops() == 1; }));
    EXPECT_EQ(agent.count_starts(), 0U);
}

// Guards against a leader that gives its place up while it loads the stored
// jobs through a slow link: the next one would do the same.
TEST_F(Leader, ReachesTheStoreWhileAListingArrivesSlowly)
{
    view.list_ms = 1500;
    begin();
    ASSERT_TRUE(
        loop_wait(loop, 4000, [&] { return leader_is_ready(leader); }));
    EXPECT_EQ(store_failures, 0);
}

// Guards against a leader that holds its place though its link has stopped
// while it loads the stored jobs.
TEST_F(Leader, DoesNotReachAStoreWhoseListingFails)
{
    view.silence_ms = 300;
    begin();
    ASSERT_TRUE(loop_wait(loop, DONE_MS, [&] {
        view.silent = leader->stage == LEADER_LOADING;
        return view.silent;
    }));
    EXPECT_TRUE(loop_wait(loop, DONE_MS, [&] { return store_failures == 1; }));
    view.silent = false;
    EXPECT_TRUE(
        loop_wait(loop, DONE_MS, [&] { return leader_is_ready(leader); }));
}

// Guards against a write that takes a slow link so long that it is given up,
// and sent again as it was.
TEST_F(Leader, WritesNoMoreAtATimeThanASlowLinkCarries)
{
    enum {
        JOBS = 120, /* carried before a call is abandoned */
        RECORD_BYTES = 1000,
        MAX_WRITE_BYTES = 100 * 1000,
    };
    std::string text(RECORD_BYTES, 'x');

    start();
    view.bytes_per_ms = 250; /* 2 Mbit/s */
    for (int i = 0; i < JOBS; i++) {
        Teasel__JobSpec *spec = make_spec("j" + std::to_string(i), {{}});

        g_free(spec->payload);
        spec->payload = g_strdup(text.c_str());
        send(JOB_VERB_SUBMIT, spec->id, spec);
        teasel__job_spec__free_unpacked(spec, nullptr);
    }
    EXPECT_TRUE(
        loop_wait(loop, 5000, [&] { return outcomes.size() == JOBS; }));
    EXPECT_GT(view.longest_append, (size_t)RECORD_BYTES);
    EXPECT_LT(view.longest_append, (size_t)MAX_WRITE_BYTES);
    EXPECT_EQ(store_failures, 0);
    EXPECT_EQ(leader->write_retries, 0U);
}

} // namespace
