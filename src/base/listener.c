#include "base/listener.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define LISTENER_BACKLOG 1024

/* Opens a non-blocking listening TCP socket on a numeric IPv4 or IPv6 address.
   Returns the file descriptor, or -1 with errno set. */
int
listener_open(const char *host, uint16_t port)
{
    struct sockaddr_storage ss = {0};
    socklen_t n;
    const int on = 1;

    if (strchr(host, ':') != NULL) {
        struct sockaddr_in6 *in = (struct sockaddr_in6 *)&ss;
        in->sin6_family = AF_INET6;
        in->sin6_port = htons(port);
        inet_pton(AF_INET6, host, &in->sin6_addr);
        n = sizeof(*in);
    }
    else {
        struct sockaddr_in *in = (struct sockaddr_in *)&ss;
        in->sin_family = AF_INET;
        in->sin_port = htons(port);
        inet_pton(AF_INET, host, &in->sin_addr);
        n = sizeof(*in);
    }
    const int fd =
        socket(ss.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) {
        return -1;
    }
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (bind(fd, (struct sockaddr *)&ss, n) != 0 ||
        listen(fd, LISTENER_BACKLOG) != 0) {
        const int e = errno;
        close(fd);
        errno = e;
        return -1;
    }
    return fd;
}
