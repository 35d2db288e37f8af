/* Decisions on where the tasks of a step are placed. */

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include "sched_fixture.h"

extern "C" {
#include "sched/candidates.h"
#include "sched/demand.h"
#include "sched/interference.h"
}

namespace {

/* Executors and jobs outside of a scheduler. */
struct Site {
    list_t executors;
    interference_t *interference = interference_new();
    std::vector<sched_executor_t *> all;
    std::vector<sched_job_t *> jobs;

    Site()
    {
        list_init(&executors);
    }
    Site(const Site &) = delete;
    ~Site()
    {
        for (sched_job_t *job : jobs) {
            sched_job_free(job);
        }
        for (sched_executor_t *executor : all) {
            sched_executor_free(executor);
        }
        interference_free(interference);
    }
    sched_executor_t *
    add_executor(uint32_t cpu)
    {
        std::string key = "10.0.0." + std::to_string(all.size()) + ":80/e/1";
        sched_executor_t *executor = sched_executor_new(key.c_str());

        executor->service = g_strdup("service");
        executor->connected = true;
        executor->listed = true;
        executor->capacity = {cpu, 100000, 0};
        list_append(&executors, &executor->link);
        all.push_back(executor);
        return executor;
    }
    sched_step_t *
    add_step(const Step &step, const std::string &image = "image")
    {
        std::string id = "job" + std::to_string(jobs.size());
        Teasel__JobSpec *spec = make_spec(id, {step});
        sched_job_t *job;

        g_free(spec->steps[0]->image);
        spec->steps[0]->image = g_strdup(image.c_str());
        job = sched_job_new(spec, jobs.size());
        job->image_ids[0] =
            interference_get_image_id(interference, image.c_str());
        jobs.push_back(job);
        return &sched_job_add_occurrence(job)->steps[0];
    }
    void
    put(sched_executor_t *executor, sched_step_t *step, uint32_t index,
        uint32_t measurement)
    {
        sched_task_t *task = &step->tasks[index];

        sched_task_set_phase(task, SCHED_TASK_RUNNING);
        task->measurement = measurement;
        sched_executor_attach(executor, task);
    }
    void
    learn(const std::string &best_effort, const std::string &serving,
          double weight)
    {
        Teasel__LearnedPair pair = TEASEL__LEARNED_PAIR__INIT;
        std::string names[] = {best_effort, serving};

        pair.filler = names[0].data();
        pair.serving = names[1].data();
        pair.weight = weight;
        interference_add_pair(interference, &pair);
    }
    sched_placement_t
    placement()
    {
        sched_placement_t placement = {};

        placement.executors = &executors;
        placement.interference = interference;
        placement.now_ms = 1000;
        return placement;
    }
};

Step
draw_step()
{
    Step step;

    step.count = *rc::gen::inRange(1, 12);
    step.cpu = *rc::gen::inRange(200, 4000);
    step.best_effort = *rc::gen::arbitrary<bool>();
    step.target_ms = step.best_effort || *rc::gen::arbitrary<bool>() ? 0 : 20;
    step.max_per_executor = *rc::gen::inRange(0, 3);
    return step;
}

std::string
draw_image()
{
    return std::string(1, *rc::gen::elementOf(std::string("abc")));
}

void
fill(Site &site)
{
    int executors = *rc::gen::inRange(1, 8);

    for (int i = 0; i < executors; i++) {
        sched_executor_t *executor =
            site.add_executor(*rc::gen::inRange(2000, 12000));

        executor->slowdown = *rc::gen::inRange(0, 50);
        if (*rc::gen::arbitrary<bool>()) {
            Step serving;

            serving.target_ms = 20;
            site.put(executor, site.add_step(serving, draw_image()), 0,
                     *rc::gen::inRange(0, 24));
        }
    }
    for (const char *best_effort : {"a", "b", "c"}) {
        for (const char *serving : {"a", "b", "c"}) {
            site.learn(best_effort, serving, *rc::gen::inRange(0, 8));
        }
    }
}

// Guards against executors that are evaluated once per step, not once per
// task, with a different result: a task placed where its resources are used
// already, or a worse executor than the best.
RC_GTEST_PROP(Candidates, ChoosesLikeAnEvaluationPerTask, ())
{
    Site site;
    fill(site);
    sched_step_t *step = site.add_step(draw_step(), draw_image());
    sched_placement_t placement = site.placement();
    sched_candidates_t *candidates = sched_candidates_new(&placement, step);

    for (uint32_t i = 0; i < step->spec->count; i++) {
        sched_executor_t *expected =
            sched_placement_choose(&placement, &step->tasks[i]);
        sched_executor_t *best = sched_candidates_get_best(candidates);

        RC_ASSERT(best == expected);
        if (best == nullptr) {
            break;
        }
        sched_executor_attach(best, &step->tasks[i]);
        sched_candidates_update_best(candidates);
    }
    sched_candidates_free(candidates);
}

// Guards against waiting tasks that are passed over although an executor has
// room for them, because another demand could not be met.
RC_GTEST_PROP(DemandList, CoversOnlyDemandsThatCannotBeMet, ())
{
    Site site;
    demand_list_t *failed = demand_list_new();

    fill(site);
    for (int i = 0; i < 12; i++) {
        sched_step_t *step = site.add_step(draw_step(), draw_image());
        sched_placement_t placement = site.placement();
        auto overcommit = static_cast<sched_overcommit_t>(
            *rc::gen::inRange<int>(0, SCHED_OVERCOMMIT_ANY + 1));
        sched_executor_t *executor;

        placement.overcommit = overcommit;
        executor = sched_placement_choose(&placement, &step->tasks[0]);
        if (demand_list_covers(failed, step, overcommit)) {
            RC_ASSERT(executor == nullptr);
        }
        if (executor == nullptr) {
            demand_list_add(failed, step, overcommit);
        }
        else {
            sched_executor_attach(executor, &step->tasks[0]);
        }
    }
    demand_list_free(failed);
}

// Guards against a pass that evaluates all executors for each waiting job of a
// backlog, which takes longer than the time between two reports.
TEST(DemandList, CoversLargerTasksOfABacklog)
{
    Site site;
    demand_list_t *failed = demand_list_new();
    Step small;
    Step large;

    small.best_effort = large.best_effort = true;
    large.cpu = 2000;
    demand_list_add(failed, site.add_step(small, "a"), SCHED_OVERCOMMIT_NONE);
    EXPECT_TRUE(demand_list_covers(failed, site.add_step(large, "a"),
                                   SCHED_OVERCOMMIT_NONE));
    EXPECT_FALSE(demand_list_covers(failed, site.add_step(large, "b"),
                                    SCHED_OVERCOMMIT_NONE));
    EXPECT_FALSE(demand_list_covers(failed, site.add_step(large, "a"),
                                    SCHED_OVERCOMMIT_UNRESERVED));
    EXPECT_FALSE(demand_list_covers(failed, site.add_step(large, "a"),
                                    SCHED_OVERCOMMIT_ANY));
    demand_list_free(failed);
}

} // namespace
