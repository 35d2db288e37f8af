#ifndef TEASEL_BASE_SOCKET_H
#define TEASEL_BASE_SOCKET_H

#include <glib.h>
#include <netinet/in.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/**
 * socket_listen() - create a non-blocking TCP socket that listens
 * @address: IPv4:PORT
 *
 * Return: the descriptor, or -1 with @error set.
 */
int socket_listen(const char *address, GError **error);

/**
 * socket_resolve() - convert IPv4:PORT to a socket address, without DNS
 */
gboolean socket_resolve(const char *address, struct sockaddr_in *out,
                        GError **error);

/**
 * socket_get_moved_bytes() - return how many bytes a TCP connection has
 * carried
 *
 * Counts the bytes sent that the other end has acknowledged, and the bytes
 * received, also those that have not been read.
 *
 * Return: the count, or 0 if the system does not tell.
 */
uint64_t socket_get_moved_bytes(int fd);

#ifdef __cplusplus
}
#endif

#endif
