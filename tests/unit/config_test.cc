#include <gtest/gtest.h>

#include <string>

#include "config_records.h"

namespace {

struct Config : public ::testing::Test {
    config_t *config = config_new();
    uint64_t offset = 1;
    std::string message;
    bool accepted = false;

    ~Config() override
    {
        config_free(config);
    }

    config_verdict_t
    apply(const ConfigRecord &record)
    {
        return apply_record(config, record, offset++, &message, &accepted);
    }

    void
    expect_same_clone()
    {
        config_t *clone = config_clone(config);

        EXPECT_EQ(encode_state(clone), encode_state(config));
        EXPECT_EQ(config_get_next_offset(clone),
                  config_get_next_offset(config));
        config_free(clone);
    }

    int64_t
    slots(const char *name)
    {
        return config_get_value(config, CONFIG_SERVICE, name)->service.slots;
    }
};

// Guards against the ticket of a second operator replacing the first one with
// the same number, and against a refusal that does not name the first author.
TEST_F(Config, FirstTicketOfANumberIsKept)
{
    EXPECT_EQ(apply(ticket_record(5, "\"service/a\":{\"slots\":1}")),
              CONFIG_ACCEPTED);
    EXPECT_EQ(apply(ticket_record(5, "\"service/a\":{\"slots\":2}", "kofi")),
              CONFIG_REFUSED);
    EXPECT_EQ(message, "ticket 5: the number was taken by another ticket of "
                       "\"ama\" at offset 1; use a higher number");
    EXPECT_EQ(slots("a"), 1);
}

// Guards against a repeated ticket being reported as refused, or reverting a
// newer ticket.
TEST_F(Config, RepeatedTicketIsRecognized)
{
    ConfigRecord first = ticket_record(5, "\"service/a\":{\"slots\":1}");

    apply(first);
    apply(ticket_record(6, "\"service/a\":{\"slots\":2}"));
    EXPECT_EQ(apply(first), CONFIG_REPEATED);
    EXPECT_TRUE(accepted);
    EXPECT_EQ(slots("a"), 2);
}

// Guards against a late ticket with a lower number reverting any of its
// objects, including removed ones, and against a part of a refused ticket
// taking effect.
TEST_F(Config, OlderTicketIsRefusedEntirely)
{
    apply(ticket_record(9, "\"service/a\":{\"slots\":1},\"team/t\":null"));
    EXPECT_EQ(apply(ticket_record(
                  8, "\"service/a\":{\"slots\":2},\"service/b\":{}")),
              CONFIG_REFUSED);
    EXPECT_EQ(message,
              "ticket 8: object \"service/a\" was changed by the newer ticket "
              "9; use a higher number");
    EXPECT_EQ(config_find_object(config, "service/b"), nullptr);
    EXPECT_EQ(apply(ticket_record(7, "\"team/t\":{}")), CONFIG_REFUSED);
    EXPECT_EQ(apply(ticket_record(6, "\"service/b\":{}")), CONFIG_ACCEPTED);
    EXPECT_EQ(apply(ticket_record(8, "\"service/b\":{}")), CONFIG_REFUSED);
}

// Guards against a removed object keeping its settings.
TEST_F(Config, NullRestoresDefaults)
{
    apply(ticket_record(1, "\"service/a\":{\"slots\":1}"));
    apply(ticket_record(2, "\"service/a\":null"));
    EXPECT_EQ(slots("a"), 8);
    EXPECT_EQ(config_find_object(config, "service/a"), nullptr);
}

// Guards against a ticket taking effect that has an invalid object, or whose
// body has another number than its record, for example from another writer.
TEST_F(Config, InvalidRecordIsRefused)
{
    ConfigRecord moved = ticket_record(3, "\"service/a\":{}");

    EXPECT_EQ(apply(ticket_record(
                  2, "\"service/a\":{},\"service/b\":{\"slots\":0}")),
              CONFIG_REFUSED);
    EXPECT_EQ(config_find_object(config, "service/a"), nullptr);
    moved.number = 4;
    EXPECT_EQ(apply(moved), CONFIG_REFUSED);
    EXPECT_EQ(message, "ticket 4: key \"ticket\": found 3; allowed: the "
                       "number of the record");
    EXPECT_EQ(apply(ticket_record(4, "\"service/a\":{}")), CONFIG_REFUSED);
}

// Guards against unbounded memory use, and against numbers below the kept ones
// being accepted again.
TEST_F(Config, DropsTheLowestNumbers)
{
    apply(ticket_record(1, "\"service/gone\":null"));
    for (uint64_t i = 2; i <= CONFIG_MAX_TICKETS + 2; i++) {
        apply(ticket_record(i, "\"service/a\":{}"));
    }
    EXPECT_EQ(config_get_ticket_floor(config), 3U);
    EXPECT_EQ(apply(ticket_record(2, "\"service/a\":{}")), CONFIG_REFUSED);
    EXPECT_EQ(message, "ticket 2: the number is too old; allowed: at least 3");
    EXPECT_EQ(apply(ticket_record(3, "\"service/a\":{}")), CONFIG_REPEATED);
    EXPECT_EQ(encode_state(config).find("service/gone"), std::string::npos);
    expect_same_clone();
}

// Guards against a drain record that was appended late, or twice, reverting
// the newer end of the drain.
TEST_F(Config, LateDrainIsRefused)
{
    EXPECT_EQ(apply(drain_record("agent-1", true, 1)), CONFIG_ACCEPTED);
    EXPECT_NE(config_find_drain(config, "agent-1"), nullptr);
    EXPECT_EQ(apply(drain_record("agent-1", false, 2)), CONFIG_ACCEPTED);
    EXPECT_EQ(apply(drain_record("agent-1", true, 1)), CONFIG_REFUSED);
    EXPECT_EQ(apply(drain_record("agent-1", true, 2)), CONFIG_REFUSED);
    EXPECT_EQ(config_find_drain(config, "agent-1"), nullptr);
    EXPECT_EQ(apply(drain_record("agent-1", true, 5)), CONFIG_ACCEPTED);
}

// Guards against unbounded memory use by ended drains, and against late
// records of agents whose drain was dropped taking effect.
TEST_F(Config, DropsTheOldestEndedDrains)
{
    apply(drain_record("agent-x", true, 1));
    apply(drain_record("agent-x", false, 2));
    for (int i = 0; i < CONFIG_MAX_CLEARED_DRAINS; i++) {
        apply(drain_record("agent-" + std::to_string(i), false, offset));
    }
    EXPECT_EQ(encode_state(config).find("agent-x"), std::string::npos);
    expect_same_clone();
    EXPECT_EQ(apply(drain_record("agent-x", true, 2)), CONFIG_REFUSED);
    EXPECT_EQ(apply(drain_record("agent-x", true, offset)), CONFIG_ACCEPTED);
}

// Guards against a damaged snapshot destroying the state, and against an
// outdated snapshot reverting it.
TEST_F(Config, StaleOrDamagedSnapshotChangesNothing)
{
    apply(ticket_record(1, "\"service/a\":{\"slots\":1}"));
    std::string old = encode_state(config);
    apply(ticket_record(2, "\"service/a\":{\"slots\":2}"));
    std::string now = encode_state(config);
    std::string damaged = now;
    auto load = [this](const std::string &bytes, uint64_t covers) {
        return config_load(config,
                           reinterpret_cast<const uint8_t *>(bytes.data()),
                           bytes.size(), covers);
    };

    EXPECT_TRUE(load(old, 1));
    EXPECT_TRUE(load(old, 2));
    EXPECT_EQ(encode_state(config), now);
    damaged.replace(damaged.find("slots"), 5, "slotz");
    EXPECT_FALSE(load(damaged, 9));
    EXPECT_FALSE(load(now.substr(0, now.size() - 3), 9));
    EXPECT_EQ(encode_state(config), now);
    EXPECT_EQ(config_get_next_offset(config), 3U);
}

} // namespace
