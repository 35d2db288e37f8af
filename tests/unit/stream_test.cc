#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

extern "C" {
#include "base/clock.h"
#include "stream/stream.h"
}

#include "fake_plog.h"

namespace {

/* A reader whose state is the text of the jobs and drains in log order. */
struct Reader {
    std::string state;
    std::vector<uint64_t> offsets;
    bool caught_up = false;
    bool refuse_snapshots = false;
    stream_t *stream = nullptr;

    static void
    apply(const Teasel__LogRecord *record, uint64_t offset, void *data)
    {
        auto *self = static_cast<Reader *>(data);

        self->offsets.push_back(offset);
        if (record->body_case == TEASEL__LOG_RECORD__BODY_JOB_SUBMIT) {
            self->state += std::string(record->job_submit->job_id) + ";";
        }
        if (record->body_case == TEASEL__LOG_RECORD__BODY_DRAIN) {
            self->state += record->drain->on ? "on;" : "off;";
        }
    }

    static bool
    load(const uint8_t *snapshot, size_t length, uint64_t covers, void *data)
    {
        auto *self = static_cast<Reader *>(data);

        if (self->refuse_snapshots) {
            return false;
        }
        self->state.assign((const char *)snapshot, length);
        return true;
    }

    static void
    on_caught_up(void *data)
    {
        static_cast<Reader *>(data)->caught_up = true;
    }

    explicit Reader(FakePlog &log)
    {
        static const stream_handler_t handler = {apply, load, on_caught_up};
        stream_opts_t opts = {};

        opts.loop = log.loop;
        opts.clock = clock_system();
        opts.log = log.plog();
        opts.name = "s";
        opts.writer = "test";
        opts.handler = &handler;
        opts.data = this;
        stream = stream_new(&opts);
    }
    ~Reader()
    {
        stream_free(stream);
    }
};

struct Result {
    bool done = false;
    stream_outcome_t outcome = STREAM_UNKNOWN;
    uint64_t offset = 0;
    std::string state; /* of the reader when the callback was called */
    Reader *reader = nullptr;

    static void
    on_outcome(stream_outcome_t outcome, uint64_t offset, const char *detail,
               void *data)
    {
        auto *self = static_cast<Result *>(data);

        self->done = true;
        self->outcome = outcome;
        self->offset = offset;
        self->state = self->reader != nullptr ? self->reader->state : "";
    }
};

std::string
pack(Teasel__LogRecord &record, int id)
{
    uint8_t bytes[16] = {(uint8_t)id, (uint8_t)(id >> 8)};
    std::string out;

    record.id = {sizeof(bytes), bytes};
    out.resize(teasel__log_record__get_packed_size(&record));
    teasel__log_record__pack(&record, (uint8_t *)&out[0]);
    return out;
}

std::string
job(int id)
{
    Teasel__LogRecord record = TEASEL__LOG_RECORD__INIT;
    Teasel__JobSubmit submit = TEASEL__JOB_SUBMIT__INIT;
    std::string name = std::to_string(id);

    submit.job_id = &name[0];
    record.body_case = TEASEL__LOG_RECORD__BODY_JOB_SUBMIT;
    record.job_submit = &submit;
    return pack(record, id);
}

std::string
drain(int id, bool on)
{
    Teasel__LogRecord record = TEASEL__LOG_RECORD__INIT;
    Teasel__Drain body = TEASEL__DRAIN__INIT;

    body.on = on;
    record.body_case = TEASEL__LOG_RECORD__BODY_DRAIN;
    record.drain = &body;
    return pack(record, id);
}

struct Fixture : public ::testing::Test {
    loop_t *loop = loop_new();
    FakePlog *log = new FakePlog(loop);

    ~Fixture() override
    {
        delete log;
        loop_free(loop);
    }

    template <typename Condition>
    void
    wait(Condition condition)
    {
        while (!condition()) {
            loop_run_once(loop, 100);
        }
    }

    void
    wait_for_end(Reader &reader)
    {
        wait([&] {
            return stream_get_next_offset(reader.stream) ==
                   log->streams["s"].next();
        });
    }

    void
    write_snapshot(Reader &reader)
    {
        Result result;

        stream_write_snapshot(
            reader.stream, (const uint8_t *)reader.state.data(),
            reader.state.size(), Result::on_outcome, &result);
        wait([&] { return result.done; });
        ASSERT_EQ(result.outcome, STREAM_APPLIED);
    }

    void
    append(Reader &reader, uint64_t timeout_ms, Result &result)
    {
        Teasel__LogRecord record = TEASEL__LOG_RECORD__INIT;
        Teasel__JobSubmit submit = TEASEL__JOB_SUBMIT__INIT;
        char name[] = "own";

        submit.job_id = name;
        record.body_case = TEASEL__LOG_RECORD__BODY_JOB_SUBMIT;
        record.job_submit = &submit;
        result.reader = &reader;
        stream_append(reader.stream, &record, timeout_ms, Result::on_outcome,
                      &result);
    }
};

// Guards against reporting success before the record has been applied, and
// against reporting a record as unknown because only the response was lost.
TEST_F(Fixture, ReadBackDeterminesTheOutcome)
{
    Reader reader(*log);
    Result plain;
    Result lost;
    Result duplicated;

    append(reader, 5000, plain);
    wait([&] { return plain.done; });
    EXPECT_EQ(plain.outcome, STREAM_APPLIED);
    EXPECT_EQ(plain.state, "own;");
    log->lose_answers = 1;
    append(reader, 5000, lost);
    wait([&] { return lost.done; });
    EXPECT_EQ(lost.outcome, STREAM_APPLIED);
    EXPECT_EQ(lost.offset, 2U);
    log->duplicate_appends = 1;
    append(reader, 5000, duplicated);
    wait([&] { return duplicated.done; });
    EXPECT_EQ(duplicated.outcome, STREAM_APPLIED);
    EXPECT_EQ(duplicated.offset, 3U);
}

// Guards against reporting a record that may yet be written as refused, and
// against reporting a refused one as unknown.
TEST_F(Fixture, DistinguishesRefusedFromUnknown)
{
    Reader reader(*log);
    Result refused;
    Result dropped;
    Result delayed;

    wait([&] { return reader.caught_up; });
    log->refuse_appends = 1;
    append(reader, 5000, refused);
    wait([&] { return refused.done; });
    EXPECT_EQ(refused.outcome, STREAM_REFUSED);
    log->drop_appends = 1;
    append(reader, 10, dropped);
    log->delayed_appends = 1;
    append(reader, 10, delayed);
    wait([&] { return dropped.done && delayed.done; });
    EXPECT_EQ(dropped.outcome, STREAM_UNKNOWN);
    EXPECT_EQ(delayed.outcome, STREAM_UNKNOWN);
    log->write_delayed();
    wait_for_end(reader);
    EXPECT_EQ(reader.state, "own;");
}

// Guards against use after free when a stream is freed while appends are
// pending.
TEST_F(Fixture, FreeWithPendingAppends)
{
    Result result;
    {
        Reader reader(*log);

        append(reader, 5000, result);
    }
    loop_run_once(loop, 10);
    EXPECT_FALSE(result.done);
}

// Guards against a reader that stops, or advances its sync time, while the log
// is unavailable.
TEST_F(Fixture, OutageKeepsStateAndSyncTime)
{
    Reader reader(*log);

    log->write("s", job(1));
    wait_for_end(reader);
    wait([&] { return stream_is_caught_up(reader.stream); });
    log->outage = true;
    wait([&] { return !stream_is_reachable(reader.stream); });
    struct timespec sync_time = stream_get_sync_time(reader.stream);
    EXPECT_EQ(reader.state, "1;");
    log->write("s", job(2));
    loop_run_once(loop, 100);
    EXPECT_EQ(timespec_diff_us(stream_get_sync_time(reader.stream), sync_time),
              0);
    log->outage = false;
    wait_for_end(reader);
    EXPECT_EQ(reader.state, "1;2;");
    wait([&] {
        return timespec_is_before(sync_time,
                                  stream_get_sync_time(reader.stream));
    });
}

// Guards against a malformed record that stops a reader or is applied by some
// readers only.
TEST_F(Fixture, SkipsMalformedRecords)
{
    Reader reader(*log);

    log->write("s", "\xff\xff");
    log->write("s", "");
    log->write("s", job(3));
    wait_for_end(reader);
    EXPECT_EQ(reader.state, "3;");
}

// Guards against a stream that drops duplicate records itself: a reader that
// starts from a snapshot has not seen the earlier copies, so states would
// differ.
TEST_F(Fixture, PassesDuplicateRecordsToTheHandler)
{
    Reader reader(*log);

    log->write("s", drain(1, true));
    log->write("s", drain(2, false));
    log->write("s", drain(1, true));
    wait_for_end(reader);
    EXPECT_EQ(reader.state, "on;off;on;");
}

// Guards against a reader that reads an offset again after the log has lost
// its last records.
TEST_F(Fixture, NeverAppliesAnOffsetTwice)
{
    Reader reader(*log);

    log->write("s", job(1));
    log->write("s", job(2));
    wait_for_end(reader);
    log->streams["s"].records.pop_back();
    log->write("s", job(9));
    loop_run_once(loop, 100);
    EXPECT_EQ(reader.state, "1;2;");
    log->write("s", job(3));
    wait_for_end(reader);
    EXPECT_EQ(reader.state, "1;2;3;");
}

// Guards against skipping a gap in the log: states of readers would then
// differ.
TEST_F(Fixture, WaitsForSnapshotAfterGap)
{
    Reader writer(*log);

    for (int i = 1; i <= 4; i++) {
        log->write("s", job(i));
    }
    wait_for_end(writer);
    log->trim("s", 3);
    Reader reader(*log);
    loop_run_once(loop, 100);
    loop_run_once(loop, 100);
    EXPECT_EQ(reader.state, "");
    EXPECT_FALSE(reader.caught_up);
    write_snapshot(writer);
    wait_for_end(reader);
    EXPECT_EQ(reader.state, "1;2;3;4;");
}

// Guards against a reader without state when the newest snapshot is corrupt.
TEST_F(Fixture, FallsBackToAnOlderSnapshot)
{
    Reader writer(*log);

    log->write("s", job(1));
    wait_for_end(writer);
    write_snapshot(writer);
    log->write("s", job(2));
    wait_for_end(writer);
    write_snapshot(writer);
    log->streams["s.snapshots"].records[1].back() ^= 1;
    Reader reader(*log);
    wait_for_end(reader);
    EXPECT_EQ(reader.state, "1;2;");
    EXPECT_EQ(reader.offsets, std::vector<uint64_t>{2});
}

/* A loop and a log for the property tests. */
struct Property {
    loop_t *loop = loop_new();
    FakePlog *log = new FakePlog(loop);

    ~Property()
    {
        delete log;
        loop_free(loop);
    }

    void
    finish(Reader &reader, uint64_t next)
    {
        while (stream_get_next_offset(reader.stream) < next) {
            loop_run_once(loop, 50);
        }
    }
};

// Guards against a state that depends on the size of the reads, on duplicate
// records or on the offset of the snapshot that the reader started from.
RC_GTEST_PROP(StreamProperty, SplitsDuplicatesAndSnapshotsAgree, ())
{
    Property property;
    int count = *rc::gen::inRange(1, 30);
    int snapshot_at = *rc::gen::inRange(0, count);
    int trim = *rc::gen::inRange(0, snapshot_at + 1);
    std::vector<std::string> written;

    for (int i = 0; i < count; i++) {
        int kind = *rc::gen::inRange(0, 4);

        if (kind == 0 && !written.empty()) {
            written.push_back(
                written[*rc::gen::inRange(0, (int)written.size())]);
        }
        else {
            written.push_back(kind == 1 ? drain(i, i % 2 == 0) : job(i));
        }
    }
    property.log->max_read = *rc::gen::inRange(1, 5);
    Reader plain(*property.log);
    for (int i = 0; i < count; i++) {
        property.log->write("s", written[i]);
        if (i + 1 == snapshot_at) {
            property.finish(plain, i + 2);
            stream_write_snapshot(plain.stream,
                                  (const uint8_t *)plain.state.data(),
                                  plain.state.size(), nullptr, nullptr);
        }
    }
    property.finish(plain, count + 1);
    property.log->trim("s", trim + 1);
    Reader other(*property.log);
    property.finish(other, count + 1);
    RC_ASSERT(other.state == plain.state);
    if (snapshot_at > 0) {
        RC_ASSERT((int)other.offsets.size() <= count - snapshot_at);
    }
}

// Guards against a reader whose state is reverted by a snapshot that is
// written late and covers less than the reader has applied.
RC_GTEST_PROP(StreamProperty, StaleSnapshotNeverReverts, ())
{
    Property property;
    int count = *rc::gen::inRange(2, 20);
    int stale = *rc::gen::inRange(1, count);
    int trim = *rc::gen::inRange(1, count + 1);

    Reader writer(*property.log);
    for (int i = 0; i < stale; i++) {
        property.log->write("s", job(i));
    }
    property.finish(writer, stale + 1);
    property.log->delayed_appends = 1;
    stream_write_snapshot(writer.stream, (const uint8_t *)writer.state.data(),
                          writer.state.size(), nullptr, nullptr);
    Reader reader(*property.log);
    for (int i = stale; i < count; i++) {
        property.log->write("s", job(i));
    }
    property.finish(reader, count + 1);
    std::string before = reader.state;
    property.log->write_delayed();
    property.log->trim("s", trim);
    property.log->write("s", job(count));
    property.finish(reader, count + 2);
    RC_ASSERT(reader.state == before + std::to_string(count) + ";");
    RC_ASSERT(std::is_sorted(reader.offsets.begin(), reader.offsets.end()));
}

} // namespace
