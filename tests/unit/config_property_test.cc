#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "config_records.h"

namespace {

const char *const objects[] = {"service/a", "service/b", "team/t", "policy/p"};

rc::Gen<std::string>
gen_object()
{
    return rc::gen::map(
        rc::gen::tuple(rc::gen::inRange(0, 4), rc::gen::inRange(0, 5)),
        [](const std::tuple<int, int> &pick) {
            static const char *const bodies[] = {
                "null", "{}", "{\"weight\":3}", "{\"slots\":3}",
                "{\"lease_ms\":3000}"};

            return std::string("\"") + objects[std::get<0>(pick)] +
                   "\":" + bodies[std::get<1>(pick)];
        });
}

/* The ranges are small so that numbers collide and objects overlap. Some
   bodies have keys of another kind and are invalid. */
rc::Gen<ConfigRecord>
gen_record()
{
    auto ticket = rc::gen::apply(
        [](uint64_t number, const std::string &a, const std::string &b) {
            return ticket_record(number, a + "," + b);
        },
        rc::gen::inRange<uint64_t>(1, 12), gen_object(), gen_object());
    auto drain = rc::gen::apply(
        [](int agent, bool on, uint64_t seen) {
            return drain_record("agent-" + std::to_string(agent), on, seen);
        },
        rc::gen::inRange(0, 3), rc::gen::arbitrary<bool>(),
        rc::gen::inRange<uint64_t>(0, 30));

    return rc::gen::weightedOneOf<ConfigRecord>({{3, ticket}, {1, drain}});
}

std::map<std::string, uint64_t>
newest_tickets(const config_t *config)
{
    std::map<std::string, uint64_t> tickets;

    config_foreach_object(
        config,
        [](const config_object_t *object, void *data) {
            auto &out = *static_cast<std::map<std::string, uint64_t> *>(data);
            out[object->name] = object->ticket;
        },
        &tickets);
    return tickets;
}

struct Log {
    std::vector<ConfigRecord> records;
    std::vector<std::string> snapshots; /* after each record */

    explicit Log(std::vector<ConfigRecord> source) : records(std::move(source))
    {
        config_t *config = config_new();

        snapshots.push_back(encode_state(config));
        for (size_t i = 0; i < records.size(); i++) {
            apply_record(config, records[i], i + 1);
            snapshots.push_back(encode_state(config));
        }
        config_free(config);
    }
};

// Guards against readers reaching different states because they received
// records twice, stopped and resumed, or started from different snapshots.
TEST(ConfigProperty, EveryReaderReachesTheSameState)
{
    EXPECT_TRUE(rc::check([] {
        Log log(*rc::gen::container<std::vector<ConfigRecord>>(gen_record()));
        size_t last = log.records.size();
        config_t *config = config_new();

        while (config_get_next_offset(config) <= last) {
            size_t at = config_get_next_offset(config) - 1;
            size_t to = *rc::gen::inRange<size_t>(0, last + 1);

            if (*rc::gen::arbitrary<bool>()) {
                const std::string &bytes = log.snapshots[to];

                RC_ASSERT(config_load(
                    config, reinterpret_cast<const uint8_t *>(bytes.data()),
                    bytes.size(), to));
                RC_ASSERT(config_get_next_offset(config) - 1 ==
                          std::max(at, to));
            }
            else {
                /* Delivers records before the reader's offset again. */
                for (size_t i = std::min(at, to); i < at; i++) {
                    apply_record(config, log.records[i], i + 1);
                    RC_ASSERT(config_get_next_offset(config) == at + 1);
                }
                apply_record(config, log.records[at], at + 1);
            }
            at = config_get_next_offset(config) - 1;
            RC_ASSERT(encode_state(config) == log.snapshots[at]);
        }
        config_free(config);
    }));
}

// Guards against an object in force that reverts to an older ticket.
TEST(ConfigProperty, StateOnlyMovesForward)
{
    EXPECT_TRUE(rc::check([] {
        auto records =
            *rc::gen::container<std::vector<ConfigRecord>>(gen_record());
        std::map<std::string, uint64_t> highest;
        config_t *config = config_new();

        for (size_t i = 0; i < records.size(); i++) {
            std::string before = encode_state(config);
            bool accepted =
                apply_record(config, records[i], i + 1) == CONFIG_ACCEPTED;

            for (const auto &[name, ticket] : newest_tickets(config)) {
                RC_ASSERT(ticket >= highest[name]);
                RC_ASSERT(ticket == highest[name] || accepted);
                highest[name] = ticket;
            }
            RC_ASSERT(config_get_next_offset(config) == i + 2);
        }
        config_free(config);
    }));
}

// Guards against records that the log stored twice changing the state.
TEST(ConfigProperty, RecordsWrittenTwiceChangeNothing)
{
    EXPECT_TRUE(rc::check([] {
        auto records =
            *rc::gen::container<std::vector<ConfigRecord>>(gen_record());
        config_t *config = config_new();
        uint64_t offset = 1;

        for (ConfigRecord &record : records) {
            /* An author cannot have read its own record. */
            record.seen_next = std::min(record.seen_next, offset);
            apply_record(config, record, offset++);
            std::string once = encode_state(config);
            config_verdict_t again = apply_record(config, record, offset++);

            RC_ASSERT(again != CONFIG_ACCEPTED);
            RC_ASSERT(encode_state(config) == once);
        }
        config_free(config);
    }));
}

} // namespace
