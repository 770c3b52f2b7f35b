#include "base/stream.h"

#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#define READ_CHUNK_BYTES 16384
/* TCP_USER_TIMEOUT: a connection is closed when data or keepalive probes stay
   unacknowledged for this long. This is well below the 4 s after which a VM is
   considered reachable again. */
#define USER_TIMEOUT_MS 2500U
#define KEEPALIVE_S 1

struct stream {
    struct ev_loop *loop;
    int fd;
    ev_io read_watcher;
    ev_io write_watcher;
    GString *in_buffer;
    size_t in_consumed;
    GString *out_buffer;
    size_t out_sent;
    size_t input_limit; /* reading pauses at this many bytes; 0 for none */
    bool connecting;
    bool finishing; /* closed in this direction once all data is sent */
    bool ended;     /* the peer has closed the connection, or it has failed */
    int error; /* errno of a failed send(), reported from the event loop */
    const struct stream_callbacks *callbacks;
    void *ctx;
};

/* Sends queued data until the socket buffer is full. A failure is reported
   later from the event loop, because the owner may be calling this. */
static void
send_queued(struct stream *s)
{
    while (s->out_sent < s->out_buffer->len) {
        const ssize_t n = send(s->fd, s->out_buffer->str + s->out_sent,
                               s->out_buffer->len - s->out_sent, MSG_NOSIGNAL);
        if (n < 0 && errno == EINTR) {
            continue;
        }
        if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
            ev_io_start(s->loop, &s->write_watcher);
            return;
        }
        if (n < 0) {
            s->error = errno;
            ev_feed_event(s->loop, &s->read_watcher, EV_READ);
            return;
        }
        s->out_sent += (size_t)n;
    }
    g_string_truncate(s->out_buffer, 0);
    s->out_sent = 0;
    ev_io_stop(s->loop, &s->write_watcher);
    if (s->finishing) {
        shutdown(s->fd, SHUT_WR);
    }
}

/* Appends what one recv() gives to the input. Returns its result. */
static ssize_t
receive_chunk(struct stream *s)
{
    char buffer[READ_CHUNK_BYTES];
    const ssize_t n = recv(s->fd, buffer, sizeof(buffer), 0);

    if (n <= 0) {
        return n;
    }
    if (s->in_consumed == s->in_buffer->len) {
        g_string_truncate(s->in_buffer, 0);
        s->in_consumed = 0;
    }
    g_string_append_len(s->in_buffer, buffer, n);
    return n;
}

static void
on_readable(struct ev_loop *loop, ev_io *w, int revents)
{
    struct stream *s = w->data;

    (void)loop;
    (void)revents;
    if (s->error != 0) {
        s->callbacks->closed(s->ctx, g_strerror(s->error));
        return;
    }
    const ssize_t n = receive_chunk(s);
    if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
    }
    if (n <= 0) {
        ev_io_stop(s->loop, &s->read_watcher);
        s->ended = true;
        s->callbacks->closed(s->ctx, n == 0 ? "end" : g_strerror(errno));
        return;
    }
    if (s->input_limit > 0 && stream_input(s).n >= s->input_limit) {
        ev_io_stop(s->loop, &s->read_watcher);
    }
    s->callbacks->readable(s->ctx);
}

/* Completes connect(), or sends more queued data. */
static void
on_writable(struct ev_loop *loop, ev_io *w, int revents)
{
    struct stream *s = w->data;

    (void)loop;
    (void)revents;
    if (!s->connecting) {
        send_queued(s);
        if (stream_unsent(s) == 0 && s->callbacks->flushed != NULL) {
            s->callbacks->flushed(s->ctx);
        }
        return;
    }
    int error = 0;
    socklen_t size = sizeof(error);
    getsockopt(s->fd, SOL_SOCKET, SO_ERROR, &error, &size);
    ev_io_stop(s->loop, &s->write_watcher);
    if (error != 0) {
        s->callbacks->closed(s->ctx, g_strerror(error));
        return;
    }
    s->connecting = false;
    ev_io_start(s->loop, &s->read_watcher);
    send_queued(s);
    if (s->callbacks->connected != NULL) {
        s->callbacks->connected(s->ctx);
    }
}

/* Disables Nagle's algorithm and enables detection of dead connections. */
static void
set_socket_options(int fd)
{
    const int on = 1;
    const int seconds = KEEPALIVE_S;
    const int probes = 2;
    const unsigned int user_timeout_ms = USER_TIMEOUT_MS;

    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &seconds, sizeof(seconds));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &seconds, sizeof(seconds));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout_ms,
               sizeof(user_timeout_ms));
}

static struct stream *
stream_new(struct ev_loop *loop, int fd,
           const struct stream_callbacks *callbacks, void *ctx)
{
    struct stream *s = g_new0(struct stream, 1);

    s->loop = loop;
    s->fd = fd;
    s->in_buffer = g_string_new(NULL);
    s->out_buffer = g_string_new(NULL);
    s->callbacks = callbacks;
    s->ctx = ctx;
    ev_io_init(&s->read_watcher, on_readable, fd, EV_READ);
    ev_io_init(&s->write_watcher, on_writable, fd, EV_WRITE);
    s->read_watcher.data = s;
    s->write_watcher.data = s;
    set_socket_options(fd);
    return s;
}

/* Wraps an accepted non-blocking socket, which the stream then owns. */
struct stream *
stream_from_fd(struct ev_loop *loop, int fd,
               const struct stream_callbacks *callbacks, void *ctx)
{
    struct stream *s = stream_new(loop, fd, callbacks, ctx);

    ev_io_start(loop, &s->read_watcher);
    return s;
}

/* Starts to connect to a numeric IPv4 address. Data may be written at once and
   is queued. Returns NULL with errno set on an immediate failure; later
   failures are reported by the callback closed. */
struct stream *
stream_connect(struct ev_loop *loop, const char *host, uint16_t port,
               const struct stream_callbacks *callbacks, void *ctx)
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
    struct stream *s = stream_new(loop, fd, callbacks, ctx);
    if (connect(fd, (struct sockaddr *)&to, sizeof(to)) != 0 &&
        errno != EINPROGRESS) {
        const int e = errno;
        stream_close(s);
        errno = e;
        return NULL;
    }
    s->connecting = true;
    ev_io_start(loop, &s->write_watcher);
    return s;
}

/* Closes the socket. Unsent data is discarded. The input stays valid until
   stream_close(), the only call that may follow. */
void
stream_disconnect(struct stream *s)
{
    ev_io_stop(s->loop, &s->read_watcher);
    ev_io_stop(s->loop, &s->write_watcher);
    if (s->fd >= 0) {
        close(s->fd);
    }
    s->fd = -1;
}

/* Closes the socket and frees the stream. Unsent data is discarded. NULL is
   allowed. */
void
stream_close(struct stream *s)
{
    if (s == NULL) {
        return;
    }
    stream_disconnect(s);
    g_string_free(s->in_buffer, TRUE);
    g_string_free(s->out_buffer, TRUE);
    g_free(s);
}

/* Sends what is queued and then ends the connection in this direction. Input
   is still read, and the owner has to consume it: closing a socket with unread
   input resets the connection, and the peer could lose data that was sent
   before. Calls closed() once the peer has closed its side; the owner may call
   stream_close() at any time. Must not be called while connecting, or after
   closed(). */
void
stream_finish(struct stream *s)
{
    s->finishing = true;
    s->input_limit = 0;
    ev_io_start(s->loop, &s->read_watcher);
    if (s->error == 0 && !ev_is_active(&s->write_watcher)) {
        send_queued(s);
    }
}

/* Returns the received bytes that have not been consumed. The view is valid
   until the next stream_consume() or return to the event loop. */
struct sview
stream_input(const struct stream *s)
{
    return (struct sview){.p = s->in_buffer->str + s->in_consumed,
                          .n = s->in_buffer->len - s->in_consumed};
}

/* Removes the first n bytes of the input. */
void
stream_consume(struct stream *s, size_t n)
{
    s->in_consumed += n;
    if (s->input_limit > 0 && stream_input(s).n < s->input_limit &&
        !s->ended && !s->connecting) {
        ev_io_start(s->loop, &s->read_watcher);
    }
    if (s->in_consumed == s->in_buffer->len) {
        g_string_truncate(s->in_buffer, 0);
        s->in_consumed = 0;
    }
    else if (s->in_consumed > READ_CHUNK_BYTES) {
        g_string_erase(s->in_buffer, 0, (gssize)s->in_consumed);
        s->in_consumed = 0;
    }
}

/* Queues a copy of the bytes and sends as much as the socket accepts. */
void
stream_write(struct stream *s, const char *p, size_t n)
{
    g_string_append_len(s->out_buffer, p, (gssize)n);
    if (!s->connecting && s->error == 0 && !ev_is_active(&s->write_watcher)) {
        send_queued(s);
    }
}

/* Returns how many written bytes have not been passed to the kernel yet. */
size_t
stream_unsent(const struct stream *s)
{
    return s->out_buffer->len - s->out_sent;
}

/* Returns true if bytes from the peer have arrived that were not read yet. */
bool
stream_has_unread(const struct stream *s)
{
    char byte;

    return recv(s->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

/* Reads all that has arrived into the input, up to its limit. readable() is
   not called; a closed connection is reported from the event loop. */
void
stream_receive(struct stream *s)
{
    while ((s->input_limit == 0 || stream_input(s).n < s->input_limit) &&
           receive_chunk(s) > 0) {
    }
}

/* Pauses reading while so many received bytes have not been consumed, so that
   the peer has to wait. */
void
stream_set_input_limit(struct stream *s, size_t bytes)
{
    s->input_limit = bytes;
}
