#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "cell_records.h"
#include "fake_clock.h"

extern "C" {
#include "batch/candidate.h"
#include "batch/coordinator.h"
#include "batch/learn.h"
#include "batch/quarantine.h"
}

namespace {

constexpr uint64_t kLeaseMs = 15000;

/* A coordinator with a cell; decide() applies its decisions. */
struct CoordinatorTest : public ::testing::Test {
    fake_clock_t clock;
    cell_t *cell = cell_new();
    coordinator_t *coordinator = nullptr;
    std::vector<std::string> sent;
    uint32_t lease = 0;
    uint64_t number = 0;

    static void
    on_send(const char *agent, const Teasel__Envelope *message, void *data)
    {
        auto *self = static_cast<CoordinatorTest *>(data);
        const std::string name = agent;

        switch (message->body_case) {
        case TEASEL__ENVELOPE__BODY_RENEW:
            self->lease = message->renew->lease_ms;
            self->sent.push_back("renew " + name);
            break;
        case TEASEL__ENVELOPE__BODY_START_TASK:
            self->sent.push_back("start " + name + " " +
                                 message->start_task->job_id);
            break;
        case TEASEL__ENVELOPE__BODY_STOP_TASK:
            self->sent.push_back("stop " + name + " " +
                                 message->stop_task->job_id);
            break;
        default:
            self->sent.push_back("release " + name);
            break;
        }
    }

    void
    SetUp() override
    {
        coordinator_opts_t opts = {};

        fake_clock_init(&clock);
        opts.clock = &clock.clock;
        opts.cell = cell;
        opts.lease_ms = kLeaseMs;
        opts.send = on_send;
        opts.data = this;
        coordinator = coordinator_new(&opts);
        apply(records::claim(++number, "a0", 0));
        coordinator_activate(coordinator, 1);
    }

    void
    TearDown() override
    {
        coordinator_free(coordinator);
        cell_free(cell);
    }

    void
    apply(const records::bytes &data)
    {
        records::apply(cell, data, number);
    }

    void
    heartbeat(std::string worker, uint32_t cpu = 1000,
              const std::vector<std::string> &tasks = {}, int proof_age = 0,
              uint64_t incarnation = 1, uint32_t accelerators = 0)
    {
        Teasel__Heartbeat beat = TEASEL__HEARTBEAT__INIT;
        Teasel__Resources capacity = TEASEL__RESOURCES__INIT;
        std::vector<Teasel__RunningTask> items(tasks.size());
        std::vector<Teasel__RunningTask *> pointers;

        for (size_t i = 0; i < tasks.size(); i++) {
            teasel__running_task__init(&items[i]);
            items[i].job_id = const_cast<char *>(tasks[i].c_str());
            items[i].attempt = 1;
            pointers.push_back(&items[i]);
        }
        capacity.cpu_milli = cpu;
        capacity.memory_mb = 1000;
        capacity.accelerators = accelerators;
        beat.agent_id = worker.data();
        beat.incarnation = incarnation;
        beat.capacity = &capacity;
        beat.n_tasks = tasks.size();
        beat.tasks = pointers.data();
        coordinator_on_heartbeat(coordinator, &beat,
                                 timespec_add_ms(clock.now, -proof_age));
    }

    void
    report(std::string worker, std::string job, Teasel__Outcome outcome)
    {
        Teasel__TaskReport message = TEASEL__TASK_REPORT__INIT;
        const cell_job_t *job_state = cell_find_job(cell, job.c_str());

        message.agent_id = worker.data();
        message.job_id = job.data();
        message.attempt = job_state->attempt;
        message.outcome = outcome;
        coordinator_on_report(coordinator, &message);
    }

    /* Makes a decision and applies it. Returns its number of items. */
    size_t
    decide()
    {
        const Teasel__Decision *decision = coordinator_decide(coordinator);
        const size_t items = decision == nullptr ? 0 : decision->n_items;

        if (decision != nullptr) {
            apply(records::decision(++number, *decision));
            coordinator_on_write_result(coordinator);
        }
        return items;
    }

    void
    submit(const std::string &id, unsigned cpu, const std::string &extra = "")
    {
        apply(records::submit(++number, id, records::spec(cpu, extra)));
    }

    void
    submit_for_team_u(const std::string &id, unsigned cpu)
    {
        std::string spec = records::spec(cpu);

        spec.replace(spec.find("\"team\":\"t\""), 10, "\"team\":\"u\"");
        apply(records::submit(++number, id, spec));
    }

    /* Sets the processor quota of team "t". */
    void
    set_quota_of_t(uint32_t cpu_milli)
    {
        const job_size_t limit = {cpu_milli, 1000, 1000000};

        coordinator_set_team(coordinator, "t", 100, &limit);
    }

    int
    count_running(const std::string &prefix, int count)
    {
        int running = 0;

        for (int i = 0; i < count; i++) {
            running += state(prefix + std::to_string(i)) == "running w0";
        }
        return running;
    }

    std::string
    state(const std::string &id)
    {
        const cell_job_t *job = cell_find_job(cell, id.c_str());

        return job == nullptr ? "unknown"
                              : std::string(cell_state_get_name(job->state)) +
                                    (cell_job_is_running(job)
                                         ? std::string(" ") + job->worker
                                         : "");
    }

    /* Advances the clock in steps of 500 ms, with a heartbeat of each worker
       and a decision in each. */
    void
    advance(const std::vector<std::string> &workers, int ms)
    {
        for (; ms > 0; ms -= 500) {
            fake_clock_advance_ms(&clock, 500);
            for (const auto &worker : workers) {
                std::vector<std::string> tasks;

                LIST_FOREACH (job, &cell->live, cell_job_t, link) {
                    if (cell_job_is_running(job) && worker == job->worker) {
                        tasks.push_back(job->id);
                    }
                }
                heartbeat(worker, 1000, tasks);
            }
            decide();
        }
    }
};

// Guards against a lease that is still valid when the next coordinator expires
// its attempts.
TEST_F(CoordinatorTest, LeaseIsShortenedByTheAgeOfTheLogRead)
{
    heartbeat("w0", 1000, {}, 4000);
    EXPECT_EQ(lease, kLeaseMs - 4000);
    heartbeat("w0", 1000, {}, 16000);
    EXPECT_EQ(lease, 0U);
}

// Guards against a new attempt next to one that still holds a longer lease of
// the previous coordinator, as after a change of settings.
TEST_F(CoordinatorTest, WaitsForLongerLeasesOfThePreviousCoordinator)
{
    uint64_t epoch = number;

    submit("a", 100);
    heartbeat("w1");
    decide();
    decide();
    ASSERT_EQ(state("a"), "running w1");
    apply(records::claim(++number, "a9", epoch, 4 * kLeaseMs));
    epoch = number;
    apply(records::claim(++number, "a0", epoch, kLeaseMs));
    coordinator_activate(coordinator, number);
    advance({}, 4 * kLeaseMs);
    EXPECT_NE(state("a"), "queued");
    advance({}, kLeaseMs);
    EXPECT_EQ(state("a"), "queued");
}

// Guards against a renewal while the expiry of an attempt is being written:
// the task would resume and run next to its successor.
TEST_F(CoordinatorTest, NoRenewalWhileAnExpiryIsInFlight)
{
    heartbeat("w0");
    decide();
    submit("j", 100);
    decide();
    EXPECT_EQ(state("j"), "running w0");
    advance({}, 16000);
    EXPECT_EQ(state("j"), "revoked w0");
    fake_clock_advance_ms(&clock, 500);
    const Teasel__Decision *decision = coordinator_decide(coordinator);
    ASSERT_NE(decision, nullptr);
    EXPECT_EQ(decision->items[0]->item_case,
              TEASEL__DECISION_ITEM__ITEM_EXPIRE);
    heartbeat("w0", 1000, {"j"});
    EXPECT_EQ(lease, 0U);
    apply(records::decision(++number, *decision));
    coordinator_on_write_result(coordinator);
    EXPECT_EQ(state("j"), "queued");
    sent.clear();
    heartbeat("w0", 1000, {"j"});
    EXPECT_GT(lease, 0U);
    EXPECT_EQ(sent, (std::vector<std::string>{"stop w0 j", "renew w0"}));
}

// Guards against a start that is sent before it is on the log, and against a
// lost start message that is never repeated.
TEST_F(CoordinatorTest, StartIsSentOnceItIsOnTheLogAndRepeated)
{
    heartbeat("w0");
    decide();
    submit("j", 100);
    sent.clear();
    const Teasel__Decision *decision = coordinator_decide(coordinator);
    ASSERT_NE(decision, nullptr);
    EXPECT_TRUE(sent.empty());
    EXPECT_EQ(coordinator_decide(coordinator), nullptr);
    apply(records::decision(++number, *decision));
    EXPECT_EQ(sent, (std::vector<std::string>{"start w0 j"}));
    coordinator_on_write_result(coordinator);
    sent.clear();
    heartbeat("w0");
    EXPECT_EQ(sent, (std::vector<std::string>{"start w0 j", "renew w0"}));
}

// Guards against lost tasks of a restarted worker that are started again only
// after the whole lease.
TEST_F(CoordinatorTest, LostTaskOfARestartedWorkerIsStartedAgainSoon)
{
    heartbeat("w0");
    decide();
    submit("j", 100);
    decide();
    for (int i = 0; i < 6; i++) {
        fake_clock_advance_ms(&clock, 500);
        heartbeat("w0", 1000, {}, 0, 2);
        decide();
    }
    EXPECT_EQ(cell_find_job(cell, "j")->attempt, 2U);
}

// Guards against large jobs that starve behind a stream of small ones.
TEST_F(CoordinatorTest, LargeJobGetsAReservedWorker)
{
    heartbeat("w0");
    decide();
    for (int i = 0; i < 300; i++) {
        submit("s" + std::to_string(i), 200);
        if (i == 10) {
            submit("large", 900);
        }
        if (i % 2 == 1) {
            const std::string id = "s" + std::to_string(i - 6);

            if (i > 6 && state(id) == "running w0") {
                report("w0", id, TEASEL__OUTCOME__OUTCOME_DONE);
            }
        }
        std::vector<std::string> running;
        LIST_FOREACH (job, &cell->live, cell_job_t, link) {
            if (job->state == CELL_RUNNING &&
                job->spec.size.cpu_milli == 200 && i % 3 == 0) {
                running.push_back(job->id);
            }
        }
        if (!running.empty()) {
            report("w0", running.front(), TEASEL__OUTCOME__OUTCOME_DONE);
        }
        advance({"w0"}, 500);
        if (state("large") == "running w0") {
            return;
        }
    }
    FAIL() << "the large job is " << state("large");
}

// Guards against cancellations that hold back starts, or that are lost.
TEST_F(CoordinatorTest, BurstOfCancellationsHoldsBackNoStart)
{
    heartbeat("w0");
    decide();
    for (int i = 0; i < 10000; i++) {
        submit("c" + std::to_string(i), 100);
    }
    decide();
    submit("urgent", 100, ",\"priority\":\"urgent\"");
    for (int i = 0; i < 10000; i++) {
        apply(records::cancel(++number, "c" + std::to_string(i)));
    }
    for (int i = 0; i < 10; i++) {
        report("w0", "c" + std::to_string(i),
               TEASEL__OUTCOME__OUTCOME_CANCELLED);
    }
    decide();
    decide();
    EXPECT_EQ(state("urgent"), "running w0");
    EXPECT_EQ(cell->live_count, 1U);
}

// Guards against endless attempts of a job that fails on every worker, and
// against more tasks for a worker on which every job fails.
TEST_F(CoordinatorTest, FailingJobEndsAndFailingWorkerIsQuarantined)
{
    const std::vector<std::string> workers = {"w0", "w1", "w2", "w3"};

    for (const auto &worker : workers) {
        heartbeat(worker);
    }
    decide();
    submit("bad", 1000);
    for (int i = 0; i < 4 && state("bad") != "failed"; i++) {
        decide();
        ASSERT_TRUE(cell_job_is_running(cell_find_job(cell, "bad")));
        report(cell_find_job(cell, "bad")->worker, "bad",
               TEASEL__OUTCOME__OUTCOME_FAILED);
        decide();
    }
    EXPECT_EQ(state("bad"), "failed");
    EXPECT_EQ(cell_find_job(cell, "bad")->attempt, 3U);
    for (int i = 0; i < 200; i++) {
        submit("j" + std::to_string(i), 1000);
        decide();
        LIST_FOREACH_SAFE (job, &cell->live, cell_job_t, link) {
            if (cell_job_is_running(job)) {
                const std::string worker = job->worker;

                report(worker, job->id,
                       worker == "w0" ? TEASEL__OUTCOME__OUTCOME_FAILED
                                      : TEASEL__OUTCOME__OUTCOME_DONE);
            }
        }
        decide();
    }
    EXPECT_TRUE(cell_find_worker(cell, "w0")->quarantined);
    EXPECT_FALSE(cell_find_worker(cell, "w1")->quarantined);
    advance(workers, 62000);
    EXPECT_FALSE(cell_find_worker(cell, "w0")->quarantined);
}

// Guards against jobs without accelerators that use up the processors of a
// worker with accelerators while another worker is free.
TEST_F(CoordinatorTest, AcceleratorsAreNotStranded)
{
    heartbeat("gpu", 1000, {}, 0, 1, 4);
    heartbeat("plain", 1000);
    decide();
    submit("j", 900);
    submit("k", 900, ",\"accelerators\":4");
    decide();
    EXPECT_EQ(state("j"), "running plain");
    EXPECT_EQ(state("k"), "running gpu");
}

// Guards against a team that occupies the whole cell while another waits.
TEST_F(CoordinatorTest, TeamsShareTheCell)
{
    heartbeat("w0");
    decide();
    for (int i = 0; i < 20; i++) {
        submit("t" + std::to_string(i), 100);
    }
    for (int i = 0; i < 20; i++) {
        submit_for_team_u("u" + std::to_string(i), 100);
    }
    decide();
    int of_u = 0;
    for (int i = 0; i < 20; i++) {
        of_u += state("u" + std::to_string(i)) == "running w0";
    }
    EXPECT_EQ(of_u, 5);
}

// Guards against a team that starts more than its quota, a quota that holds
// back other teams, and a lowered quota that evicts jobs.
TEST_F(CoordinatorTest, QuotaStopsStartsAndEvictsNothing)
{
    set_quota_of_t(300);
    heartbeat("w0");
    decide();
    for (int i = 0; i < 5; i++) {
        submit("t" + std::to_string(i), 100);
    }
    decide();
    EXPECT_EQ(count_running("t", 5), 3);
    submit("t5", 100);
    submit_for_team_u("u0", 100);
    advance({"w0"}, 3000);
    EXPECT_EQ(count_running("t", 6), 3);
    EXPECT_EQ(count_running("u", 1), 1);

    set_quota_of_t(100);
    sent.clear();
    advance({"w0"}, 3000);
    EXPECT_EQ(count_running("t", 6), 3);
    for (const auto &message : sent) {
        EXPECT_EQ(message, "renew w0");
    }
    submit_for_team_u("u1", 100);
    advance({"w0"}, 500);
    EXPECT_EQ(count_running("u", 2), 2);

    set_quota_of_t(0);
    for (int i = 0; i < 6; i++) {
        const std::string id = "t" + std::to_string(i);

        if (state(id) == "running w0") {
            report("w0", id, TEASEL__OUTCOME__OUTCOME_DONE);
        }
    }
    advance({"w0"}, 3000);
    EXPECT_EQ(count_running("t", 6), 0);
    EXPECT_EQ(cell->queued_count, 3U);
    coordinator_reset_teams(coordinator);
    advance({"w0"}, 500);
    EXPECT_EQ(count_running("t", 6), 3);
}

// Guards against a worker that stays reserved for a job which the quota of its
// team does not allow to start.
TEST_F(CoordinatorTest, QuotaReleasesTheReservedWorker)
{
    heartbeat("w0");
    decide();
    submit_for_team_u("u0", 200);
    decide();
    submit("t0", 900);
    advance({"w0"}, 12000);
    submit_for_team_u("u1", 200);
    advance({"w0"}, 2000);
    EXPECT_EQ(count_running("u", 2), 1);
    set_quota_of_t(0);
    advance({"w0"}, 2000);
    EXPECT_EQ(count_running("u", 2), 2);
    EXPECT_EQ(state("t0"), "queued");
}

// Guards against learned sizes below a quarter of the declared ones or from
// too few observations.
TEST(Learn, QuantileWithFloor)
{
    const std::string text = records::spec(400);
    learn_t *learn = learn_new();
    job_spec_t spec;
    job_size_t size;
    uint64_t run_ms;

    ASSERT_TRUE(
        job_spec_parse(text.data(), text.size(), &spec, nullptr, nullptr));
    learn_class_t *class_ = learn_get_class(learn, &spec);
    const job_size_t peak = {20, 0, 250};
    for (int i = 0; i < LEARN_MIN_OBSERVATIONS; i++) {
        learn_estimate(class_, &spec, &size, &run_ms);
        EXPECT_EQ(size.cpu_milli, 400U);
        learn_add_observation(class_, &spec, &peak, 3000);
    }
    learn_estimate(class_, &spec, &size, &run_ms);
    EXPECT_EQ(size.cpu_milli, 100U);
    EXPECT_EQ(size.memory_mb, 250U);
    EXPECT_EQ(run_ms, 3000U);
    job_spec_clear(&spec);
    learn_free(learn);
}

// Guards against a candidate that claims the role of a live coordinator after
// its own process was stalled.
TEST(Candidate, SilenceIsCountedAnewAfterAStall)
{
    fake_clock_t clock;
    candidate_t candidate;

    fake_clock_init(&clock);
    candidate_init(&candidate, &clock.clock, 3000, 500);
    for (int i = 0; i < 34; i++) {
        fake_clock_advance_ms(&clock, 100);
        EXPECT_FALSE(candidate_is_due(&candidate));
    }
    fake_clock_advance_ms(&clock, 100);
    EXPECT_TRUE(candidate_is_due(&candidate));
    fake_clock_advance_ms(&clock, 20000);
    EXPECT_FALSE(candidate_is_due(&candidate));
    candidate_note_leave(&candidate);
    fake_clock_advance_ms(&clock, 500);
    EXPECT_TRUE(candidate_is_due(&candidate));
}

} // namespace
