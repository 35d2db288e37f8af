#ifndef TEASEL_TESTS_CONFIG_RECORDS_H
#define TEASEL_TESTS_CONFIG_RECORDS_H

#include <cstdint>
#include <string>
#include <vector>

extern "C" {
#include "config/config.h"
}

/* Values of a record of stream "config". */
struct ConfigRecord {
    uint64_t number = 0; /* ticket number; 0 for a drain */
    std::string body;    /* JSON text of a ticket, or agent id of a drain */
    bool on = false;
    uint64_t seen_next = 0;
};

static inline ConfigRecord
ticket_record(uint64_t number, const std::string &objects,
              const std::string &author = "ama")
{
    return {number,
            "{\"ticket\":" + std::to_string(number) + ",\"author\":\"" +
                author + "\",\"reason\":\"test\",\"objects\":{" + objects +
                "}}",
            false, 0};
}

static inline ConfigRecord
drain_record(const std::string &agent, bool on, uint64_t seen_next)
{
    return {0, agent, on, seen_next};
}

static inline config_verdict_t
apply_record(config_t *config, const ConfigRecord &source, uint64_t offset,
             std::string *message = nullptr, bool *accepted = nullptr)
{
    Teasel__LogRecord record = TEASEL__LOG_RECORD__INIT;
    Teasel__Ticket ticket = TEASEL__TICKET__INIT;
    Teasel__Drain drain = TEASEL__DRAIN__INIT;
    std::string text = source.body;
    char author[] = "ama";
    config_result_t result;

    if (source.number != 0) {
        ticket.number = source.number;
        ticket.author = author;
        ticket.body.data = reinterpret_cast<uint8_t *>(text.data());
        ticket.body.len = text.size();
        record.body_case = TEASEL__LOG_RECORD__BODY_TICKET;
        record.ticket = &ticket;
    }
    else {
        drain.agent_id = text.data();
        drain.on = source.on;
        drain.seen_next = source.seen_next;
        drain.author = author;
        record.body_case = TEASEL__LOG_RECORD__BODY_DRAIN;
        record.drain = &drain;
    }
    config_apply(config, &record, offset, &result);
    if (message != nullptr) {
        *message = result.message != nullptr ? result.message : "";
    }
    if (accepted != nullptr) {
        *accepted = result.accepted;
    }
    config_result_clear(&result);
    return result.verdict;
}

static inline std::string
encode_state(const config_t *config)
{
    GByteArray *bytes = config_encode(config);
    std::string text(reinterpret_cast<char *>(bytes->data), bytes->len);

    g_byte_array_unref(bytes);
    return text;
}

#endif
