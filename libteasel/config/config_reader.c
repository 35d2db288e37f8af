#include "config/config_reader.h"

#include <inttypes.h>

#include "base/events.h"
#include "config/config.h"
#include "config/config_snapshot.h"

struct config_reader {
    config_t *config;
    stream_t *stream;
    config_changed_cb on_change;
    config_record_cb on_record;
    void *data;
    bool snapshot_pending;
};

static void
notify(config_reader_t *reader)
{
    if (reader->on_change != NULL) {
        reader->on_change(reader, reader->data);
    }
}

static void
log_ticket(const Teasel__LogRecord *record, uint64_t offset,
           const config_result_t *result)
{
    const Teasel__Ticket *ticket = record->ticket;

    if (result->verdict == CONFIG_ACCEPTED) {
        event_log(EVENT_CONFIG_TICKET_ACCEPTED,
                  "ticket=%" PRIu64 " author=\"%s\" offset=%" PRIu64,
                  ticket->number, ticket->author, offset);
    }
    if (result->verdict == CONFIG_REFUSED) {
        event_log(EVENT_CONFIG_TICKET_REFUSED,
                  "ticket=%" PRIu64 " author=\"%s\" offset=%" PRIu64
                  " reason=\"%s\"",
                  ticket->number, ticket->author, offset, result->message);
    }
}

static void
log_drain(const Teasel__LogRecord *record, uint64_t offset,
          const config_result_t *result)
{
    const Teasel__Drain *drain = record->drain;

    if (result->verdict == CONFIG_ACCEPTED) {
        event_log(EVENT_CONFIG_DRAIN_CHANGED,
                  "agent=%s drained=%s author=\"%s\" offset=%" PRIu64,
                  drain->agent_id, drain->on ? "yes" : "no", drain->author,
                  offset);
    }
    if (result->verdict == CONFIG_REFUSED) {
        event_log(EVENT_CONFIG_DRAIN_REFUSED,
                  "agent=%s author=\"%s\" offset=%" PRIu64 " reason=\"%s\"",
                  drain->agent_id, drain->author, offset, result->message);
    }
}

/* Records that are read while catching up are older than this process and are
   not logged again. */
static void
log_record(const config_reader_t *reader, const Teasel__LogRecord *record,
           uint64_t offset, const config_result_t *result)
{
    if (!stream_is_caught_up(reader->stream)) {
        return;
    }
    if (record->body_case == TEASEL__LOG_RECORD__BODY_TICKET) {
        log_ticket(record, offset, result);
    }
    if (record->body_case == TEASEL__LOG_RECORD__BODY_DRAIN) {
        log_drain(record, offset, result);
    }
}

static void
on_apply(const Teasel__LogRecord *record, uint64_t offset, void *data)
{
    config_reader_t *reader = data;
    config_result_t result;

    config_apply(reader->config, record, offset, &result);
    log_record(reader, record, offset, &result);
    if (reader->on_record != NULL) {
        reader->on_record(record, offset, &result, reader->data);
    }
    if (result.changed) {
        notify(reader);
    }
    config_result_clear(&result);
}

static bool
on_load_snapshot(const uint8_t *snapshot, size_t length,
                 uint64_t covers_through, void *data)
{
    config_reader_t *reader = data;

    if (!config_load(reader->config, snapshot, length, covers_through)) {
        return false;
    }
    notify(reader);
    return true;
}

static void
on_caught_up(void *data)
{
    config_reader_t *reader = data;

    event_log(EVENT_CONFIG_CAUGHT_UP, "next=%" PRIu64,
              config_reader_get_next_offset(reader));
    notify(reader);
}

config_reader_t *
config_reader_new(const config_reader_opts_t *opts)
{
    static const stream_handler_t handler = {on_apply, on_load_snapshot,
                                             on_caught_up};
    config_reader_t *reader = g_new0(config_reader_t, 1);
    stream_opts_t stream_opts = {
        .loop = opts->loop,
        .clock = opts->clock,
        .log = opts->log,
        .name = "config",
        .writer = opts->writer,
        .handler = &handler,
        .data = reader,
    };

    reader->config = config_new();
    reader->on_change = opts->on_change;
    reader->on_record = opts->on_record;
    reader->data = opts->data;
    reader->stream = stream_new(&stream_opts);
    return reader;
}

void
config_reader_free(config_reader_t *reader)
{
    if (reader == NULL) {
        return;
    }
    stream_free(reader->stream);
    config_free(reader->config);
    g_free(reader);
}

const config_service_t *
config_reader_get_service(const config_reader_t *reader, const char *name)
{
    return &config_get_value(reader->config, CONFIG_SERVICE, name)->service;
}

const config_team_t *
config_reader_get_team(const config_reader_t *reader, const char *name)
{
    return &config_get_value(reader->config, CONFIG_TEAM, name)->team;
}

const config_policy_t *
config_reader_get_policy(const config_reader_t *reader, const char *name)
{
    return &config_get_value(reader->config, CONFIG_POLICY, name)->policy;
}

bool
config_reader_is_drained(const config_reader_t *reader, const char *agent_id)
{
    return config_find_drain(reader->config, agent_id) != NULL;
}

uint64_t
config_reader_get_next_offset(const config_reader_t *reader)
{
    return config_get_next_offset(reader->config);
}

bool
config_reader_is_caught_up(const config_reader_t *reader)
{
    return stream_is_caught_up(reader->stream);
}

bool
config_reader_is_reachable(const config_reader_t *reader)
{
    return stream_is_reachable(reader->stream);
}

const struct config *
config_reader_get_state(const config_reader_t *reader)
{
    return reader->config;
}

stream_t *
config_reader_get_stream(config_reader_t *reader)
{
    return reader->stream;
}

static void
on_snapshot_written(stream_outcome_t outcome, uint64_t offset,
                    const char *detail, void *data)
{
    config_reader_t *reader = data;

    reader->snapshot_pending = false;
    if (outcome != STREAM_APPLIED) {
        event_log(EVENT_CONFIG_SNAPSHOT_FAILED, "detail=\"%s\"",
                  detail != NULL ? detail : "");
    }
}

bool
config_reader_maybe_write_snapshot(config_reader_t *reader)
{
    config_snapshot_view_t view = {
        .next = stream_get_next_offset(reader->stream),
        .first = stream_get_first_offset(reader->stream),
        .covered = stream_get_snapshot_offset(reader->stream),
    };
    g_autoptr(GByteArray) bytes = NULL;

    if (reader->snapshot_pending || !stream_is_caught_up(reader->stream) ||
        !stream_is_reachable(reader->stream) ||
        !config_snapshot_is_due(&view)) {
        return false;
    }
    bytes = config_encode(reader->config);
    reader->snapshot_pending = true;
    stream_write_snapshot(reader->stream, bytes->data, bytes->len,
                          on_snapshot_written, reader);
    return true;
}
