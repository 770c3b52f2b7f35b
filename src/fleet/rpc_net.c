#include "fleet/rpc_net.h"

#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <netinet/in.h>
#include <string.h>
#include <unistd.h>

#define LISTEN_BACKLOG 256

/* Sets a socket address from a numeric IP address. Returns its length, or 0 if
   host is invalid. */
static socklen_t
net_parse(const char *host, uint16_t port, struct sockaddr_storage *out)
{
    struct sockaddr_in *v4 = (struct sockaddr_in *)out;
    struct sockaddr_in6 *v6 = (struct sockaddr_in6 *)out;

    memset(out, 0, sizeof(*out));
    if (inet_pton(AF_INET, host, &v4->sin_addr) == 1) {
        v4->sin_family = AF_INET;
        v4->sin_port = htons(port);
        return sizeof(*v4);
    }
    if (inet_pton(AF_INET6, host, &v6->sin6_addr) == 1) {
        v6->sin6_family = AF_INET6;
        v6->sin6_port = htons(port);
        return sizeof(*v6);
    }
    return 0;
}

/* Opens a non-blocking listening socket. On failure, returns -1 and sets
 *error, to be freed with g_free. */
int
rpc_net_listen(const char *host, uint16_t port, char **error)
{
    struct sockaddr_storage sa;
    socklen_t n = net_parse(host, port, &sa);
    int on = 1;

    if (n == 0) {
        *error = g_strdup_printf("%s: not an IP number", host);
        return -1;
    }
    int fd =
        socket(sa.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd >= 0 &&
        setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on)) == 0 &&
        bind(fd, (struct sockaddr *)&sa, n) == 0 &&
        listen(fd, LISTEN_BACKLOG) == 0) {
        return fd;
    }
    *error = g_strdup_printf("listen on %s port %u: %s", host, port,
                             g_strerror(errno));
    if (fd >= 0) {
        close(fd);
    }
    return -1;
}

/* Starts to connect a non-blocking socket. Returns the socket, or -1 with
   errno set. */
int
rpc_net_connect(const char *host, uint16_t port)
{
    struct sockaddr_storage sa;
    socklen_t n = net_parse(host, port, &sa);

    if (n == 0) {
        errno = EINVAL;
        return -1;
    }
    int fd =
        socket(sa.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) {
        return -1;
    }
    if (connect(fd, (struct sockaddr *)&sa, n) != 0 && errno != EINPROGRESS) {
        int saved = errno;

        close(fd);
        errno = saved;
        return -1;
    }
    return fd;
}

/* Returns the local port of a socket, or 0 on failure. */
uint16_t
rpc_net_port(int fd)
{
    union {
        struct sockaddr any;
        struct sockaddr_in v4;
        struct sockaddr_in6 v6;
    } a;
    socklen_t n = sizeof(a);

    memset(&a, 0, sizeof(a));
    if (getsockname(fd, &a.any, &n) != 0) {
        return 0;
    }
    return ntohs(a.any.sa_family == AF_INET6 ? a.v6.sin6_port : a.v4.sin_port);
}

/* Writes "host:port", or "[host]:port" for IPv6. */
void
rpc_net_format(const struct sockaddr_storage *sa, char out[RPC_ADDRESS_BYTES])
{
    char host[INET6_ADDRSTRLEN] = "?";

    if (sa->ss_family == AF_INET6) {
        const struct sockaddr_in6 *v6 = (const struct sockaddr_in6 *)sa;

        inet_ntop(AF_INET6, &v6->sin6_addr, host, sizeof(host));
        g_snprintf(out, RPC_ADDRESS_BYTES, "[%s]:%u", host,
                   ntohs(v6->sin6_port));
        return;
    }
    const struct sockaddr_in *v4 = (const struct sockaddr_in *)sa;
    inet_ntop(AF_INET, &v4->sin_addr, host, sizeof(host));
    g_snprintf(out, RPC_ADDRESS_BYTES, "%s:%u", host, ntohs(v4->sin_port));
}

/* Splits "host:port" or "[host]:port". Returns false unless host is a numeric
   IP address and the port is 1 to 65535. */
bool
rpc_net_split(const char *address, char host[RPC_ADDRESS_BYTES],
              uint16_t *port)
{
    const char *colon = strrchr(address, ':');
    guint64 value;

    if (!colon ||
        !g_ascii_string_to_unsigned(colon + 1, 10, 1, 65535, &value, NULL)) {
        return false;
    }
    size_t n = (size_t)(colon - address);
    if (n >= 2 && address[0] == '[' && address[n - 1] == ']') {
        address++;
        n -= 2;
    }
    if (n == 0 || n >= RPC_ADDRESS_BYTES) {
        return false;
    }
    struct sockaddr_storage sa;

    memcpy(host, address, n);
    host[n] = 0;
    *port = (uint16_t)value;
    return net_parse(host, *port, &sa) != 0;
}

/* Returns the wall clock in milliseconds; only for send times of calls. */
uint64_t
rpc_wall_ms(void)
{
    return (uint64_t)g_get_real_time() / 1000;
}
