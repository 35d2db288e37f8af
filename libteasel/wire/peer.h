#ifndef TEASEL_WIRE_PEER_H
#define TEASEL_WIRE_PEER_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

#include "base/clock.h"
#include "base/loop.h"
#include "wire/teasel.pb-c.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct peer peer_t;
typedef struct peer_listener peer_listener_t;

/**
 * struct peer_handler - callbacks of a connection
 * @on_open: the connection is established; for outgoing connections only, may
 *     be NULL
 * @on_message: a message was received; it is freed after the callback
 * @on_close: the connection failed or was closed by the other side; the peer
 *     is freed after the callback. Not called after peer_close().
 */
typedef struct peer_handler {
    void (*on_open)(peer_t *peer, void *data);
    void (*on_message)(peer_t *peer, const Teasel__Envelope *message,
                       void *data);
    void (*on_close)(peer_t *peer, const char *reason, void *data);
} peer_handler_t;

/**
 * struct peer_opts - options of connections
 * @max_queued_bytes: the connection is closed if more unsent bytes are queued
 * @silence_ms: the connection is closed if nothing was received for this long
 * @ping_ms: a Ping is sent if no message was sent for this long
 */
typedef struct peer_opts {
    loop_t *loop;
    const clock_source_t *clock;
    const peer_handler_t *handler;
    void *data;
    size_t max_queued_bytes;
    uint64_t silence_ms;
    uint64_t ping_ms;
} peer_opts_t;

/**
 * peer_connect() - start an outgoing connection
 * @address: IPv4:PORT
 *
 * A failure to connect is reported by @on_close, never from inside this
 * function.
 *
 * Return: the peer, or NULL with @error set if @address is invalid.
 */
peer_t *peer_connect(const peer_opts_t *opts, const char *address,
                     GError **error);

/**
 * peer_send() - queue a message
 *
 * Messages queued in the same iteration of the loop are written together.
 *
 * Return: false if the connection is closing or the message exceeds
 * FRAME_MAX_SIZE; the message is then not sent.
 */
bool peer_send(peer_t *peer, const Teasel__Envelope *message);

/**
 * peer_close() - close the connection at once and free the peer
 *
 * @on_close is not called.
 */
void peer_close(peer_t *peer);

void peer_set_data(peer_t *peer, void *data);
void *peer_get_data(const peer_t *peer);
const char *peer_get_address(const peer_t *peer);
uint64_t peer_get_bytes_sent(const peer_t *peer);
uint64_t peer_get_bytes_received(const peer_t *peer);

/**
 * peer_listen() - accept connections
 * @on_accept: called for each new peer, with the data of @opts; may call
 *     peer_set_data()
 */
peer_listener_t *peer_listen(const peer_opts_t *opts, const char *address,
                             void (*on_accept)(peer_t *peer, void *data),
                             GError **error);

/**
 * peer_listener_free() - stop accepting, and close the accepted connections
 * that are still open
 */
void peer_listener_free(peer_listener_t *listener);

#ifdef __cplusplus
}
#endif

#endif
