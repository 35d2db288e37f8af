#include "fake_plog.h"

namespace {

FakePlog *
to_fake(plog_t *log)
{
    return reinterpret_cast<FakePlog *>(log);
}

void
on_append_timer(loop_timer_t *timer)
{
    auto *op = static_cast<FakePlog::Operation *>(timer->data);

    op->log->operations.remove(op);
    op->append_cb(op->outcome, op->offset, "fake", op->cb_data);
    delete op;
}

void
on_read_timer(loop_timer_t *timer)
{
    auto *op = static_cast<FakePlog::Operation *>(timer->data);
    FakePlog *log = op->log;
    FakePlog::Stream &stream = log->streams[op->stream];
    std::vector<std::string> copy;
    std::vector<plog_record_t> records;
    plog_read_t result = {};

    result.ok = !log->outage;
    result.first = stream.first;
    result.next = stream.next();
    result.trimmed = op->from < stream.first;
    for (uint64_t at = op->from;
         !result.trimmed && at < result.next && copy.size() < log->max_read;
         at++) {
        copy.push_back(stream.records[at - stream.first]);
    }
    for (size_t i = 0; i < copy.size(); i++) {
        records.push_back(
            {op->from + i, (const uint8_t *)copy[i].data(), copy[i].size()});
    }
    result.records = records.data();
    result.count = result.ok ? records.size() : 0;
    log->operations.remove(op);
    op->read_cb(&result, op->cb_data);
    delete op;
}

FakePlog::Operation *
new_operation(FakePlog *log, const char *stream, void *cb_data,
              loop_timer_cb on_timer)
{
    auto *op = new FakePlog::Operation();

    op->log = log;
    op->stream = stream;
    op->cb_data = cb_data;
    loop_timer_init(&op->timer, log->loop, on_timer, op);
    log->operations.push_back(op);
    return op;
}

void
append(plog_t *base, const char *stream, const uint8_t *data, size_t length,
       plog_append_cb cb, void *cb_data)
{
    FakePlog *log = to_fake(base);
    FakePlog::Operation *op =
        new_operation(log, stream, cb_data, on_append_timer);
    std::string record((const char *)data, length);
    auto take = [](int &counter) { return counter > 0 && counter-- > 0; };

    op->append_cb = cb;
    if (log->outage || take(log->refuse_appends)) {
        op->outcome = PLOG_REFUSED;
    }
    else if (take(log->drop_appends)) {
        op->outcome = PLOG_UNKNOWN;
    }
    else if (take(log->delayed_appends)) {
        op->outcome = PLOG_UNKNOWN;
        log->delayed.emplace_back(stream, record);
    }
    else {
        op->offset = log->write(stream, record);
        if (take(log->duplicate_appends)) {
            log->write(stream, record);
        }
        if (take(log->lose_answers)) {
            op->outcome = PLOG_UNKNOWN;
        }
    }
    loop_timer_start(&op->timer, 0);
}

void *
read(plog_t *base, const char *stream, uint64_t from, uint64_t wait_ms,
     plog_read_cb cb, void *cb_data)
{
    FakePlog *log = to_fake(base);
    FakePlog::Operation *op =
        new_operation(log, stream, cb_data, on_read_timer);
    FakePlog::Stream &target = log->streams[stream];
    bool ready = log->outage || from != target.next();

    op->read_cb = cb;
    op->from = from;
    loop_timer_start(&op->timer, ready ? 0 : wait_ms);
    return op;
}

void
cancel(plog_t *base, void *read)
{
    auto *op = static_cast<FakePlog::Operation *>(read);

    loop_timer_stop(&op->timer);
    to_fake(base)->operations.remove(op);
    delete op;
}

void
free_log(plog_t *base)
{
    delete to_fake(base);
}

const plog_vtbl_t vtbl = {append, read, cancel, free_log};

} // namespace

FakePlog::FakePlog(loop_t *loop) : loop(loop)
{
    base.vtbl = &vtbl;
}

FakePlog::~FakePlog()
{
    while (!operations.empty()) {
        Operation *op = operations.front();

        operations.pop_front();
        loop_timer_stop(&op->timer);
        if (op->append_cb != nullptr) {
            op->append_cb(PLOG_UNKNOWN, 0, "closed", op->cb_data);
        }
        delete op;
    }
}

uint64_t
FakePlog::write(const std::string &stream, const std::string &record)
{
    Stream &target = streams[stream];

    target.records.push_back(record);
    target.appends++;
    for (Operation *op : operations) {
        if (op->read_cb != nullptr && op->stream == stream) {
            loop_timer_start(&op->timer, 0);
        }
    }
    return target.next() - 1;
}

void
FakePlog::write_delayed()
{
    auto released = std::move(delayed);

    delayed.clear();
    for (auto &entry : released) {
        write(entry.first, entry.second);
    }
}

void
FakePlog::trim(const std::string &stream, uint64_t before)
{
    Stream &target = streams[stream];

    if (before > target.first) {
        before = std::min(before, target.next());
        target.records.erase(target.records.begin(),
                             target.records.begin() + (before - target.first));
        target.first = before;
    }
}
