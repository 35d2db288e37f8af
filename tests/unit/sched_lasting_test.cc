/* How soon tasks that last run again while others fail or fill. */

#include <gtest/gtest.h>

#include <algorithm>

#include "sched_fixture.h"

extern "C" {
#include "sched/sched_internal.h"
}

namespace {

const std::string ADDRESS = "10.0.0.1:80";
constexpr int64_t TURN_MS = 100;
/* After this time without a run and with room, callers count a task as
   lost. */
constexpr int64_t WAIT_MS = 9000;

/* An agent whose executor starts what it is told to, until told otherwise by
   the test. */
struct Agent {
    Core &core;
    uint32_t cpu;
    std::string address;
    int started = 100;
    std::set<TaskRun> running;
    std::vector<TaskRun> failed;
    std::vector<TaskRun> done;
    uint64_t next_end = 1;
    std::map<TaskRun, int64_t> ends_ms; /* when short runs end */
    int begun = 0;

    Agent(Core &core, uint32_t cpu, const std::string &address = ADDRESS)
        : core(core), cpu(cpu), address(address)
    {
        turn();
    }
    std::string
    key() const
    {
        return address + "/a/" + std::to_string(started);
    }
    bool
    runs(const std::string &task) const
    {
        for (auto &run : running) {
            if (run.first == task) {
                return true;
            }
        }
        return false;
    }
    bool
    runs_any_of(const std::string &job) const
    {
        return std::any_of(running.begin(), running.end(), [&](auto &run) {
            return run.first.rfind(job + ".", 0) == 0;
        });
    }
    void
    fail(const std::string &task)
    {
        for (auto it = running.begin(); it != running.end(); ++it) {
            if (it->first == task) {
                failed.push_back(*it);
                running.erase(it);
                return;
            }
        }
        ADD_FAILURE() << task << " does not run";
    }
    /* Ends the runs of all jobs but one. */
    void
    finish_others(const std::string &job)
    {
        for (auto it = running.begin(); it != running.end();) {
            if (it->first.rfind(job + ".", 0) == 0) {
                ++it;
                continue;
            }
            done.push_back(*it);
            it = running.erase(it);
        }
    }
    /* Ends the runs of some jobs when each has lasted for its time. */
    void
    finish_due(const std::string &prefix, int64_t now_ms)
    {
        for (auto it = running.begin(); it != running.end();) {
            auto [end, is_new] =
                ends_ms.emplace(*it, now_ms + TURN_MS * (5 + begun % 11));

            begun += is_new;
            if (it->first.rfind(prefix, 0) != 0 || now_ms < end->second) {
                ++it;
                continue;
            }
            done.push_back(*it);
            it = running.erase(it);
        }
    }
    void
    fail_job(const std::string &job)
    {
        for (auto it = running.begin(); it != running.end();) {
            if (it->first.rfind(job + ".", 0) != 0) {
                ++it;
                continue;
            }
            failed.push_back(*it);
            it = running.erase(it);
        }
    }
    /* Crashes the executor while all its runs are starting. */
    void
    crash(bool unconfirmed = false)
    {
        Report gone(key());

        for (auto &[task, run] : running) {
            Teasel__CrashedRun crashed = TEASEL__CRASHED_RUN__INIT;
            std::string name = task;

            crashed.task = name.data();
            crashed.run = run;
            crashed.unconfirmed = unconfirmed;
            sched_apply_crash(core.sched, &crashed);
        }
        gone.message.gone = true;
        core.report(gone, address);
        running.clear();
        next_end = 1;
        started++;
    }
    void
    turn()
    {
        fake_clock_advance_ms(&core.clock, TURN_MS);
        exchange();
        core.run_and_commit();
        take_orders();
    }
    void
    exchange()
    {
        Report report(key(), cpu);

        for (auto &run : running) {
            report.runs(run);
        }
        for (auto &run : failed) {
            report.ends(next_end++, run, SCHED_END_FAILED);
        }
        for (auto &run : done) {
            report.ends(next_end++, run, SCHED_END_DONE);
        }
        failed.clear();
        done.clear();
        core.report(report, address);
    }
    void
    take_orders()
    {
        for (auto &run : core.orders(key()).starts) {
            running.insert(run);
        }
    }
    void
    run_for(int64_t ms)
    {
        for (int64_t passed = 0; passed < ms; passed += TURN_MS) {
            turn();
        }
    }
};

void
turn_all(Core &core, std::vector<Agent> &agents)
{
    fake_clock_advance_ms(&core.clock, TURN_MS);
    for (auto &agent : agents) {
        agent.exchange();
    }
    core.run_and_commit();
    for (auto &agent : agents) {
        agent.take_orders();
    }
}

constexpr uint32_t SHORT_ALLOWANCE_MS = 100;
constexpr uint32_t LONG_ALLOWANCE_MS = 60000;

Teasel__JobSpec *
make_job(const std::string &id, const Step &step, uint32_t allowance_ms)
{
    Teasel__JobSpec *spec = make_spec(id, {step});

    spec->allowance_ms = allowance_ms;
    return spec;
}

/* Keeps more short work than fits waiting, and ends what runs of it. */
void
run_short_work(Core &core, Agent &agent, int64_t ms, uint32_t memory_mb = 100)
{
    static int jobs = 0;

    for (int64_t passed = 0; passed < ms; passed += TURN_MS) {
        sched_submit(core.sched,
                     make_job("b" + std::to_string(jobs++),
                              {.count = 3, .cpu = 2000, .memory = memory_mb},
                              LONG_ALLOWANCE_MS));
        agent.turn();
        agent.finish_others("l");
    }
}

/* Keeps more small tasks than fit waiting, which end one by one. */
void
run_small_work(Core &core, std::vector<Agent> &agents, int64_t ms)
{
    static int jobs = 0;

    for (int64_t passed = 0; passed < ms; passed += TURN_MS) {
        for (size_t i = 0; i < 2 * agents.size(); i++) {
            sched_submit(core.sched,
                         make_job("p" + std::to_string(jobs++), {.cpu = 250},
                                  LONG_ALLOWANCE_MS));
        }
        turn_all(core, agents);
        for (auto &agent : agents) {
            agent.finish_due("p", sched_now_ms(core.sched));
        }
    }
}

/* Fails all runs of the job l three times, so that their restart is delayed.
 */
void
fail_three_times(Core &core, std::vector<Agent> &agents)
{
    for (int failures = 0; failures < 3; failures++) {
        for (auto &agent : agents) {
            agent.fail_job("l");
        }
        run_small_work(core, agents, failures < 2 ? 2 * WAIT_MS : TURN_MS);
    }
}

// Guards against a task that lasts and, after it has failed, is started again
// behind all later short work, as its job has been known for long: on a full
// cell each piece of room that becomes free then goes to that work, though the
// task has waited for longer.
TEST(SchedLasting, RestartsBeforeLaterShortWorkOnAFullExecutor)
{
    Core core;
    Agent agent(core, 4000);

    sched_submit(core.sched, make_job("l", {.cpu = 2000, .long_running = true},
                                      SHORT_ALLOWANCE_MS));
    run_short_work(core, agent, WAIT_MS);
    ASSERT_TRUE(agent.runs("l.0.0.0"));
    agent.fail("l.0.0.0");
    run_short_work(core, agent, WAIT_MS);
    EXPECT_TRUE(agent.runs("l.0.0.0"));
}

// Guards against a task that lasts and waits behind all later short work after
// its executor has crashed twice, as it may be the cause and needs a trial.
TEST(SchedLasting, RestartsASuspectBeforeLaterShortWorkOnAFullExecutor)
{
    Core core;
    Agent agent(core, 4000);

    sched_submit(core.sched, make_job("l", {.cpu = 2000, .long_running = true},
                                      SHORT_ALLOWANCE_MS));
    run_short_work(core, agent, WAIT_MS);
    for (int crashes = 0; crashes < 2; crashes++) {
        ASSERT_TRUE(agent.runs("l.0.0.0"));
        agent.crash();
        run_short_work(core, agent, WAIT_MS);
    }
    EXPECT_TRUE(agent.runs("l.0.0.0"));
}

// Guards against a task that lasts and never gets its room back, as short runs
// take it in small pieces that become free one at a time.
TEST(SchedLasting, DISABLED_RestartsWhereRoomBecomesFreeInSmallPieces)
{
    Core core;
    std::vector<Agent> agents(1, Agent(core, 4000));

    sched_submit(core.sched, make_job("l", {.cpu = 2000, .long_running = true},
                                      SHORT_ALLOWANCE_MS));
    turn_all(core, agents);
    fail_three_times(core, agents);
    EXPECT_FALSE(agents[0].runs("l.0.0.0"));
    run_small_work(core, agents, WAIT_MS);
    EXPECT_TRUE(agents[0].runs("l.0.0.0"));
}

// Guards against a gang that lasts and never gets its room back, as short runs
// take it in small pieces that become free one at a time.
TEST(SchedLasting, DISABLED_RestartsAGangWhereRoomBecomesFreeInSmallPieces)
{
    Core core;
    std::vector<Agent> agents(1, Agent(core, 4000));

    sched_submit(
        core.sched,
        make_job("l",
                 {.count = 2, .cpu = 1500, .gang = true, .long_running = true},
                 SHORT_ALLOWANCE_MS));
    turn_all(core, agents);
    ASSERT_TRUE(agents[0].runs("l.0.0.0"));
    run_small_work(core, agents, WAIT_MS);
    agents[0].fail("l.0.0.0");
    run_small_work(core, agents, 3 * TURN_MS);
    agents[0].fail("l.0.0.1");
    run_small_work(core, agents, 2 * WAIT_MS);
    EXPECT_TRUE(agents[0].runs("l.0.0.0"));
}

// Guards against short work that never begins, as suspects of crashes that
// last are put on trial one after the other.
TEST(SchedLasting, StartsShortWorkBetweenTrialsThatFail)
{
    constexpr uint32_t SUSPECTS = 8;
    constexpr int64_t RUN_MS = 1000;
    Core core;
    Agent agent(core, 16000);
    bool begun = false;

    sched_submit(core.sched,
                 make_spec("s", {{.count = SUSPECTS, .long_running = true}}));
    agent.turn();
    agent.crash();
    agent.turn();
    agent.crash();
    for (int64_t passed = 0; passed < 4 * WAIT_MS; passed += RUN_MS) {
        if (passed == 2 * WAIT_MS) {
            sched_submit(core.sched, make_job("b", {}, LONG_ALLOWANCE_MS));
        }
        agent.run_for(RUN_MS);
        begun |= agent.runs("b.0.0.0");
        agent.fail_job("s");
    }
    EXPECT_TRUE(begun);
}

// Guards against short work that never begins, as suspects that last crash
// their executor one after the other before it answers their start.
TEST(SchedLasting, StartsShortWorkBetweenTrialsThatCrash)
{
    constexpr uint32_t SUSPECTS = 8;
    constexpr int64_t RUN_MS = 1000;
    Core core;
    Agent agent(core, 16000);
    bool begun = false;

    sched_submit(core.sched,
                 make_spec("s", {{.count = SUSPECTS, .long_running = true}}));
    agent.turn();
    agent.crash();
    agent.turn();
    agent.crash();
    for (int64_t passed = 0; passed < 4 * WAIT_MS; passed += RUN_MS) {
        if (passed == 2 * WAIT_MS) {
            sched_submit(core.sched, make_job("b", {}, LONG_ALLOWANCE_MS));
        }
        agent.run_for(RUN_MS);
        begun |= agent.runs("b.0.0.0");
        if (agent.runs_any_of("s")) {
            agent.crash(true);
        }
    }
    EXPECT_TRUE(begun);
}

constexpr int64_t HOLD_BEGUN_MS = 3500;

// Guards against a trial that closes an executor to short work before the
// suspect has waited for long.
TEST(SchedLasting, StartsShortWorkBeforeASuspectThatHasJustCrashed)
{
    Core core;
    Agent agent(core, 4000);

    sched_submit(core.sched, make_job("l", {.cpu = 2000, .long_running = true},
                                      SHORT_ALLOWANCE_MS));
    agent.turn();
    agent.crash();
    agent.run_for(1000);
    ASSERT_TRUE(agent.runs("l.0.0.0"));
    agent.crash();
    sched_submit(core.sched, make_job("b", {.count = 4}, LONG_ALLOWANCE_MS));
    agent.run_for(2 * TURN_MS);
    EXPECT_TRUE(agent.runs("b.0.0.0"));
}

// Guards against a best-effort task that lasts and waits behind all later
// short work for memory.
TEST(SchedLasting, RestartsABestEffortTaskBeforeLaterShortWork)
{
    constexpr uint32_t HALF_MEMORY_MB = 50000;
    Core core;
    Agent agent(core, 16000);

    sched_submit(core.sched, make_job("l",
                                      {.cpu = 1000,
                                       .memory = HALF_MEMORY_MB,
                                       .long_running = true,
                                       .best_effort = true},
                                      SHORT_ALLOWANCE_MS));
    run_short_work(core, agent, WAIT_MS, HALF_MEMORY_MB);
    ASSERT_TRUE(agent.runs("l.0.0.0"));
    agent.fail("l.0.0.0");
    run_short_work(core, agent, WAIT_MS, HALF_MEMORY_MB);
    EXPECT_TRUE(agent.runs("l.0.0.0"));
}

// Guards against a gang that lasts and waits behind all later short work.
TEST(SchedLasting, RestartsAGangBeforeLaterShortWork)
{
    Core core;
    Agent agent(core, 4000);

    sched_submit(
        core.sched,
        make_job("l",
                 {.count = 2, .cpu = 1000, .gang = true, .long_running = true},
                 SHORT_ALLOWANCE_MS));
    run_short_work(core, agent, WAIT_MS);
    ASSERT_TRUE(agent.runs("l.0.0.0") && agent.runs("l.0.0.1"));
    agent.fail("l.0.0.0");
    agent.fail("l.0.0.1");
    run_short_work(core, agent, WAIT_MS);
    EXPECT_TRUE(agent.runs("l.0.0.0") && agent.runs("l.0.0.1"));
}

// Guards against a task that lasts and goes before work of a higher priority
// when it is started again.
TEST(SchedLasting, RestartsBehindWorkOfAHigherPriority)
{
    Core core;
    Agent agent(core, 4000);
    Teasel__JobSpec *spec =
        make_job("l", {.cpu = 2000, .long_running = true}, SHORT_ALLOWANCE_MS);

    spec->priority = 1;
    sched_submit(core.sched, spec);
    agent.turn();
    ASSERT_TRUE(agent.runs("l.0.0.0"));
    run_short_work(core, agent, WAIT_MS);
    agent.fail("l.0.0.0");
    run_short_work(core, agent, WAIT_MS);
    EXPECT_FALSE(agent.runs("l.0.0.0"));
}

// Guards against a best-effort task that lasts and never runs on executors
// whose processors are full, as another task of its job runs: it needs memory
// only.
TEST(SchedLasting, RunsEachBestEffortTaskOnAFullExecutor)
{
    Core core;
    Agent agent(core, 4000);

    sched_submit(core.sched,
                 make_spec("s", {{.cpu = 4000, .long_running = true}}));
    agent.turn();
    sched_submit(core.sched, make_spec("f", {{.count = 2,
                                              .cpu = 500,
                                              .long_running = true,
                                              .best_effort = true}}));
    agent.run_for(WAIT_MS);
    EXPECT_TRUE(agent.runs("f.0.0.0"));
    EXPECT_TRUE(agent.runs("f.0.0.1"));
}

// Guards against a task that lasts and waits for as long as others fail on
// the only executor, each of which begins its probation anew.
TEST(SchedLasting, EndsAProbationThoughOtherTasksFail)
{
    constexpr int JOBS = 6;
    constexpr int64_t FAILURE_INTERVAL_MS = 3500;
    Core core;
    Agent agent(core, 16000);

    for (int i = 0; i < JOBS; i++) {
        sched_submit(core.sched, make_spec("j" + std::to_string(i),
                                           {{.long_running = true}}));
    }
    agent.run_for(1000);
    agent.fail("j0.0.0.0");
    agent.fail("j1.0.0.0");
    agent.fail("j2.0.0.0");
    agent.run_for(FAILURE_INTERVAL_MS);
    agent.fail("j3.0.0.0");
    agent.run_for(FAILURE_INTERVAL_MS);
    agent.fail("j4.0.0.0");
    agent.run_for(WAIT_MS - 2 * FAILURE_INTERVAL_MS);
    EXPECT_TRUE(agent.runs("j0.0.0.0"));
}

// Guards against a task that lasts and never runs on the only executor, as
// suspects of crashes fail there one by one and each is put on trial again.
TEST(SchedLasting, StartsOtherTasksBetweenTrialsThatFail)
{
    constexpr uint32_t SUSPECTS = 4;
    constexpr int64_t RUN_MS = 300;
    Core core;
    Agent agent(core, 16000);

    sched_submit(core.sched,
                 make_spec("s", {{.count = SUSPECTS, .long_running = true}}));
    agent.turn();
    agent.crash();
    agent.turn();
    agent.crash();
    sched_submit(core.sched, make_spec("w", {{.long_running = true}}, 2, 1));
    for (int64_t passed = 0; passed < WAIT_MS; passed += RUN_MS) {
        agent.run_for(RUN_MS);
        for (uint32_t i = 0; i < SUSPECTS; i++) {
            std::string task = "s.0.0." + std::to_string(i);

            if (agent.runs(task)) {
                agent.fail(task);
            }
        }
    }
    EXPECT_TRUE(agent.runs("w.0.0.0"));
}

// Guards against suspects of crashes that never get a trial, as other jobs
// always go first: a lasting task that fits nowhere waits all the time.
TEST(SchedLasting, PlacesSuspectsInTheirOrderBesideATaskThatFitsNowhere)
{
    Core core;
    Agent agent(core, 1000);

    sched_submit(core.sched, make_spec("s", {{.long_running = true}}));
    sched_submit(
        core.sched,
        make_spec("n", {{.long_running = true, .label = "none"}}, 2, 1));
    agent.run_for(WAIT_MS);
    sched_submit(core.sched, make_spec("b", {{}}, 2, 1));
    agent.crash();
    agent.turn();
    agent.crash();
    agent.turn();
    EXPECT_TRUE(agent.runs("s.0.0.0"));
}

} // namespace
