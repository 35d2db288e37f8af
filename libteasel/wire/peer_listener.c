#include <arpa/inet.h>
#include <stdio.h>

#include "base/socket.h"
#include "wire/peer_internal.h"

enum {
    /* Limit per loop iteration, so that a burst of new connections does not
       delay the established ones. */
    MAX_ACCEPTS_PER_ITERATION = 16,
};

struct peer_listener {
    peer_opts_t opts;
    h2o_socket_t *sock;
    list_t peers;
    void (*on_accept)(peer_t *peer, void *data);
};

static void
format_peer_name(h2o_socket_t *sock, char address[PEER_ADDRESS_SIZE])
{
    struct sockaddr_in name = {0};
    char host[INET_ADDRSTRLEN] = "";

    h2o_socket_getpeername(sock, (struct sockaddr *)&name);
    inet_ntop(AF_INET, &name.sin_addr, host, sizeof(host));
    snprintf(address, PEER_ADDRESS_SIZE, "%s:%u", host, ntohs(name.sin_port));
}

static void
on_incoming(h2o_socket_t *sock, const char *err)
{
    peer_listener_t *listener = sock->data;

    for (int i = 0; err == NULL && i < MAX_ACCEPTS_PER_ITERATION; i++) {
        h2o_socket_t *accepted = h2o_evloop_socket_accept(sock);
        char address[PEER_ADDRESS_SIZE];
        peer_t *peer;

        if (accepted == NULL) {
            return;
        }
        format_peer_name(accepted, address);
        peer = peer_new_accepted(&listener->opts, accepted, address,
                                 &listener->peers);
        listener->on_accept(peer, listener->opts.data);
    }
}

peer_listener_t *
peer_listen(const peer_opts_t *opts, const char *address,
            void (*on_accept)(peer_t *peer, void *data), GError **error)
{
    int fd = socket_listen(address, error);
    peer_listener_t *listener;

    if (fd < 0) {
        return NULL;
    }
    listener = g_new0(peer_listener_t, 1);
    listener->opts = *opts;
    listener->on_accept = on_accept;
    list_init(&listener->peers);
    listener->sock = h2o_evloop_socket_create(loop_get_h2o(opts->loop), fd,
                                              H2O_SOCKET_FLAG_DONT_READ);
    listener->sock->data = listener;
    h2o_socket_read_start(listener->sock, on_incoming);
    return listener;
}

void
peer_listener_free(peer_listener_t *listener)
{
    if (listener == NULL) {
        return;
    }
    h2o_socket_close(listener->sock);
    peer_close_all(&listener->peers);
    g_free(listener);
}
