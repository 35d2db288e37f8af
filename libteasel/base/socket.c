#include "base/socket.h"

#include <arpa/inet.h>
#include <errno.h>
#include <linux/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/error.h"
#include "base/events.h"
#include "base/settings.h"

enum {
    LISTEN_BACKLOG = 1024
};

gboolean
socket_resolve(const char *address, struct sockaddr_in *out, GError **error)
{
    char host[INET_ADDRSTRLEN];
    uint16_t port;

    if (!address_parse(address, host, &port, error)) {
        return FALSE;
    }
    memset(out, 0, sizeof(*out));
    out->sin_family = AF_INET;
    out->sin_port = htons(port);
    inet_pton(AF_INET, host, &out->sin_addr);
    return TRUE;
}

int
socket_listen(const char *address, GError **error)
{
    struct sockaddr_in name;
    const char *step = "socket";
    int on = 1;
    int failure;
    int fd;

    if (!socket_resolve(address, &name, error)) {
        return -1;
    }
    fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd >= 0) {
        setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        step = "bind";
        if (bind(fd, (struct sockaddr *)&name, sizeof(name)) == 0) {
            step = "listen";
            if (listen(fd, LISTEN_BACKLOG) == 0) {
                return fd;
            }
        }
    }
    failure = errno;
    event_log(EVENT_LISTEN_FAILED, "address=%s error=\"%s: %s\"", address,
              step, g_strerror(failure));
    g_set_error(error, TEASEL_ERROR, ERROR_INVALID,
                "cannot listen on %s: %s: %s", address, step,
                g_strerror(failure));
    if (fd >= 0) {
        close(fd);
    }
    return -1;
}

uint64_t
socket_get_moved_bytes(int fd)
{
    struct tcp_info info = {0};
    socklen_t length = sizeof(info);

    if (getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &length) != 0) {
        return 0;
    }
    return info.tcpi_bytes_acked + info.tcpi_bytes_received;
}
