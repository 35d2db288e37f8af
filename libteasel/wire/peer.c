#include <stdio.h>

#include "base/socket.h"
#include "wire/frame.h"
#include "wire/peer_internal.h"

enum {
    /* A larger buffer is freed after its write instead of being reused. */
    MAX_REUSED_BUFFER_SIZE = 256 * 1024,
};

typedef enum peer_state {
    PEER_CONNECTING,
    PEER_OPEN,
    PEER_FAILED, /* on_close has not been called yet */
    PEER_CLOSED, /* no callback is called any more */
} peer_state_t;

struct peer {
    list_t link; /* in the listener's list, if accepted */
    peer_opts_t opts;
    peer_state_t state;
    h2o_socket_t *sock;
    char address[PEER_ADDRESS_SIZE];
    char *reason;
    unsigned callbacks; /* active callbacks; the peer is not freed before 0 */
    GByteArray *queued;
    GByteArray *writing; /* empty unless a write is in progress */
    loop_timer_t flush_timer;
    loop_timer_t silence_timer;
    struct timespec last_received;
    struct timespec last_sent;
    uint64_t bytes_sent;
    uint64_t bytes_received;
};

static void
close_socket(peer_t *peer)
{
    loop_timer_stop(&peer->silence_timer);
    if (peer->sock != NULL) {
        h2o_socket_close(peer->sock);
        peer->sock = NULL;
    }
}

static void
peer_free(peer_t *peer)
{
    loop_timer_stop(&peer->flush_timer);
    close_socket(peer);
    list_remove(&peer->link);
    g_byte_array_unref(peer->queued);
    g_byte_array_unref(peer->writing);
    g_free(peer->reason);
    g_free(peer);
}

static void
begin_callback(peer_t *peer)
{
    peer->callbacks++;
}

static void
end_callback(peer_t *peer)
{
    peer->callbacks--;
    if (peer->callbacks == 0 && peer->state == PEER_CLOSED) {
        peer_free(peer);
    }
}

/* A timer reports the failure, because on_close must not be called from inside
   a function that the owner of the peer calls. */
static void
fail(peer_t *peer, const char *reason)
{
    if (peer->state >= PEER_FAILED) {
        return;
    }
    peer->state = PEER_FAILED;
    peer->reason = g_strdup(reason);
    close_socket(peer);
    loop_timer_start(&peer->flush_timer, 0);
}

static void
report_failure(peer_t *peer)
{
    begin_callback(peer);
    peer->opts.handler->on_close(peer, peer->reason, peer->opts.data);
    peer->state = PEER_CLOSED;
    end_callback(peer);
}

static void start_write(peer_t *peer);

static void
on_written(h2o_socket_t *sock, const char *err)
{
    peer_t *peer = sock->data;

    if (err != NULL) {
        fail(peer, err);
        return;
    }
    peer->bytes_sent += peer->writing->len;
    if (peer->writing->len > MAX_REUSED_BUFFER_SIZE) {
        g_byte_array_unref(peer->writing);
        peer->writing = g_byte_array_new();
    }
    g_byte_array_set_size(peer->writing, 0);
    start_write(peer);
}

static void
swap_buffers(peer_t *peer)
{
    GByteArray *drained = peer->writing;

    peer->writing = peer->queued;
    peer->queued = drained;
}

static void
start_write(peer_t *peer)
{
    h2o_iovec_t buffer;

    if (peer->state != PEER_OPEN || peer->writing->len > 0 ||
        peer->queued->len == 0) {
        return;
    }
    swap_buffers(peer);
    buffer = h2o_iovec_init(peer->writing->data, peer->writing->len);
    h2o_socket_write(peer->sock, &buffer, 1, on_written);
}

static void
on_flush(loop_timer_t *timer)
{
    peer_t *peer = timer->data;

    if (peer->state == PEER_FAILED) {
        report_failure(peer);
        return;
    }
    start_write(peer);
}

static void
deliver(peer_t *peer, const Teasel__Envelope *message)
{
    if (message->body_case == TEASEL__ENVELOPE__BODY_PING ||
        message->body_case == TEASEL__ENVELOPE__BODY__NOT_SET) {
        return;
    }
    peer->opts.handler->on_message(peer, message, peer->opts.data);
}

/* Returns the number of bytes consumed. */
static size_t
deliver_frames(peer_t *peer, const uint8_t *data, size_t length)
{
    size_t used = 0;

    while (peer->state == PEER_OPEN) {
        g_autoptr(GError) error = NULL;
        Teasel__Envelope *message = NULL;
        size_t consumed = 0;
        frame_status_t status = frame_decode(data + used, length - used,
                                             &consumed, &message, &error);

        if (status == FRAME_MALFORMED) {
            fail(peer, error->message);
            return used;
        }
        if (status == FRAME_INCOMPLETE) {
            return used;
        }
        used += consumed;
        deliver(peer, message);
        teasel__envelope__free_unpacked(message, NULL);
    }
    return used;
}

static void
on_readable(h2o_socket_t *sock, const char *err)
{
    peer_t *peer = sock->data;
    size_t length = sock->input->size;
    size_t used;

    begin_callback(peer);
    peer->last_received = clock_get_monotonic(peer->opts.clock);
    used = deliver_frames(peer, (const uint8_t *)sock->input->bytes, length);
    if (peer->state == PEER_OPEN) {
        peer->bytes_received += used;
        h2o_buffer_consume(&sock->input, used);
        if (err != NULL) {
            fail(peer, sock->input->size == 0
                           ? err
                           : "connection closed inside a frame");
        }
    }
    end_callback(peer);
}

static void
check_silence(loop_timer_t *timer)
{
    static const Teasel__Ping ping = TEASEL__PING__INIT;
    Teasel__Envelope envelope = TEASEL__ENVELOPE__INIT;
    peer_t *peer = timer->data;
    struct timespec now = clock_get_monotonic(peer->opts.clock);
    int64_t silent_ms = timespec_diff_ms(now, peer->last_received);
    char reason[64];

    if (silent_ms >= (int64_t)peer->opts.silence_ms) {
        snprintf(reason, sizeof(reason), "%s for %" G_GINT64_FORMAT " ms",
                 peer->state == PEER_OPEN ? "silent" : "not connected",
                 silent_ms);
        fail(peer, reason);
        return;
    }
    loop_timer_start(timer, peer->opts.ping_ms);
    if (peer->state == PEER_OPEN && timespec_diff_ms(now, peer->last_sent) >=
                                        (int64_t)peer->opts.ping_ms) {
        envelope.body_case = TEASEL__ENVELOPE__BODY_PING;
        envelope.ping = (Teasel__Ping *)&ping;
        peer_send(peer, &envelope);
    }
}

static peer_t *
peer_new(const peer_opts_t *opts, const char *address)
{
    peer_t *peer = g_new0(peer_t, 1);

    peer->opts = *opts;
    list_init(&peer->link);
    g_strlcpy(peer->address, address, sizeof(peer->address));
    peer->queued = g_byte_array_new();
    peer->writing = g_byte_array_new();
    peer->last_received = clock_get_monotonic(opts->clock);
    peer->last_sent = peer->last_received;
    loop_timer_init(&peer->flush_timer, opts->loop, on_flush, peer);
    loop_timer_init(&peer->silence_timer, opts->loop, check_silence, peer);
    loop_timer_start(&peer->silence_timer, opts->ping_ms);
    return peer;
}

static void
on_connected(h2o_socket_t *sock, const char *err)
{
    peer_t *peer = sock->data;

    if (err != NULL) {
        fail(peer, err);
        return;
    }
    begin_callback(peer);
    peer->state = PEER_OPEN;
    peer->last_received = clock_get_monotonic(peer->opts.clock);
    peer->last_sent = peer->last_received;
    h2o_socket_read_start(sock, on_readable);
    if (peer->opts.handler->on_open != NULL) {
        peer->opts.handler->on_open(peer, peer->opts.data);
    }
    start_write(peer);
    end_callback(peer);
}

peer_t *
peer_connect(const peer_opts_t *opts, const char *address, GError **error)
{
    struct sockaddr_in name;
    peer_t *peer;

    if (!socket_resolve(address, &name, error)) {
        return NULL;
    }
    peer = peer_new(opts, address);
    peer->sock =
        h2o_socket_connect(loop_get_h2o(opts->loop), (struct sockaddr *)&name,
                           sizeof(name), on_connected);
    if (peer->sock == NULL) {
        fail(peer, h2o_socket_error_conn_fail);
        return peer;
    }
    peer->sock->data = peer;
    return peer;
}

bool
peer_send(peer_t *peer, const Teasel__Envelope *message)
{
    if (peer->state >= PEER_FAILED) {
        return false;
    }
    if (peer->queued->len + peer->writing->len > peer->opts.max_queued_bytes) {
        fail(peer, "too many unsent bytes");
        return false;
    }
    if (!frame_encode(message, peer->queued, NULL)) {
        return false;
    }
    peer->last_sent = clock_get_monotonic(peer->opts.clock);
    if (peer->state == PEER_OPEN &&
        !loop_timer_is_active(&peer->flush_timer)) {
        loop_timer_start(&peer->flush_timer, 0);
    }
    return true;
}

void
peer_close(peer_t *peer)
{
    if (peer == NULL || peer->state == PEER_CLOSED) {
        return;
    }
    peer->state = PEER_CLOSED;
    loop_timer_stop(&peer->flush_timer);
    close_socket(peer);
    if (peer->callbacks == 0) {
        peer_free(peer);
    }
}

void
peer_set_data(peer_t *peer, void *data)
{
    peer->opts.data = data;
}

void *
peer_get_data(const peer_t *peer)
{
    return peer->opts.data;
}

const char *
peer_get_address(const peer_t *peer)
{
    return peer->address;
}

uint64_t
peer_get_bytes_sent(const peer_t *peer)
{
    return peer->bytes_sent;
}

uint64_t
peer_get_bytes_received(const peer_t *peer)
{
    return peer->bytes_received;
}

peer_t *
peer_new_accepted(const peer_opts_t *opts, h2o_socket_t *sock,
                  const char *address, list_t *peers)
{
    peer_t *peer = peer_new(opts, address);

    peer->sock = sock;
    peer->sock->data = peer;
    peer->state = PEER_OPEN;
    list_append(peers, &peer->link);
    h2o_socket_read_start(sock, on_readable);
    return peer;
}

void
peer_close_all(list_t *peers)
{
    LIST_FOREACH_SAFE (peer, peers, peer_t, link) {
        peer_close(peer);
    }
}
