#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <vector>

extern "C" {
#include <json-c/json.h>

#include "batch/cell.h"
#include "batch/job.h"
#include "config/config.h"
#include "config/ticket.h"
#include "worker/worker_status.h"
}

namespace {

const char *const job_text =
    "{\"team\": \"press\", \"class\": \"a\", \"cpu_milli\": 500, "
    "\"memory_mb\": 64, \"run_ms\": 1000}";

const char *const ticket_text =
    "{\"ticket\": 7, \"author\": \"ama\", \"reason\": \"first\", "
    "\"objects\": {\"service/a\": {\"slots\": 4}, \"team/b\": null}}";

const char *const status_text =
    "{\"incarnation\": 1, \"version\": 2, \"cpu_milli\": 3, "
    "\"memory_mb\": 4, \"accelerators\": 0, \"tasks\": [{\"job_id\": "
    "\"a\", \"attempt\": 1, \"state\": \"running\", \"progress_ms\": 5, "
    "\"throttle_percent\": 100, \"cpu_milli\": 6, \"memory_mb\": 7, "
    "\"declared_cpu_milli\": 6, \"declared_memory_mb\": 7, "
    "\"declared_accelerators\": 0, \"detail\": \"\"}]}";

/* Replaces one byte of a valid text, and may cut it short. */
std::string
damage(std::string text)
{
    size_t position = *rc::gen::inRange<size_t>(0, text.size());

    text[position] = *rc::gen::arbitrary<char>();
    if (*rc::gen::arbitrary<bool>()) {
        text.resize(*rc::gen::inRange<size_t>(0, text.size()));
    }
    return text;
}

bool
parse_job(const std::string &text)
{
    job_spec_t spec;
    GError *error = nullptr;
    bool parsed =
        job_spec_parse(text.data(), text.size(), &spec, nullptr, &error);

    if (parsed) {
        job_spec_clear(&spec);
    }
    RC_ASSERT(parsed == (error == nullptr));
    g_clear_error(&error);
    return parsed;
}

bool
parse_ticket(const std::string &text)
{
    GError *error = nullptr;
    ticket_t *ticket = ticket_parse(text.data(), text.size(), "input", &error);
    bool parsed = ticket != nullptr;

    RC_ASSERT(parsed == (error == nullptr));
    g_clear_error(&error);
    g_clear_pointer(&ticket, ticket_free);
    return parsed;
}

bool
parse_status(const std::string &text)
{
    struct json_object *root = json_tokener_parse(text.c_str());
    worker_status_t status = {};
    bool parsed = json_object_is_type(root, json_type_object) &&
                  worker_status_parse(root, &status);

    worker_status_clear(&status);
    json_object_put(root);
    return parsed;
}

// Guards against crashes on arbitrary bytes, and against a rejection without
// an error, in the decoders of jobs, tickets and worker statuses.
RC_GTEST_PROP(DecodersTest, SurviveRandomText, (const std::string &text))
{
    parse_job(text);
    parse_ticket(text);
    parse_status(text);
}

// Guards against crashes on input that is almost valid.
RC_GTEST_PROP(DecodersTest, SurviveDamagedText, ())
{
    RC_ASSERT(parse_job(job_text));
    RC_ASSERT(parse_ticket(ticket_text));
    RC_ASSERT(parse_status(status_text));
    parse_job(damage(job_text));
    parse_ticket(damage(ticket_text));
    parse_status(damage(status_text));
}

// Guards against crashes on malformed snapshots, and against a rejected
// snapshot that changes the state.
RC_GTEST_PROP(DecodersTest, SnapshotsSurviveRandomBytes,
              (const std::vector<uint8_t> &bytes))
{
    cell_t *cell = cell_new();
    config_t *config = config_new();

    if (!cell_load(cell, bytes.data(), bytes.size(), nullptr)) {
        RC_ASSERT(cell->live_count == 0U);
    }
    if (!config_load(config, bytes.data(), bytes.size(), 9)) {
        RC_ASSERT(config_get_next_offset(config) == 1U);
    }
    cell_free(cell);
    config_free(config);
}

} // namespace
