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

/* State of a reader: ids of the jobs and drains in the order of the log. */
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
    std::string state; /* of the reader at the time of the callback */
    Reader *reader = nullptr;

    static void
    on_fate(stream_outcome_t outcome, uint64_t offset, const char *detail,
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
    snapshot(Reader &reader)
    {
        Result result;

        stream_write_snapshot(reader.stream,
                              (const uint8_t *)reader.state.data(),
                              reader.state.size(), Result::on_fate, &result);
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
        stream_append(reader.stream, &record, timeout_ms, Result::on_fate,
                      &result);
    }
};

// Guards against a writer being told of success before its record is folded,
// and against a lost answer being taken for a lost record.
TEST_F(Fixture, ReadBackDecidesTheFate)
{
    Reader reader(*log);
    Result plain;
    Result lost;
    Result doubled;

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
    append(reader, 5000, doubled);
    wait([&] { return doubled.done; });
    EXPECT_EQ(doubled.outcome, STREAM_APPLIED);
    EXPECT_EQ(doubled.offset, 3U);
}

// Guards against a record that may still be written being reported as not
// written, and against a refused one being reported as unknown.
TEST_F(Fixture, TellsRefusedFromUnknown)
{
    Reader reader(*log);
    Result refused;
    Result dropped;
    Result late;

    wait([&] { return reader.caught_up; });
    log->refuse_appends = 1;
    append(reader, 5000, refused);
    wait([&] { return refused.done; });
    EXPECT_EQ(refused.outcome, STREAM_REFUSED);
    log->drop_appends = 1;
    append(reader, 10, dropped);
    log->delayed_appends = 1;
    append(reader, 10, late);
    wait([&] { return dropped.done && late.done; });
    EXPECT_EQ(dropped.outcome, STREAM_UNKNOWN);
    EXPECT_EQ(late.outcome, STREAM_UNKNOWN);
    log->write_delayed();
    wait_for_end(reader);
    EXPECT_EQ(reader.state, "own;");
}

// Guards against use of freed memory when a stream ends with appends on
// their way.
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

// Guards against a reader that gives up, or moves its proof on, while the
// log does not answer.
TEST_F(Fixture, OutageKeepsStateAndProof)
{
    Reader reader(*log);

    log->write("s", job(1));
    wait_for_end(reader);
    wait([&] { return stream_is_caught_up(reader.stream); });
    log->outage = true;
    wait([&] { return !stream_is_reachable(reader.stream); });
    struct timespec proof = stream_get_sync_time(reader.stream);
    EXPECT_EQ(reader.state, "1;");
    log->write("s", job(2));
    loop_run_once(loop, 100);
    EXPECT_EQ(timespec_diff_us(stream_get_sync_time(reader.stream), proof), 0);
    log->outage = false;
    wait_for_end(reader);
    EXPECT_EQ(reader.state, "1;2;");
    wait([&] {
        return timespec_is_before(proof, stream_get_sync_time(reader.stream));
    });
}

// Guards against a damaged record stopping a reader or being folded by some
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

// Guards against the reader dropping repeated records by itself: a reader
// that starts from a snapshot does not know the earlier ones.
TEST_F(Fixture, PassesRepeatedRecordsOn)
{
    Reader reader(*log);

    log->write("s", drain(1, true));
    log->write("s", drain(2, false));
    log->write("s", drain(1, true));
    wait_for_end(reader);
    EXPECT_EQ(reader.state, "on;off;on;");
}

// Guards against a log that lost its end making a reader go back.
TEST_F(Fixture, NeverGoesBack)
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

// Guards against a gap in the log being skipped silently: the state would
// differ between readers.
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
    snapshot(writer);
    wait_for_end(reader);
    EXPECT_EQ(reader.state, "1;2;3;4;");
}

// Guards against a damaged newest snapshot leaving a reader without state.
TEST_F(Fixture, TriesTheNextBestSnapshot)
{
    Reader writer(*log);

    log->write("s", job(1));
    wait_for_end(writer);
    snapshot(writer);
    log->write("s", job(2));
    wait_for_end(writer);
    snapshot(writer);
    log->streams["s.snapshots"].records[1].back() ^= 1;
    Reader reader(*log);
    wait_for_end(reader);
    EXPECT_EQ(reader.state, "1;2;");
    EXPECT_EQ(reader.offsets, std::vector<uint64_t>{2});
}

/* Applies what the log holds in reads of any size, with snapshots of any
   offset and trims, and compares with a plain reader. */
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

// Guards against state that depends on how a reader came to it: splits of
// reads, repeated records, the offset of the snapshot it started from.
RC_GTEST_PROP(StreamProperty, SplitsDuplicatesAndSnapshotsAgree, ())
{
    Property world;
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
    world.log->max_read = *rc::gen::inRange(1, 5);
    Reader plain(*world.log);
    for (int i = 0; i < count; i++) {
        world.log->write("s", written[i]);
        if (i + 1 == snapshot_at) {
            world.finish(plain, i + 2);
            stream_write_snapshot(plain.stream,
                                  (const uint8_t *)plain.state.data(),
                                  plain.state.size(), nullptr, nullptr);
        }
    }
    world.finish(plain, count + 1);
    world.log->trim("s", trim + 1);
    Reader other(*world.log);
    world.finish(other, count + 1);
    RC_ASSERT(other.state == plain.state);
    if (snapshot_at > 0) {
        RC_ASSERT((int)other.offsets.size() <= count - snapshot_at);
    }
}

// Guards against a snapshot that arrives late, is written twice or covers
// less than the reader knows reverting its state.
RC_GTEST_PROP(StreamProperty, StaleSnapshotNeverReverts, ())
{
    Property world;
    int count = *rc::gen::inRange(2, 20);
    int stale = *rc::gen::inRange(1, count);
    int trim = *rc::gen::inRange(1, count + 1);

    Reader writer(*world.log);
    for (int i = 0; i < stale; i++) {
        world.log->write("s", job(i));
    }
    world.finish(writer, stale + 1);
    world.log->delayed_appends = 1;
    stream_write_snapshot(writer.stream, (const uint8_t *)writer.state.data(),
                          writer.state.size(), nullptr, nullptr);
    Reader reader(*world.log);
    for (int i = stale; i < count; i++) {
        world.log->write("s", job(i));
    }
    world.finish(reader, count + 1);
    std::string before = reader.state;
    world.log->write_delayed();
    world.log->trim("s", trim);
    world.log->write("s", job(count));
    world.finish(reader, count + 2);
    RC_ASSERT(reader.state == before + std::to_string(count) + ";");
    RC_ASSERT(std::is_sorted(reader.offsets.begin(), reader.offsets.end()));
}

} // namespace
