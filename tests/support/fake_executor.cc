#include "fake_executor.h"

namespace {

struct Api {
    executor_api_t base;
    FakeExecutor *executor;
    loop_t *loop;
    std::string id;
    int64_t started_ms;

    struct Call {
        loop_timer_t timer;
        Api *api;
        std::function<void()> deliver;
        std::list<Call>::iterator self;
    };
    std::list<Call> calls;

    static void
    on_call(loop_timer_t *timer)
    {
        auto *call = static_cast<Call *>(timer->data);
        auto deliver = std::move(call->deliver);

        call->api->calls.erase(call->self);
        deliver();
    }
    void
    deliver_after(uint64_t ms, std::function<void()> deliver)
    {
        auto call = calls.emplace(calls.end());

        call->api = this;
        call->deliver = std::move(deliver);
        call->self = call;
        loop_timer_init(&call->timer, loop, on_call, &*call);
        loop_timer_start(&call->timer, ms);
    }
};

constexpr uint64_t NO_ANSWER_MS = 60;

/* Returns the result of a call that has no effect, or EXECUTOR_OK. An
   incarnation under another id refuses all calls. */
executor_result_t
get_failure(const Api *api)
{
    if (api->executor->gone) {
        return EXECUTOR_NOT_SENT;
    }
    return api->id != api->executor->id ? EXECUTOR_WRONG_INCARNATION
                                        : EXECUTOR_OK;
}

/* A later incarnation under the same id carries out all calls. */
executor_result_t
get_success(const Api *api)
{
    return api->started_ms == api->executor->born_ms ? EXECUTOR_OK
                                                     : EXECUTOR_RESTARTED;
}

void
start(executor_api_t *base, const executor_start_t *order,
      executor_done_fn done, void *data)
{
    auto *api = reinterpret_cast<Api *>(base);
    FakeExecutor *executor = api->executor;
    int64_t until_ms = order->deadline_ms - executor->clock_offset_ms;
    const char *reason = nullptr;
    executor_result_t failure;

    executor->advance();
    failure = get_failure(api);
    if (executor->unresponsive) {
        api->deliver_after(NO_ANSWER_MS,
                           [=] { done(EXECUTOR_NO_ANSWER, nullptr, data); });
        return;
    }
    if (failure != EXECUTOR_OK) {
        api->deliver_after(0, [=] { done(failure, nullptr, data); });
        return;
    }
    if (executor->busy_starts > 0) {
        executor->busy_starts--;
        api->deliver_after(0, [=] { done(EXECUTOR_BUSY, nullptr, data); });
        return;
    }
    if (executor->late_starts > 0) {
        executor->late_starts--;
        executor->late.push_back({FakeExecutor::now_ms() + executor->late_ms,
                                  order->task, order->run, until_ms,
                                  order->fencing_token});
        api->deliver_after(NO_ANSWER_MS,
                           [=] { done(EXECUTOR_NO_ANSWER, nullptr, data); });
        return;
    }
    reason = executor->begin(order->task, order->run, until_ms,
                             order->fencing_token);
    if (executor->lose_starts > 0) {
        executor->lose_starts--;
        api->deliver_after(NO_ANSWER_MS,
                           [=] { done(EXECUTOR_NO_ANSWER, nullptr, data); });
        return;
    }
    api->deliver_after(0, [=] {
        done(reason == nullptr ? get_success(api) : EXECUTOR_REJECTED, reason,
             data);
    });
}

void
stop(executor_api_t *base, const char *task, uint32_t run,
     uint64_t fencing_token, executor_done_fn done, void *data)
{
    auto *api = reinterpret_cast<Api *>(base);
    FakeExecutor *executor = api->executor;
    executor_result_t failure = get_failure(api);

    if (executor->unresponsive) {
        api->deliver_after(NO_ANSWER_MS,
                           [=] { done(EXECUTOR_NO_ANSWER, nullptr, data); });
        return;
    }
    if (failure != EXECUTOR_OK) {
        api->deliver_after(0, [=] { done(failure, nullptr, data); });
        return;
    }
    executor->advance();
    if (executor->running.count(task) != 0) {
        executor->end(task, SCHED_END_STOPPED);
    }
    executor->last_runs[task] = std::max(executor->last_runs[task], run);
    if (executor->lose_stops > 0) {
        executor->lose_stops--;
        api->deliver_after(NO_ANSWER_MS,
                           [=] { done(EXECUTOR_NO_ANSWER, nullptr, data); });
        return;
    }
    api->deliver_after(0, [=] { done(get_success(api), nullptr, data); });
}

void
answer_poll(Api *api, uint64_t cursor, executor_poll_fn done, void *data)
{
    FakeExecutor *executor = api->executor;
    std::vector<Teasel__RunStatus> running;
    std::vector<Teasel__RunEnd> ended;
    std::vector<Teasel__RunStatus *> running_list;
    std::vector<Teasel__RunEnd *> ended_list;
    executor_poll_reply_t reply = {};

    /* The connection of the poll ends with the incarnation. */
    if (get_failure(api) != EXECUTOR_OK) {
        done(EXECUTOR_NO_ANSWER, nullptr, data);
        return;
    }
    executor->answered_ms = FakeExecutor::now_ms();
    executor->advance();
    for (auto &[task, entry] : executor->running) {
        Teasel__RunStatus status = TEASEL__RUN_STATUS__INIT;

        status.task = const_cast<char *>(task.c_str());
        status.run = entry.run;
        status.percent = entry.percent;
        status.figure = entry.figure;
        running.push_back(status);
    }
    for (auto &end : executor->ends) {
        Teasel__RunEnd entry = TEASEL__RUN_END__INIT;

        if (end.number <= cursor || reply.more_ends) {
            continue;
        }
        entry.number = end.number;
        entry.task = const_cast<char *>(end.task.c_str());
        entry.run = end.run;
        entry.how = end.how;
        entry.checkpoint = const_cast<char *>(end.checkpoint.c_str());
        ended.push_back(entry);
        reply.more_ends = ended.size() >= executor->ends_per_answer;
    }
    for (auto &status : running) {
        running_list.push_back(&status);
    }
    for (auto &entry : ended) {
        ended_list.push_back(&entry);
    }
    reply.clock_ms = FakeExecutor::now_ms() + executor->clock_offset_ms;
    reply.running = running_list.data();
    reply.running_count = running_list.size();
    reply.ended = ended_list.data();
    reply.ended_count = ended_list.size();
    done(get_success(api), &reply, data);
}

void
poll(executor_api_t *base, const executor_poll_t *poll, executor_poll_fn done,
     void *data)
{
    auto *api = reinterpret_cast<Api *>(base);
    FakeExecutor *executor = api->executor;
    executor_result_t failure = get_failure(api);
    uint64_t cursor = poll->cursor;

    if (poll->deadline_ms != 0) {
        executor->asked_deadline_ms =
            poll->deadline_ms - executor->clock_offset_ms;
    }
    if (executor->unresponsive) {
        api->deliver_after(NO_ANSWER_MS,
                           [=] { done(EXECUTOR_NO_ANSWER, nullptr, data); });
        return;
    }
    if (failure != EXECUTOR_OK) {
        api->deliver_after(0, [=] { done(failure, nullptr, data); });
        return;
    }
    executor->polls++;
    executor->fencing_token =
        std::max(executor->fencing_token, poll->fencing_token);
    executor->deadline_ms = std::max(
        executor->deadline_ms, poll->deadline_ms - executor->clock_offset_ms);
    while (!executor->ends.empty() && executor->ends[0].number <= cursor) {
        if (executor->ends[0].how == SCHED_END_DONE) {
            executor->noted.insert(executor->ends[0].task);
        }
        executor->ends.erase(executor->ends.begin());
    }
    if (executor->lose_polls > 0) {
        executor->lose_polls--;
        api->deliver_after(NO_ANSWER_MS,
                           [=] { done(EXECUTOR_NO_ANSWER, nullptr, data); });
        return;
    }
    api->deliver_after(poll->wait_ms == 0 ? 0 : executor->poll_ms,
                       [=] { answer_poll(api, cursor, done, data); });
}

void
throttle(executor_api_t *base, const char *task, uint32_t run,
         uint32_t percent, uint64_t fencing_token, executor_done_fn done,
         void *data)
{
    auto *api = reinterpret_cast<Api *>(base);

    api->executor->throttles.emplace_back(task, percent);
    api->deliver_after(0, [=] { done(EXECUTOR_OK, nullptr, data); });
}

void
free_api(executor_api_t *base)
{
    auto *api = reinterpret_cast<Api *>(base);

    for (auto &call : api->calls) {
        loop_timer_stop(&call.timer);
    }
    delete api;
}

const executor_vtbl_t vtbl = {start, stop, poll, throttle, free_api};

} // namespace

executor_api_t *
FakeExecutor::connect(loop_t *loop, const char *address, const char *id,
                      int64_t started_ms, GError **error)
{
    auto *api = new Api;

    api->base.vtbl = &vtbl;
    api->executor = at().at(address);
    api->loop = loop;
    api->id = id;
    api->started_ms = started_ms;
    return &api->base;
}
