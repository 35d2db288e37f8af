#include "agent/agent_internal.h"
#include "base/events.h"

enum {
    /* Time to write the last queued messages before the sockets close. */
    FLUSH_MS = 50,
};

static void
on_flushed(loop_timer_t *timer)
{
    agent_t *agent = timer->data;

    loop_stop(agent->loop);
}

static bool
is_work_finished(const agent_t *agent)
{
    return request_table_is_idle(agent->requests) &&
           (agent->tasks == NULL || task_runner_is_idle(agent->tasks));
}

void
agent_stop_check(agent_t *agent)
{
    if (!agent->leaving || !agent->linger_done || !is_work_finished(agent)) {
        return;
    }
    if (!agent->role_stopping) {
        agent_coordinator_stop(agent);
        return;
    }
    if (agent->role_stopped && !loop_timer_is_active(&agent->linger_timer)) {
        loop_timer_stop(&agent->stop_timer);
        loop_timer_init(&agent->linger_timer, agent->loop, on_flushed, agent);
        loop_timer_start(&agent->linger_timer, FLUSH_MS);
    }
}

/* Until now the agent has answered NotRun to requests that the entries sent
   before they received the Leave message. */
static void
on_linger_done(loop_timer_t *timer)
{
    agent_t *agent = timer->data;

    agent->linger_done = true;
    agent_stop_check(agent);
}

static void
on_stop_timeout(loop_timer_t *timer)
{
    agent_t *agent = timer->data;

    event_log(EVENT_STOP_UNFINISHED, "requests=%d tasks=%d role=%d",
              !request_table_is_idle(agent->requests),
              agent->tasks != NULL && !task_runner_is_idle(agent->tasks),
              !agent->role_stopped);
    loop_stop(agent->loop);
}

void
agent_stop_init(agent_t *agent)
{
    loop_timer_init(&agent->linger_timer, agent->loop, on_linger_done, agent);
    loop_timer_init(&agent->stop_timer, agent->loop, on_stop_timeout, agent);
}

void
agent_leave(agent_t *agent, const char *reason)
{
    if (agent->leaving) {
        return;
    }
    agent->leaving = true;
    event_log(EVENT_PROCESS_LEAVING, "reason=\"%s\"", reason);
    loop_timer_start(&agent->linger_timer,
                     (uint64_t)agent->settings->leave_linger_ms);
    loop_timer_start(&agent->stop_timer,
                     (uint64_t)agent->settings->stop_timeout_ms);
    agent_entries_send_leave(agent, reason);
    request_table_set_leaving(agent->requests, true);
    agent_entries_send_report(agent);
    if (agent->tasks != NULL) {
        task_runner_set_leaving(agent->tasks, true);
    }
}
