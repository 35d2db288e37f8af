#ifndef TEASEL_BASE_SOCKET_H
#define TEASEL_BASE_SOCKET_H

#include <glib.h>
#include <netinet/in.h>

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

#ifdef __cplusplus
}
#endif

#endif
