#include "base/stream.h"

#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#define READ_BYTES 16384
/* A connection whose other end is silent at the TCP level is given up after
   this time, well before the 4 s after which a VM counts as in touch again. */
#define SILENT_MS 2500U
#define KEEPALIVE_S 1

struct stream {
    struct ev_loop *loop;
    int fd;
    ev_io rd;
    ev_io wr;
    GString *in;
    size_t in_used;
    GString *out;
    size_t out_sent;
    bool connecting;
    int error; /* errno of a failed write, reported from the loop */
    const struct stream_events *events;
    void *ctx;
};

/* Sends what is queued as far as the socket takes it. */
static void
send_queued(struct stream *s)
{
    while (s->out_sent < s->out->len) {
        const ssize_t n = send(s->fd, s->out->str + s->out_sent,
                               s->out->len - s->out_sent, MSG_NOSIGNAL);
        if (n < 0 && errno == EINTR) {
            continue;
        }
        if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
            ev_io_start(s->loop, &s->wr);
            return;
        }
        if (n < 0) {
            s->error = errno;
            ev_feed_event(s->loop, &s->rd, EV_READ);
            return;
        }
        s->out_sent += (size_t)n;
    }
    g_string_truncate(s->out, 0);
    s->out_sent = 0;
    ev_io_stop(s->loop, &s->wr);
}

/* Reads once and hands the input to the owner. */
static void
on_readable(struct ev_loop *loop, ev_io *w, int revents)
{
    struct stream *s = w->data;
    char buffer[READ_BYTES];

    (void)loop;
    (void)revents;
    if (s->error != 0) {
        s->events->closed(s->ctx, g_strerror(s->error));
        return;
    }
    const ssize_t n = recv(s->fd, buffer, sizeof(buffer), 0);
    if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
    }
    if (n <= 0) {
        ev_io_stop(s->loop, &s->rd);
        s->events->closed(s->ctx, n == 0 ? "end" : g_strerror(errno));
        return;
    }
    if (s->in_used == s->in->len) {
        g_string_truncate(s->in, 0);
        s->in_used = 0;
    }
    g_string_append_len(s->in, buffer, n);
    s->events->readable(s->ctx);
}

/* Finishes a connection attempt or continues to send. */
static void
on_writable(struct ev_loop *loop, ev_io *w, int revents)
{
    struct stream *s = w->data;

    (void)loop;
    (void)revents;
    if (!s->connecting) {
        send_queued(s);
        return;
    }
    int error = 0;
    socklen_t size = sizeof(error);
    getsockopt(s->fd, SOL_SOCKET, SO_ERROR, &error, &size);
    ev_io_stop(s->loop, &s->wr);
    if (error != 0) {
        s->events->closed(s->ctx, g_strerror(error));
        return;
    }
    s->connecting = false;
    ev_io_start(s->loop, &s->rd);
    send_queued(s);
    if (s->events->connected != NULL) {
        s->events->connected(s->ctx);
    }
}

/* Sets the options that make a dead connection show. */
static void
set_options(int fd)
{
    const int on = 1;
    const int seconds = KEEPALIVE_S;
    const int probes = 2;
    const unsigned int silent_ms = SILENT_MS;

    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &seconds, sizeof(seconds));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &seconds, sizeof(seconds));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &silent_ms,
               sizeof(silent_ms));
}

/* Creates the record of a socket. */
static struct stream *
create(struct ev_loop *loop, int fd, const struct stream_events *events,
       void *ctx)
{
    struct stream *s = g_new0(struct stream, 1);

    s->loop = loop;
    s->fd = fd;
    s->in = g_string_new(NULL);
    s->out = g_string_new(NULL);
    s->events = events;
    s->ctx = ctx;
    ev_io_init(&s->rd, on_readable, fd, EV_READ);
    ev_io_init(&s->wr, on_writable, fd, EV_WRITE);
    s->rd.data = s;
    s->wr.data = s;
    set_options(fd);
    return s;
}

/* Takes over an accepted, non-blocking socket. */
struct stream *
stream_accepted(struct ev_loop *loop, int fd,
                const struct stream_events *events, void *ctx)
{
    struct stream *s = create(loop, fd, events, ctx);

    ev_io_start(loop, &s->rd);
    return s;
}

/* Starts a connection to a numeric IPv4 address. Returns NULL with errno set
   when that fails at once. */
struct stream *
stream_connect(struct ev_loop *loop, const char *host, uint16_t port,
               const struct stream_events *events, void *ctx)
{
    struct sockaddr_in to = {.sin_family = AF_INET, .sin_port = htons(port)};

    if (inet_pton(AF_INET, host, &to.sin_addr) != 1) {
        errno = EINVAL;
        return NULL;
    }
    const int fd =
        socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) {
        return NULL;
    }
    struct stream *s = create(loop, fd, events, ctx);
    if (connect(fd, (struct sockaddr *)&to, sizeof(to)) != 0 &&
        errno != EINPROGRESS) {
        const int e = errno;
        stream_close(s);
        errno = e;
        return NULL;
    }
    s->connecting = true;
    ev_io_start(loop, &s->wr);
    return s;
}

/* Closes the connection and frees the record; NULL is allowed. */
void
stream_close(struct stream *s)
{
    if (s == NULL) {
        return;
    }
    ev_io_stop(s->loop, &s->rd);
    ev_io_stop(s->loop, &s->wr);
    close(s->fd);
    g_string_free(s->in, TRUE);
    g_string_free(s->out, TRUE);
    g_free(s);
}

/* Returns the input that was not consumed yet. */
struct sview
stream_input(const struct stream *s)
{
    return (struct sview){.p = s->in->str + s->in_used,
                          .n = s->in->len - s->in_used};
}

/* Drops the first n bytes of the input. */
void
stream_consume(struct stream *s, size_t n)
{
    s->in_used += n;
    if (s->in_used == s->in->len) {
        g_string_truncate(s->in, 0);
        s->in_used = 0;
    }
    else if (s->in_used > READ_BYTES) {
        g_string_erase(s->in, 0, (gssize)s->in_used);
        s->in_used = 0;
    }
}

/* Queues bytes and sends what the socket takes. */
void
stream_write(struct stream *s, const char *p, size_t n)
{
    g_string_append_len(s->out, p, (gssize)n);
    if (!s->connecting && s->error == 0 && !ev_is_active(&s->wr)) {
        send_queued(s);
    }
}

/* Tells whether all that was written has been handed to the kernel. */
bool
stream_flushed(const struct stream *s)
{
    return s->out_sent == s->out->len;
}
