/* Refusal of jobs for lack of capacity. */

#include <gtest/gtest.h>

#include <array>
#include <deque>
#include <numeric>
#include <random>

#include "sched_fixture.h"

extern "C" {
#include "sched/backlog.h"
#include "sched/job_admission.h"
#include "sched/seen_jobs.h"
#include "scheduler/retry_after.h"
}

namespace {

const std::string A = "10.0.0.1:80/a/100";

/* A job that meets a backlog of 100 s and can be of use for 30 s. */
job_admission_t
make_hopeless()
{
    job_admission_t admission = {};

    admission.useful_ms = 30000;
    admission.chain_ms = 1000;
    admission.work_before = 1000000;
    admission.rate = 10;
    return admission;
}

// Guards against a job that is accepted although it cannot be of use.
TEST(JobAdmission, RefusesAJobThatWouldEndTooLate)
{
    job_admission_t admission = make_hopeless();

    EXPECT_FALSE(job_admission_check(&admission));
    EXPECT_EQ(job_admission_get_wait_ms(&admission), 100000);
    admission.work_before = 290000;
    EXPECT_TRUE(job_admission_check(&admission));
    admission.age_ms = 1;
    EXPECT_FALSE(job_admission_check(&admission));
}

// Guards against a refusal while there is capacity or while nothing is known,
// and against one of a job that cannot be late.
TEST(JobAdmission, AcceptsWithRoomOrWithoutARateOrAnObjective)
{
    job_admission_t admission = make_hopeless();

    admission.has_room = true;
    EXPECT_TRUE(job_admission_check(&admission));
    admission = make_hopeless();
    admission.rate = 0;
    EXPECT_TRUE(job_admission_check(&admission));
    admission = make_hopeless();
    admission.useful_ms = 0;
    EXPECT_TRUE(job_admission_check(&admission));
}

// Guards against a queue or size class of which nothing is ever accepted.
TEST(JobAdmission, AcceptsOneOfAClassThatWasShutOut)
{
    job_admission_t admission = make_hopeless();

    admission.since_accepted_ms = 5000;
    EXPECT_TRUE(job_admission_check(&admission));
}

// Guards against a new leader, or an outage, whose few finished tasks are
// taken for the capacity.
TEST(DrainRate, IsTheHighestOfTheLastWindows)
{
    drain_rate_t rate = {};

    EXPECT_EQ(drain_rate_get(&rate, 1000), 0);
    drain_rate_add(&rate, 40000, 1000);
    EXPECT_EQ(drain_rate_get(&rate, 6000), 0);
    drain_rate_add(&rate, 8000, 6000);
    EXPECT_EQ(drain_rate_get(&rate, 9000), 10);
    EXPECT_EQ(drain_rate_get(&rate, 20000), 10);
    EXPECT_EQ(drain_rate_get(&rate, 37000), 2);
    EXPECT_EQ(drain_rate_get(&rate, 1000000), 0);
}

// Guards against a job that counts as new each time it is submitted, and
// against ids that are kept for ever.
TEST(SeenJobs, CountsFromTheFirstRefusal)
{
    seen_jobs_t *seen = seen_jobs_new();

    EXPECT_TRUE(seen_jobs_add(seen, "j", 1000));
    EXPECT_FALSE(seen_jobs_add(seen, "j", 2000));
    EXPECT_EQ(seen_jobs_get_age_ms(seen, "j", 5000), 4000);
    EXPECT_EQ(seen_jobs_get_age_ms(seen, "k", 5000), 0);
    for (int i = 0; i < 20000; i++) {
        seen_jobs_add(seen, ("x" + std::to_string(i)).c_str(), 400000);
    }
    EXPECT_FALSE(seen_jobs_contains(seen, "j"));
    EXPECT_FALSE(seen_jobs_contains(seen, "x19999"));
    seen_jobs_free(seen);
}

Teasel__JobSpec *
make_timed_spec(const std::string &id, uint32_t count, uint32_t cpu,
                uint32_t estimated_ms)
{
    Teasel__JobSpec *spec = make_spec(id, {{.count = count, .cpu = cpu}});

    spec->steps[0]->estimated_ms = estimated_ms;
    spec->slack_percent = 100;
    return spec;
}

/* A replay of callers that submit jobs, and retry those that are refused. */
struct Replay {
    enum {
        CPU_MILLI = 16000,
        STEP_MS = 50,
        SHORT_MS = 500,
        BATCH_MS = 1000,
        BATCH_ALLOWANCE_MS = 2000,
        RETRIES = 4,
        KINDS = 4, /* short jobs, and batch jobs of three sizes */
    };
    struct Job {
        std::string id;
        int kind;
        uint32_t count;
        int64_t first_ms; /* first attempt of the caller */
        int64_t next_ms;
        int attempts;
    };

    Core core;
    std::mt19937 random;
    GRand *jitter = g_rand_new_with_seed(3);
    bool refuses; /* refuses jobs for lack of capacity */
    bool outage = false;
    int64_t now_ms = 0;
    uint64_t ends = 0;
    unsigned next_job = 0;
    int free_milli = CPU_MILLI;
    std::vector<Job> callers; /* with a job that is not accepted yet */
    std::vector<Job> accepted;
    std::deque<std::pair<int64_t, TaskRun>> running;
    std::map<std::string, int> cpu; /* of a job's tasks */
    std::array<int, KINDS> offered = {};
    std::array<int, KINDS> useful = {};
    std::array<int, KINDS> in_time = {};
    int refusals = 0;
    int refused_with_room = 0;
    std::map<uint32_t, int> retry_ms;

    Replay(unsigned seed, bool refuses) : random(seed), refuses(refuses)
    {
        Report report(A, CPU_MILLI);

        core.report(report);
    }
    ~Replay()
    {
        g_rand_free(jitter);
    }
    static int64_t
    get_objective_ms(int kind)
    {
        return kind == 0 ? 3 * SHORT_MS : BATCH_ALLOWANCE_MS + BATCH_MS;
    }
    static Teasel__JobSpec *
    make(const Job &job)
    {
        Teasel__JobSpec *spec =
            job.kind == 0 ? make_timed_spec(job.id, job.count, 250, SHORT_MS)
                          : make_timed_spec(job.id, job.count, 1000, BATCH_MS);

        spec->priority = job.kind == 0 ? 0 : 2;
        spec->allowance_ms = job.kind == 0 ? 2 * SHORT_MS : BATCH_ALLOWANCE_MS;
        g_free(spec->queue);
        spec->queue = g_strdup(job.kind == 0 ? "short" : "batch");
        return spec;
    }
    void
    arrive(int kind)
    {
        static const uint32_t counts[] = {10, 3, 12, 28};

        callers.push_back({"job" + std::to_string(next_job++), kind,
                           counts[kind] + (uint32_t)random() % 3, now_ms,
                           now_ms, 0});
        offered[kind]++;
    }
    /* Returns false if the job was refused. */
    bool
    submit(const Job &job)
    {
        Teasel__JobSpec *spec = make(job);
        job_admission_t admission = {};

        if (!outage && (!refuses ||
                        sched_check_admission(core.sched, spec, &admission))) {
            cpu[job.id] = (int)spec->steps[0]->cpu_milli;
            sched_submit(core.sched, spec);
            return true;
        }
        refusals++;
        refused_with_room +=
            !outage && free_milli >= (int)spec->steps[0]->cpu_milli;
        sched_note_refused(core.sched, spec);
        teasel__job_spec__free_unpacked(spec, nullptr);
        return false;
    }
    uint32_t
    get_retry_ms(const Job &job)
    {
        job_admission_t admission = {};
        Teasel__JobSpec *spec = make(job);
        uint32_t retry;

        sched_check_admission(core.sched, spec, &admission);
        retry = retry_after_get_backlog_ms(
            (int64_t)job_admission_get_wait_ms(&admission), jitter);
        teasel__job_spec__free_unpacked(spec, nullptr);
        retry_ms[retry]++;
        return retry;
    }
    void
    call()
    {
        std::vector<Job> waiting;

        for (Job &job : callers) {
            if (job.next_ms > now_ms) {
                waiting.push_back(job);
            }
            else if (submit(job)) {
                accepted.push_back(job);
            }
            else if (job.attempts++ < RETRIES) {
                job.next_ms = now_ms + (outage ? 1000 : get_retry_ms(job));
                waiting.push_back(job);
            }
        }
        callers = waiting;
    }
    void
    end_tasks()
    {
        Report report(A, CPU_MILLI);

        report.message.listed = false;
        while (!running.empty() && running.front().first <= now_ms) {
            const TaskRun &run = running.front().second;

            free_milli += cpu[run.first.substr(0, run.first.find('.'))];
            report.ends(++ends, run, SCHED_END_DONE);
            running.pop_front();
        }
        core.report(report);
    }
    void
    start_tasks()
    {
        core.run_and_commit();
        for (const TaskRun &start : core.orders(A).starts) {
            int milli = cpu[start.first.substr(0, start.first.find('.'))];

            free_milli -= milli;
            running.emplace_back(now_ms + (milli == 250 ? SHORT_MS : BATCH_MS),
                                 start);
        }
        std::sort(running.begin(), running.end());
    }
    void
    count_done()
    {
        std::vector<Job> open;

        for (const Job &job : accepted) {
            const sched_job_t *state = sched_find(core.sched, job.id.c_str());

            ASSERT_NE(state, nullptr) << "an accepted job is kept";
            if (state->state != SCHED_JOB_COMPLETED) {
                open.push_back(job);
                continue;
            }
            useful[job.kind] +=
                now_ms - job.first_ms <= 3 * get_objective_ms(job.kind);
            in_time[job.kind] +=
                now_ms - job.first_ms <= get_objective_ms(job.kind);
        }
        accepted = open;
    }
    int
    draw_arrivals(double load, double core_seconds)
    {
        double rate = load * CPU_MILLI / 1000 / core_seconds;

        return std::poisson_distribution<int>(rate * STEP_MS / 1000)(random);
    }
    /* Lets jobs arrive. The loads are relative to the capacity; those of the
       classes of batch jobs have a part of a third each. */
    void
    run(int64_t duration_ms, double short_load, double batch_load)
    {
        static const double core_seconds[] = {1.4, 4, 13, 29};

        for (int64_t end_ms = now_ms + duration_ms; now_ms < end_ms;) {
            now_ms += STEP_MS;
            fake_clock_advance_ms(&core.clock, STEP_MS);
            for (int kind = 0; kind < KINDS; kind++) {
                double load = kind == 0 ? short_load : batch_load / 3;

                for (int i = draw_arrivals(load, core_seconds[kind]); i > 0;
                     i--) {
                    arrive(kind);
                }
            }
            call();
            if (!outage) {
                end_tasks();
                start_tasks();
                count_done();
            }
        }
    }
    int
    count_useful() const
    {
        return std::accumulate(useful.begin(), useful.end(), 0);
    }
};

class Admission : public testing::TestWithParam<unsigned> {
  public:
    static constexpr double SHORT_LOAD = 0.1;
    static constexpr double BATCH_LOAD = 0.5;
    static constexpr int64_t BEFORE_MS = 20000;
    static constexpr int64_t OVERLOAD_MS = 60000;
    static constexpr int64_t AFTER_MS = 40000;

    /* Replays an overload between two calm times. */
    static void
    overload(Replay &replay, double short_load, double batch_load)
    {
        replay.run(BEFORE_MS, SHORT_LOAD, BATCH_LOAD);
        replay.run(OVERLOAD_MS, short_load, batch_load);
        replay.run(AFTER_MS, SHORT_LOAD, BATCH_LOAD);
    }
};

// Guards against a deployment with enough capacity that refuses jobs.
TEST_P(Admission, RefusesNothingOnACalmDay)
{
    Replay replay(GetParam(), true);

    replay.run(2 * OVERLOAD_MS, SHORT_LOAD, BATCH_LOAD);
    EXPECT_EQ(replay.refusals, 0);
}

// Guards against refusals that cost more than they bring: in a burst, about as
// many jobs are served as without refusals, and none of the sizes is given up.
TEST_P(Admission, ServesAsMuchOfABurstAsWithoutRefusals)
{
    Replay all(GetParam(), false);
    Replay some(GetParam(), true);

    overload(all, 0.2, 4.8);
    overload(some, 0.2, 4.8);
    EXPECT_GT(some.refusals, 0);
    EXPECT_EQ(some.refused_with_room, 0);
    EXPECT_GE(some.count_useful(), all.count_useful() * 95 / 100);
    for (int kind = 0; kind < Replay::KINDS; kind++) {
        EXPECT_GE(some.useful[kind], all.useful[kind] * 3 / 4)
            << "of kind " << kind;
    }
}

// Guards against batch jobs of which none is accepted any more while urgent
// ones take the whole capacity, and against a crowd of refused callers that
// returns together.
TEST_P(Admission, KeepsAcceptingSomeJobsOfEachPriority)
{
    Replay replay(GetParam(), true);

    replay.run(BEFORE_MS, SHORT_LOAD, BATCH_LOAD);
    replay.run(OVERLOAD_MS, 1.5, BATCH_LOAD);
    EXPECT_GT(replay.refusals, 0);
    EXPECT_EQ(replay.refused_with_room, 0);
    EXPECT_GE(std::count_if(replay.accepted.begin(), replay.accepted.end(),
                            [](const Replay::Job &job) {
                                return job.kind != 0 &&
                                       job.first_ms > BEFORE_MS;
                            }),
              OVERLOAD_MS / 10000);
    EXPECT_GE(replay.retry_ms.size(), 5U);
}

// Guards against an outage after which the jobs that return are refused, as
// little was finished in the meantime.
TEST_P(Admission, AcceptsTheBacklogOfAnOutage)
{
    Replay all(GetParam(), false);
    Replay some(GetParam(), true);

    for (Replay *replay : {&all, &some}) {
        replay->run(BEFORE_MS, SHORT_LOAD, BATCH_LOAD);
        replay->outage = true;
        replay->run(8000, SHORT_LOAD, BATCH_LOAD);
        replay->outage = false;
        replay->run(AFTER_MS, SHORT_LOAD, BATCH_LOAD);
    }
    EXPECT_EQ(some.refused_with_room, 0);
    EXPECT_GE(some.count_useful(), all.count_useful() * 97 / 100);
}

INSTANTIATE_TEST_SUITE_P(Seeds, Admission, testing::Range(0U, 10U));

} // namespace
