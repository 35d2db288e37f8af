#include <gtest/gtest.h>

#include <string>

extern "C" {
#include "base/clock.h"
#include "config/config_reader.h"
}

#include "config_records.h"
#include "fake_plog.h"

namespace {

/* A reader with its own loop and its own copy of the log, so that it can stop
   reading while records are appended elsewhere. */
struct Process {
    loop_t *loop = loop_new();
    FakePlog *log = new FakePlog(loop);
    config_reader_t *reader = nullptr;
    int changes = 0;

    static void
    on_change(config_reader_t *reader, void *data)
    {
        static_cast<Process *>(data)->changes++;
    }

    Process()
    {
        config_reader_opts_t opts = {};

        opts.loop = loop;
        opts.clock = clock_system();
        opts.log = log->plog();
        opts.writer = "test";
        opts.on_change = on_change;
        opts.data = this;
        reader = config_reader_new(&opts);
    }
    ~Process()
    {
        config_reader_free(reader);
        delete log;
        loop_free(loop);
    }

    void
    run_until(uint64_t next)
    {
        while (!config_reader_is_caught_up(reader) ||
               config_reader_get_next_offset(reader) < next) {
            loop_run_once(loop, 100);
        }
    }

    int64_t
    slots()
    {
        return config_reader_get_service(reader, "a")->slots;
    }

    std::string
    state()
    {
        return encode_state(config_reader_get_state(reader));
    }
};

uint64_t
write_ticket(FakePlog *log, uint64_t number, int slots)
{
    static uint32_t id = 0;
    Teasel__LogRecord record = TEASEL__LOG_RECORD__INIT;
    Teasel__Ticket ticket = TEASEL__TICKET__INIT;
    ConfigRecord source = ticket_record(
        number, "\"service/a\":{\"slots\":" + std::to_string(slots) + "}");
    uint8_t bytes[16] = {};
    std::string packed;

    id++;
    memcpy(bytes, &id, sizeof(id));
    record.id = {sizeof(bytes), bytes};
    ticket.number = number;
    ticket.body = {source.body.size(), (uint8_t *)&source.body[0]};
    record.body_case = TEASEL__LOG_RECORD__BODY_TICKET;
    record.ticket = &ticket;
    packed.resize(teasel__log_record__get_packed_size(&record));
    teasel__log_record__pack(&record, (uint8_t *)&packed[0]);
    return log->write("config", packed);
}

void
write_snapshot(Process &process)
{
    size_t before = process.log->streams["config.snapshots"].records.size();

    ASSERT_TRUE(config_reader_maybe_write_snapshot(process.reader));
    EXPECT_FALSE(config_reader_maybe_write_snapshot(process.reader));
    while (process.log->streams["config.snapshots"].records.size() == before) {
        loop_run_once(process.loop, 100);
    }
}

// Guards against defaults that are missing before the log was read, and
// against changes without a call of on_change.
TEST(ConfigReader, FollowsTickets)
{
    Process process;

    EXPECT_EQ(process.slots(), 8);
    EXPECT_FALSE(config_reader_get_service(process.reader, "a")->declared);
    EXPECT_EQ(config_reader_get_policy(process.reader, "default")->lease_ms,
              15000);
    write_ticket(process.log, 1, 2);
    write_ticket(process.log, 1, 3);
    process.run_until(3);
    EXPECT_EQ(process.slots(), 2);
    EXPECT_EQ(process.changes, 2); /* the ticket and the end of catching up */
}

// Guards against an outage of the log resetting the settings in force.
TEST(ConfigReader, KeepsStateWhileLogIsUnavailable)
{
    Process process;

    write_ticket(process.log, 1, 2);
    process.run_until(2);
    process.log->outage = true;
    while (config_reader_is_reachable(process.reader)) {
        loop_run_once(process.loop, 100);
    }
    EXPECT_EQ(process.slots(), 2);
    process.log->outage = false;
    write_ticket(process.log, 2, 3);
    process.run_until(3);
    EXPECT_EQ(process.slots(), 3);
}

// Guards against tickets being lost, or numbers being accepted again, after
// the log trimmed their records; and against a reader that did not read
// meanwhile keeping its old state.
TEST(ConfigReader, KeepsStateAfterRecordsAreTrimmed)
{
    Process writer;
    Process lagging;
    uint64_t next = 1;

    write_ticket(lagging.log, 1, 5);
    lagging.run_until(2);
    write_ticket(writer.log, 1, 5);
    for (uint64_t number = 2; number <= 500; number++) {
        next = write_ticket(writer.log, number, (int)number % 60 + 1) + 1;
    }
    writer.run_until(next);
    write_snapshot(writer);
    next = write_ticket(writer.log, 501, 7) + 1;
    writer.log->trim("config", 501);
    writer.run_until(next);

    lagging.log->streams = writer.log->streams;
    lagging.run_until(next);
    EXPECT_EQ(lagging.slots(), 7);
    EXPECT_EQ(lagging.state(), writer.state());
    write_ticket(lagging.log, 1, 5);
    next = write_ticket(lagging.log, 400, 9) + 1;
    lagging.run_until(next);
    EXPECT_EQ(lagging.slots(), 7);
}

// Guards against an outdated snapshot, written last by a process that had
// stopped reading, reverting readers that start from the snapshots.
TEST(ConfigReader, OutdatedSnapshotRevertsNothing)
{
    Process stale;
    Process writer;
    uint64_t next = 1;

    for (uint64_t number = 1; number <= 1100; number++) {
        next = write_ticket(writer.log, number, (int)number % 60 + 1) + 1;
        if (number == 600) {
            stale.log->streams = writer.log->streams;
        }
    }
    stale.run_until(601);
    writer.run_until(next);
    write_snapshot(writer);
    write_snapshot(stale);
    for (const std::string &chunk :
         stale.log->streams["config.snapshots"].records) {
        writer.log->write("config.snapshots", chunk);
    }

    Process late;
    late.log->streams = writer.log->streams;
    late.log->trim("config", next);
    late.run_until(next);
    EXPECT_EQ(late.state(), writer.state());
    EXPECT_EQ(late.slots(), 1100 % 60 + 1);
}

} // namespace
