/* The lists of an executor: its running runs, and those that have ended. */

#include "base/text.h"
#include "node/node_internal.h"

enum {
    /* A confirmed run that is still not listed after this time does not exist;
       a list may have been made before the start. */
    UNLISTED_GRACE_MS = 1500,
    /* A run that is listed this long after its start has not crashed the
       executor by being started. */
    SETTLE_MS = 500,
};

static Teasel__RunEnd *
copy_end(const Teasel__RunEnd *end)
{
    Teasel__RunEnd *copy = g_new(Teasel__RunEnd, 1);

    teasel__run_end__init(copy);
    copy->number = end->number;
    copy->task = g_strdup(end->task);
    copy->run = end->run;
    copy->how = end->how;
    copy->checkpoint = g_strdup(end->checkpoint);
    return copy;
}

static void
handle_run_end(node_executor_t *executor, const Teasel__RunEnd *end)
{
    run_t *run;

    if (end->number <= executor->last_end_read) {
        return;
    }
    executor->last_end_read = end->number;
    executor->unreported = true;
    run = run_find(executor, end->task, end->run);
    if (run != NULL &&
        run_apply(run, RUN_EVENT_ENDED).action == RUN_ACTION_FORGET) {
        run_free(run);
    }
    g_ptr_array_add(executor->ends, copy_end(end));
}

static void
handle_running(node_executor_t *executor, const Teasel__RunStatus *status,
               int64_t now_ms)
{
    run_t *run = run_find(executor, status->task, status->run);

    if (run == NULL) {
        run = run_new(executor, status->task, status->run);
    }
    if (run_apply(run, RUN_EVENT_LISTED).action == RUN_ACTION_REPORT) {
        run->unreported = true;
        executor->unreported = true;
    }
    if (!run->settled && run->state.phase == RUN_STARTED &&
        now_ms - run->phase_ms >= SETTLE_MS) {
        run->settled = true;
        run->unreported |= run->alone;
        executor->unreported |= run->alone;
    }
    run->listed_ms = now_ms;
    run->percent = status->percent;
    run->measured = status->figure;
    text_replace(&run->checkpoint, status->checkpoint);
}

/* A run that existed when the poll was sent, and is in neither of the complete
   lists, does not exist. */
static void
check_unlisted_runs(node_executor_t *executor, int64_t now_ms)
{
    LIST_FOREACH_SAFE (run, &executor->runs, run_t, link) {
        bool is_late = now_ms - run->phase_ms > UNLISTED_GRACE_MS;
        run_decision_t decision;

        if (run->listed_ms == now_ms ||
            run->phase_ms >= executor->poll_sent_ms) {
            continue;
        }
        decision = run_apply(run, is_late ? RUN_EVENT_UNLISTED_LATER
                                          : RUN_EVENT_UNLISTED);
        if (decision.action == RUN_ACTION_REJECT) {
            run_reject(run, decision.reason);
        }
    }
}

void
node_executor_apply_lists(node_executor_t *executor,
                          const executor_poll_reply_t *reply, int64_t now_ms)
{
    for (size_t i = 0; i < reply->ended_count; i++) {
        handle_run_end(executor, reply->ended[i]);
    }
    for (size_t i = 0; i < reply->running_count; i++) {
        handle_running(executor, reply->running[i], now_ms);
    }
    /* The end of an unlisted run may follow once those listed are stored. */
    if (!reply->more_ends) {
        check_unlisted_runs(executor, now_ms);
    }
}
