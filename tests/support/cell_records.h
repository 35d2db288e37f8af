#ifndef TEASEL_TESTS_CELL_RECORDS_H
#define TEASEL_TESTS_CELL_RECORDS_H

#include <cstring>
#include <string>
#include <vector>

extern "C" {
#include "batch/cell.h"
}

namespace records {

using bytes = std::vector<uint8_t>;

inline std::string
spec(unsigned cpu, const std::string &extra = "")
{
    return "{\"class\":\"c\",\"cpu_milli\":" + std::to_string(cpu) +
           ",\"memory_mb\":100,\"priority\":\"normal\",\"run_ms\":1000,"
           "\"team\":\"t\"" +
           extra + "}";
}

/* Packs a record whose id is derived from @number. */
inline bytes
pack(Teasel__LogRecord &record, uint64_t number)
{
    uint8_t id[CELL_ID_SIZE] = {};

    memcpy(id, &number, sizeof(number));
    record.id = {sizeof(id), id};
    bytes out(teasel__log_record__get_packed_size(&record));
    teasel__log_record__pack(&record, out.data());
    return out;
}

inline bytes
submit(uint64_t number, std::string id, std::string text)
{
    Teasel__LogRecord record = TEASEL__LOG_RECORD__INIT;
    Teasel__JobSubmit body = TEASEL__JOB_SUBMIT__INIT;

    body.job_id = id.data();
    body.spec = {text.size(), reinterpret_cast<uint8_t *>(text.data())};
    record.body_case = TEASEL__LOG_RECORD__BODY_JOB_SUBMIT;
    record.job_submit = &body;
    return pack(record, number);
}

inline bytes
cancel(uint64_t number, std::string id)
{
    Teasel__LogRecord record = TEASEL__LOG_RECORD__INIT;
    Teasel__JobCancel body = TEASEL__JOB_CANCEL__INIT;

    body.job_id = id.data();
    record.body_case = TEASEL__LOG_RECORD__BODY_JOB_CANCEL;
    record.job_cancel = &body;
    return pack(record, number);
}

inline bytes
claim(uint64_t number, std::string agent, uint64_t after,
      uint64_t lease_ms = 0)
{
    Teasel__LogRecord record = TEASEL__LOG_RECORD__INIT;
    Teasel__Claim body = TEASEL__CLAIM__INIT;

    body.agent_id = agent.data();
    body.after_epoch = after;
    body.lease_ms = lease_ms;
    record.body_case = TEASEL__LOG_RECORD__BODY_CLAIM;
    record.claim = &body;
    return pack(record, number);
}

inline bytes
decision(uint64_t number, const Teasel__Decision &decision)
{
    Teasel__LogRecord record = TEASEL__LOG_RECORD__INIT;

    record.body_case = TEASEL__LOG_RECORD__BODY_DECISION;
    record.decision = const_cast<Teasel__Decision *>(&decision);
    return pack(record, number);
}

inline bool
apply(cell_t *cell, const bytes &data, uint64_t offset)
{
    Teasel__LogRecord *record =
        teasel__log_record__unpack(nullptr, data.size(), data.data());
    bool changed = cell_apply(cell, record, offset);

    teasel__log_record__free_unpacked(record, nullptr);
    return changed;
}

inline bytes
encode(const cell_t *cell)
{
    GByteArray *data = cell_encode(cell);
    bytes out(data->data, data->data + data->len);

    g_byte_array_unref(data);
    return out;
}

} // namespace records

#endif
