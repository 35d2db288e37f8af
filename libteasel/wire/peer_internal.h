#ifndef TEASEL_WIRE_PEER_INTERNAL_H
#define TEASEL_WIRE_PEER_INTERNAL_H

#include "base/list.h"
#include "wire/peer.h"

enum {
    /* Fits 255.255.255.255:65535. */
    PEER_ADDRESS_SIZE = 24,
};

/**
 * peer_adopt() - make a peer of an accepted socket
 * @peers: list that the peer is on until it is freed
 */
peer_t *peer_adopt(const peer_opts_t *opts, h2o_socket_t *sock,
                   const char *address, list_t *peers);

/**
 * peer_close_all() - close all peers of a list
 */
void peer_close_all(list_t *peers);

#endif
