#include "entry/announcer.h"

#include <string.h>

#include "base/list.h"
#include "stream/stream.h"
#include "wire/peer.h"

enum {
    MAX_QUEUED_BYTES = 1024 * 1024,
    RECONNECT_MS = 1000,
    APPEND_TIMEOUT_MS = 5000,
};

/* A seed entry; its connection is reopened whenever it is lost. */
typedef struct seed {
    announcer_t *owner;
    char *address;
    peer_t *peer;
    bool open;
    loop_timer_t timer;
} seed_t;

struct announcer {
    announcer_opts_t opts;
    stream_t *stream;
    GPtrArray *seeds; /* seed_t */
    loop_timer_t timer;
};

static void
send_announce(seed_t *seed)
{
    Teasel__Envelope envelope = TEASEL__ENVELOPE__INIT;
    Teasel__EntryAnnounce announce = TEASEL__ENTRY_ANNOUNCE__INIT;

    if (!seed->open) {
        return;
    }
    seed->owner->opts.fill_announce(&announce, seed->owner->opts.data);
    envelope.body_case = TEASEL__ENVELOPE__BODY_ENTRY_ANNOUNCE;
    envelope.entry_announce = &announce;
    peer_send(seed->peer, &envelope);
}

static void
on_open(peer_t *peer, void *data)
{
    seed_t *seed = data;

    seed->open = true;
    send_announce(seed);
}

static void
on_message(peer_t *peer, const Teasel__Envelope *message, void *data)
{
    announcer_t *announcer = ((seed_t *)data)->owner;
    bool changed = false;

    if (message->body_case != TEASEL__ENVELOPE__BODY_HELLO_ACK) {
        return;
    }
    for (size_t i = 0; i < message->hello_ack->n_entries; i++) {
        changed |= directory_add_address(announcer->opts.directory,
                                         message->hello_ack->entries[i]);
    }
    if (changed) {
        announcer->opts.on_change(announcer->opts.data);
    }
}

static void
on_close(peer_t *peer, const char *reason, void *data)
{
    seed_t *seed = data;

    seed->peer = NULL;
    seed->open = false;
    loop_timer_start(&seed->timer, RECONNECT_MS);
}

static void
connect_seed(loop_timer_t *timer)
{
    static const peer_handler_t handler = {
        .on_open = on_open,
        .on_message = on_message,
        .on_close = on_close,
    };
    seed_t *seed = timer->data;
    const announcer_opts_t *opts = &seed->owner->opts;
    peer_opts_t peer_opts = {
        .loop = opts->loop,
        .clock = opts->clock,
        .handler = &handler,
        .data = seed,
        .max_queued_bytes = MAX_QUEUED_BYTES,
        .silence_ms = opts->silence_ms,
        .ping_ms = opts->ping_ms,
    };

    seed->peer = peer_connect(&peer_opts, seed->address, NULL);
}

static void
seed_free(void *data)
{
    seed_t *seed = data;

    loop_timer_stop(&seed->timer);
    peer_close(seed->peer);
    g_free(seed->address);
    g_free(seed);
}

static void
add_seed(announcer_t *announcer, const char *address)
{
    seed_t *seed = g_new0(seed_t, 1);

    seed->owner = announcer;
    seed->address = g_strdup(address);
    loop_timer_init(&seed->timer, announcer->opts.loop, connect_seed, seed);
    loop_timer_start(&seed->timer, 0);
    g_ptr_array_add(announcer->seeds, seed);
}

static void
on_appended(stream_outcome_t outcome, uint64_t offset, const char *detail,
            void *data)
{
    /* A failed append is not retried: the next announcement replaces it. */
}

static void
append_announce(announcer_t *announcer)
{
    Teasel__LogRecord record = TEASEL__LOG_RECORD__INIT;
    Teasel__EntryAnnounce announce = TEASEL__ENTRY_ANNOUNCE__INIT;

    announcer->opts.fill_announce(&announce, announcer->opts.data);
    record.body_case = TEASEL__LOG_RECORD__BODY_ENTRY_ANNOUNCE;
    record.entry_announce = &announce;
    stream_append(announcer->stream, &record, APPEND_TIMEOUT_MS, on_appended,
                  announcer);
}

void
announcer_announce(announcer_t *announcer)
{
    for (guint i = 0; i < announcer->seeds->len; i++) {
        send_announce(announcer->seeds->pdata[i]);
    }
    append_announce(announcer);
    loop_timer_start(&announcer->timer, announcer->opts.interval_ms);
}

static void
on_interval(loop_timer_t *timer)
{
    announcer_t *announcer = timer->data;

    announcer_announce(announcer);
    /* While the log is unavailable, live entries cannot announce themselves,
       so none of them is expired. */
    if (stream_is_reachable(announcer->stream) &&
        directory_expire(announcer->opts.directory)) {
        announcer->opts.on_change(announcer->opts.data);
    }
}

static void
apply(const Teasel__LogRecord *record, uint64_t offset, void *data)
{
    announcer_t *announcer = data;

    if (record->body_case == TEASEL__LOG_RECORD__BODY_ENTRY_ANNOUNCE &&
        directory_handle_announce(announcer->opts.directory,
                                  record->entry_announce)) {
        announcer->opts.on_change(announcer->opts.data);
    }
}

announcer_t *
announcer_new(const announcer_opts_t *opts)
{
    static const stream_handler_t handler = {.apply = apply};
    announcer_t *announcer = g_new0(announcer_t, 1);
    stream_opts_t stream_opts = {
        .loop = opts->loop,
        .clock = opts->clock,
        .log = opts->log,
        .name = "entries",
        .writer = opts->writer,
        .handler = &handler,
        .data = announcer,
    };

    announcer->opts = *opts;
    announcer->stream = stream_new(&stream_opts);
    announcer->seeds = g_ptr_array_new_with_free_func(seed_free);
    for (char **seed = opts->seeds; seed != NULL && *seed != NULL; seed++) {
        if (strcmp(*seed, opts->own_address) != 0) {
            add_seed(announcer, *seed);
        }
    }
    loop_timer_init(&announcer->timer, opts->loop, on_interval, announcer);
    announcer_announce(announcer);
    return announcer;
}

void
announcer_free(announcer_t *announcer)
{
    if (announcer == NULL) {
        return;
    }
    loop_timer_stop(&announcer->timer);
    stream_free(announcer->stream);
    g_ptr_array_unref(announcer->seeds);
    g_free(announcer);
}
