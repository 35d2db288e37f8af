/* What the agent does on each event in each state of a run: the agent's part
   of the table in section 14 of docs/design.md. */

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

extern "C" {
#include "node/run_state.h"
#include "sched/evacuation.h"
}

namespace {

using Names = std::vector<std::string>;

struct Effect {
    std::function<void(run_state_t &)> change;
    run_action_t action;
    const char *reason; /* of a rejection */
};

/* Without an effect, the pairs cannot happen. */
struct Rule {
    run_event_t event;
    Names states;
    std::optional<Effect> effect;
    std::string guards_against;
};

run_state_t
make(run_phase_t phase, const std::function<void(run_state_t &)> &change = {})
{
    run_state_t state = {};

    state.phase = phase;
    state.sent = phase >= RUN_STARTING;
    state.confirmed = phase == RUN_STARTED;
    if (change) {
        change(state);
    }
    return state;
}

void
want_stop(run_state_t &state)
{
    state.stop_requested = true;
}

void
may_have_begun(run_state_t &state)
{
    state.outcome_unknown = true;
}

void
fail_start(run_state_t &state)
{
    state.attempts++;
}

void
lose_answer(run_state_t &state)
{
    may_have_begun(state);
    fail_start(state);
}

void
give_up(run_state_t &state)
{
    lose_answer(state);
    want_stop(state);
}

void
want_stop_of_perhaps_begun(run_state_t &state)
{
    may_have_begun(state);
    want_stop(state);
}

void
set_phase_of_unknown_stop(run_state_t &state)
{
    state.phase = RUN_STARTING;
    want_stop_of_perhaps_begun(state);
}

const std::map<std::string, run_state_t> STATES = {
    {"unknown", make(RUN_UNKNOWN)},
    {"queued", make(RUN_QUEUED)},
    {"queued, stop", make(RUN_QUEUED, want_stop)},
    {"queued, perhaps begun", make(RUN_QUEUED, may_have_begun)},
    {"queued, perhaps begun, stop",
     make(RUN_QUEUED, want_stop_of_perhaps_begun)},
    {"sent", make(RUN_STARTING)},
    {"sent, stop", make(RUN_STARTING, want_stop)},
    {"failed", make(RUN_STARTING, fail_start)},
    {"failed, stop", make(RUN_STARTING,
                          [](run_state_t &state) {
                              fail_start(state);
                              want_stop(state);
                          })},
    {"perhaps begun", make(RUN_STARTING, lose_answer)},
    {"perhaps begun, stop", make(RUN_STARTING, give_up)},
    {"only a stop", make(RUN_STARTING,
                         [](run_state_t &state) {
                             state.sent = false;
                             want_stop_of_perhaps_begun(state);
                         })},
    {"at work", make(RUN_STARTED)},
    {"at work, stop", make(RUN_STARTED, want_stop)},
    {"at work, asked again", make(RUN_STARTED, lose_answer)},
    {"at work, asked again, stop", make(RUN_STARTED, give_up)},
    {"stopping", make(RUN_STOPPING, want_stop_of_perhaps_begun)},
    {"stopped", make(RUN_STOPPED, want_stop_of_perhaps_begun)},
};

Names
all_but(const Names &excluded)
{
    Names names;

    for (const auto &[name, state] : STATES) {
        if (std::find(excluded.begin(), excluded.end(), name) ==
            excluded.end()) {
            names.push_back(name);
        }
    }
    return names;
}

Effect
then(std::function<void(run_state_t &)> change,
     run_action_t action = RUN_ACTION_NONE)
{
    return {std::move(change), action, nullptr};
}

Effect
act(run_action_t action)
{
    return {[](run_state_t &) {}, action, nullptr};
}

Effect
reject(const char *reason)
{
    return {[](run_state_t &) {}, RUN_ACTION_REJECT, reason};
}

Effect
reject_after_failure(const char *reason)
{
    return {fail_start, RUN_ACTION_REJECT, reason};
}

std::function<void(run_state_t &)>
to(run_phase_t phase)
{
    return [phase](run_state_t &state) { state.phase = phase; };
}

void
confirm(run_state_t &state)
{
    state.confirmed = true;
}

void
begin_work(run_state_t &state)
{
    confirm(state);
    state.phase = RUN_STARTED;
}

void
send_start(run_state_t &state)
{
    state.phase = RUN_STARTING;
    state.sent = true;
}

const Effect NOTHING = act(RUN_ACTION_NONE);
const std::optional<Effect> IMPOSSIBLE = std::nullopt;

const Names QUEUED = {"queued", "queued, stop", "queued, perhaps begun",
                      "queued, perhaps begun, stop"};
const Names STARTING = {"sent",         "sent, stop",    "failed",
                        "failed, stop", "perhaps begun", "perhaps begun, stop",
                        "only a stop"};
const Names STARTED = {"at work", "at work, stop", "at work, asked again",
                       "at work, asked again, stop"};
const Names STOPPING = {"stopping", "stopped"};
/* While a first start is under way, no other call is due. */
const Names IN_CALL = {"sent", "sent, stop"};
/* No start is under way, and none will be sent. */
const Names WITHOUT_START = {"unknown",
                             "queued",
                             "queued, stop",
                             "queued, perhaps begun",
                             "queued, perhaps begun, stop",
                             "only a stop",
                             "stopping",
                             "stopped"};

Names
operator+(Names left, const Names &right)
{
    left.insert(left.end(), right.begin(), right.end());
    return left;
}

std::vector<Rule>
orders()
{
    return {
        {RUN_EVENT_START_ORDER,
         {"unknown"},
         then(to(RUN_QUEUED)),
         "an order that is lost"},
        {RUN_EVENT_START_ORDER, all_but({"unknown"}), NOTHING,
         "a second start of a run that the agent knows"},
        {RUN_EVENT_START_ORDER_REPEATED,
         {"unknown"},
         then([](run_state_t &state) {
             state.phase = RUN_QUEUED;
             state.outcome_unknown = true;
         }),
         "a rejection without a stop after the start of an earlier agent"},
        {RUN_EVENT_START_ORDER_REPEATED, all_but({"unknown"}), NOTHING,
         "a stop of a run that the agent itself has not sent yet"},
        {RUN_EVENT_STOP_ORDER,
         {"unknown"},
         then(set_phase_of_unknown_stop),
         "a start that is carried out after the stop of an unknown run"},
        {RUN_EVENT_STOP_ORDER, all_but({"unknown"}), then(want_stop),
         "a stop that is lost while another call is under way"},
    };
}

std::vector<Rule>
due_calls()
{
    std::vector<Rule> rules;

    for (run_event_t event : {RUN_EVENT_CALL_DUE, RUN_EVENT_CALL_DUE_LEAVING,
                              RUN_EVENT_CALL_DUE_EVACUATED}) {
        rules.insert(
            rules.end(),
            {
                {event, Names{"unknown"} + IN_CALL, IMPOSSIBLE,
                 "(no run, or a call is under way)"},
                {event,
                 {"queued, stop"},
                 reject("stopped before the start"),
                 "a stop of a run that never existed"},
                {event,
                 {"queued, perhaps begun, stop", "failed, stop",
                  "perhaps begun, stop", "only a stop", "at work, stop",
                  "at work, asked again, stop", "stopping"},
                 act(RUN_ACTION_SEND_STOP),
                 "a rejection without a stop, and a stop that is not repeated "
                 "until it is confirmed"},
                {event,
                 {"at work", "at work, asked again", "stopped"},
                 NOTHING,
                 "a second start of a run that was listed or stopped"},
            });
    }
    rules.insert(
        rules.end(),
        {
            {RUN_EVENT_CALL_DUE,
             {"queued", "queued, perhaps begun", "failed", "perhaps begun"},
             act(RUN_ACTION_SEND_START),
             "a start without answer that is not asked again"},
            {RUN_EVENT_CALL_DUE_LEAVING,
             {"queued", "failed"},
             reject("the executor is leaving"),
             "a start on an executor that leaves"},
            {RUN_EVENT_CALL_DUE_LEAVING,
             {"queued, perhaps begun", "perhaps begun"},
             then(want_stop, RUN_ACTION_SEND_STOP),
             "a rejection without a stop after an unanswered start"},
            {RUN_EVENT_CALL_DUE_EVACUATED,
             {"queued", "failed"},
             reject(EVACUATION_REASON),
             "a start in an evacuated data centre"},
            {RUN_EVENT_CALL_DUE_EVACUATED,
             {"queued, perhaps begun", "perhaps begun"},
             then(want_stop, RUN_ACTION_SEND_STOP),
             "a start that is repeated in an evacuated data centre"},
        });
    return rules;
}

std::vector<Rule>
calls()
{
    const Names startable = {"queued", "queued, perhaps begun", "failed",
                             "perhaps begun"};
    const Names stoppable = {"queued, perhaps begun, stop",
                             "failed, stop",
                             "perhaps begun, stop",
                             "only a stop",
                             "at work, stop",
                             "at work, asked again, stop",
                             "stopping"};

    return {
        {RUN_EVENT_START_SENT, startable, then(send_start),
         "a run that is rejected while its start is under way"},
        {RUN_EVENT_START_SENT, all_but(startable), IMPOSSIBLE,
         "(no start is due)"},
        {RUN_EVENT_STOP_SENT, stoppable, then(to(RUN_STOPPING)),
         "a run that a list ends before the stop is confirmed"},
        {RUN_EVENT_STOP_SENT, all_but(stoppable), IMPOSSIBLE,
         "(no stop is due)"},
        {RUN_EVENT_STOP_CONFIRMED,
         {"stopping"},
         then(to(RUN_STOPPED)),
         "a stop that is repeated for ever"},
        {RUN_EVENT_STOP_CONFIRMED, all_but({"stopping"}), IMPOSSIBLE,
         "(no stop is under way)"},
        {RUN_EVENT_STOP_FAILED,
         {"stopping"},
         NOTHING,
         "a rejection after a stop that may not have arrived"},
        {RUN_EVENT_STOP_FAILED, all_but({"stopping"}), IMPOSSIBLE,
         "(no stop is under way)"},
    };
}

std::vector<Rule>
start_answers()
{
    return {
        {RUN_EVENT_START_CONFIRMED,
         {"sent", "sent, stop", "failed", "failed, stop", "perhaps begun",
          "perhaps begun, stop"},
         then(begin_work, RUN_ACTION_REPORT),
         "a run that works and is not reported"},
        {RUN_EVENT_START_CONFIRMED, STARTED, NOTHING,
         "a second report after a list was faster than the answer"},
        {RUN_EVENT_START_CONFIRMED, WITHOUT_START, IMPOSSIBLE,
         "(no start is under way)"},

        {RUN_EVENT_START_REFUSED,
         {"sent", "sent, stop", "failed", "failed, stop"},
         reject(nullptr),
         "a task that waits for a run that does not exist"},
        {RUN_EVENT_START_REFUSED,
         {"perhaps begun", "perhaps begun, stop", "at work, asked again",
          "at work, asked again, stop"},
         then(want_stop, RUN_ACTION_SEND_STOP),
         "a rejection without a stop after an unanswered start"},
        {RUN_EVENT_START_REFUSED,
         WITHOUT_START + Names{"at work", "at work, stop"}, IMPOSSIBLE,
         "(no start is under way, or it has begun the run that is listed)"},

        {RUN_EVENT_START_UNANSWERED,
         {"sent", "sent, stop", "at work", "at work, stop"},
         then(lose_answer),
         "a rejection without a stop after an unanswered start"},
        {RUN_EVENT_START_UNANSWERED,
         {"failed", "failed, stop", "perhaps begun", "perhaps begun, stop",
          "at work, asked again", "at work, asked again, stop"},
         then(give_up, RUN_ACTION_SEND_STOP),
         "a start that is repeated for ever, or rejected without a stop"},
        {RUN_EVENT_START_UNANSWERED, WITHOUT_START, IMPOSSIBLE,
         "(no start is under way)"},

        {RUN_EVENT_START_NOT_SENT,
         {"sent", "sent, stop"},
         then(fail_start),
         "a stop of a run that cannot exist"},
        {RUN_EVENT_START_NOT_SENT,
         {"failed", "failed, stop"},
         reject_after_failure("no answer"),
         "a task that waits for an executor that cannot be reached"},
        {RUN_EVENT_START_NOT_SENT,
         {"perhaps begun", "perhaps begun, stop", "at work, asked again",
          "at work, asked again, stop"},
         then(give_up, RUN_ACTION_SEND_STOP),
         "a rejection without a stop, as the last call was not the first"},
        {RUN_EVENT_START_NOT_SENT,
         WITHOUT_START + Names{"at work", "at work, stop"}, IMPOSSIBLE,
         "(no start is under way, or it has begun the run that is listed)"},
    };
}

std::vector<Rule>
lists()
{
    return {
        {RUN_EVENT_LISTED, Names{"unknown"} + QUEUED + STARTING,
         then(begin_work, RUN_ACTION_REPORT),
         "a run that works and is not reported"},
        {RUN_EVENT_LISTED, STARTED + STOPPING, then(confirm),
         "a stop that is forgotten as the run is still listed"},

        {RUN_EVENT_UNLISTED, {"unknown"}, IMPOSSIBLE, "(no run)"},
        {RUN_EVENT_UNLISTED, QUEUED + STARTING, NOTHING,
         "a rejection by a list that is older than a late start"},
        {RUN_EVENT_UNLISTED, STARTED, NOTHING,
         "a stop of a run whose start is newer than the list"},
        {RUN_EVENT_UNLISTED,
         {"stopping"},
         NOTHING,
         "a rejection before the stop is confirmed"},
        {RUN_EVENT_UNLISTED,
         {"stopped"},
         reject("stopped"),
         "a task that waits for a run that is stopped for good"},

        {RUN_EVENT_UNLISTED_LATER, {"unknown"}, IMPOSSIBLE, "(no run)"},
        {RUN_EVENT_UNLISTED_LATER, QUEUED + STARTING, NOTHING,
         "a rejection by a list that is older than a late start"},
        {RUN_EVENT_UNLISTED_LATER, STARTED, then(want_stop_of_perhaps_begun),
         "a task that waits for ever for a run without an end"},
        {RUN_EVENT_UNLISTED_LATER,
         {"stopping"},
         NOTHING,
         "a rejection before the stop is confirmed"},
        {RUN_EVENT_UNLISTED_LATER,
         {"stopped"},
         reject("stopped"),
         "a task that waits for a run that is stopped for good"},

        {RUN_EVENT_ENDED, {"unknown"}, IMPOSSIBLE, "(no run)"},
        {RUN_EVENT_ENDED, all_but({"unknown"}), act(RUN_ACTION_FORGET),
         "a call for a run whose end is known"},
    };
}

std::vector<Rule>
all_rules()
{
    std::vector<Rule> rules;

    for (const auto &part :
         {orders(), due_calls(), calls(), start_answers(), lists()}) {
        rules.insert(rules.end(), part.begin(), part.end());
    }
    return rules;
}

void
expect_same(const run_state_t &state, const run_state_t &expected)
{
    EXPECT_EQ(state.phase, expected.phase);
    EXPECT_EQ(state.outcome_unknown, expected.outcome_unknown);
    EXPECT_EQ(state.stop_requested, expected.stop_requested);
    EXPECT_EQ(state.sent, expected.sent);
    EXPECT_EQ(state.confirmed, expected.confirmed);
    EXPECT_EQ(state.attempts, expected.attempts);
}

void
check(const Rule &rule, const std::string &name)
{
    SCOPED_TRACE("state: " + name + ", event " + std::to_string(rule.event) +
                 ", guards against " + rule.guards_against);
    run_state_t expected = STATES.at(name);
    run_decision_t decision = run_state_decide(expected, rule.event);

    rule.effect->change(expected);
    expect_same(decision.state, expected);
    EXPECT_EQ(decision.action, rule.effect->action);
    EXPECT_STREQ(decision.reason, rule.effect->reason);
}

template <typename F>
void
for_each_state(F function)
{
    for (int phase = RUN_UNKNOWN; phase <= RUN_STOPPED; phase++) {
        for (unsigned bits = 0; bits < 16; bits++) {
            for (unsigned attempts = 0; attempts < 3; attempts++) {
                run_state_t state = {};

                state.phase = static_cast<run_phase_t>(phase);
                state.outcome_unknown = bits & 1;
                state.stop_requested = bits & 2;
                state.sent = bits & 4;
                state.confirmed = bits & 8;
                state.attempts = attempts;
                function(state);
            }
        }
    }
}

template <typename F>
void
for_each_pair(F function)
{
    for_each_state([&](const run_state_t &state) {
        for (int event = 0; event <= RUN_EVENT_ENDED; event++) {
            SCOPED_TRACE("phase " + std::to_string(state.phase) + ", event " +
                         std::to_string(event));
            function(state, static_cast<run_event_t>(event));
        }
    });
}

// Guards against a pair of state and event that nobody has thought of.
TEST(RunState, HasOneRuleForEachPair)
{
    std::map<std::pair<std::string, int>, int> rules;

    for (const Rule &rule : all_rules()) {
        for (const std::string &name : rule.states) {
            rules[{name, rule.event}]++;
        }
    }
    for (const auto &[name, state] : STATES) {
        for (int event = 0; event <= RUN_EVENT_ENDED; event++) {
            EXPECT_EQ((rules[{name, event}]), 1)
                << name << ", event " << event;
        }
    }
}

// Guards against the failures that the rules name.
TEST(RunState, DecidesEachPairAsTheTableSays)
{
    for (const Rule &rule : all_rules()) {
        if (!rule.effect) {
            continue;
        }
        for (const std::string &name : rule.states) {
            check(rule, name);
        }
    }
}

// Guards against two runs of a task: the leader places it again as soon as a
// run is rejected.
TEST(RunState, RejectsAfterAnUnansweredStartOnlyOnceAStopIsConfirmed)
{
    for_each_pair([](const run_state_t &state, run_event_t event) {
        run_decision_t decision = run_state_decide(state, event);

        if (decision.action == RUN_ACTION_REJECT &&
            decision.state.outcome_unknown) {
            EXPECT_EQ(state.phase, RUN_STOPPED);
        }
    });
}

// Guards against a stop, or the doubt of a start, that is forgotten.
TEST(RunState, KeepsStopsAndDoubts)
{
    for_each_pair([](const run_state_t &state, run_event_t event) {
        run_decision_t decision = run_state_decide(state, event);

        EXPECT_GE(decision.state.stop_requested, state.stop_requested);
        if (state.phase != RUN_UNKNOWN) {
            EXPECT_GE(decision.state.outcome_unknown, state.outcome_unknown);
        }
    });
}

// Guards against a start after a stop was ordered or sent, or after the run
// was listed.
TEST(RunState, StartsOnlyWhatIsNeitherStoppedNorListed)
{
    for_each_pair([](const run_state_t &state, run_event_t event) {
        run_decision_t decision = run_state_decide(state, event);

        if (decision.action == RUN_ACTION_SEND_START) {
            EXPECT_FALSE(decision.state.stop_requested);
            EXPECT_LT(state.phase, RUN_STARTED);
        }
    });
}

} // namespace
