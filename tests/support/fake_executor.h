#ifndef TEASEL_TESTS_FAKE_EXECUTOR_H
#define TEASEL_TESTS_FAKE_EXECUTOR_H

#include <functional>
#include <list>
#include <map>
#include <set>
#include <string>
#include <vector>

extern "C" {
#include "base/clock.h"
#include "base/loop.h"
#include "node/executor_api.h"
#include "sched/job.h"
}

/* An executor in memory with the API that a node agent calls. */
struct FakeExecutor {
    struct End {
        uint64_t number;
        std::string task;
        uint32_t run;
        uint32_t how;
        std::string checkpoint;
    };
    struct Running {
        uint32_t run;
        int64_t until_ms;
        uint32_t figure; /* measured value, as in RunStatus */
        uint32_t percent;
        uint32_t throttle_percent;
    };
    struct LateStart {
        int64_t due_ms;
        std::string task;
        uint32_t run;
        int64_t deadline_ms;
        uint64_t fencing_token;
    };
    loop_t *loop = nullptr;
    std::string id = "id";
    int64_t born_ms = 100;
    int64_t clock_offset_ms = 0; /* of its clock from that of the test */
    int64_t work_ms = 40;        /* duration of a run; < 0: without end */
    std::string endless;         /* if set, prefix of tasks that never end */
    bool unresponsive = false;   /* calls get no answer and have no effect */
    bool gone = false;           /* calls cannot be sent */
    int lose_starts = 0;  /* next starts to carry out without an answer */
    int lose_stops = 0;   /* the same of stops */
    int lose_polls = 0;   /* the same of polls */
    int busy_starts = 0;  /* next starts to refuse with EXECUTOR_BUSY */
    int64_t poll_ms = 15; /* time until a poll is answered */
    size_t ends_per_answer = 500;
    int64_t answered_ms = 0;  /* time of the last answer to a poll */
    std::string deadly_task;  /* crashes the executor just after its start */
    int deadly_starts = 1000; /* next starts of it that do so */
    int64_t crash_ms = 0;     /* time of the next crash, or 0 */
    std::map<std::string, int> crashed; /* such crashes under a task */
    int late_starts = 0;       /* next starts to carry out late, unanswered */
    int64_t late_ms = 300;     /* delay of a late start */
    std::string reject_reason; /* if set, rejects all starts */
    std::map<std::string, Running> running;
    /* Last run that ended or was stopped, by task. */
    std::map<std::string, uint32_t> last_runs;
    std::vector<End> ends;
    uint64_t next_end = 1;
    int64_t deadline_ms = 0;
    uint64_t fencing_token = 0;
    std::map<std::string, int> starts; /* started runs, by task */
    std::set<std::string> done;        /* tasks with a run that ended so */
    std::vector<LateStart> late;       /* starts to be carried out */
    /* Tasks that started here while they ran on another executor, or after
       they had ended as done on any. */
    std::vector<std::string> doubled;
    std::set<std::string> noted; /* done, and acknowledged by the cursor */
    /* The same, but of the tasks that had ended as done only the noted ones:
       the end of another one may be lost with its executor or its lease. */
    std::vector<std::string> doubled_after_loss;
    /* Throttle calls: task and percent. */
    std::vector<std::pair<std::string, uint32_t>> throttles;
    int polls = 0;
    /* End of the lease in the newest poll, also if it was lost. */
    int64_t asked_deadline_ms = 0;
    /* Called when a run begins or ends. */
    std::function<void(const char *what, const std::string &task,
                       uint32_t run)>
        on_run;

    static std::map<std::string, FakeExecutor *> &
    at()
    {
        static std::map<std::string, FakeExecutor *> executors;

        return executors;
    }
    static int64_t
    now_ms()
    {
        return (int64_t)timespec_to_ms(clock_get_monotonic(clock_system()));
    }
    void
    end(const std::string &task, uint32_t how)
    {
        if (on_run) {
            on_run(sched_end_to_string((sched_end_t)how), task,
                   running[task].run);
        }
        ends.push_back({next_end++, task, running[task].run, how, "saved"});
        if (how == SCHED_END_DONE) {
            done.insert(task);
        }
        last_runs[task] = running[task].run;
        running.erase(task);
    }
    /* Replaces the incarnation by one that knows nothing of before. */
    void
    restart(int64_t later_ms)
    {
        born_ms = later_ms;
        running.clear();
        ends.clear();
        last_runs.clear();
        late.clear();
        next_end = 1;
        deadline_ms = 0;
        fencing_token = 0;
    }
    /* When the lease has ended, a run is over, also if nobody asks. */
    bool
    is_running(const std::string &task) const
    {
        return running.count(task) != 0 && now_ms() <= deadline_ms;
    }
    bool
    is_endless(const std::string &task) const
    {
        return work_ms < 0 ||
               (!endless.empty() && task.rfind(endless, 0) == 0);
    }
    void
    crash()
    {
        crash_ms = 0;
        for (auto &[task, entry] : running) {
            crashed[task]++;
        }
        id = "id" + std::to_string(born_ms + 1);
        restart(born_ms + 1);
    }
    void
    check_doubled(const std::string &task)
    {
        for (auto &[address, other] : at()) {
            if ((other != this && other->running.count(task) != 0) ||
                other->done.count(task) != 0) {
                doubled.push_back(task);
            }
            if ((other != this && other->is_running(task)) ||
                other->noted.count(task) != 0) {
                doubled_after_loss.push_back(task);
            }
        }
    }
    /* Carries out a start. Returns the reason of a rejection, or NULL. */
    const char *
    begin(const std::string &task, uint32_t run, int64_t until_ms,
          uint64_t token)
    {
        auto past = last_runs.find(task);

        if (!reject_reason.empty()) {
            return reject_reason.c_str();
        }
        if (token < fencing_token) {
            return "fence";
        }
        if (past != last_runs.end() && past->second >= run) {
            return "old";
        }
        if (running.count(task) == 0) {
            check_doubled(task);
            deadline_ms = std::max(deadline_ms, until_ms);
            starts[task]++;
            running[task] = {run, now_ms() + work_ms, 0, 50, 100};
            if (on_run) {
                on_run("begins", task, run);
            }
            if (task == deadly_task && deadly_starts > 0) {
                deadly_starts--;
                crash_ms = now_ms() + 10;
            }
        }
        return nullptr;
    }
    void
    begin_late()
    {
        std::vector<LateStart> orders;

        orders.swap(late);
        for (auto &order : orders) {
            if (now_ms() < order.due_ms) {
                late.push_back(order);
            }
            else if (now_ms() < order.deadline_ms) {
                begin(order.task, order.run, order.deadline_ms,
                      order.fencing_token);
            }
        }
    }
    void
    advance()
    {
        std::vector<std::string> names;

        if (crash_ms != 0 && now_ms() >= crash_ms) {
            crash();
        }
        begin_late();

        for (auto &[task, entry] : running) {
            names.push_back(task);
        }
        for (auto &task : names) {
            if (now_ms() > deadline_ms) {
                end(task, SCHED_END_LAPSED);
            }
            else if (!is_endless(task) && now_ms() >= running[task].until_ms) {
                end(task, SCHED_END_DONE);
            }
        }
    }

    static executor_api_t *connect(loop_t *loop, const char *address,
                                   const char *id, int64_t started_ms,
                                   GError **error);
};

#endif
